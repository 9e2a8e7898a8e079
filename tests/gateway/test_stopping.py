"""Stop one node as planned, and check that it answers all that it takes."""

import asyncio
from collections import Counter
from collections.abc import Callable

import pytest

from hawthornshelf.gateway.durations import WINDOW_SECONDS, RouteDurations
from hawthornshelf.gateway.exchange import Prompt
from hawthornshelf.gateway.forwarder import Forwarder
from hawthornshelf.gateway.node import StopTiming
from hawthornshelf.gateway.stopping import may_end_in_time
from tests.gateway.crashfleet import (
    LONG,
    SHORT,
    TABLE,
    CrashFleet,
    Entry,
    SimRunner,
)
from tests.gateway.fakes import Caller

TIMING = StopTiming()
BEFORE_SECONDS = 6.0
LONG_TIMEOUT_SECONDS = 20.0
RATE = 12.0
BUDGET_SECONDS = 3.0


class StopFleet(CrashFleet):
    """Simulate a fleet of which the first node stops; routes allow a long time."""

    def load_first_routes(self, forwarder: Forwarder) -> None:
        routes = (r._replace(timeout=LONG_TIMEOUT_SECONDS) for r in TABLE.routes)
        forwarder.load(TABLE._replace(routes=tuple(routes)))

    def slow_down(self, factor: float) -> None:
        """Let runners take longer for whatever they do."""
        for runner in self.runners:
            runner.work = make_slow(runner, factor)  # type: ignore[method-assign]


def make_slow(runner: SimRunner, factor: float) -> Callable[[float], object]:
    work = runner.work

    async def slow(seconds: float) -> None:
        await work(factor * seconds)

    return slow


async def stop(entry: Entry) -> int:
    """Stop a node as its process does; return how many requests are left open."""
    forwarder, core = entry.forwarder, entry.core
    core.is_serving = False
    forwarder.begin_stop(entry.clock.monotonic() + TIMING.grace)
    await asyncio.sleep(TIMING.linger)
    forwarder.close()
    await asyncio.sleep(TIMING.grace - TIMING.linger)
    forwarder.end_requests()
    await asyncio.sleep(0.1)
    return forwarder.open_requests


async def leave_alone(fleet: StopFleet) -> None:
    """Let nothing else happen."""


async def cut_stopping(fleet: StopFleet) -> None:
    """Cut the node that stops off from all runners before it does."""
    fleet.entries["n0"].client.cut = "refused"


async def cut_other(fleet: StopFleet) -> None:
    """Cut another node off, which relays to the one that stops among others."""
    fleet.entries["n1"].client.cut = "refused"


def play(
    path: str,
    prompt: Prompt | None,
    factor: float,
    disturb: Callable[[StopFleet], object] = leave_alone,
    budget: float = BUDGET_SECONDS,
    before: float = BEFORE_SECONDS,
) -> tuple[Counter[str], Counter[bytes]]:
    """Return how the requests at the node that stops end, and what ran how often."""
    fleet = StopFleet(nodes=3, engines=3, prefillers=2, apps=5, retry_slack=200.0)
    fleet.slow_down(factor)
    outcomes: Counter[str] = Counter()

    async def ask(entry: Entry, phase: str) -> None:
        body = b"%d" % next(fleet.numbers)
        caller: Caller = await entry.ask(path, body, prompt, budget)
        if entry.name == "n0":
            whole = "whole" if caller.ended else "cut"
            outcomes[f"{phase} {caller.status} {whole}"] += 1

    async def send(phase: str, seconds: float, group: asyncio.TaskGroup) -> None:
        until = fleet.clock.monotonic() + seconds
        while fleet.clock.monotonic() < until:
            for name in ("n0", "n1"):
                group.create_task(ask(fleet.entries[name], phase))
            await asyncio.sleep(fleet.rng.expovariate(RATE))

    async def scenario(fleet: StopFleet) -> None:
        async with asyncio.TaskGroup() as group:
            await send("before", before / 2, group)
            await disturb(fleet)  # type: ignore[misc]
            await send("before", before / 2, group)
            stopping = group.create_task(stop(fleet.entries["n0"]))
            await send("after", TIMING.grace, group)
            assert await stopping == 0

    fleet.run(scenario)  # type: ignore[arg-type]
    runs = Counter(a.body for a in fleet.arrivals if not a.is_prefill)
    return outcomes, runs


@pytest.mark.parametrize("disturb", [leave_alone, cut_stopping, cut_other])
@pytest.mark.parametrize("factor", [1.0, 8.0])
@pytest.mark.parametrize(
    ("path", "prompt"),
    [
        ("/safe/x", None),
        ("/once/x", None),
        ("/talk/x", SHORT),
        ("/read/x", SHORT),
        ("/read/x", LONG),
    ],
    ids=["safe", "once", "talk", "read", "read-long"],
)
def test_a_planned_stop_leaves_no_request_that_came_late_without_an_answer(
    path: str,
    prompt: Prompt | None,
    factor: float,
    disturb: Callable[[StopFleet], object],
) -> None:
    outcomes, runs = play(path, prompt, factor, disturb)
    assert not [outcome for outcome in outcomes if outcome.endswith("cut")]
    assert sum(outcomes.values()) > 2 * RATE
    if path == "/once/x":
        assert max(runs.values()) == 1


@pytest.mark.parametrize("path", ["/once/x", "/read/x"])
def test_requests_that_outlast_a_planned_stop_are_refused_and_not_cut(
    path: str,
) -> None:
    """They take longer than is left from some time on; none of those may run here."""
    prompt = SHORT if path == "/read/x" else None
    outcomes, _ = play(path, prompt, factor=16.0, budget=15.0, before=20.0)
    assert not [outcome for outcome in outcomes if outcome.endswith("cut")]
    assert outcomes["after 503 whole"] > 10 and not outcomes["after 504 whole"]
    assert outcomes["after 200 whole"] > 10


def test_the_deadline_or_what_requests_take_tells_if_one_ends_in_time() -> None:
    assert may_end_in_time(10.0, 15.0, 14.0, 60.0)
    assert may_end_in_time(10.0, 15.0, 60.0, 4.0)
    assert not may_end_in_time(10.0, 15.0, 16.0, 4.5)


def test_the_longest_duration_of_a_route_is_forgotten_after_a_while() -> None:
    durations = RouteDurations()
    assert durations.longest(0.0, "r") == 0.0
    durations.record(0.0, "r", 7.0)
    durations.record(1.0, "r", 2.0)
    assert durations.longest(WINDOW_SECONDS, "r") == 7.0
    durations.record(WINDOW_SECONDS, "r", 3.0)
    assert durations.longest(2 * WINDOW_SECONDS, "r") == 3.0
    assert durations.longest(5 * WINDOW_SECONDS, "r") == 0.0
