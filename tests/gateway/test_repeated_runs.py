"""Break relayed requests that may run once, and count what is sent after that."""

import asyncio
import random
from collections.abc import Callable, Set
from dataclasses import replace

import pytest

from hawthornshelf.gateway.budget import RetryBudget
from hawthornshelf.gateway.exchange import (
    Attempt,
    AttemptFailed,
    KvCacheHandle,
    Prompt,
    PromptSegment,
    RoutesDiffer,
)
from hawthornshelf.gateway.forwarder import Forwarder
from hawthornshelf.gateway.peerrelay import (
    MAX_PEERS,
    Peer,
    RelayClient,
    RelayedRequest,
)
from hawthornshelf.gateway.runners import Runner, RunnerList, Stage
from hawthornshelf.origins import Origin
from hawthornshelf.ratelimits import RateLimitTable
from tests.gateway.fakes import (
    CLOCK,
    TABLE,
    Caller,
    FakeResponse,
    Fleet,
    broken,
    event,
    grant_permit,
    make_inbound,
    not_run,
)

ENGINES = 6
MANY_ATTEMPTS = 9
SENDS_BEFORE_BUDGET_IS_SPENT = 3
SHORT = Prompt(200, 50, (PromptSegment("x", 100), PromptSegment("own", 100)))
WHOLE_STREAM = b"".join(event(number) for number in (1, 2, 3))

Reply = Callable[[Attempt], FakeResponse | AttemptFailed]
PeerReply = Callable[[RelayedRequest], FakeResponse | AttemptFailed]


def break_off(request: RelayedRequest) -> FakeResponse:
    response = FakeResponse(chunks=(event(1), event(2)), breaks=True, stream=True)
    response.origin = Origin("llm", "v1")
    return response


def run_whole(request: RelayedRequest) -> FakeResponse:
    response = FakeResponse(chunks=(WHOLE_STREAM,), stream=True)
    response.origin = Origin("llm", "v1")
    return response


def break_run(attempt: Attempt) -> FakeResponse:
    """Break off after the first event that is due; only a copy goes on later."""
    first = int(attempt.resume_after or 0) + 1 if attempt.source else 1
    return FakeResponse(chunks=(event(first),), breaks=True, stream=True)


def lose_answer(request: RelayedRequest) -> AttemptFailed:
    return AttemptFailed("relay", request.peer.node, "reset", sent=True)


def hold_newer_routes(request: RelayedRequest) -> AttemptFailed:
    return RoutesDiffer(request.peer.node, request.route_number + 1)


class Peers(RelayClient):
    """Reply for other nodes, one reply a relayed request."""

    def __init__(self, *replies: PeerReply) -> None:
        self._replies = replies
        self.asked: list[RelayedRequest] = []

    async def relay(self, request: RelayedRequest) -> FakeResponse:
        self.asked.append(request)
        await asyncio.sleep(0)
        reply = self._replies[len(self.asked) - 1](request)
        if isinstance(reply, AttemptFailed):
            raise reply
        return reply

    def choose(self, tried: Set[str]) -> Peer | None:
        names = [f"n{n}" for n in range(3) if f"n{n}" not in tried]
        return Peer(names[0], f"{names[0]}:1") if names else None


class LateBudget(RetryBudget):
    """Allow a few resends, and more of them once another node was asked."""

    def __init__(self, fleet: Fleet, peers: Peers) -> None:
        super().__init__(fleet.limits)
        self._fleet = fleet
        self._peers = peers

    def may_spend(self, now: float, service: str, nodes: int) -> bool:
        sends = len(self._fleet.sent)
        return sends < SENDS_BEFORE_BUDGET_IS_SPENT or bool(self._peers.asked)


def make_fleet(peers: Peers, *replies: Reply, runs_out: bool = False) -> Fleet:
    """Return a node with more engines than it may try, which reaches none by default.

    With `runs_out` its retry budget stops it before it knows that it reaches none.
    """
    fleet = Fleet([*replies] or [broken(sent=False)])
    engines = tuple(
        Runner(f"e{n}", "llm", f"h:2{n}", "dc", 48, stage=Stage.DECODE, build="v1")
        for n in range(ENGINES)
    )
    prefiller = Runner("p0", "llm", "h:30", "dc", 48, stage=Stage.PREFILL, build="v1")
    fleet.listed = engines = (*engines, prefiller)
    fleet.runners.load(RunnerList(engines, CLOCK.monotonic()))
    fleet.states = [s for e in engines if (s := fleet.runners.find(e.name))]
    budget = LateBudget(fleet, peers) if runs_out else RetryBudget(fleet.limits)
    fleet.forwarder = Forwarder(
        fleet,
        fleet.runners,
        budget,
        fleet.metrics,
        CLOCK,
        random.Random(1),
        lambda: 1,
        fleet.runners.count_interactive_requests,
        fleet.crashes,
        RateLimitTable(),
        grant_permit,
        peers,
        peers.choose,
    )
    routes = tuple(r._replace(max_attempts=MANY_ATTEMPTS) for r in TABLE.routes)
    fleet.forwarder.load(TABLE._replace(routes=routes))
    return fleet


def ask(fleet: Fleet) -> Caller:
    return fleet.ask("/read/x", prompt=SHORT)


@pytest.mark.parametrize("runs_out", [True, False], ids=["last-resort", "cut-off"])
def test_a_relayed_stream_that_broke_off_and_may_run_once_is_sent_nowhere_again(
    runs_out: bool,
) -> None:
    peers = Peers(break_off, run_whole, run_whole)
    fleet = make_fleet(peers, runs_out=runs_out)
    caller = ask(fleet)
    assert len(peers.asked) == 1
    assert [a.runner.name for a in fleet.sent if a.source or a.resume_after] == []
    assert caller.aborted and caller.data == event(1) + event(2)


def test_a_relayed_stream_that_came_whole_is_asked_of_one_node() -> None:
    peers = Peers(run_whole)
    caller = ask(make_fleet(peers, runs_out=True))
    assert caller.ended and caller.data == WHOLE_STREAM and len(peers.asked) == 1


def count_runs(fleet: Fleet) -> int:
    """Return how many attempts began a run; a copy's continuation begins none."""
    return sum(attempt.source is None for attempt in fleet.sent)


def test_a_first_send_that_may_have_run_is_followed_by_none() -> None:
    peers = Peers(run_whole)
    fleet = make_fleet(peers, broken(sent=True))
    assert ask(fleet).status == 502
    assert len(fleet.sent) == 1 and peers.asked == []


def test_a_resend_that_may_have_run_is_followed_by_none() -> None:
    peers = Peers(run_whole)
    fleet = make_fleet(peers, broken(False), not_run, broken(False), broken(True))
    assert ask(fleet).status == 502
    assert len(fleet.sent) == 4 and peers.asked == []


def test_a_run_placed_anew_after_its_prefill_is_the_only_one() -> None:
    """The engine that was to run it leaves during the prefill."""
    peers = Peers(run_whole)
    fleet = make_fleet(peers, broken(sent=True))
    left: list[str] = []

    def prefill(attempt: Attempt) -> KvCacheHandle:
        if not left:
            busy = [s for s in fleet.states if s.in_flight and s.runner.name != "p0"]
            left.extend(state.runner.name for state in busy)
            kept = tuple(r for r in fleet.listed if r.name not in left)
            fleet.runners.load(RunnerList(kept, CLOCK.monotonic()))
        return KvCacheHandle("h:30", "abc")

    fleet.prefill_reply = prefill
    for number in range(30):
        segments = (PromptSegment(f"part{number}", 6000), PromptSegment("own", 3000))
        caller = fleet.ask("/read/x", prompt=Prompt(9000, 5, segments))
        if left:
            break
        fleet.sent.clear()
    assert left and caller.status == 502
    assert len(fleet.sent) == 1 and fleet.sent[0].runner.name not in left


def test_a_continuation_from_a_copy_that_breaks_off_is_followed_by_no_run() -> None:
    peers = Peers(run_whole)
    fleet = make_fleet(peers, break_run)
    caller = ask(fleet)
    assert caller.aborted and caller.data == event(1) + event(2)
    assert count_runs(fleet) == 1 and len(fleet.sent) == 2 and peers.asked == []


@pytest.mark.parametrize("reply", [not_run, broken(sent=False)])
def test_a_copy_that_can_not_be_used_is_followed_by_no_run(reply: Reply) -> None:
    peers = Peers(run_whole)
    fleet = make_fleet(peers, break_run, reply)
    caller = ask(fleet)
    assert caller.aborted and caller.data == event(1)
    assert count_runs(fleet) == 1 and peers.asked == []


@pytest.mark.parametrize("runs_out", [True, False], ids=["last-resort", "cut-off"])
def test_a_relay_without_an_answer_is_followed_by_none(runs_out: bool) -> None:
    peers = Peers(lose_answer, run_whole)
    fleet = make_fleet(peers, runs_out=runs_out)
    sends = SENDS_BEFORE_BUDGET_IS_SPENT if runs_out else 4
    assert ask(fleet).status == 502
    assert len(peers.asked) == 1 and len(fleet.sent) == sends


@pytest.mark.parametrize("reply", [lose_answer, break_off])
def test_a_second_ask_under_newer_routes_is_followed_by_none(reply: PeerReply) -> None:
    peers = Peers(hold_newer_routes, reply, run_whole)
    caller = ask(make_fleet(peers))
    assert caller.status == 502 or caller.aborted
    assert [request.peer.node for request in peers.asked] == ["n0", "n0"]


def serve_relayed(fleet: Fleet) -> Caller:
    """Serve a request that another node relayed, which has attempts left."""
    inbound = replace(make_inbound("/read/x", prompt=SHORT), relayed_runs=0)
    caller = Caller()
    asyncio.run(fleet.forwarder.serve(inbound, caller))
    return caller


def test_a_relayed_request_that_may_have_run_is_sent_nowhere_again() -> None:
    peers = Peers(run_whole)
    fleet = make_fleet(peers, broken(sent=False), not_run, broken(sent=True))
    assert serve_relayed(fleet).status == 502
    assert len(fleet.sent) == 3 and peers.asked == []


def test_a_relayed_request_that_reached_no_engine_is_not_relayed_on() -> None:
    peers = Peers(run_whole)
    fleet = make_fleet(peers, runs_out=True)
    assert serve_relayed(fleet).status == 503
    assert len(fleet.sent) == SENDS_BEFORE_BUDGET_IS_SPENT and peers.asked == []


def test_a_relayed_request_that_did_not_run_is_resent_under_fewer_attempts() -> None:
    """The node that relayed it goes by a document with more attempts than this one."""
    peers = Peers(run_whole)
    whole = FakeResponse(chunks=(WHOLE_STREAM,), stream=True)
    fleet = make_fleet(peers, not_run, lambda attempt: whole)
    routes = tuple(r._replace(max_attempts=1) for r in TABLE.routes)
    fleet.forwarder.load(TABLE._replace(routes=routes))
    inbound = replace(make_inbound("/read/x", prompt=SHORT), relayed_runs=2)
    caller = Caller()
    asyncio.run(fleet.forwarder.serve(inbound, caller))
    assert caller.status == 200 and len(fleet.sent) == 2


def test_a_relayed_stream_of_a_route_with_one_attempt_brings_no_event_again() -> None:
    """As in the users' record, which has a second run from the first event on."""
    peers = Peers(break_off, run_whole)
    fleet = make_fleet(peers, runs_out=True)
    routes = tuple(r._replace(max_attempts=1) for r in TABLE.routes)
    fleet.forwarder.load(TABLE._replace(routes=routes))
    caller = ask(fleet)
    assert caller.aborted and caller.data == event(1) + event(2)
    assert len(peers.asked) == 1


class ManyPeers(Peers):
    """Offer more nodes than one request may be relayed to, none of them in reach."""

    def __init__(self) -> None:
        super().__init__(*[refuse_connection] * 9)

    def choose(self, tried: Set[str]) -> Peer | None:
        names = [f"n{n}" for n in range(9) if f"n{n}" not in tried]
        return Peer(names[0], f"{names[0]}:1") if names else None


def refuse_connection(request: RelayedRequest) -> AttemptFailed:
    return AttemptFailed("connect", request.peer.node, "refused", sent=False)


@pytest.mark.parametrize("path", ["/read/x", "/talk/x"])
@pytest.mark.parametrize("runs_out", [True, False], ids=["last-resort", "cut-off"])
def test_a_request_is_relayed_to_no_more_nodes_than_allowed(
    path: str, runs_out: bool
) -> None:
    peers = ManyPeers()
    caller = make_fleet(peers, runs_out=runs_out).ask(path, prompt=SHORT)
    assert caller.status == 503
    assert len(peers.asked) == MAX_PEERS
