import asyncio
import random

import pytest

from hawthornshelf.clock import SystemClock
from hawthornshelf.gateway.exchange import Prompt, PromptSegment
from hawthornshelf.gateway.loadprobe import LoadProbe
from hawthornshelf.gateway.placement import Placer
from hawthornshelf.gateway.runners import (
    INITIAL_TTFT_SECONDS,
    Runner,
    RunnerList,
    RunnerTable,
    Stage,
)
from hawthornshelf.gateway.scheduler import (
    EngineScheduler,
    PlacementRequest,
    Reservation,
)
from tests.gateway.fakes import Fleet
from tests.gateway.load import VirtualClock, run_in_virtual_time

CLOCK = SystemClock()
LONG = Prompt(9000, 2, (PromptSegment("own", 9000),))
SHORT = Prompt(200, 90, (PromptSegment("talk", 200),))


@pytest.fixture
def runners() -> RunnerTable:
    table = RunnerTable("dc", random.Random(1))
    engines = [
        Runner("d0", "llm", "h:0", "dc", 48, stage=Stage.DECODE),
        Runner("p0", "llm", "h:1", "dc", 48, stage=Stage.PREFILL),
    ]
    table.load(RunnerList(tuple(engines), 0.0))
    return table


def make_scheduler(runners: RunnerTable) -> EngineScheduler:
    rng = random.Random(1)
    return EngineScheduler(
        Placer(runners, rng, lambda: 1.0), LoadProbe(Fleet([]), rng), CLOCK
    )


def make_request(
    prompt: Prompt, target: float = 0.2, budget: float = 2.0
) -> PlacementRequest:
    now = CLOCK.monotonic()
    return PlacementRequest("llm", prompt, 0, now + target, now + budget)


def test_an_interactive_request_does_not_wait_behind_long_prompts(
    runners: RunnerTable,
) -> None:
    """Interactive requests have their own engines during a burst of long prompts."""

    async def run() -> Reservation:
        scheduler = make_scheduler(runners)
        await scheduler.acquire(make_request(LONG))
        waiting = asyncio.create_task(scheduler.acquire(make_request(LONG)))
        await asyncio.sleep(0)
        reservation = await asyncio.wait_for(
            scheduler.acquire(make_request(SHORT)), 0.05
        )
        assert not waiting.done()
        waiting.cancel()
        return reservation

    reservation = asyncio.run(run())
    assert not reservation.is_late
    assert reservation.placement.run.runner.name == "d0"


def test_slow_long_prompts_make_no_interactive_request_late(
    runners: RunnerTable,
) -> None:
    prefiller = runners.find("p0")
    assert prefiller is not None
    for _ in range(50):
        prefiller.ttft.record(CLOCK.monotonic(), 0.5, 9000)
    scheduler = make_scheduler(runners)
    assert not asyncio.run(scheduler.acquire(make_request(SHORT))).is_late
    assert asyncio.run(scheduler.acquire(make_request(LONG))).is_late


def test_a_request_that_waited_too_long_is_placed_late_and_not_rejected(
    runners: RunnerTable,
) -> None:
    async def run() -> Reservation:
        scheduler = make_scheduler(runners)
        await scheduler.acquire(make_request(LONG))
        return await scheduler.acquire(make_request(LONG, target=0.1))

    assert asyncio.run(run()).is_late


def test_a_request_is_not_rejected_because_its_estimate_fell_while_it_waited(
    runners: RunnerTable,
) -> None:
    """Such a request could still meet its target, but no engine was given to it."""
    clock = VirtualClock()
    prefiller = runners.find("p0")
    assert prefiller is not None
    for _ in range(50):
        prefiller.ttft.record(0.0, 0.3, 9000)

    async def acquire_twice() -> None:
        rng = random.Random(1)
        placer = Placer(runners, rng, lambda: 1.0)
        scheduler = EngineScheduler(placer, LoadProbe(Fleet([]), rng), clock)
        await scheduler.acquire(PlacementRequest("llm", LONG, 0, 9.0, 9.0))
        second = await scheduler.acquire(PlacementRequest("llm", LONG, 0, 1.0, 9.0))
        assert second.placement.prefiller is prefiller

    run_in_virtual_time(clock, acquire_twice())


def test_a_reservation_made_as_the_wait_times_out_is_not_lost(
    runners: RunnerTable,
) -> None:
    """The release comes in the tick in which the waiting request times out."""
    clock = VirtualClock()

    async def acquire_twice() -> None:
        rng = random.Random(1)
        placer = Placer(runners, rng, lambda: 1.0)
        scheduler = EngineScheduler(placer, LoadProbe(Fleet([]), rng), clock)
        first = await scheduler.acquire(PlacementRequest("llm", LONG, 0, 9.0, 9.0))
        dispatch_by = 0.2 - INITIAL_TTFT_SECONDS
        asyncio.get_running_loop().call_at(dispatch_by, first.release)
        second = await scheduler.acquire(PlacementRequest("llm", LONG, 0, 0.2, 9.0))
        second.release()

    run_in_virtual_time(clock, acquire_twice())
    for name in ("d0", "p0"):
        state = runners.find(name)
        assert state is not None
        assert (state.in_flight, state.long_prefills, state.long_requests) == (0, 0, 0)


def test_a_released_reservation_lets_the_next_request_proceed(
    runners: RunnerTable,
) -> None:
    async def run() -> None:
        scheduler = make_scheduler(runners)
        first = await scheduler.acquire(make_request(LONG, target=5.0))
        second = asyncio.create_task(scheduler.acquire(make_request(LONG, target=5.0)))
        await asyncio.sleep(0)
        first.release()
        (await asyncio.wait_for(second, 1.0)).release()

    asyncio.run(run())
    for name in ("d0", "p0"):
        state = runners.find(name)
        assert state is not None
        assert (state.in_flight, state.long_prefills, state.long_requests) == (0, 0, 0)
