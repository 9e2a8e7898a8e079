"""Relay requests between two nodes over HTTP, where one reaches no runner."""

import asyncio
import contextlib
import re
import types
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace

import aiohttp
import eliot
import pytest
from southernveil.headers import ORIGIN_HEADER, RELAY_HEADER, ROUTES_HEADER
from southernveil.runnerclient import HttpRelayClient, make_session
from southernveil.servers import CallerServer, start_server

from hawthornshelf.gateway.exchange import Header, RunnerResponse
from hawthornshelf.gateway.forwarder import Forwarder
from hawthornshelf.gateway.peerrelay import Peer, RelayedRequest
from hawthornshelf.gateway.routes import RetryPolicy, Route, RouteTable
from hawthornshelf.origins import Origin
from tests.gateway.fakes import CLOCK, Caller
from tests.ports import free_ports
from tests.southernveil.test_framing import (
    ONCE_ROUTE,
    SECONDS,
    STREAM_ROUTE,
    RawRunner,
    Script,
    make_inbound,
    make_route,
    make_stream,
    run,
    start_forwarder,
)

SAFE_ROUTE = make_route(RetryPolicy.SAFE)
PLAIN_ONCE_ROUTE = make_route(RetryPolicy.ONCE)


@dataclass
class RecordingRunner(RawRunner):
    """Keep the heads of the requests that arrive."""

    heads: list[bytes] = field(default_factory=list)

    def _note(self, head: bytes) -> bytes:
        self.heads.append(head)
        return super()._note(head)


class LostRunner(RawRunner):
    """Reset each connection, as a cut link may."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.probes += 1
        writer.transport.abort()


@contextlib.asynccontextmanager
async def start_peer(route: Route, runner: RawRunner) -> AsyncIterator[Peer]:
    """Run a node that reaches a runner, and serve callers there."""
    async with (
        start_forwarder(route, runner) as forwarder,
        serve_callers(forwarder) as peer,
    ):
        yield peer


@contextlib.asynccontextmanager
async def serve_callers(forwarder: Forwarder) -> AsyncIterator[Peer]:
    node = types.SimpleNamespace(forwarder=forwarder, is_leaving=False)
    address = f"127.0.0.1:{free_ports(1)[0]}"
    server = await start_server(CallerServer(node, CLOCK).handle, address)
    try:
        yield Peer("peer", address)
    finally:
        server.close()


async def ask(
    route: Route, runner: RawRunner, *headers: Header, body: bytes = b""
) -> tuple[Caller, int]:
    """Ask a node that reaches no runner; return the caller and the relayed count."""
    lost = [LostRunner(f"lost{number}", []) for number in range(3)]
    async with (
        start_peer(route, runner) as peer,
        start_forwarder(route, *lost, peer=peer) as forwarder,
    ):
        for listed in forwarder._runners.staying():
            await forwarder._prober.probe_reachability(listed)
        assert not forwarder.reaches_runners
        caller = Caller()
        inbound = make_inbound()
        head = (Header("Host", "h"), *inbound.headers, *headers)
        await forwarder.serve(replace(inbound, headers=head, body=body), caller)
        return caller, forwarder.relayed_requests


def plain(body: bytes, **changes: object) -> Script:
    return replace(Script(body, content_type=b"text/plain"), **changes)


@pytest.mark.parametrize("route", [SAFE_ROUTE, PLAIN_ONCE_ROUTE])
def test_a_plain_answer_comes_whole_over_the_hop_with_its_receipt(route: Route) -> None:
    async def check() -> None:
        runner = RecordingRunner("a", [lambda after: plain(b"whole")])
        caller, relayed = await ask(route, runner, body=b"question")
        assert (caller.status, caller.data, relayed) == (200, b"whole", 1)
        assert Header("X-Answer-Stamp", "a") in caller.headers
        assert len(runner.heads) == 1

    run(check())


@pytest.mark.parametrize("route", [STREAM_ROUTE, ONCE_ROUTE])
def test_a_stream_comes_whole_over_the_hop(route: Route) -> None:
    async def check() -> None:
        body = make_stream(b"\n")
        runner = RecordingRunner("a", [lambda after: Script(body)])
        caller, _ = await ask(route, runner)
        assert (caller.status, caller.data, caller.ended) == (200, body, True)

    run(check())


def test_a_stream_that_breaks_behind_the_hop_is_cut_and_not_complete() -> None:
    async def check() -> None:
        body = make_stream(b"\n")[:-5]
        runner = RecordingRunner("a", [lambda after: Script(body, end="reset")])
        caller, _ = await ask(ONCE_ROUTE, runner)
        assert caller.aborted and not caller.ended

    run(check())


def test_a_runner_gets_no_header_of_the_hop_and_the_time_that_is_left() -> None:
    async def check() -> None:
        runner = RecordingRunner("a", [lambda after: plain(b"whole")])
        await ask(SAFE_ROUTE, runner)
        assert RELAY_HEADER.lower().encode() not in runner.heads[0].lower()
        left = re.search(rb"X-Deadline-Ms: (\d+)", runner.heads[0])
        assert left is not None and 0 < int(left[1]) <= SECONDS * 1000

    run(check())


def test_an_error_of_the_runner_behind_the_hop_comes_unchanged() -> None:
    async def check() -> None:
        script = plain(b"sorry", status=b"500 Sorry")
        runner = RecordingRunner("a", [lambda after: script])
        caller, _ = await ask(PLAIN_ONCE_ROUTE, runner)
        assert (caller.status, caller.data) == (500, b"sorry")

    run(check())


def test_a_relayed_request_is_not_relayed_again() -> None:
    async def check() -> None:
        runner = RecordingRunner("a", [])
        lost = [LostRunner(f"lost{number}", []) for number in range(3)]
        async with (
            start_peer(SAFE_ROUTE, runner) as peer,
            start_forwarder(SAFE_ROUTE, *lost, peer=peer) as forwarder,
        ):
            for listed in forwarder._runners.staying():
                await forwarder._prober.probe_reachability(listed)
            caller = Caller()
            await forwarder.serve(replace(make_inbound(), relayed_runs=0), caller)
            assert caller.status in (502, 503)
            assert forwarder.relayed_requests == 0 and runner.heads == []

    run(check())


@pytest.mark.parametrize(("number", "runs"), [(2, 0), (1, 1), (0, 0), (None, 1)])
def test_a_node_with_an_older_or_newer_document_runs_no_relayed_request(
    number: int | None, runs: int
) -> None:
    """The node holds document 1 here, and the request names another one, or none."""

    async def check() -> None:
        runner = RecordingRunner("a", [lambda after: plain(b"whole")])
        async with (
            start_peer(SAFE_ROUTE, runner) as peer,
            aiohttp.ClientSession() as session,
        ):
            headers = {
                "X-Request-Id": "r",
                "Host": "h",
                RELAY_HEADER: "0",
            }
            if number is not None:
                headers[ROUTES_HEADER] = str(number)
            url = f"http://{peer.address}{make_inbound().target}"
            async with session.post(url, headers=headers) as response:
                assert response.status == (200 if runs else 503)
                told = response.headers.get(ROUTES_HEADER)
                assert told == (None if runs else "1")
            assert len(runner.heads) == runs

    run(check())


def test_a_node_that_learns_of_a_newer_document_asks_again_with_its_number() -> None:
    async def check() -> None:
        runner = RecordingRunner("a", [lambda after: plain(b"whole")])
        lost = [LostRunner(f"lost{number}", []) for number in range(3)]
        async with (
            start_forwarder(SAFE_ROUTE, runner) as other,
            serve_callers(other) as peer,
            start_forwarder(SAFE_ROUTE, *lost, peer=peer) as forwarder,
        ):
            other.load(RouteTable(7, (SAFE_ROUTE,)))
            for listed in forwarder._runners.staying():
                await forwarder._prober.probe_reachability(listed)
            caller = Caller()
            inbound = make_inbound()
            head = (Header("Host", "h"), *inbound.headers)
            await forwarder.serve(replace(inbound, headers=head), caller)
            assert (caller.status, caller.data) == (200, b"whole")
            later = Caller()
            await forwarder.serve(inbound, later)
            assert later.status == 503 and len(runner.heads) == 1

    run(check())


@pytest.mark.parametrize(("build", "status"), [("v1", 200), ("v2", 503)])
def test_a_stream_relayed_again_goes_on_at_its_build_only(
    build: str, status: int
) -> None:
    async def check() -> None:
        body = make_stream(b"\n", first=2)
        runner = RecordingRunner("a", [lambda after: Script(body)], build="v1")
        async with (
            start_peer(STREAM_ROUTE, runner) as peer,
            make_session() as session,
        ):
            inbound = make_inbound()
            head = (Header("Host", "h"), *inbound.headers)
            inbound = replace(inbound, headers=head)
            relay = HttpRelayClient(session)
            origin = Origin("app", build)
            request = RelayedRequest(inbound, peer, 3.0, 0, 1, "1", origin)
            response = await relay.relay(request)
            assert response.status == status and len(runner.heads) == (status == 200)
            assert response.origin == (origin if status == 200 else None)
            assert not [h for h in response.headers if h.name == ORIGIN_HEADER]
            response.close()

    run(check())


class ForgetfulRelay(HttpRelayClient):
    """Relay to a node of a build that knows no origins."""

    async def relay(self, request: RelayedRequest) -> RunnerResponse:
        response = await super().relay(replace(request, origin=None))
        response.origin = None
        return response


def test_a_stream_that_a_node_continued_without_its_origin_is_not_passed_on() -> None:
    async def check() -> None:
        body = make_stream(b"\n", first=2)
        runner = RecordingRunner("a", [lambda after: Script(body)])
        lost = [LostRunner(f"lost{number}", []) for number in range(3)]
        async with (
            start_peer(STREAM_ROUTE, runner) as peer,
            start_forwarder(STREAM_ROUTE, *lost, peer=peer) as forwarder,
            make_session() as session,
        ):
            forwarder._relay._client = ForgetfulRelay(session)
            for listed in forwarder._runners.staying():
                await forwarder._prober.probe_reachability(listed)
            caller = Caller()
            inbound = make_inbound()
            head = (Header("Host", "h"), *inbound.headers)
            origin = Origin("app", "v1")
            inbound = replace(
                inbound, headers=head, resume_after="1", relayed_origin=origin
            )
            await forwarder.serve(inbound, caller)
            assert len(runner.heads) == 1 and caller.data == b""
            assert caller.status in (502, 504)

    run(check())


@dataclass
class BrokenPeer(RawRunner):
    """Answer each request with bytes that are no HTTP."""

    heads: list[bytes] = field(default_factory=list)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            self.heads.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(b"HTTP/1.1 abc\r\nno header\r\n\r\n")
            await writer.drain()
        writer.close()


def test_an_answer_that_is_no_http_brings_no_credential_into_log_or_answer() -> None:
    """The library's error for such an answer shows the headers of its request."""

    async def check() -> None:
        broken = BrokenPeer("peer", [])
        server = await asyncio.start_server(broken.serve, "127.0.0.1", 0)
        peer = Peer("peer", f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        lost = [LostRunner(f"lost{number}", []) for number in range(3)]
        lines: list[str] = []

        def add(message: object) -> None:
            lines.append(repr(message))

        async with start_forwarder(SAFE_ROUTE, *lost, peer=peer) as forwarder:
            for listed in forwarder._runners.staying():
                await forwarder._prober.probe_reachability(listed)
            inbound = make_inbound()
            credential = Header("Authorization", "Bearer secret")
            head = (Header("Host", "h"), *inbound.headers, credential)
            caller = Caller()
            eliot.add_destinations(add)
            try:
                await forwarder.serve(replace(inbound, headers=head), caller)
            finally:
                eliot.remove_destination(add)
        server.close()
        assert caller.status in (502, 503)
        assert any(b"secret" in head for head in broken.heads)
        assert "relay-failed" in "".join(lines)
        assert "secret" not in "".join(lines) + caller.reason

    run(check())
