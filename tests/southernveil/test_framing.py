"""Break off responses of raw runners in every framing, at every place of a stream."""

import asyncio
import contextlib
import itertools
import random
import re
import socket
import struct
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from unittest import mock

import eliot
import pytest
import uvloop
from southernveil import runnerclient
from southernveil.runnerclient import (
    HttpRelayClient,
    HttpRunnerClient,
    make_session,
)

from hawthornshelf.clock import SystemClock
from hawthornshelf.crashtable import CrashTable
from hawthornshelf.gateway.budget import RetryBudget, RetryLimits
from hawthornshelf.gateway.exchange import AttemptFailed, Header, InboundRequest
from hawthornshelf.gateway.forwarder import Forwarder
from hawthornshelf.gateway.peerrelay import Peer
from hawthornshelf.gateway.routes import (
    EngineProfile,
    RetryPolicy,
    Route,
    RouteTable,
    ServiceSpec,
    Split,
)
from hawthornshelf.gateway.runners import Runner, RunnerList, RunnerTable
from hawthornshelf.metrics import Metrics
from hawthornshelf.ratelimits import RateLimitTable
from tests.gateway.fakes import Caller, grant_permit

CLOCK = SystemClock()
SECONDS = 20.0
EVENTS = 3

FRAMINGS = ("length", "chunks", "connection")
ENDS = ("reached", "reached-then-reset", "closed-early", "reset-early")
PROBES = (b"GET /healthz", b"GET /hawthornshelf/report")
STOP_CALL = b"POST /hawthornshelf/kv-move "
RELEASE_CALL = b"DELETE /hawthornshelf/kv-handle/"
LINE_ENDS = {"LF": b"\n", "CRLF": b"\r\n", "CR": b"\r"}


def make_event(number: int, line_end: bytes) -> bytes:
    lines = (b"id: %d" % number, b"data: piece %d" % number, b"", b"")
    return line_end.join(lines)


def make_stream(line_end: bytes, first: int = 1) -> bytes:
    events = [make_event(number, line_end) for number in range(first, EVENTS + 1)]
    return b"".join(events)


def places(line_end: bytes) -> dict[str, int]:
    """Return offsets into a stream, by what they are."""
    event = len(make_event(1, line_end))
    return {
        "no-byte": 0,
        "in-first-id": 3,
        "in-first-data": event - 4,
        "in-later-id": event + 3,
        "in-later-data": event + len(b"id: 2") + len(line_end) + 7,
        "one-line-break-short": 2 * event - len(line_end),
        "between-events": 2 * event,
        "after-last": EVENTS * event,
    }


WHOLE_PLACES = ("between-events", "after-last")


@dataclass
class Script:
    """Describe how a runner frames a body and how it ends."""

    body: bytes
    framing: str = "length"
    end: str = "reached"
    piece_bytes: int = 0
    head_lead_seconds: float = 0.0
    status: bytes = b"200 OK"
    content_type: bytes = b"text/event-stream"

    def head(self, request_id: bytes, receipt: bytes) -> bytes:
        lines = [
            b"HTTP/1.1 " + self.status,
            b"X-Request-Id: " + request_id,
            b"X-Answer-Stamp: " + receipt,
            b"Content-Type: " + self.content_type,
        ]
        if self.framing == "length":
            missing = 0 if self.is_reached else 7
            lines.append(b"Content-Length: %d" % (len(self.body) + missing))
        elif self.framing == "chunks":
            lines.append(b"Transfer-Encoding: chunked")
        return b"\r\n".join(lines) + b"\r\n\r\n"

    @property
    def is_reached(self) -> bool:
        return self.end.startswith("reached")

    def pieces(self) -> list[bytes]:
        size = self.piece_bytes or max(1, len(self.body))
        pieces = [self.body[i : i + size] for i in range(0, len(self.body), size)]
        if self.framing != "chunks":
            return pieces
        chunks = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces]
        return [*chunks, b"0\r\n\r\n"] if self.is_reached else chunks


@dataclass
class RawRunner:
    """Respond to runs as scripted, one script a run, and to probes with 200."""

    name: str
    scripts: list[Callable[[bytes], Script]]
    resumed_after: list[bytes] = field(default_factory=list)
    probes: int = 0
    build: str = ""
    released: list[bytes] = field(default_factory=list)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(PROBES):
                    self.probes += 1
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                    continue
                if head.startswith(STOP_CALL):
                    await self._stop(reader, writer, head)
                    continue
                if head.startswith(RELEASE_CALL):
                    self.released.append(head.split()[1].rpartition(b"/")[2])
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                script = self.scripts.pop(0)(self._note(head))
                await self._respond(writer, script, head)
                if script.framing == "connection" or script.end != "reached":
                    break
        writer.close()

    async def _stop(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes
    ) -> None:
        """Answer a call that stops a run: a run ends with its connection here."""
        found = re.search(rb"\r\nContent-Length: (\d+)", head, re.IGNORECASE)
        assert found is not None
        status, body = self.answer_stop(await reader.readexactly(int(found[1])))
        lines = b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
        writer.write(lines + body)

    def answer_stop(self, call: bytes) -> tuple[bytes, bytes]:
        """Return the status line and the body of the answer to such a call."""
        return b"404 Not found", b""

    def _note(self, head: bytes) -> bytes:
        found = re.search(rb"\r\nLast-Event-Id: (\d+)", head, re.IGNORECASE)
        after = found[1] if found else b""
        self.resumed_after.append(after)
        return after

    async def _respond(
        self, writer: asyncio.StreamWriter, script: Script, head: bytes
    ) -> None:
        found = re.search(rb"\r\nX-Request-Id: (\S+)", head, re.IGNORECASE)
        assert found is not None
        writer.write(script.head(found[1], self.name.encode()))
        await asyncio.sleep(script.head_lead_seconds)
        for piece in script.pieces():
            writer.write(piece)
            await writer.drain()
        if "reset" in script.end:
            sock: socket.socket = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def resume(line_end: bytes) -> Callable[[bytes], Script]:
    """Return a script that continues the stream after a request's Last-Event-Id."""
    return lambda after: Script(make_stream(line_end, int(after or 0) + 1))


@contextlib.asynccontextmanager
async def start_forwarder(
    route: Route,
    *runners: RawRunner,
    peer: Peer | None = None,
    connect_seconds: float = SECONDS,
) -> AsyncIterator[Forwarder]:
    """Run a forwarder that prefers runners in the order given; it may have a peer."""
    with mock.patch.object(runnerclient, "CONNECT_TIMEOUT_SECONDS", connect_seconds):
        session = make_session()
    listed, servers = [], []
    for runner in runners:
        server = await asyncio.start_server(runner.serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        servers.append(server)
        listed.append(Runner(runner.name, "app", address, "dc", 6, build=runner.build))
    table = RunnerTable("dc", random.Random(1))
    table.load(RunnerList(tuple(listed), CLOCK.monotonic()))
    for load, runner in enumerate(runners):
        state = table.find(runner.name)
        assert state is not None
        state.in_flight = load
    forwarder = Forwarder(
        HttpRunnerClient(session),
        table,
        RetryBudget(RetryLimits(0.2, 60.0, 10.0)),
        Metrics(),
        CLOCK,
        random.Random(1),
        lambda: 1,
        table.count_interactive_requests,
        CrashTable(),
        RateLimitTable(),
        grant_permit,
        HttpRelayClient(session),
        lambda tried: None if peer is None or peer.node in tried else peer,
    )
    forwarder.load(RouteTable(1, (route,), (describe_service(route),)))
    try:
        yield forwarder
    finally:
        await forwarder.stop()
        await session.close()
        for server in servers:
            server.close()


def describe_service(route: Route) -> ServiceSpec:
    engine = EngineProfile(6, 10_000) if route.is_generation else None
    return ServiceSpec("app", "/healthz", engine=engine)


def make_route(retry_policy: RetryPolicy, **changes: object) -> Route:
    route = Route(
        name="r",
        host="h",
        prefix="/r/",
        retry_policy=retry_policy,
        timeout=SECONDS,
        target=SECONDS,
        priority=1,
        splits=(Split("app", 1),),
        max_attempts=2,
    )
    return route._replace(**changes)


STREAM_ROUTE = make_route(RetryPolicy.STREAM, resumable=True, is_generation=True)
ONCE_ROUTE = make_route(RetryPolicy.STREAM, is_generation=True)


def make_inbound(resume_after: str = "") -> InboundRequest:
    now = CLOCK.monotonic()
    headers = (Header("X-Request-Id", "r1"),)
    deadline = now + SECONDS
    return InboundRequest(
        "r1", "POST", "/r/x", "h", headers, b"", now, deadline, None, resume_after
    )


class SlowCaller(Caller):
    """Read each part of a response only after a pause."""

    async def write(self, data: bytes) -> None:
        await asyncio.sleep(0.05)
        await super().write(data)


async def ask(
    route: Route,
    *runners: RawRunner,
    resume_after: str = "",
    caller_type: type[Caller] = Caller,
) -> tuple[Caller, list[dict[str, object]]]:
    """Serve one request; return its caller and the log lines on it."""
    lines: list[dict[str, object]] = []
    caller = caller_type()
    async with start_forwarder(route, *runners) as forwarder:
        eliot.add_destinations(lines.append)
        lines.clear()  # the first destination gets what was logged before
        try:
            await forwarder.serve(make_inbound(resume_after), caller)
            await asyncio.sleep(0)
        finally:
            eliot.remove_destination(lines.append)
    return caller, [line for line in lines if line.get("request") == "r1"]


def run(coroutine: "asyncio._CoroutineLike[object]") -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(coroutine)  # type: ignore[arg-type]


def count_failures(lines: list[dict[str, object]]) -> int:
    return sum(line["message_type"] == "attempt-failed" for line in lines)


def is_break(framing: str, end: str, place: str) -> bool:
    """Return whether a response shows that it was broken off."""
    if "early" in end or (framing == "connection" and "reset" in end):
        return True
    if place == "no-byte":
        return framing == "connection"
    return place not in WHOLE_PLACES


CASES = [
    case
    for case in itertools.product(FRAMINGS, ENDS, LINE_ENDS)
    if case[0] != "connection" or case[1] not in ("closed-early", "reset-early")
]


@pytest.mark.parametrize(("framing", "end", "line_end"), CASES)
def test_a_stream_that_broke_off_never_reaches_its_caller_as_complete(
    framing: str, end: str, line_end: str
) -> None:
    async def check(place: str, cut: int) -> None:
        newline = LINE_ENDS[line_end]
        whole = make_stream(newline)
        broken = RawRunner("a", [lambda after: Script(whole[:cut], framing, end)])
        other = RawRunner("b", [resume(newline)])
        caller, lines = await ask(STREAM_ROUTE, broken, other)
        assert caller.ended and not caller.aborted and caller.status == 200, place
        if not is_break(framing, end, place):
            assert (caller.data, other.resumed_after) == (whole[:cut], []), place
            assert count_failures(lines) == 0, place
            return
        assert caller.data == whole, place
        events = cut // len(make_event(1, newline))
        assert other.resumed_after == [b"%d" % events if events else b""], place
        receipt = "a" if events else "b"
        assert Header("X-Answer-Stamp", receipt) in caller.headers, place
        assert count_failures(lines) == 1, place

    async def check_all() -> None:
        for place, cut in places(LINE_ENDS[line_end]).items():
            await check(place, cut)

    run(check_all())


@pytest.mark.parametrize("piece_bytes", [1, 2, 3, 7])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_whole_stream_stays_whole_however_its_bytes_arrive(
    framing: str, piece_bytes: int
) -> None:
    async def check(newline: bytes) -> None:
        whole = b": hello" + newline + make_stream(newline)
        whole += b"data: without an id" + newline + newline
        script = Script(whole, framing, piece_bytes=piece_bytes)
        caller, lines = await ask(STREAM_ROUTE, RawRunner("a", [lambda after: script]))
        assert (caller.data, caller.ended) == (whole, True)
        assert count_failures(lines) == 0

    async def check_all() -> None:
        for newline in LINE_ENDS.values():
            await check(newline)

    run(check_all())


@pytest.mark.parametrize("line_end", LINE_ENDS)
def test_a_comment_after_the_last_event_is_no_broken_event(line_end: str) -> None:
    async def check() -> None:
        newline = LINE_ENDS[line_end]
        whole = make_stream(newline) + b": bye" + newline
        script = Script(whole, "connection")
        caller, lines = await ask(STREAM_ROUTE, RawRunner("a", [lambda after: script]))
        assert (caller.data, caller.ended) == (whole, True)
        assert count_failures(lines) == 0

    run(check())


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_stream_that_breaks_at_every_runner_is_cut_after_its_last_whole_event(
    framing: str,
) -> None:
    async def check() -> None:
        event = len(make_event(1, b"\n"))
        whole = make_stream(b"\n")

        def cut(after: bytes) -> Script:
            start = int(after or 0) * event
            return Script(whole[start : start + event + 5], framing)

        route = STREAM_ROUTE._replace(max_attempts=2)
        runners = [RawRunner(name, [cut]) for name in ("a", "b", "c")]
        caller, lines = await ask(route, *runners)
        assert caller.aborted and not caller.ended
        assert caller.data == whole[: 2 * event]
        assert runners[2].resumed_after == []
        assert count_failures(lines) == 2

    run(check())


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("place", ["in-first-data", "one-line-break-short"])
def test_a_broken_stream_that_can_not_resume_is_cut_or_failed(
    framing: str, place: str
) -> None:
    async def check() -> None:
        cut = places(b"\n")[place]
        script = Script(make_stream(b"\n")[:cut], framing)
        caller, _ = await ask(ONCE_ROUTE, RawRunner("a", [lambda after: script]))
        events = cut // len(make_event(1, b"\n"))
        assert caller.aborted is (events > 0)
        assert caller.status == (200 if events else 502)
        assert caller.data == make_stream(b"\n")[: events * len(make_event(1, b"\n"))]

    run(check())


def test_an_empty_resumption_after_a_broken_event_is_not_the_end_of_the_stream() -> (
    None
):
    async def check() -> None:
        cut = places(b"\n")["in-later-data"]
        whole = make_stream(b"\n")
        broken = RawRunner("a", [lambda after: Script(whole[:cut], "connection")])
        empty = RawRunner("b", [lambda after: Script(b"", "connection")])
        caller, _ = await ask(STREAM_ROUTE, broken, empty)
        assert caller.aborted and not caller.ended

    run(check())


def test_a_caller_that_resumes_after_the_last_event_gets_an_empty_stream() -> None:
    async def check() -> None:
        empty = RawRunner("a", [lambda after: Script(b"", "connection")])
        caller, lines = await ask(STREAM_ROUTE, empty, resume_after="3")
        assert (caller.status, caller.data, caller.ended) == (200, b"", True)
        assert count_failures(lines) == 0

    run(check())


async def probe_engine(response: bytes) -> int:
    """Return the boot that an engine's response to a probe tells."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        writer.close()

    session = make_session()
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    try:
        runner = Runner("a", "llm", address, "dc", 6, boot=7)
        return await HttpRunnerClient(session).probe(runner, "")
    finally:
        await session.close()
        server.close()


@pytest.mark.parametrize(
    "body", [b"", b'{"Stage":"decode"', b'{"Stage":"decode","born":12']
)
def test_a_report_that_broke_off_does_not_show_that_an_engine_is_alive(
    body: bytes,
) -> None:
    with pytest.raises(AttemptFailed):
        run(probe_engine(b"HTTP/1.1 200 OK\r\n\r\n" + body))


@pytest.mark.parametrize("status", [b"200 OK", b"503 Busy"])
def test_a_whole_report_shows_that_an_engine_is_alive(status: bytes) -> None:
    async def check() -> None:
        body = b'{"Stage":"decode","born":12}'
        assert await probe_engine(b"HTTP/1.1 " + status + b"\r\n\r\n" + body) == 12

    run(check())


def test_a_refusal_without_a_report_shows_that_an_engine_is_alive() -> None:
    async def check() -> None:
        assert await probe_engine(b"HTTP/1.1 503 Busy\r\n\r\nbusy") == 0

    run(check())


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_a_reset_after_the_stated_end_does_not_break_a_whole_stream(
    framing: str,
) -> None:
    async def check() -> None:
        whole = make_stream(b"\n")
        script = Script(whole, framing, "reached-then-reset", head_lead_seconds=0.02)
        runner = RawRunner("a", [lambda after: script])
        caller, lines = await ask(STREAM_ROUTE, runner, caller_type=SlowCaller)
        assert (caller.data, caller.ended) == (whole, True)
        assert count_failures(lines) == 0

    run(check())


def test_an_empty_stream_of_a_plain_service_is_whole() -> None:
    async def check() -> None:
        empty = RawRunner("a", [lambda after: Script(b"", "connection")])
        caller, lines = await ask(STREAM_ROUTE._replace(is_generation=False), empty)
        assert (caller.status, caller.data, caller.ended) == (200, b"", True)
        assert count_failures(lines) == 0

    run(check())


def test_the_crash_detector_examines_a_runner_that_closed_inside_an_event() -> None:
    async def check() -> None:
        cut = places(b"\n")["in-first-data"]
        whole = make_stream(b"\n")
        broken = RawRunner("a", [lambda after: Script(whole[:cut], "connection")])
        await ask(STREAM_ROUTE, broken, RawRunner("b", [resume(b"\n")]))
        assert broken.probes == 1

    run(check())


@pytest.mark.parametrize(
    "content_type", [b"Text/Event-Stream", b"text/event-stream; a"]
)
def test_a_stream_is_told_by_its_content_type_in_any_spelling(
    content_type: bytes,
) -> None:
    async def check() -> None:
        cut = places(b"\n")["in-later-data"]
        whole = make_stream(b"\n")
        script = Script(whole[:cut], "connection", content_type=content_type)
        broken = RawRunner("a", [lambda after: script])
        caller, _ = await ask(STREAM_ROUTE, broken, RawRunner("b", [resume(b"\n")]))
        assert caller.data == whole

    run(check())


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("end", ENDS)
def test_a_plain_body_is_whole_unless_its_framing_shows_a_break(
    framing: str, end: str
) -> None:
    if framing == "connection" and "early" in end:
        return

    async def check(body: bytes) -> None:
        script = Script(body, framing, end, content_type=b"text/plain")
        runners = [RawRunner(name, [lambda after: script]) for name in ("a", "b")]
        caller, _ = await ask(make_route(RetryPolicy.ONCE), *runners)
        if "early" in end or (framing == "connection" and "reset" in end):
            assert caller.status == 502
        else:
            assert (caller.status, caller.data) == (200, body)

    async def check_all() -> None:
        for body in (b"", b"some text\nwithout an empty line"):
            await check(body)

    run(check_all())
