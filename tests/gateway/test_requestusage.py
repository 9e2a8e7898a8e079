"""Count each request of a workspace once, whatever becomes of its attempts."""

import asyncio
import dataclasses
import random

import pytest

from hawthornshelf.duties import Duty, DutySettings
from hawthornshelf.gateway.budget import RetryBudget
from hawthornshelf.gateway.context import RequestContext
from hawthornshelf.gateway.exchange import (
    Prompt,
    PromptSegment,
    RunnerResponse,
)
from hawthornshelf.gateway.forwarder import Forwarder
from hawthornshelf.gateway.identification import CallerKnown
from hawthornshelf.gateway.peerrelay import Peer, RelayClient, RelayedRequest
from hawthornshelf.ratelimits import RateLimitTable
from hawthornshelf.usagesender import UsageSender
from tests.gateway.fakes import (
    CLOCK,
    TABLE,
    Caller,
    FakeResponse,
    Fleet,
    Reply,
    broken,
    event,
    grant_permit,
    make_inbound,
    not_run,
    ok,
)

SETTINGS = DutySettings(frozenset({Duty.USAGE}), report_window=5.0)
PROMPT = Prompt(200, 50, (PromptSegment("x", 100), PromptSegment("own", 100)))


class Relay(RelayClient):
    """Answer relayed requests with scripted replies."""

    def __init__(self, *replies: FakeResponse) -> None:
        self.replies = list(replies)

    async def relay(self, request: RelayedRequest) -> RunnerResponse:
        return self.replies.pop(0)


class UsageFleet(Fleet):
    """Count the requests of one workspace in front of scripted runners."""

    def __init__(
        self, *replies: Reply, relay: Relay | None = None, workspace: str | None = "w"
    ) -> None:
        super().__init__(list(replies))
        self.sender = UsageSender("e1", "i", SETTINGS, random.Random(1))
        self.sender.time.observe(CLOCK.monotonic(), CLOCK.now().timestamp())
        self.workspace = workspace
        peers = iter([Peer("e2", "e2:1"), Peer("e3", "e3:1")])
        self.forwarder = Forwarder(
            self,
            self.runners,
            RetryBudget(self.limits),
            self.metrics,
            CLOCK,
            random.Random(1),
            lambda: 1,
            self.runners.count_interactive_requests,
            self.crashes,
            RateLimitTable(),
            grant_permit,
            relay,
            lambda tried: None if relay is None else next(peers, None),
            usage=self.sender,
        )
        make_context = self.forwarder._make_context

        def make_with_workspace(caller: CallerKnown, writer: Caller) -> RequestContext:
            context = make_context(caller, writer)
            context.workspace = self.workspace
            return context

        self.forwarder._make_context = make_with_workspace  # type: ignore[assignment]
        self.forwarder.load(TABLE)

    def counted(self) -> int:
        """Return how many requests were counted, those held included."""
        counter = self.sender.counter
        later = self.sender.time.at(CLOCK.monotonic()) + 60.0
        counter.complete_until(later)
        rows = [row for window in counter.totals(0) for row in window.counts]
        assert {row.workspace for row in rows} <= {"w"}
        return sum(row.count for row in rows)


def stream(*events: int, ends: bool = True) -> FakeResponse:
    data = tuple(event(number) for number in events)
    return FakeResponse(200, data, breaks=not ends, stream=True)


def replies_stream(*events: int, ends: bool = True) -> Reply:
    return lambda attempt: stream(*events, ends=ends)


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/single/x"])
def test_a_plain_request_that_ran_counts_once(path: str) -> None:
    fleet = UsageFleet(ok)
    assert fleet.ask(path).status == 200
    assert fleet.counted() == 1


@pytest.mark.parametrize("workspace", [None, ""])
def test_a_request_without_a_workspace_is_not_counted(workspace: str | None) -> None:
    fleet = UsageFleet(ok, workspace=workspace)
    fleet.ask("/safe/x")
    assert fleet.counted() == 0


def test_a_request_that_all_runners_refused_is_not_counted() -> None:
    fleet = UsageFleet(not_run)
    assert fleet.ask("/safe/x").status == 503
    assert len(fleet.sent) > 1
    assert fleet.counted() == 0


def test_a_request_that_reached_no_runner_is_not_counted() -> None:
    fleet = UsageFleet(broken(sent=False))
    fleet.ask("/safe/x")
    assert fleet.counted() == 0


def test_a_refused_request_that_runs_elsewhere_counts_once() -> None:
    fleet = UsageFleet(not_run, ok)
    assert fleet.ask("/safe/x").status == 200
    assert fleet.counted() == 1


def test_a_broken_request_that_runs_again_counts_once() -> None:
    fleet = UsageFleet(broken(sent=True), ok)
    assert fleet.ask("/safe/x").status == 200
    assert fleet.counted() == 1


def test_a_stream_counts_with_its_first_event() -> None:
    fleet = UsageFleet(replies_stream(0, 1))
    assert fleet.ask("/talk/x", prompt=PROMPT).status == 200
    assert fleet.counted() == 1


def test_a_stream_without_an_event_is_not_counted() -> None:
    fleet = UsageFleet(broken(sent=True))
    fleet.ask("/talk/x", prompt=PROMPT)
    assert fleet.counted() == 0


def test_a_stream_that_another_runner_resumes_counts_once() -> None:
    fleet = UsageFleet(replies_stream(0, ends=False), replies_stream(1))
    fleet.ask("/talk/x", prompt=PROMPT)
    assert len(fleet.sent) == 2
    assert fleet.counted() == 1


def test_a_stream_that_a_caller_continues_is_a_new_request() -> None:
    fleet = UsageFleet(replies_stream(5))
    fleet.ask("/talk/x", prompt=PROMPT, resume_after="4")
    assert fleet.counted() == 1


def test_a_relayed_request_counts_at_the_node_that_its_caller_asked() -> None:
    fleet = UsageFleet(broken(sent=False), relay=Relay(FakeResponse()))
    assert fleet.ask("/safe/x").status == 200
    assert fleet.counted() == 1


def test_a_request_of_another_node_is_not_counted_here() -> None:
    """It would count twice, and a second time if a third node goes on with it."""
    fleet = UsageFleet(ok)
    caller = Caller()
    inbound = dataclasses.replace(make_inbound("/safe/x"), relayed_runs=1)
    asyncio.run(fleet.forwarder.serve(inbound, caller))
    assert caller.status == 200
    assert fleet.counted() == 0


def test_a_request_that_all_other_nodes_refused_is_not_counted() -> None:
    refusal = FakeResponse(503, refuses=True)
    again = FakeResponse(503, refuses=True)
    fleet = UsageFleet(broken(sent=False), relay=Relay(refusal, again))
    fleet.ask("/safe/x")
    assert fleet.counted() == 0
