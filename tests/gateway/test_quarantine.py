import asyncio
import random
from collections import Counter

import pytest

from hawthornshelf.crashrecords import (
    PART_BLOCKED_SECONDS,
    QUARANTINE_GROWTH,
    Evidence,
)
from hawthornshelf.crashtable import CrashTable
from hawthornshelf.gateway.context import RequestContext
from hawthornshelf.gateway.exchange import Prompt, PromptSegment
from hawthornshelf.gateway.quarantine import (
    TRIAL_INTERVAL_SECONDS,
    Quarantine,
    RequestBlocked,
    choose_isolated,
)
from tests.gateway.crashfleet import POISON, SHORT, CrashFleet
from tests.gateway.fakes import CLOCK, TABLE, Caller, Fleet, make_inbound
from tests.gateway.load import VirtualClock


def make_quarantine(
    fleet: Fleet, crashes: int, evidence: Evidence
) -> tuple[Quarantine, RequestContext]:
    """Return a quarantine that holds some crashes against the request returned."""
    inbound = make_inbound("/safe/x")
    context = RequestContext(inbound, TABLE.routes[0], 1, "app", Caller(), 9.0, 1.0)
    table = CrashTable()
    now = CLOCK.monotonic()
    for number in range(crashes):
        table.report(now, f"r{number}/1", now, evidence, (context.digest(),))
    rng = random.Random(1)
    return Quarantine(table, fleet.runners, {}, CLOCK, rng, lambda: 1), context


@pytest.mark.parametrize("crashes", [0, 1, 2])
def test_a_request_with_fewer_than_three_crashes_may_run(crashes: int) -> None:
    quarantine, context = make_quarantine(Fleet([]), crashes, Evidence.GONE)
    assert len(quarantine.check(context).crashes) == crashes
    assert context.is_suspect is (crashes > 0)


def test_a_blocked_request_is_told_when_to_come_back() -> None:
    for evidence, outcome in (
        (Evidence.GONE, "quarantined"),
        (Evidence.REFUSED, "held"),
    ):
        quarantine, context = make_quarantine(Fleet([]), 3, evidence)
        with pytest.raises(RequestBlocked) as caught:
            quarantine.check(context)
        assert caught.value.outcome == outcome
        assert (caught.value.retry_after > 500.0) is (outcome == "quarantined")


def test_a_suspect_gets_one_runner_and_others_may_use_all() -> None:
    fleet = Fleet([])
    quarantine, context = make_quarantine(fleet, 0, Evidence.GONE)
    none: frozenset[str] = frozenset()
    assert not quarantine.exclude_runners(context, quarantine.check(context), none)
    quarantine, context = make_quarantine(fleet, 1, Evidence.GONE)
    standing = quarantine.check(context)
    excluded = quarantine.exclude_runners(context, standing, none)
    assert len(excluded) == 2 and excluded < {"a0", "a1", "a2"}
    tried = frozenset({"a0", "a1", "a2"} - excluded)
    again = quarantine.exclude_runners(context, quarantine.check(context), tried)
    assert len(again) == 2 and tried < again


@pytest.mark.parametrize("left", ["a0", "a1", "a2"])
def test_a_suspect_keeps_the_only_runner_that_it_may_use(left: str) -> None:
    """Its one runner was chosen of all, and every runner was then excluded."""
    fleet = Fleet([])
    quarantine, context = make_quarantine(fleet, 1, Evidence.GONE)
    standing = quarantine.check(context)
    excluded = frozenset({"a0", "a1", "a2"} - {left})
    assert quarantine.exclude_runners(context, standing, excluded) == excluded
    everything = frozenset({"a0", "a1", "a2"})
    assert quarantine.exclude_runners(context, standing, everything) == everything


def test_suspects_of_one_crash_part_over_the_runners_and_part_again() -> None:
    fleet = Fleet([])
    states = [s for s in fleet.states if s.runner.service == "app"]
    digests = [b"%d" % number for number in range(300)]
    first = {d: choose_isolated(d, 1, states, {}).runner.name for d in digests}
    counts = Counter(first.values())
    assert min(counts.values()) > 70
    together = [d for d in digests if first[d] == "a0"]
    second = Counter(choose_isolated(d, 2, states, {}).runner.name for d in together)
    assert max(second.values()) < 0.5 * len(together)


def test_a_runner_with_another_suspect_is_the_last_choice() -> None:
    states = [s for s in Fleet([]).states if s.runner.service == "app"]
    for number in range(20):
        chosen = choose_isolated(b"%d" % number, 1, states, {"a0": 1, "a1": 1})
        assert chosen.runner.name == "a2"


def test_the_suspects_of_a_crash_are_not_put_together_at_the_next_engine() -> None:
    fleet = CrashFleet(nodes=1, engines=4)

    async def play(fleet: CrashFleet) -> None:
        entry = fleet.entries["n0"]
        names = [b"%d" % number for number in range(40)]
        asked = [
            asyncio.create_task(entry.ask("/talk/x", body, SHORT)) for body in names
        ]
        await asyncio.sleep(0.1)
        held = Counter(arrival.runner for arrival in fleet.arrivals)
        fullest = next(r for r in fleet.runners if r.name == held.most_common(1)[0][0])
        lost = held[fullest.name]
        fleet.arrivals.clear()
        fullest.crash()
        await asyncio.sleep(0.05)
        again = Counter(arrival.runner for arrival in fleet.arrivals)
        assert again.total() >= 6 and max(again.values()) < 0.7 * lost
        await asyncio.gather(*asked)

    fleet.run(play)


@pytest.mark.parametrize("seed", range(1, 5))
def test_the_retry_of_a_broken_request_waits_until_it_is_known_as_a_suspect(
    seed: int,
) -> None:
    fleet = CrashFleet(seed=seed, nodes=1)

    async def play(fleet: CrashFleet) -> None:
        entry = fleet.entries["n0"]
        states = list(entry.runners.in_service("app"))
        await entry.ask("/safe/x", POISON)
        first, second = (arrival.runner for arrival in fleet.arrivals)
        others = [state for state in states if state.runner.name != first]
        digest = entry.digest("/safe/x", POISON)
        assert second == choose_isolated(digest, 1, others, {}).runner.name

    fleet.run(play)


class Parts:
    """Hold crashes against parts of prompts, on a clock that the test sets."""

    def __init__(self, nodes: int = 1) -> None:
        self.clock = VirtualClock()
        self.table = CrashTable()
        self.quarantine = Quarantine(
            self.table,
            Fleet([]).runners,
            {},
            self.clock,
            random.Random(1),
            lambda: nodes,
        )

    def context(self, *parts: str) -> RequestContext:
        segments = tuple(PromptSegment(part, 5) for part in (*parts, "own"))
        inbound = make_inbound("/talk/x", prompt=Prompt(10, 5, segments))
        return RequestContext(inbound, TABLE.routes[3], 1, "llm", Caller(), 9.0, 1.0)

    def crash(self, count: int, *parts: str, first: int = 0) -> None:
        now = self.clock.monotonic()
        suspects = self.context(*parts).part_digests()
        for number in range(first, first + count):
            self.table.report(now, f"r{number}/1", now, Evidence.GONE, suspects)

    def outcome(self, *parts: str) -> str:
        """Return how a new request with these parts is treated."""
        context = self.context(*parts)
        try:
            self.quarantine.check(context)
        except RequestBlocked as blocked:
            return blocked.outcome
        return "tried" if context.trial else "free"


def test_requests_with_a_part_that_crashed_three_runners_are_blocked() -> None:
    parts = Parts()
    parts.crash(2, "poison")
    assert parts.outcome("system", "poison") == "free"
    parts.crash(1, "poison", first=2)
    assert parts.outcome("system", "poison") == "quarantined"
    assert parts.outcome("poison", "system") == "quarantined"
    assert parts.outcome("system", "other") == "free"


def test_of_parts_that_nothing_tells_apart_one_request_with_one_of_them_is_tried() -> (
    None
):
    parts = Parts()
    parts.crash(3, "system", "poison")
    assert parts.outcome("system", "poison") == "quarantined"
    assert parts.outcome("system") == "held"
    parts.clock.seconds += TRIAL_INTERVAL_SECONDS
    assert parts.outcome("system") == "tried"
    assert parts.outcome("system") == "held"
    parts.clock.seconds += TRIAL_INTERVAL_SECONDS
    assert parts.outcome("poison") == "tried"


def test_a_node_that_does_not_know_how_many_serve_tries_nothing() -> None:
    parts = Parts(nodes=0)
    parts.crash(3, "system", "poison")
    parts.clock.seconds += 10 * TRIAL_INTERVAL_SECONDS
    assert parts.outcome("system") == "held"


@pytest.mark.parametrize("rate", [0.5, 5.0, 50.0])
@pytest.mark.parametrize("nodes", [5, 330])
def test_all_nodes_together_try_a_part_at_the_same_pace_whatever_its_rate_is(
    nodes: int, rate: float
) -> None:
    parts = Parts(nodes)
    parts.crash(3, "system", "poison")
    rng = random.Random(2)
    seconds = 20 * TRIAL_INTERVAL_SECONDS * nodes
    tried = 0
    while parts.clock.seconds < seconds:
        parts.clock.seconds += rng.expovariate(rate / nodes)
        tried += parts.outcome("system") == "tried"
    most = min(rate, 1 / TRIAL_INTERVAL_SECONDS) * seconds / nodes
    assert 0.4 * most <= tried <= 1.4 * most


def test_a_request_that_is_tried_may_pass_each_check_of_its_way() -> None:
    parts = Parts()
    parts.crash(3, "system", "poison")
    parts.clock.seconds += TRIAL_INTERVAL_SECONDS
    context = parts.context("system")
    for _ in range(4):
        parts.quarantine.check(context)


def test_a_trial_that_completes_frees_the_part() -> None:
    parts = Parts()
    parts.crash(3, "system", "poison")
    digests = parts.context("system").part_digests()
    parts.table.complete(parts.clock.monotonic(), digests)
    assert parts.outcome("system") == parts.outcome("system") == "free"
    assert parts.outcome("system", "poison") == "quarantined"


def test_a_trial_that_crashes_frees_the_other_part() -> None:
    parts = Parts()
    parts.crash(3, "system", "poison")
    parts.crash(1, "poison", first=3)
    assert parts.outcome("system") == "free"
    assert parts.outcome("poison") == "quarantined"


def test_a_blocked_part_is_tried_again_later_after_each_crash() -> None:
    parts = Parts()
    parts.crash(3, "poison")
    seconds = PART_BLOCKED_SECONDS
    for crashes in range(3, 6):
        parts.clock.seconds += seconds - 0.1
        assert parts.outcome("poison") == "quarantined"
        parts.clock.seconds += 0.2
        assert parts.outcome("poison") == "tried"
        assert parts.outcome("poison") == "held"
        parts.crash(1, "poison", first=crashes)
        seconds *= QUARANTINE_GROWTH
