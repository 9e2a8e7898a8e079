"""Test that requests are parsed to their end, and bodies take a bounded time."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable

import pytest
import uvloop
from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from hawthornshelf import inboundlimits
from hawthornshelf.inboundlimits import (
    BodyTooLarge,
    BodyTooSlow,
    BoundedRequestHandler,
    hold_body,
)

LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}
WAIT_SECONDS = 20.0
LONG_BYTES = (60_000, 4_194_304)
SEEDS = range(12)


class Server(web.Server):
    def __call__(self) -> RequestHandler:
        return BoundedRequestHandler(self, loop=self._loop, **self._kwargs)


async def answer(request: web.BaseRequest) -> web.StreamResponse:
    try:
        async with hold_body(request, allow_seconds=lambda: 0.2) as body:
            return web.Response(text=f"{len(body)} {body[-1:].decode()}")
    except BodyTooSlow:
        return web.Response(status=408)
    except BodyTooLarge:
        return web.Response(status=413)


async def take(request: web.BaseRequest) -> web.StreamResponse:
    async with hold_body(request) as body:
        return web.Response(text=f"{len(body)} {body[-1:].decode()}")


@contextlib.asynccontextmanager
async def connect(
    handler: Callable[[web.BaseRequest], object],
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    server = Server(handler, access_log=None, lingering_time=0.1)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            yield reader, writer
    finally:
        writer.close()
        listener.close()
        await server.shutdown(0.1)


def run(loop: str, main: Callable[[], object]) -> None:
    with asyncio.Runner(loop_factory=LOOPS[loop]) as runner:
        runner.run(main())


def make_head(*lines: str) -> bytes:
    return "\r\n".join(("POST /x HTTP/1.1", "Host: h", *lines, "", "")).encode()


def make_chunks(body: bytes, draws: random.Random) -> bytes:
    parts, start = [], 0
    while start < len(body):
        size = draws.randint(1, 300_000)
        part = body[start : start + size]
        parts.append(b"%x\r\n%s\r\n" % (len(part), part))
        start += size
    return b"".join((*parts, b"0\r\n\r\n"))


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    length = head.lower().partition(b"content-length: ")[2].split()[0]
    return int(head.split()[1]), await reader.readexactly(int(length))


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("seed", SEEDS)
def test_no_long_body_that_came_whole_stays_unanswered(loop: str, seed: int) -> None:
    """The rest of a body was never parsed where the library had paused."""

    async def check() -> None:
        draws = random.Random(seed)
        async with connect(take) as (reader, writer):
            for _ in range(6):
                size = draws.randint(*LONG_BYTES)
                body = b"x" * (size - 1) + b"!"
                if draws.random() < 0.5:
                    data = make_head(f"Content-Length: {size}") + body
                else:
                    data = make_head("Transfer-Encoding: chunked")
                    data += make_chunks(body, draws)
                while data:
                    cut = draws.choice([len(data), draws.randint(1, len(data))])
                    writer.write(data[:cut])
                    data = data[cut:]
                    await asyncio.sleep(0)
                status, text = await read_answer(reader)
                assert (status, text) == (200, b"%d !" % size)

    run(loop, check)


@pytest.mark.parametrize("loop", LOOPS)
def test_all_of_many_pipelined_requests_are_answered(loop: str) -> None:
    """Requests beyond those that the library queues were never parsed."""

    async def check() -> None:
        async with connect(take) as (reader, writer):
            one = make_head("Content-Length: 2") + b"ab"
            long = make_head("Content-Length: 700000") + b"x" * 700_000
            writer.write(one * 400 + long + one * 400)
            sizes = [2] * 400 + [700_000] + [2] * 400
            for size in sizes:
                status, text = await read_answer(reader)
                assert status == 200 and text.split()[0] == b"%d" % size

    run(loop, check)


@pytest.mark.parametrize("sent", [0, 1, 70_000, 1_000_000])
def test_a_body_that_stops_coming_is_given_up_and_not_kept(sent: int) -> None:
    async def check() -> None:
        async with connect(answer) as (reader, writer):
            writer.write(make_head(f"Content-Length: {sent + 1}") + b"x" * sent)
            assert (await read_answer(reader))[0] == 408
            assert await reader.read() == b""
        assert inboundlimits._held._count == 0

    run("asyncio", check)


def test_a_body_that_comes_byte_by_byte_is_given_up_in_time() -> None:
    async def check() -> None:
        async with connect(answer) as (reader, writer):
            writer.write(make_head("Content-Length: 1000000"))
            answered = asyncio.create_task(read_answer(reader))
            while not answered.done():
                writer.write(b"x")
                await asyncio.sleep(0.01)
            assert answered.result()[0] == 408

    run("asyncio", check)


@pytest.mark.parametrize("rest", [b"", b"x" * 600_000])
def test_a_head_that_is_too_large_is_refused_behind_a_long_body(rest: bytes) -> None:
    async def check() -> None:
        async with connect(take) as (reader, writer):
            body = b"x" * 900_000
            writer.write(make_head(f"Content-Length: {len(body)}") + body)
            writer.write(b"POST /x HTTP/1.1\r\nHost: h\r\n")
            assert (await read_answer(reader))[0] == 200
            field = b"X-A: %s\r\n" % (b"b" * 8_000)
            writer.write(field * 6 + rest)
            status, _ = await read_answer(reader)
            assert status in (400, 431)

    run("asyncio", check)
