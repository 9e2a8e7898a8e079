"""Send requests that may run once into faults of real sockets, and count the runs."""

import asyncio
import contextlib
import os
import re
import socket
import struct
import types
from collections.abc import AsyncIterator, Callable, Iterator
from dataclasses import dataclass, field, replace

import aiohttp
import pytest
from aiohttp import client_exceptions
from southernveil.headers import NOT_RUN_HEADER, ROUTES_HEADER
from southernveil.runnerclient import (
    CONNECT_TIMEOUT_SECONDS,
    NOT_SENT_ERRORS,
    HttpRunnerClient,
    make_session,
)
from southernveil.servers import CallerServer, start_server

from hawthornshelf.gateway.exchange import (
    NOT_RUN_STATUSES,
    Attempt,
    AttemptFailed,
    Header,
    InboundRequest,
    Prompt,
    PromptSegment,
)
from hawthornshelf.gateway.forwarder import Forwarder
from hawthornshelf.gateway.peerrelay import Peer
from hawthornshelf.gateway.routes import RetryPolicy, Route, RouteTable, ServiceSpec
from hawthornshelf.gateway.runners import Runner, RunnerList
from tests.gateway.fakes import Caller
from tests.southernveil import test_framing
from tests.southernveil.fakes import free_ports
from tests.southernveil.test_framing import (
    CLOCK,
    ONCE_ROUTE,
    PROBES,
    STREAM_ROUTE,
    RawRunner,
    Script,
    make_event,
    make_inbound,
    make_route,
    make_stream,
    resume,
    run,
    start_forwarder,
)
from tests.southernveil.test_relay import (
    LostRunner,
    RecordingRunner,
    plain,
    serve_callers,
)

PLAIN_ONCE_ROUTE = make_route(RetryPolicy.ONCE, max_attempts=3)
SAFE_ROUTE = make_route(RetryPolicy.SAFE)
ONCE_ROUTES = [PLAIN_ONCE_ROUTE, ONCE_ROUTE]
ENDS = ("closed", "reset")
PROMPT = Prompt(200, 50, (PromptSegment("x", 100), PromptSegment("own", 100)))
REFUSAL = plain(b"no", status=b"503 Full\r\nX-Not-Executed: 1")
RESET = struct.pack("ii", 1, 0)


def whole(after: bytes) -> Script:
    return plain(b"whole")


def make_runner(name: str = "a", *scripts: Script) -> RecordingRunner:
    """Return a runner that responds as scripted, and then with whole bodies."""
    return RecordingRunner(name, [*(lambda _, s=s: s for s in scripts), *[whole] * 9])


def make_request(request_id: str = "r1", **changes: object) -> InboundRequest:
    headers = (Header("Host", "h"), Header("X-Request-Id", request_id))
    inbound = replace(make_inbound(), request_id=request_id, headers=headers)
    return replace(inbound, **changes)


async def serve(forwarder: Forwarder, **changes: object) -> Caller:
    caller = Caller()
    await forwarder.serve(make_request(**changes), caller)
    return caller


@dataclass
class EndingRunner(RecordingRunner):
    """Read a request whole, then end the connection without a response."""

    end: str = "closed"

    async def _respond(
        self, writer: asyncio.StreamWriter, script: Script, head: bytes
    ) -> None:
        if self.end == "reset":
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET
            )
        raise ConnectionAbortedError


def make_ending(name: str, end: str) -> EndingRunner:
    return EndingRunner(name, [whole] * 9, end=end)


@dataclass
class StoppedRunner(RecordingRunner):
    """Leave what arrives unread until it is woken."""

    arrived: asyncio.Event = field(default_factory=asyncio.Event)
    woken: asyncio.Event = field(default_factory=asyncio.Event)
    looked: asyncio.Event = field(default_factory=asyncio.Event)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        if not head.startswith(PROBES):
            self.arrived.set()
        await self.woken.wait()
        if not head.startswith(PROBES):
            self._note(head)
            self.looked.set()
        writer.close()


@contextlib.asynccontextmanager
async def listen(runner: RawRunner) -> AsyncIterator[Peer]:
    """Let a raw stand-in listen in place of a node."""
    server = await asyncio.start_server(runner.serve, "127.0.0.1", 0)
    try:
        port = server.sockets[0].getsockname()[1]
        yield Peer(runner.name, f"127.0.0.1:{port}")
    finally:
        server.close()


async def cut_off(forwarder: Forwarder, *peers: Peer) -> None:
    """Let a node find that it reaches no runner, and have it ask peers in order."""
    forwarder._relay._choose_peer = lambda tried: next(
        (peer for peer in peers if peer.node not in tried), None
    )
    for listed in forwarder._runners.staying():
        await forwarder._prober.probe_reachability(listed)
    assert not forwarder.reaches_runners


@contextlib.asynccontextmanager
async def start_cut_node(route: Route, *peers: Peer) -> AsyncIterator[Forwarder]:
    lost = [LostRunner(f"lost{number}", []) for number in range(3)]
    async with start_forwarder(route, *lost, peer=peers[0]) as forwarder:
        await cut_off(forwarder, *peers)
        yield forwarder


# Between a node and its runners


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("route", ONCE_ROUTES)
def test_a_request_that_was_sent_and_got_no_answer_runs_at_no_second_runner(
    route: Route, end: str
) -> None:
    async def check() -> None:
        runners = [make_ending(name, end) for name in "abc"]
        async with start_forwarder(route, *runners) as forwarder:
            caller = await serve(forwarder)
        assert caller.status == 502
        assert sum(len(runner.heads) for runner in runners) == 1

    run(check())


@dataclass
class CrossingRunner(RecordingRunner):
    """End its connections, unread, while a node takes one of them for a request."""

    end: str = "closed"
    hung_up: int = 0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.append(writer)
        await super().serve(reader, writer)

    def hang_up(self) -> None:
        while self.writers:
            self.hung_up += 1
            transport = self.writers.pop().transport
            transport.pause_reading()
            number = os.dup(transport.get_extra_info("socket").fileno())
            with socket.socket(fileno=number) as sock:
                if self.end == "reset":
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                else:
                    sock.shutdown(socket.SHUT_RDWR)
            transport.abort()


def trace_reuse(session: aiohttp.ClientSession, on_reuse: Callable[[], None]) -> None:
    """Call a function as a kept connection is taken, before anything is written."""

    async def trace(*args: object) -> None:
        on_reuse()

    config = aiohttp.TraceConfig()
    config.on_connection_reuseconn.append(trace)
    config.freeze()
    session.trace_configs.append(config)


@pytest.mark.parametrize("method", ["POST", "GET"])
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("route", [PLAIN_ONCE_ROUTE, SAFE_ROUTE])
def test_the_http_library_sends_nothing_again_as_a_kept_connection_ends(
    route: Route, end: str, method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def check() -> None:
        crossing = CrossingRunner("a", [whole] * 9, end=end)
        other = make_runner("b")
        session = make_session()
        trace_reuse(session, crossing.hang_up)
        monkeypatch.setattr(test_framing, "make_session", lambda: session)
        async with start_forwarder(route, crossing, other) as forwarder:
            first = await serve(forwarder)
            assert (first.status, len(crossing.heads)) == (200, 1)
            caller = await serve(forwarder, request_id="r2", method=method)
        is_safe = route is SAFE_ROUTE
        assert caller.status == (200 if is_safe else 502)
        assert (len(crossing.heads), len(other.heads)) == (1, is_safe)
        assert crossing.hung_up == 1

    run(check())


@pytest.mark.parametrize("route", ONCE_ROUTES)
def test_no_promise_is_given_for_a_request_that_a_stopped_runner_reads_later(
    route: Route,
) -> None:
    async def check() -> None:
        stopped, other = StoppedRunner("a", []), make_runner("b")
        async with start_forwarder(route, stopped, other) as forwarder:
            asked = asyncio.create_task(serve(forwarder))
            await stopped.arrived.wait()
            forwarder.end_requests()
            caller = await asked
            stopped.woken.set()
            await stopped.looked.wait()
        assert (len(stopped.heads), len(other.heads)) == (1, 0)
        assert caller.status == 504

    run(check())


@pytest.mark.parametrize("route", ONCE_ROUTES)
def test_a_node_that_thinks_itself_cut_off_relays_nothing_that_lies_at_a_runner(
    route: Route,
) -> None:
    async def check() -> None:
        stopped, at_peer = StoppedRunner("a", []), make_runner("peer")
        lost = [LostRunner(f"lost{number}", []) for number in range(3)]
        async with (
            listen(at_peer) as peer,
            start_forwarder(route, stopped, *lost, peer=peer) as forwarder,
        ):
            asked = asyncio.create_task(serve(forwarder))
            await stopped.arrived.wait()
            await cut_off(forwarder, peer)
            forwarder.end_requests()
            caller = await asked
        assert (caller.status, forwarder.relayed_requests) == (504, 0)
        assert at_peer.heads == []

    run(check())


REFUSALS = (
    "400 No\r\nX-Not-Executed: 1",
    "408 Late\r\nX-Not-Executed: 1",
    "421 Misdirected",
    "429 Often\r\nX-Not-Executed: 1",
    "503 Full\r\nX-Not-Executed: 1",
)


@pytest.mark.parametrize("refusal", REFUSALS)
@pytest.mark.parametrize("route", ONCE_ROUTES)
def test_a_request_that_a_runner_says_it_has_not_run_runs_once_elsewhere(
    route: Route, refusal: str
) -> None:
    async def check() -> None:
        refusing = make_runner("a", plain(b"no", status=refusal.encode()))
        other = make_runner("b")
        async with start_forwarder(route, refusing, other) as forwarder:
            caller = await serve(forwarder)
        assert (caller.status, caller.data) == (200, b"whole")
        assert (len(refusing.heads), len(other.heads)) == (1, 1)

    run(check())


NOT_SENT = {
    aiohttp.ClientConnectorCertificateError,
    aiohttp.ClientConnectorDNSError,
    aiohttp.ClientConnectorError,
    aiohttp.ClientConnectorSSLError,
    aiohttp.ClientProxyConnectionError,
    aiohttp.ClientSSLError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
    aiohttp.InvalidUrlClientError,
    aiohttp.InvalidUrlRedirectClientError,
    client_exceptions.UnixClientConnectorError,
}


def test_no_other_error_of_the_http_library_counts_as_not_sent() -> None:
    errors = [e for e in vars(client_exceptions).values() if isinstance(e, type)]
    assert {e for e in errors if issubclass(e, NOT_SENT_ERRORS)} == NOT_SENT


SENT = (
    aiohttp.ServerDisconnectedError(),
    aiohttp.ClientOSError(104, "reset"),
    client_exceptions.ClientConnectionResetError("closing"),
    aiohttp.ClientConnectionError("connector is closed"),
    aiohttp.ClientResponseError(None, (), status=400),
    aiohttp.ClientPayloadError("cut"),
    aiohttp.SocketTimeoutError(),
    aiohttp.NonHttpUrlClientError("ftp://h"),
    ConnectionResetError(),
    TimeoutError(),
    ValueError("a header with a line break"),
)


@pytest.mark.parametrize("error", SENT, ids=lambda error: type(error).__name__)
def test_an_error_after_which_bytes_may_have_left_counts_as_sent(
    error: Exception,
) -> None:
    """The library raises most of these on real sockets in the tests above."""

    class FailingSession:
        async def request(self, *args: object, **kwargs: object) -> None:
            raise error

    async def check() -> None:
        runner = Runner("a", "app", "127.0.0.1:1", "dc", 6)
        client = HttpRunnerClient(FailingSession())
        with pytest.raises(AttemptFailed) as failure:
            await client.send(Attempt(make_request(), runner, 1.0, 0))
        assert failure.value.sent

    run(check())


def test_a_late_answer_to_an_earlier_request_is_none_to_the_next_one() -> None:
    async def check() -> None:
        runners = [LateRunner(name, []) for name in "ab"]
        async with start_forwarder(PLAIN_ONCE_ROUTE, *runners) as forwarder:
            first = await serve(forwarder, request_id="r1")
            caller = await serve(forwarder, request_id="r2")
        assert (first.status, first.data) == (200, b"to r1")
        assert caller.status == 502
        assert [len(runner.heads) for runner in runners] == [2, 0]

    run(check())


class LateRunner(RecordingRunner):
    """Write the first answer once more when the second request comes."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        answer = b""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(PROBES):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                self._note(head)
                found = re.search(rb"\r\nX-Request-Id: (\S+)", head, re.IGNORECASE)
                assert found is not None
                script = plain(b"to " + found[1])
                answer = answer or script.head(found[1], b"a") + script.body
                writer.write(answer)
        writer.close()


@contextlib.contextmanager
def fill_backlog(listener: socket.socket) -> Iterator[None]:
    """Leave no room for another connection that is not accepted."""
    fillers = [socket.socket() for _ in range(8)]
    try:
        for filler in fillers:
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(listener.getsockname())
        yield
    finally:
        for filler in fillers:
            filler.close()


def read_all_accepted(listener: socket.socket) -> bytes:
    """Accept all connections that a listener has, and return what they brought."""
    listener.setblocking(False)
    data = b""
    with contextlib.suppress(BlockingIOError):
        while True:
            connection, _ = listener.accept()
            with connection, contextlib.suppress(ConnectionResetError):
                connection.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    data += connection.recv(65536)
    return data


@pytest.mark.parametrize("route", ONCE_ROUTES)
def test_a_runner_that_accepts_too_late_gets_no_byte_of_a_request_sent_elsewhere(
    route: Route,
) -> None:
    async def check() -> None:
        other = make_runner("b")
        async with start_forwarder(
            route, other, connect_seconds=CONNECT_TIMEOUT_SECONDS
        ) as forwarder:
            with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
                address = f"127.0.0.1:{listener.getsockname()[1]}"
                kept = [state.runner for state in forwarder._runners.in_service("app")]
                full = Runner("full", "app", address, "dc", 6)
                listed = RunnerList((full, *kept), CLOCK.monotonic())
                forwarder._runners.load(listed)
                state = forwarder._runners.find("b")
                assert state is not None
                state.in_flight = 1
                with fill_backlog(listener):
                    caller = await serve(forwarder)
                assert read_all_accepted(listener) == b""
        assert (caller.status, len(other.heads)) == (200, 1)
        assert b"X-Expect-Instance: b" in other.heads[0]

    run(check())


# Between two nodes


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("route", ONCE_ROUTES)
def test_a_request_that_a_node_took_and_left_without_an_answer_goes_to_no_other(
    route: Route, end: str
) -> None:
    async def check() -> None:
        runners = [make_ending(name, end) for name in ("n0", "n1")]
        async with (
            listen(runners[0]) as first,
            listen(runners[1]) as second,
            start_cut_node(route, first, second) as forwarder,
        ):
            caller = await serve(forwarder)
        assert caller.status == 502
        assert [len(runner.heads) for runner in runners] == [1, 0]

    run(check())


def test_a_request_goes_to_another_node_if_the_first_refuses_the_connection() -> None:
    async def check() -> None:
        runner = make_runner("n1")
        async with listen(make_runner("n0")) as gone:
            pass
        async with (
            listen(runner) as second,
            start_cut_node(PLAIN_ONCE_ROUTE, gone, second) as forwarder,
        ):
            caller = await serve(forwarder)
        assert (caller.status, len(runner.heads)) == (200, 1)

    run(check())


@pytest.mark.parametrize("route", ONCE_ROUTES)
def test_no_promise_is_given_for_a_request_that_a_stopped_node_reads_later(
    route: Route,
) -> None:
    async def check() -> None:
        stopped, other = StoppedRunner("n0", []), make_runner("n1")
        async with (
            listen(stopped) as first,
            listen(other) as second,
            start_cut_node(route, first, second) as forwarder,
        ):
            asked = asyncio.create_task(serve(forwarder))
            await stopped.arrived.wait()
            forwarder.end_requests()
            caller = await asked
            stopped.woken.set()
            await stopped.looked.wait()
        assert (len(stopped.heads), other.heads) == (1, [])
        assert caller.status == 504

    run(check())


def test_a_node_that_stops_hands_back_what_it_has_not_sent() -> None:
    async def check() -> None:
        runner = make_runner()
        async with (
            start_forwarder(PLAIN_ONCE_ROUTE, runner) as stopping,
            start_forwarder(PLAIN_ONCE_ROUTE, runner) as staying,
            serve_callers(stopping) as first,
            serve_callers(staying) as second,
            start_cut_node(
                PLAIN_ONCE_ROUTE, first._replace(node="n0"), second
            ) as forwarder,
        ):
            stopping.close()
            caller = await serve(forwarder)
            assert forwarder.relayed_requests == 2
        assert (caller.status, len(runner.heads)) == (200, 1)

    run(check())


@pytest.mark.parametrize("route", ONCE_ROUTES)
def test_a_node_that_stops_makes_no_promise_for_what_lies_at_its_runner(
    route: Route,
) -> None:
    async def check() -> None:
        stopped, other = StoppedRunner("a", []), make_runner("n1")
        async with (
            start_forwarder(route, stopped) as stopping,
            serve_callers(stopping) as first,
            listen(other) as second,
            start_cut_node(route, first, second) as forwarder,
        ):
            asked = asyncio.create_task(serve(forwarder))
            await stopped.arrived.wait()
            stopping.end_requests()
            caller = await asked
        assert (caller.status, other.heads) == (504, [])

    run(check())


def test_a_node_asked_again_with_its_newer_document_runs_a_request_once() -> None:
    async def check() -> None:
        runner = make_runner()
        async with (
            start_forwarder(PLAIN_ONCE_ROUTE, runner) as other,
            serve_callers(other) as peer,
            start_cut_node(PLAIN_ONCE_ROUTE, peer) as forwarder,
        ):
            other.load(RouteTable(7, (PLAIN_ONCE_ROUTE,)))
            caller = await serve(forwarder)
        assert (caller.status, len(runner.heads)) == (200, 1)

    run(check())


@pytest.mark.parametrize("asked", [PLAIN_ONCE_ROUTE, ONCE_ROUTE, SAFE_ROUTE])
def test_a_node_with_a_newer_document_makes_one_attempt_whatever_that_allows(
    asked: Route,
) -> None:
    async def check() -> None:
        single = asked._replace(max_attempts=1)
        runners = [make_ending(name, "closed") for name in "abc"]
        async with (
            start_forwarder(single, *runners) as other,
            serve_callers(other) as peer,
            start_cut_node(single, peer) as forwarder,
        ):
            newer = SAFE_ROUTE._replace(max_attempts=3)
            other.load(RouteTable(7, (newer,), (ServiceSpec("app", "/healthz"),)))
            caller = await serve(forwarder)
        assert caller.status == 502
        assert sum(len(runner.heads) for runner in runners) == 1

    run(check())


def test_a_refusal_for_the_document_without_the_nodes_word_is_not_asked_again() -> None:
    async def check() -> None:
        status = f"503 Busy\r\n{ROUTES_HEADER}: 7".encode()
        runner = make_runner("n0", plain(b"no", status=status))
        async with (
            listen(runner) as peer,
            start_cut_node(PLAIN_ONCE_ROUTE, peer) as forwarder,
        ):
            caller = await serve(forwarder)
        assert (caller.status, len(runner.heads)) == (502, 1)

    run(check())


def test_a_nodes_word_beside_any_status_lets_a_request_go_to_another_node() -> None:
    async def check() -> None:
        status = f"429 Often\r\n{NOT_RUN_HEADER}: 1".encode()
        first = make_runner("n0", plain(b"no", status=status))
        second = make_runner("n1")
        async with (
            listen(first) as one,
            listen(second) as two,
            start_cut_node(PLAIN_ONCE_ROUTE, one, two) as forwarder,
        ):
            caller = await serve(forwarder)
        assert (caller.status, len(first.heads), len(second.heads)) == (200, 1, 1)

    run(check())


@pytest.mark.parametrize("route", ONCE_ROUTES)
def test_a_node_that_closes_answers_what_it_has_read_on_a_kept_connection(
    route: Route,
) -> None:
    """The close finds the request read, and its handler not yet awake."""

    async def check() -> None:
        runner = make_runner()
        async with start_forwarder(route, runner) as forwarder:
            node = types.SimpleNamespace(forwarder=forwarder, is_leaving=False)
            address = f"127.0.0.1:{free_ports(1)[0]}"
            server = await start_server(CallerServer(node, CLOCK).handle, address)
            host, _, port = address.partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            head = b"POST /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r%d\r\n\r\n"
            writer.write(head % 1)
            await reader.readuntil(b"whole")
            (connection,) = server._protocol.connections
            while connection._waiter is None:
                await asyncio.sleep(0)
            server.close()
            connection.data_received(head % 2)
            answer = await reader.read()
            writer.close()
        assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"whole")
        assert len(runner.heads) == 2

    run(check())


UNREADABLE = {
    "no HTTP": b"\x16\x03\x01 hello\r\n\r\n",
    "header too long": b"POST /r/x HTTP/1.1\r\nA: " + b"x" * 70_000 + b"\r\n\r\n",
    "bad length": b"POST /r/x HTTP/1.1\r\nContent-Length: x\r\n\r\n",
    "two lengths": b"POST /r/x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2"
    b"\r\n\r\n",
    "bad chunk": b"POST /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\nno length\r\n",
    "body too long": b"POST /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n"
    b"Content-Length: 9000000\r\n\r\n" + b"x" * 9_000_000,
}


@pytest.mark.parametrize("sent", UNREADABLE.values(), ids=UNREADABLE.keys())
def test_the_http_library_gives_no_promise_for_what_it_can_not_read(
    sent: bytes,
) -> None:
    async def check() -> None:
        runner = make_runner()
        async with (
            start_forwarder(PLAIN_ONCE_ROUTE, runner) as forwarder,
            serve_callers(forwarder) as node,
        ):
            host, _, port = node.address.partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(sent)
            with contextlib.suppress(ConnectionError):
                found = re.match(rb"HTTP/1.\d (\d+)", await reader.readline())
                assert found is not None
                assert int(found[1]) not in NOT_RUN_STATUSES
            writer.close()
        assert runner.heads == []

    run(check())


# From the copy of a KV cache


BEFORE_BREAK = make_stream(b"\n")[: 2 * len(make_event(1, b"\n")) + 5]
TWO_EVENTS = make_event(1, b"\n") + make_event(2, b"\n")


def break_off(after: bytes) -> Script:
    return Script(BEFORE_BREAK, "chunks", "closed-early")


@dataclass
class SeeingCaller(Caller):
    """Tell when the second event has come."""

    seen: asyncio.Event = field(default_factory=asyncio.Event)

    async def write(self, data: bytes) -> None:
        await super().write(data)
        if data == make_event(2, b"\n"):
            self.seen.set()


@dataclass
class BreakingRunner(RecordingRunner):
    """Break a stream off once its caller has the events before the break."""

    seen: asyncio.Event = field(default_factory=asyncio.Event)

    async def _respond(
        self, writer: asyncio.StreamWriter, script: Script, head: bytes
    ) -> None:
        await super()._respond(writer, script, head)
        if not script.is_reached:
            await self.seen.wait()


async def ask_engines(
    caller: Caller, *engines: RawRunner, route: Route = ONCE_ROUTE
) -> None:
    """Ask a node with two engines for a stream; the first one runs it first."""
    async with start_forwarder(route, *engines) as forwarder:
        await forwarder.serve(make_request(prompt=PROMPT), caller)


def make_pair(
    continuation: Callable[[bytes], Script],
) -> tuple[SeeingCaller, list[BreakingRunner]]:
    """Return a caller and two engines, of which the first breaks its run off."""
    caller = SeeingCaller()
    first = BreakingRunner("a", [break_off], seen=caller.seen)
    return caller, [first, BreakingRunner("b", [continuation], seen=caller.seen)]


def count_heads(runners: list[BreakingRunner]) -> list[int]:
    return [len(runner.heads) for runner in runners]


def test_a_continuation_names_the_copy_and_the_last_event_that_the_caller_has() -> None:
    async def check() -> None:
        caller, runners = make_pair(resume(b"\n"))
        await ask_engines(caller, *runners)
        assert (caller.data, caller.ended) == (make_stream(b"\n"), True)
        assert count_heads(runners) == [1, 1]
        first, second = runners[0].heads[0], runners[1].heads[0]
        assert b"X-Kv-Backup" in first and b"X-Kv-Source" not in first
        source = re.search(rb"X-Kv-Source: (\S+)/r1\r\n", second)
        assert source is not None and b"X-Kv-Backup: " + source[1] in first
        assert b"Last-Event-Id: 2\r\n" in second

    run(check())


def test_a_broken_run_whose_copy_is_gone_is_cut_and_runs_nowhere_again() -> None:
    async def check() -> None:
        caller, runners = make_pair(lambda after: REFUSAL)
        await ask_engines(caller, *runners)
        assert caller.aborted and caller.data == TWO_EVENTS
        assert count_heads(runners) == [1, 1]

    run(check())


def test_a_continuation_that_breaks_is_not_continued_again() -> None:
    async def check() -> None:
        cut = Script(make_event(3, b"\n")[:9], "chunks")
        caller, runners = make_pair(lambda after: cut)
        await ask_engines(caller, *runners)
        assert caller.aborted and caller.data == TWO_EVENTS
        assert count_heads(runners) == [1, 1]

    run(check())


@dataclass
class OngoingRunner(BreakingRunner):
    """Garble the framing, and go on writing until the connection is closed."""

    closed: asyncio.Event = field(default_factory=asyncio.Event)

    async def _respond(
        self, writer: asyncio.StreamWriter, script: Script, head: bytes
    ) -> None:
        await super()._respond(writer, script, head)
        writer.write(b"no length\r\n")
        event = make_event(3, b"\n")
        try:
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
        except OSError:
            self.closed.set()
            raise


def test_a_body_that_goes_on_as_garbage_is_not_waited_for_until_the_time_is_over() -> (
    None
):
    async def check() -> None:
        script = plain(b"half", framing="chunks", end="early")
        runner = OngoingRunner("a", [lambda after: script])
        runner.seen.set()
        async with start_forwarder(PLAIN_ONCE_ROUTE, runner) as forwarder:
            caller = await serve(forwarder)
        assert caller.status == 502

    run(check())


@dataclass
class WaitingRunner(RecordingRunner):
    """Respond once an event has come."""

    awaited: asyncio.Event = field(default_factory=asyncio.Event)

    async def _respond(
        self, writer: asyncio.StreamWriter, script: Script, head: bytes
    ) -> None:
        await self.awaited.wait()
        await super()._respond(writer, script, head)


def test_a_run_that_still_writes_is_closed_and_reaches_no_caller_beside_its_copy() -> (
    None
):
    async def check() -> None:
        script, caller = Script(TWO_EVENTS, "chunks", "early"), SeeingCaller()
        old = OngoingRunner("a", [lambda after: script], seen=caller.seen)
        new = WaitingRunner("b", [resume(b"\n")], awaited=old.closed)
        await ask_engines(caller, old, new)
        assert (caller.data, caller.ended) == (make_stream(b"\n"), True)
        assert (len(old.heads), len(new.heads)) == (1, 1)

    run(check())


def test_a_run_whose_copy_is_at_a_stopped_engine_is_cut_and_never_complete() -> None:
    async def check() -> None:
        caller, (first, _) = make_pair(break_off)
        stopped = StoppedRunner("b", [])
        async with start_forwarder(ONCE_ROUTE, first, stopped) as forwarder:
            inbound = make_request(prompt=PROMPT)
            asked = asyncio.create_task(forwarder.serve(inbound, caller))
            await stopped.arrived.wait()
            forwarder.end_requests()
            await asked
            stopped.woken.set()
            await stopped.looked.wait()
        assert caller.aborted and caller.data == TWO_EVENTS
        assert (len(first.heads), len(stopped.heads)) == (1, 1)

    run(check())


class LeavingCaller(SeeingCaller):
    """Leave once the second event is written, before that is noted."""

    async def write(self, data: bytes) -> None:
        await super().write(data)
        if self.seen.is_set():
            raise ConnectionResetError


def test_a_run_that_breaks_as_its_caller_leaves_is_not_continued() -> None:
    async def check() -> None:
        caller = LeavingCaller()
        runners = [
            BreakingRunner(name, [break_off, resume(b"\n")], seen=caller.seen)
            for name in "ab"
        ]
        with pytest.raises(ConnectionResetError):
            await ask_engines(caller, *runners)
        assert count_heads(runners) == [1, 0]

    run(check())


def test_a_copy_that_lags_brings_no_event_again_that_the_caller_has() -> None:
    async def check() -> None:
        caller, runners = make_pair(lambda after: Script(make_stream(b"\n", 2)))
        await ask_engines(caller, *runners)
        assert caller.aborted and caller.data == TWO_EVENTS
        assert count_heads(runners) == [1, 1]

    run(check())


def test_a_resumed_stream_that_begins_anew_is_not_joined_to_what_the_caller_has() -> (
    None
):
    async def check() -> None:
        caller, runners = make_pair(lambda after: Script(make_stream(b"\n")))
        await ask_engines(caller, *runners, route=STREAM_ROUTE)
        assert caller.aborted and caller.data == TWO_EVENTS
        assert count_heads(runners) == [1, 1]

    run(check())
