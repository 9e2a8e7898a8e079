"""Break relayed requests that may run once, and count what is sent after that."""

import asyncio
import random
from collections.abc import Callable, Set

import pytest

from hawthornshelf.gateway.budget import RetryBudget
from hawthornshelf.gateway.exchange import AttemptFailed, Prompt, PromptSegment
from hawthornshelf.gateway.forwarder import Forwarder
from hawthornshelf.gateway.peerrelay import Peer, RelayClient, RelayedRequest
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
)

ENGINES = 6
SENDS_BEFORE_BUDGET_IS_SPENT = 3
SHORT = Prompt(200, 50, (PromptSegment("x", 100), PromptSegment("own", 100)))
WHOLE_STREAM = b"".join(event(number) for number in (1, 2, 3))

PeerReply = Callable[[RelayedRequest], FakeResponse | AttemptFailed]


def break_off(request: RelayedRequest) -> FakeResponse:
    response = FakeResponse(chunks=(event(1), event(2)), breaks=True, stream=True)
    response.origin = Origin("llm", "v1")
    return response


def run_whole(request: RelayedRequest) -> FakeResponse:
    response = FakeResponse(chunks=(WHOLE_STREAM,), stream=True)
    response.origin = Origin("llm", "v1")
    return response


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


def make_fleet(peers: Peers, *, runs_out: bool) -> Fleet:
    """Return a node that reaches no engine, with more engines than it may try.

    With `runs_out` its retry budget stops it before it knows that it reaches none.
    """
    fleet = Fleet([broken(sent=False)])
    engines = tuple(
        Runner(f"e{n}", "llm", f"h:2{n}", "dc", 48, stage=Stage.DECODE, build="v1")
        for n in range(ENGINES)
    )
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
    fleet.forwarder.load(TABLE)
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
