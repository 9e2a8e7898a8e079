"""Send bytes without end, and broken ones, to the client of the product's interface."""

import asyncio
import socket
import struct

import pytest

from hawthornshelf.clock import SystemClock
from hawthornshelf.effects import Dispatch, ReadEngineState, ReadLoad
from hawthornshelf.events import (
    AttemptBroken,
    AttemptCompleted,
    AttemptRefused,
    EngineStateRead,
    Event,
    LoadReported,
)
from hawthornshelf.upstreamclient import OutboundRequest, UpstreamClient
from tests.southernveil.test_endless import CHUNKED, ENDLESS, Flood, run_flood

TIMEOUT_SECONDS = 60.0
ENGINE_STREAM = CHUNKED + b"Content-Type: text/event-stream\r\n\r\n"
ENDLESS_TO_ENGINE = {**ENDLESS, "a line": (ENGINE_STREAM, b"1000\r\n" + b"x" * 4096)}


def run_client(head: bytes, block: bytes, call: str) -> Event:
    """Return the event that a call to an upstream without end posts."""
    flood = Flood(head, block)

    async def run() -> Event:
        events: asyncio.Queue[Event] = asyncio.Queue()
        async with asyncio.timeout(TIMEOUT_SECONDS), run_flood(flood) as address:
            client = UpstreamClient(SystemClock(), events.put_nowait)
            match call:
                case "load":
                    client.read_load(ReadLoad("llm", address, 0))
                case "state":
                    client.read_engine_state(ReadEngineState("llm", address))
                case _:
                    outbound = OutboundRequest(call == "engine", "POST", "/", {}, b"")
                    effect = Dispatch("r", "a", "llm", address, 0, 1e12, False)
                    client.dispatch(effect, outbound)
            while True:
                event = await events.get()
                if isinstance(event, AttemptBroken | LoadReported | EngineStateRead):
                    break
            await client.close()
        return event

    return asyncio.run(run())


@pytest.mark.parametrize("call", ["load", "state", "engine", "service"])
@pytest.mark.parametrize("name", ENDLESS_TO_ENGINE)
def test_an_upstream_that_never_ends_its_response_breaks_the_call(
    name: str, call: str
) -> None:
    event = run_client(*ENDLESS_TO_ENGINE[name], call)
    match event:
        case LoadReported(_, report) | EngineStateRead(_, report):
            assert report is None
        case AttemptBroken(attempt):
            assert attempt == "a"


def call_service(response: bytes, resets: bool) -> Event:
    """Return the event for a service that sends these bytes and ends its connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        await writer.drain()
        if resets:
            sock: socket.socket = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()

    async def run() -> Event:
        events: asyncio.Queue[Event] = asyncio.Queue()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = UpstreamClient(SystemClock(), events.put_nowait)
        outbound = OutboundRequest(False, "GET", "/", {}, b"")
        client.dispatch(Dispatch("r", "a", "s", address, 0, 1e12, False), outbound)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            event = await events.get()
        await client.close()
        server.close()
        return event

    return asyncio.run(run())


UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nhalf a body"


def test_a_service_response_without_a_length_that_is_reset_is_broken() -> None:
    assert isinstance(call_service(UNFRAMED, resets=True), AttemptBroken)


def test_a_service_response_without_a_length_ends_when_its_connection_closes() -> None:
    event = call_service(UNFRAMED, resets=False)
    assert isinstance(event, AttemptCompleted)
    assert event.answer is not None
    assert event.answer.body == b"half a body"


MADE = b"HTTP/1.1 303 See Other\r\nLocation: /bookings/1\r\nContent-Length: 0\r\n\r\n"
BUSY = b"HTTP/1.1 503 Busy\r\nX-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 000 No\r\nContent-Length: 2\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n",
    ],
)
def test_a_service_response_with_a_malformed_head_is_broken(head: bytes) -> None:
    match call_service(head + b"\r\nok", resets=False):
        case AttemptBroken(attempt, sent, _):
            assert (attempt, sent) == ("a", True)
        case event:
            raise AssertionError(event)


def test_an_answer_to_another_call_does_not_tell_that_this_one_has_not_run() -> None:
    """The service makes the booking, and has no room to show it."""
    lines: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        lines.append(head.partition(b"\r\n")[0])
        writer.write(MADE if head.startswith(b"POST") else BUSY)
        await writer.drain()
        writer.close()

    async def run() -> Event:
        events: asyncio.Queue[Event] = asyncio.Queue()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = UpstreamClient(SystemClock(), events.put_nowait)
        outbound = OutboundRequest(False, "POST", "/bookings", {}, b"a booking")
        client.dispatch(Dispatch("r", "a", "s", address, 0, 1e12, False), outbound)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            event = await events.get()
        await client.close()
        server.close()
        return event

    event = asyncio.run(run())
    assert not isinstance(event, AttemptRefused)
    assert lines == [b"POST /bookings HTTP/1.1"]
