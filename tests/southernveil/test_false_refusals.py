"""Answer as a runner with a status that means "not run", without saying so itself."""

from dataclasses import replace

import pytest
from southernveil.headers import NOT_RUN_HEADER

from hawthornshelf.gateway.exchange import Header
from hawthornshelf.gateway.peerrelay import Peer
from hawthornshelf.gateway.routes import RetryPolicy, Route
from tests.gateway.fakes import Caller
from tests.southernveil import test_framing
from tests.southernveil.test_framing import (
    ONCE_ROUTE,
    Script,
    make_inbound,
    make_route,
    run,
    start_forwarder,
)
from tests.southernveil.test_relay import (
    LostRunner,
    RecordingRunner,
    plain,
    start_peer,
)

STATUSES = ("408 Late", "429 Often", "503 Busy")
PLAIN_ONCE_ROUTE = make_route(RetryPolicy.ONCE, max_attempts=3)
SAFE_ROUTE = make_route(RetryPolicy.SAFE, max_attempts=1)
PEERS = ("n0", "n1", "n2")


def make_runner(status: str, *heads: bytes) -> RecordingRunner:
    def answer(after: bytes) -> Script:
        return plain(b"sorry", status=b"\r\n".join((status.encode(), *heads)))

    return RecordingRunner("a", [answer] * 9)


async def ask_over_a_hop(route: Route, runner: RecordingRunner) -> Caller:
    """Ask a node that reaches no runner, while three others reach the same one."""
    lost = [LostRunner(f"lost{number}", []) for number in range(3)]
    async with (
        start_peer(route, runner) as peer,
        start_forwarder(route, *lost, peer=peer) as forwarder,
    ):
        forwarder._relay._choose_peer = lambda tried: next(
            (Peer(n, peer.address) for n in PEERS if n not in tried), None
        )
        for listed in forwarder._runners.staying():
            await forwarder._prober.probe_reachability(listed)
        assert not forwarder.reaches_runners
        caller = Caller()
        inbound = make_inbound()
        head = (Header("Host", "h"), *inbound.headers)
        await forwarder.serve(replace(inbound, headers=head), caller)
        return caller


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("route", [PLAIN_ONCE_ROUTE, ONCE_ROUTE])
def test_a_request_that_ran_once_behind_the_hop_does_not_run_again_for_its_status(
    route: Route, status: str
) -> None:
    async def check() -> None:
        runner = make_runner(status)
        caller = await ask_over_a_hop(route, runner)
        assert len(runner.heads) == 1 and caller.status == 502

    run(check())


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("route", [PLAIN_ONCE_ROUTE, ONCE_ROUTE])
def test_no_caller_is_told_that_a_request_has_not_run_for_its_runners_status(
    route: Route, status: str
) -> None:
    async def check() -> None:
        runner = make_runner(status)
        caller, _ = await test_framing.ask(route, runner)
        assert len(runner.heads) == 1 and caller.status == 502
        assert not [h for h in caller.headers if h.name == "X-Answer-Stamp"]

    run(check())


@pytest.mark.parametrize("status", STATUSES)
def test_a_repeatable_request_gets_its_runners_status_and_receipt(status: str) -> None:
    async def check() -> None:
        caller, _ = await test_framing.ask(SAFE_ROUTE, make_runner(status))
        assert caller.status == int(status[:3]) and caller.data == b"sorry"
        assert Header("X-Answer-Stamp", "a") in caller.headers

    run(check())


def test_a_refusal_of_every_runner_behind_the_hop_is_one_of_the_node() -> None:
    async def check() -> None:
        runner = make_runner("503 Full", b"X-Not-Executed: 1")
        caller = await ask_over_a_hop(PLAIN_ONCE_ROUTE, runner)
        assert caller.status == 503 and len(runner.heads) == len(PEERS)

    run(check())


def test_a_runner_cannot_speak_for_a_node_behind_the_hop() -> None:
    async def check() -> None:
        header = NOT_RUN_HEADER.encode() + b": 1"
        runner = make_runner("503 Busy", header)
        caller = await ask_over_a_hop(PLAIN_ONCE_ROUTE, runner)
        assert len(runner.heads) == 1 and caller.status == 502

    run(check())
