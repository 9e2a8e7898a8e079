"""Test the decisions on the size of a fleet under load that changes."""

import math

import pytest

from hawthornshelf.enginegroups import (
    DataCentrePrice,
    EngineCount,
    EngineGroup,
    EngineKey,
    EngineLimits,
)
from hawthornshelf.fleetsizing import FleetPlan, decide_fleet, record_unavailable
from hawthornshelf.serviceloads import ServiceDemand
from tests.fleetload import FleetTrial

PRICES = (
    DataCentrePrice("a", 1.0),
    DataCentrePrice("b", 1.2),
    DataCentrePrice("c", 1.5),
)
LIMITS = EngineLimits(1, 12, 4.0, 0.15, PRICES)
ONE_PLACE = EngineLimits(0, 12, 4.0, 0.15, PRICES[:1])
ON_DEMAND, SPOT = EngineKey("a", False), EngineKey("a", True)
SEEDS = range(1, 6)
CALM_RATE, BURST_RATE = 8.0, 30.0
"""Prompts per second; some six engines carry 16 a second."""

QUIET_DEMAND = ServiceDemand(fresh_share=1.0, data_centres=("a",))
BUSY_DEMAND = ServiceDemand(
    1.0, ("a",), 8.0, 8.0, 0.0, 0.0, 23_200.0, 23_200.0, 2.9, long_streams=16
)


def start_trial(rate: object, seed: int, engines: int = 6) -> FleetTrial:
    """Return a trial whose engines are not spot engines, in the cheapest place."""
    trial = FleetTrial(LIMITS, rate, seed)
    trial.platform.add(ON_DEMAND, engines)
    return trial


def desired(plan: FleetPlan) -> dict[EngineKey, int]:
    return {group.key: group.desired for group in plan.groups if group.desired}


def total(plan: FleetPlan) -> int:
    return sum(group.desired for group in plan.groups)


def count(present: int, leaving: int = 0, key: EngineKey = ON_DEMAND) -> EngineCount:
    return EngineCount(*key, present, leaving, present * 8)


def decide_often(
    plan: FleetPlan,
    counts: list[EngineCount],
    demand: ServiceDemand,
    times: range,
    limits: EngineLimits = LIMITS,
) -> FleetPlan:
    for now in times:
        plan = decide_fleet(float(now), demand, limits, counts, plan)
    return plan


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("factor", [1.5, 2.0])
def test_a_burst_beyond_what_fits_is_refused_only_until_engines_have_booted(
    seed: int, factor: float
) -> None:
    burst = BURST_RATE * factor / 2
    trial = start_trial(lambda now: CALM_RATE if now < 40 else burst, seed)
    trial.run(40)
    trial.reset_counts()
    trial.run(10)
    assert trial.refused_share < 0.5
    trial.run(5)
    trial.reset_counts()
    trial.run(40)
    assert trial.refused_share < 0.01


@pytest.mark.parametrize("seed", SEEDS)
def test_a_wave_of_11_s_neither_refuses_callers_nor_pays_for_twice_the_need(
    seed: int,
) -> None:
    def rate(now: float) -> float:
        return 16.0 * (1 + 0.27 * math.sin(2 * math.pi * now / 11))

    trial = start_trial(rate, seed, engines=9).run(40)
    trial.reset_counts()
    trial.run(110)
    assert trial.refused_share < 0.005
    assert trial.paid_seconds < 2 * trial.busy_seconds / 0.7


@pytest.mark.parametrize("seed", SEEDS)
def test_a_quiet_time_leaves_the_minimum_and_goes_down_step_by_step(seed: int) -> None:
    trial = start_trial(lambda now: 16.0 if now < 30 else 0.0, seed).run(30)
    needed = trial.plan.need.needed
    trial.run(8)
    assert total(trial.plan) >= needed > 3 * LIMITS.min_engines
    trial.run(62)
    assert total(trial.plan) == 3 * LIMITS.min_engines
    sizes = [size for at, size in trial.history if at > 38]
    assert all(one - other <= 1 for one, other in zip(sizes, sizes[1:], strict=False))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_reclaimed_data_centre_is_replaced_before_its_engines_are_gone(
    seed: int,
) -> None:
    trial = start_trial(lambda now: 16.0, seed, engines=9).run(90)
    lost = sum(group.desired for group in trial.plan.groups if group.key == SPOT)
    assert lost >= 2
    trial.reset_counts()
    trial.platform.reclaim(trial.now, "a", 6.0)
    trial.platform.none_available.add(SPOT)
    trial.run(4)
    assert SPOT not in desired(trial.plan)
    assert total(trial.plan) >= trial.plan.needed
    trial.run(16)
    assert trial.refused_share < 0.05


def test_a_data_centre_that_has_none_is_asked_again_after_5_s_and_then_later() -> None:
    trial = start_trial(lambda now: 16.0, 1, engines=3)
    trial.platform.none_available |= {SPOT, ON_DEMAND}
    trial.run(100)
    asked = [at for at, key in trial.platform.refused if key == SPOT]
    pauses = [later - at for at, later in zip(asked, asked[1:], strict=False)]
    assert len(pauses) >= 3
    assert 5 <= pauses[0] < 10 <= pauses[1] < 20 <= pauses[2]
    assert max(pauses) < 45
    assert trial.refused_share < 0.3 and total(trial.plan) >= trial.plan.needed
    trial.reset_counts()
    assert trial.run(30).refused_share < 0.01


@pytest.mark.parametrize("seed", SEEDS)
def test_an_order_carried_out_late_does_not_leave_idle_engines(seed: int) -> None:
    """Guards against ordering elsewhere what then comes twice, and keeping both."""
    trial = start_trial(lambda now: 16.0, seed, engines=6)
    trial.platform.delay = 14.0
    trial.run(60)
    trial.platform.delay = 0.0
    trial.run(90)
    assert len(trial.platform.serving(trial.now)) <= trial.plan.needed + 3
    present = {row.key: row.present for row in trial.platform.counts(trial.now)}
    off = {
        group.key: (group.desired, present.get(group.key, 0))
        for group in trial.plan.groups
        if group.is_ordered and abs(group.desired - present.get(group.key, 0)) > 1
    }
    assert off == {}


def test_an_older_order_carried_out_after_a_newer_one_is_overruled() -> None:
    """Guards against engines that an unanswered order starts after it was replaced."""
    limits = ONE_PLACE._replace(min_engines=6, max_engines=6)
    plan = FleetPlan((EngineGroup(ON_DEMAND, 6, 6, is_ordered=True),))
    plan = decide_often(plan, [count(6)], BUSY_DEMAND, range(5), limits)
    assert plan.find(ON_DEMAND).repeats == 0
    for start, found in ((5, 9), (14, 4)):
        times = range(start, start + 8)
        plan = decide_often(plan, [count(found)], BUSY_DEMAND, times, limits)
        assert plan.find(ON_DEMAND).repeats == 0
        times = range(start + 8, start + 9)
        plan = decide_often(plan, [count(found)], BUSY_DEMAND, times, limits)
        assert plan.find(ON_DEMAND).repeats == 1
        assert plan.find(ON_DEMAND).desired == 6


@pytest.mark.parametrize("seed", SEEDS)
def test_a_new_holder_in_a_burst_neither_orders_twice_nor_gives_engines_up(
    seed: int,
) -> None:
    trial = start_trial(lambda now: CALM_RATE if now < 30 else BURST_RATE, seed)
    trial.run(35)
    known = [g._replace(differs_since=None) for g in trial.plan.groups if g.is_ordered]
    before, orders = total(trial.plan), len(trial.platform.orders)
    trial.plan = FleetPlan(tuple(known))
    trial.run(1)
    assert before <= total(trial.plan)
    trial.run(7)
    first = trial.platform.orders[orders : orders + 6]
    assert all(order[2] >= before_desired(known, order[1]) for order in first)
    trial.run(6)
    trial.reset_counts()
    assert trial.run(20).refused_share < 0.01


def before_desired(groups: list[EngineGroup], key: EngineKey) -> int:
    return next((group.desired for group in groups if group.key == key), 0)


def test_stale_counts_of_nodes_change_nothing() -> None:
    plan = decide_often(FleetPlan(), [count(6)], BUSY_DEMAND, range(9), ONE_PLACE)
    stale = BUSY_DEMAND._replace(fresh_share=0.4, on_time=2.0, refused=8.0)
    held = decide_fleet(9.0, stale, ONE_PLACE, [count(6)], plan)
    assert held.groups == plan.groups and held.held
    fresh = stale._replace(fresh_share=1.0)
    scaled = decide_fleet(9.0, fresh, ONE_PLACE, [count(6)], plan)
    assert total(scaled) > total(plan)


def test_a_stale_list_of_engines_changes_nothing() -> None:
    plan = decide_often(FleetPlan(), [count(2)], BUSY_DEMAND, range(20))
    held = decide_fleet(21.0, BUSY_DEMAND, LIMITS, [count(9)], plan, list_age=6.0)
    assert held.groups == plan.groups and held.held


def test_no_engine_is_given_up_while_a_tenth_of_the_nodes_is_silent() -> None:
    demand = QUIET_DEMAND._replace(fresh_share=0.85)
    plan = decide_often(FleetPlan(), [count(8)], demand, range(60))
    assert desired(plan)[ON_DEMAND] == 8
    plan = decide_often(plan, [count(8)], QUIET_DEMAND, range(60, 62))
    assert desired(plan)[ON_DEMAND] == 7


def test_equal_minimum_and_maximum_fix_the_number() -> None:
    limits = LIMITS._replace(min_engines=4, max_engines=4)
    for demand in (QUIET_DEMAND, BUSY_DEMAND._replace(refused=80.0)):
        trial = FleetTrial(limits, lambda now, d=demand: d.offered + d.refused)
        trial.platform.add(ON_DEMAND, 6)
        trial.run(60)
        sizes = dict.fromkeys("abc", 0)
        for key, size in desired(trial.plan).items():
            sizes[key.data_centre] += size
        assert sizes == {"a": 4, "b": 4, "c": 4}


def test_a_new_holder_keeps_idle_engines_until_it_has_seen_a_calm_period() -> None:
    group = EngineGroup(ON_DEMAND, 8, 8, is_ordered=True)
    plan = decide_often(FleetPlan((group,)), [count(8)], QUIET_DEMAND, range(12))
    assert desired(plan)[ON_DEMAND] == 8
    plan = decide_often(plan, [count(8)], QUIET_DEMAND, range(12, 16))
    assert desired(plan)[ON_DEMAND] < 8


def test_refusals_while_engines_are_idle_order_no_engines() -> None:
    """Guards against paying for engines when refusals have another cause."""
    demand = BUSY_DEMAND._replace(on_time=2.0, refused=6.0)
    counts = [count(12), count(1, key=EngineKey("b", False))]
    counts.append(count(1, key=EngineKey("c", False)))
    plan = decide_often(FleetPlan(), counts, demand, range(10))
    assert total(plan) <= 14


def test_the_pause_after_a_refused_order_doubles_up_to_30_s() -> None:
    plan = FleetPlan((EngineGroup(SPOT, 4, 0, is_ordered=True),))
    pauses = []
    for _ in range(5):
        plan = record_unavailable(plan, 100.0, SPOT)
        pauses.append(plan.find(SPOT).paused_until - 100.0)
    assert pauses == [5.0, 10.0, 20.0, 30.0, 30.0]


def test_a_document_with_a_lower_maximum_takes_effect_at_once() -> None:
    plan = decide_often(FleetPlan(), [count(8)], BUSY_DEMAND, range(3))
    limits = LIMITS._replace(max_engines=2)
    plan = decide_fleet(3.0, BUSY_DEMAND, limits, [count(8)], plan)
    assert desired(plan)[ON_DEMAND] + desired(plan).get(SPOT, 0) == 2
