"""Check that no request is refused while engines are idle, and what that costs."""

import random
from collections.abc import Callable

import pytest

from hawthornshelf.gateway import refusals
from hawthornshelf.gateway.placement import Engines, Placer
from hawthornshelf.gateway.refusals import LENDING_SECONDS, RefusalMemory
from hawthornshelf.gateway.runners import Runner, RunnerList, RunnerTable
from tests.gateway.slotfleet import (
    EngineSpec,
    SlotFleet,
    SlotOutcome,
    decoders,
    mixed_engines,
)

HALF = 0.5
FLEETS = [(3, 2), (8, 6), (24, 12)]
SECONDS = {8: 10.0, 32: 6.0, 128: 3.0}
"""Time for which load is simulated, by the slots of an engine."""

WARM_UP_SECONDS = 1.0
"""Time after a start by which each node has learnt which engines are full."""


def check_refusals(outcome: SlotOutcome) -> None:
    print(outcome.describe())
    assert outcome.refused_share < 0.02
    late = [at for at in outcome.refused_at if at > WARM_UP_SECONDS]
    assert not late, "refused under half of the slots taken"


@pytest.mark.parametrize("long_share", [0.0, 0.3, 0.7])
@pytest.mark.parametrize("slots", [8, 32, 128])
@pytest.mark.parametrize("nodes, engines", FLEETS[1:])
def test_mixed_engines_refuse_nothing_at_half_load(
    nodes: int, engines: int, slots: int, long_share: float
) -> None:
    """Each node sent all interactive requests to the one engine kept for them."""
    fleet = SlotFleet(nodes, mixed_engines(engines, slots), long_share=long_share)
    check_refusals(fleet.run(HALF, SECONDS[slots]))


@pytest.mark.parametrize("long_share", [0.0, 0.3])
@pytest.mark.parametrize("slots", [8, 32, 128])
@pytest.mark.parametrize("nodes, engines", FLEETS[:1])
def test_two_mixed_engines_refuse_nothing_at_half_load(
    nodes: int, engines: int, slots: int, long_share: float
) -> None:
    """More long prompts than these would exceed what two engines prefill."""
    fleet = SlotFleet(nodes, mixed_engines(engines, slots), long_share=long_share)
    check_refusals(fleet.run(HALF, SECONDS[slots]))


@pytest.mark.parametrize("long_share", [0.0, 0.3, 0.7])
@pytest.mark.parametrize("slots", [8, 32, 128])
@pytest.mark.parametrize("nodes, engines", FLEETS[1:])
def test_decoding_engines_refuse_nothing_at_half_load(
    nodes: int, engines: int, slots: int, long_share: float
) -> None:
    """Long prompts filled the few engines that were left to them."""
    fleet = SlotFleet(nodes, decoders(engines, slots), long_share=long_share)
    check_refusals(fleet.run(HALF, SECONDS[slots]))


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("long_share", [0.0, 0.3])
def test_requests_that_come_at_once_use_all_engines(
    seed: int, long_share: float
) -> None:
    """Nodes filled the same engine and spent their retry budget on its refusals."""
    engines = [EngineSpec(slots) for slots in (8, 8, 6, 6)]
    outcome = SlotFleet(3, engines, seed, long_share).run_burst(24)
    print(outcome.describe())
    assert outcome.refusals == 0


@pytest.mark.parametrize("nodes, engines, cached", [(8, 6, 0.70), (24, 12, 0.85)])
def test_shared_prefixes_stay_at_their_owners_while_engines_are_shared(
    nodes: int, engines: int, cached: float
) -> None:
    """Before engines were shared, 0.69 and 0.87 of the prompts found their prefix."""
    fleet = SlotFleet(nodes, mixed_engines(engines, 8))
    outcome = fleet.run(HALF, 20.0)
    assert fleet.cached_share >= cached
    assert outcome.wait(0.99, "long") < 0.1


def test_interactive_requests_do_not_wait_for_long_prompts_on_shared_engines() -> None:
    """Engines of few slots serve both classes; the urgent one must not pay for it."""
    outcome = SlotFleet(8, mixed_engines(6, 8), long_share=0.7).run(HALF, SECONDS[8])
    assert outcome.wait(0.99, "interactive") < 0.05


@pytest.mark.parametrize("load", [1.0, 1.5, 2.0])
@pytest.mark.parametrize("make_engines", [mixed_engines, decoders])
def test_interactive_requests_are_served_no_less_than_long_prompts_in_overload(
    make_engines: Callable[[int, int], tuple[EngineSpec, ...]], load: float
) -> None:
    """The engine kept for interactive requests refused them while others had room."""
    outcome = SlotFleet(8, make_engines(6, 8)).run(load, 8.0)
    print(outcome.describe())
    assert outcome.served_share("interactive") >= outcome.served_share("long")


def test_callers_refused_in_overload_are_spread() -> None:
    """All of them were told to come back after 0.3 s."""
    outcome = SlotFleet(8, mixed_engines(6, 8)).run(2.0, 4.0)
    times = {round(seconds, 3) for seconds in outcome.retry_afters}
    assert outcome.refusals > 50 and len(times) > 50
    assert max(times) > 1.5 * min(times)


def find_engines(table: RunnerTable, now: float) -> Engines:
    found = Placer(table, random.Random(1), lambda: 1.0).find_engines(now, "s", ())
    assert found is not None
    return found


def make_table(slots: int) -> RunnerTable:
    table = RunnerTable("dc", random.Random(1))
    runners = [Runner(f"e{n}", "s", f"h:{n}", "dc", slots) for n in range(6)]
    table.load(RunnerList(tuple(runners), 0.0))
    return table


def test_engines_with_many_slots_are_lent_only_after_a_refusal() -> None:
    """Where nobody is refused, long prompts must not slow interactive requests."""
    table = make_table(48)
    before = find_engines(table, 10.0)
    assert len(before.interactive) == 1 and not before.lent
    table.refusals.record(10.0, "s", "refusal")
    lending = find_engines(table, 10.0)
    assert len(lending.interactive) == 6
    assert lending.long_prompt == before.long_prompt, "prefixes changed owners"
    assert find_engines(table, 10.0 + LENDING_SECONDS) == before


def test_no_engine_with_few_slots_is_kept_for_one_class() -> None:
    found = find_engines(make_table(8), 0.0)
    assert len(found.interactive) == len(found.long_prompt) == 6


def test_a_refusal_concerns_its_service_only() -> None:
    memory = RefusalMemory()
    memory.record(5.0, "a", "refusal")
    assert memory.lends_engines(5.1, "a")
    assert not memory.lends_engines(5.1, "b")


def test_refusals_of_an_overloaded_service_are_logged_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each refusal was logged as engines lent while none were."""
    lines: list[dict[str, object]] = []
    monkeypatch.setattr(
        refusals, "write_log", lambda event, **fields: lines.append(fields)
    )
    memory = RefusalMemory()
    for number in range(50):
        memory.record_overload(10.0 + 0.1 * number, "s")
        memory.record(10.0 + 0.1 * number, "s", "refusal")
    assert not memory.lends_engines(15.0, "s")
    assert lines == [{"service": "s", "cause": "refusal", "overloaded": True}]
