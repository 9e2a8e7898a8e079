"""Read streamed responses as callers of different versions do, to their end."""

import asyncio

import pytest
import uvloop
from aiohttp import web
from southernveil.servers import CallerResponseWriter, start_server

from hawthornshelf.gateway.exchange import Header
from tests.ports import free_ports

REQUESTS = {
    "1.1": b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
    "1.1-close": b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    "1.0": b"GET /a HTTP/1.0\r\nHost: h\r\n\r\n",
    "1.0-keep-alive": b"GET /a HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n",
}
EVENT = b"data: 1\n\n"


def read_stream(request: bytes, aborts: bool) -> tuple[bytes, str]:
    """Return what a caller gets of a stream, and how its connection ended."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        writer = CallerResponseWriter(request, closes_connection=True)
        await writer.begin(200, (Header("X-Answer-Stamp", "s"),))
        await writer.write(EVENT)
        writer.abort() if aborts else await writer.end()
        return writer.response()

    async def run() -> tuple[bytes, str]:
        address = f"127.0.0.1:{free_ports(1)[0]}"
        server = await start_server(handle, address)
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request)
        received = b""
        try:
            while part := await reader.read(65536):
                received += part
        except ConnectionResetError:
            return received, "reset"
        finally:
            writer.close()
            server.close()
        return received, "closed"

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run())


@pytest.mark.parametrize("version", REQUESTS)
def test_an_aborted_stream_never_looks_complete(version: str) -> None:
    received, end = read_stream(REQUESTS[version], aborts=True)
    is_chunked = b"Transfer-Encoding: chunked" in received
    assert end == "reset" or (is_chunked and not received.endswith(b"0\r\n\r\n"))


@pytest.mark.parametrize("version", REQUESTS)
def test_a_whole_stream_looks_complete(version: str) -> None:
    received, end = read_stream(REQUESTS[version], aborts=False)
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.split(b" ")[1] == b"200"
    assert end == "closed"
    if version.startswith("1.0"):
        assert b"chunked" not in head
        assert body == EVENT
    else:
        assert body == b"9\r\n" + EVENT + b"\r\n0\r\n\r\n"
