"""Answer long uploads early with answers that are none, on each way to a caller."""

import asyncio
import contextlib
import re
import socket
import struct
from collections.abc import AsyncIterator
from dataclasses import dataclass, replace

import pytest
import uvloop
from southernveil.runnerclient import HttpRunnerClient, make_session

from hawthornshelf.clock import SystemClock
from hawthornshelf.effects import Dispatch
from hawthornshelf.errors import HawthornshelfError
from hawthornshelf.events import AttemptBroken, AttemptCompleted, Event
from hawthornshelf.gateway.exchange import (
    Attempt,
    Header,
    InboundRequest,
    Prompt,
    PromptSegment,
)
from hawthornshelf.gateway.peerrelay import Peer
from hawthornshelf.gateway.routes import RetryPolicy, Route
from hawthornshelf.gateway.runners import Runner
from hawthornshelf.upstreamclient import OutboundRequest, UpstreamClient
from tests.gateway.fakes import Caller
from tests.southernveil import test_hedges, test_relay
from tests.southernveil.fakes import FakeRunner
from tests.southernveil.test_framing import (
    ONCE_ROUTE,
    PROBES,
    STOP_CALL,
    STREAM_ROUTE,
    RawRunner,
    Script,
    make_inbound,
    make_route,
    make_stream,
    start_forwarder,
)

UPLOAD = b"x" * 2_000_000
HANDLE = b'{"KvHandle":"3fa0","Tokens":9000,"Version":1}'
SAFE_ROUTE, PLAIN_ONCE_ROUTE = (
    make_route(RetryPolicy.SAFE),
    make_route(RetryPolicy.ONCE),
)
ROUTES = {
    "safe": SAFE_ROUTE,
    "once": PLAIN_ONCE_ROUTE,
    "resumable stream": STREAM_ROUTE,
    "stream": ONCE_ROUTE,
}
REPEATABLE = ("safe", "resumable stream")
READS = {"at once": 0, "after a piece": 65_536, "after all": len(UPLOAD)}
LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}
SHAPES = {
    "part": b"HTTP/1.1 200 OK\r\n",
    "000": b"HTTP/1.1 000 No\r\nContent-Length: 4\r\n",
    "000 without a length": b"HTTP/1.1 000 No\r\n",
}
WAIT_SECONDS = 20.0


@dataclass
class EarlyRunner(RawRunner):
    """Serve the first requests soundly, and answer the next early with no answer.

    It reads `reads` bytes of the upload before, and resets the connection behind it.
    """

    shape: bytes = b""
    reads: int = 0
    sound: int = 0
    body: bytes = b"part"
    early: int = 0
    early_on_kept: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        served = 0
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(PROBES):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                    continue
                if head.startswith(STOP_CALL):
                    await self._stop(reader, writer, head)
                    continue
                found = re.search(rb"\r\nX-Request-Id: (\S+)", head, re.IGNORECASE)
                name = b"X-Request-Id: " + (found[1] if found else b"") + b"\r\n"
                stamp = b"X-Answer-Stamp: early\r\n"
                if self.sound:
                    self.sound -= 1
                    served += 1
                    await reader.readexactly(read_length(head))
                    line = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                    writer.write(line + name + stamp + b"\r\nsound")
                    continue
                await reader.readexactly(min(self.reads, read_length(head)))
                self.early += 1
                self.early_on_kept += served > 0
                kind = b"Content-Type: text/event-stream\r\n"
                writer.write(self.shape + name + stamp + kind + b"\r\n" + self.body)
                await writer.drain()
                break
        reset(writer)


def read_length(head: bytes) -> int:
    found = re.search(rb"\r\nContent-Length: (\d+)", head, re.IGNORECASE)
    return int(found[1]) if found else 0


def reset(writer: asyncio.StreamWriter) -> None:
    sock: socket.socket = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.close()


def run(loop: str, main: "asyncio._CoroutineLike[None]") -> None:
    with asyncio.Runner(loop_factory=LOOPS[loop]) as runner:
        runner.run(asyncio.wait_for(main, WAIT_SECONDS))


def make_early(shape: str, reads: str, **changes: object) -> EarlyRunner:
    runner = EarlyRunner("early", [], shape=SHAPES[shape], reads=READS[reads])
    return replace(runner, **changes)


class SoundRunner(RawRunner):
    """Read an upload to its end before the answer."""

    async def _respond(
        self, writer: asyncio.StreamWriter, script: Script, head: bytes
    ) -> None:
        await self.reader.readexactly(read_length(head))
        await super()._respond(writer, script, head)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        await super().serve(reader, writer)


def make_sound(route: Route) -> RawRunner:
    kind = b"text/event-stream" if route.is_generation else b"text/plain"
    body = make_stream(b"\n")
    return SoundRunner(
        "good", [lambda after: Script(body, "connection", content_type=kind)]
    )


def make_upload(name: str) -> InboundRequest:
    headers = (Header("X-Request-Id", name),)
    return replace(make_inbound(), request_id=name, headers=headers, body=UPLOAD)


def is_complete(caller: Caller) -> bool:
    return caller.status == 200 and caller.ended and not caller.aborted


def check_caller(caller: Caller, early: EarlyRunner, name: str) -> None:
    """Check that a caller has the sound answer, or none that looks complete."""
    assert early.early >= 1
    assert caller.status not in (0, None)
    assert b"part" not in caller.data
    if name in REPEATABLE:
        assert is_complete(caller) and caller.data == make_stream(b"\n")
    else:
        assert not is_complete(caller)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("reads", READS)
@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("name", ROUTES)
def test_no_caller_gets_an_early_answer_that_is_none(
    name: str, shape: str, reads: str, loop: str
) -> None:
    async def check() -> None:
        early, route = make_early(shape, reads), ROUTES[name]
        async with start_forwarder(route, early, make_sound(route)) as forwarder:
            caller = Caller()
            await forwarder.serve(make_upload("r1"), caller)
            check_caller(caller, early, name)

    run(loop, check())


@pytest.mark.parametrize("reads", READS)
@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("name", ["safe", "once"])
def test_no_caller_gets_one_from_a_connection_that_was_kept(
    name: str, shape: str, reads: str
) -> None:
    async def check() -> None:
        early, route = make_early(shape, reads, sound=2), ROUTES[name]
        async with start_forwarder(route, early, make_sound(route)) as forwarder:
            for number in range(2):
                caller = Caller()
                await forwarder.serve(make_upload(f"kept{number}"), caller)
                assert (caller.status, caller.data) == (200, b"sound")
            caller = Caller()
            await forwarder.serve(make_upload("r1"), caller)
            check_caller(caller, early, name)
            assert early.early_on_kept == 1

    run("uvloop", check())


@pytest.mark.parametrize("reads", READS)
@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("name", ROUTES)
def test_no_caller_gets_one_over_a_hop(name: str, shape: str, reads: str) -> None:
    async def check() -> None:
        early, route = make_early(shape, reads), ROUTES[name]
        caller, relayed = await test_relay.ask(route, early, body=UPLOAD)
        assert relayed == 1 and early.early >= 1
        assert caller.status in (502, 503) and b"part" not in caller.data

    run("uvloop", check())


@pytest.mark.parametrize("reads", READS)
@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("name", ROUTES)
def test_no_caller_gets_one_of_what_answers_at_a_nodes_address(
    name: str, shape: str, reads: str
) -> None:
    async def check() -> None:
        early, route = make_early(shape, reads), ROUTES[name]
        lost = [test_relay.LostRunner(f"lost{number}", []) for number in range(3)]
        async with serve_early(early) as address:
            peer = Peer("peer", address)
            async with start_forwarder(route, *lost, peer=peer) as forwarder:
                for listed in forwarder._runners.staying():
                    await forwarder._prober.probe_reachability(listed)
                caller = Caller()
                await forwarder.serve(make_upload("r1"), caller)
        assert early.early >= 1
        assert caller.status in (502, 503) and b"part" not in caller.data

    run("uvloop", check())


@contextlib.asynccontextmanager
async def serve_early(early: EarlyRunner) -> AsyncIterator[str]:
    server = await asyncio.start_server(early.serve, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


class EarlyHedge(FakeRunner):
    """Stand where a hedge goes, and answer it early."""

    early: EarlyRunner

    async def start(self) -> None:
        self._listener = await asyncio.start_server(self.early.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._listener.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        self._listener.close()


@pytest.mark.parametrize("is_hedge", [True, False])
@pytest.mark.parametrize("shape", SHAPES)
def test_no_caller_of_a_hedged_request_gets_one(shape: str, is_hedge: bool) -> None:
    async def check() -> None:
        bad = EarlyHedge(name="early")
        bad.early = make_early(shape, "at once")
        other = (
            FakeRunner(name="slow") if is_hedge else test_hedges.QuickRunner(name="q")
        )
        runners = [other, bad] if is_hedge else [bad, other]
        async with test_hedges.ask(runners, UPLOAD[:900_000]) as caller:
            assert bad.early.early == 1 and b"part" not in caller.data
            if is_hedge:
                assert caller.status in (502, 504)
            else:
                assert (caller.status, caller.data) == (200, b"quick")

    run("uvloop", check())


@pytest.mark.parametrize("reads", READS)
@pytest.mark.parametrize("shape", SHAPES)
def test_no_prefill_gets_a_handle_of_an_early_answer(shape: str, reads: str) -> None:
    async def check() -> None:
        early = make_early(shape, reads, body=HANDLE)
        async with serve_early(early) as address:
            runner = Runner("early", "llm", address, "dc", 6)
            prompt = Prompt(9000, 5, (PromptSegment("5c1e", 9000),))
            inbound = replace(make_inbound(), body=UPLOAD, prompt=prompt)
            session = make_session()
            with pytest.raises(HawthornshelfError):
                await HttpRunnerClient(session).prefill(
                    Attempt(inbound, runner, 9.0, 0)
                )
            await session.close()
        assert early.early == 1

    run("uvloop", check())


@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("name", ["resumable stream", "stream"])
def test_no_stream_goes_on_with_an_early_answer(name: str, shape: str) -> None:
    """The first engine breaks off after two events, and the next one answers early."""

    async def check() -> None:
        route, whole = ROUTES[name], make_stream(b"\n")
        begun = whole[: 2 * len(whole) // 3]
        breaking = Script(begun, "chunks", "reset-early", piece_bytes=len(begun) // 2)
        first = SoundRunner("first", [lambda after: breaking])
        early = make_early(shape, "at once", body=b"id: 3\ndata: pa")
        async with start_forwarder(route, first, early) as forwarder:
            caller = Caller()
            await forwarder.serve(make_upload("r1"), caller)
        assert early.early == (name in REPEATABLE)
        assert not is_complete(caller) and b"data: pa" not in caller.data[len(begun) :]

    run("uvloop", check())


@pytest.mark.parametrize("is_engine", [False, True])
@pytest.mark.parametrize("reads", READS)
@pytest.mark.parametrize("shape", SHAPES)
def test_the_products_own_client_completes_nothing_with_an_early_answer(
    shape: str, reads: str, is_engine: bool
) -> None:
    async def check() -> None:
        early = make_early(shape, reads)
        events: asyncio.Queue[Event] = asyncio.Queue()
        async with serve_early(early) as address:
            client = UpstreamClient(SystemClock(), events.put_nowait)
            outbound = OutboundRequest(is_engine, "POST", "/", {}, UPLOAD)
            effect = Dispatch("r", "a", "s", address, 0, 1e12, False)
            client.dispatch(effect, outbound)
            event = await events.get()
            while not isinstance(event, AttemptBroken | AttemptCompleted):
                event = await events.get()
            await client.close()
        assert isinstance(event, AttemptBroken) and early.early == 1

    run("uvloop", check())
