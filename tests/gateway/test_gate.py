import asyncio
import random

import pytest

from hawthornshelf.clock import SystemClock
from hawthornshelf.gateway.exchange import Prompt, PromptPart
from hawthornshelf.gateway.gate import EngineGate, Grant, Wish
from hawthornshelf.gateway.loads import LoadProbe
from hawthornshelf.gateway.placement import Placer
from hawthornshelf.gateway.runners import (
    START_SECONDS,
    Listing,
    Runner,
    RunnerTable,
    Stage,
)
from tests.gateway.fakes import Fleet
from tests.gateway.load import VirtualClock, play

CLOCK = SystemClock()
LONG = Prompt(9000, 2, (PromptPart("own", 9000),))
SHORT = Prompt(200, 90, (PromptPart("talk", 200),))


@pytest.fixture
def runners() -> RunnerTable:
    table = RunnerTable("dc", random.Random(1))
    engines = [
        Runner("d0", "llm", "h:0", "dc", 48, stage=Stage.DECODE),
        Runner("p0", "llm", "h:1", "dc", 48, stage=Stage.PREFILL),
    ]
    table.load(Listing(tuple(engines), 0.0))
    return table


def make_gate(runners: RunnerTable) -> EngineGate:
    rng = random.Random(1)
    return EngineGate(
        Placer(runners, rng, lambda: 1.0), LoadProbe(Fleet([]), rng), CLOCK
    )


def wish(prompt: Prompt, target: float = 0.2, budget: float = 2.0) -> Wish:
    now = CLOCK.monotonic()
    return Wish("llm", prompt, 0, now + target, now + budget)


def test_a_conversation_does_not_wait_behind_long_prompts(runners: RunnerTable) -> None:
    """Answer a burst of long prompts beside conversations on engines of their own."""

    async def play() -> Grant:
        gate = make_gate(runners)
        await gate.acquire(wish(LONG))
        waiting = asyncio.create_task(gate.acquire(wish(LONG)))
        await asyncio.sleep(0)
        grant = await asyncio.wait_for(gate.acquire(wish(SHORT)), 0.05)
        assert not waiting.done()
        waiting.cancel()
        return grant

    grant = asyncio.run(play())
    assert not grant.is_late
    assert grant.placement.run.runner.name == "d0"


def test_slow_long_prompts_make_no_conversation_late(runners: RunnerTable) -> None:
    reader = runners.find("p0")
    assert reader is not None
    for _ in range(50):
        reader.start.note(CLOCK.monotonic(), 0.5, 9000)
    gate = make_gate(runners)
    assert not asyncio.run(gate.acquire(wish(SHORT))).is_late
    assert asyncio.run(gate.acquire(wish(LONG))).is_late


def test_one_that_waited_too_long_is_served_late_and_not_refused(
    runners: RunnerTable,
) -> None:
    async def play() -> Grant:
        gate = make_gate(runners)
        await gate.acquire(wish(LONG))
        return await gate.acquire(wish(LONG, target=0.1))

    assert asyncio.run(play()).is_late


def test_a_place_that_comes_free_as_the_wait_ends_is_not_lost(
    runners: RunnerTable,
) -> None:
    """Answer a release in the very tick in which a waiting request runs out of time."""
    clock = VirtualClock()

    async def take() -> None:
        rng = random.Random(1)
        placer = Placer(runners, rng, lambda: 1.0)
        gate = EngineGate(placer, LoadProbe(Fleet([]), rng), clock)
        first = await gate.acquire(Wish("llm", LONG, 0, 9.0, 9.0))
        start_by = 0.2 - START_SECONDS
        asyncio.get_running_loop().call_at(start_by, first.end)
        second = await gate.acquire(Wish("llm", LONG, 0, 0.2, 9.0))
        second.end()

    play(clock, take())
    for name in ("d0", "p0"):
        state = runners.find(name)
        assert state is not None
        assert (state.in_flight, state.long_prompts, state.long_runs) == (0, 0, 0)


def test_a_grant_gives_all_back_and_lets_the_next_one_go(runners: RunnerTable) -> None:
    async def play() -> None:
        gate = make_gate(runners)
        first = await gate.acquire(wish(LONG, target=5.0))
        second = asyncio.create_task(gate.acquire(wish(LONG, target=5.0)))
        await asyncio.sleep(0)
        first.end()
        (await asyncio.wait_for(second, 1.0)).end()

    asyncio.run(play())
    for name in ("d0", "p0"):
        state = runners.find(name)
        assert state is not None
        assert (state.in_flight, state.long_prompts, state.long_runs) == (0, 0, 0)
