"""Test how many engines a load is found to need."""

import pytest

from hawthornshelf.enginegroups import EngineLimits
from hawthornshelf.fleetneed import FleetNeed, NeedSample, compute_need
from hawthornshelf.serviceloads import ServiceDemand

LIMITS = EngineLimits(0, 20, 4.0)
TOKENS = 2900.0
CALM = ServiceDemand(
    fresh_share=1.0,
    offered=7.0,
    on_time=7.0,
    prompt_tokens=7 * TOKENS,
    prefill_tokens=7 * TOKENS,
    prefill_seconds=7 * 0.2,
)


def need_of(
    demand: ServiceDemand,
    serving: int = 4,
    samples: tuple[NeedSample, ...] = (),
    now: float = 100.0,
) -> FleetNeed:
    return compute_need(now, demand, LIMITS, serving, 8 * serving, samples)


def test_prompts_need_the_engines_that_prefill_them_at_the_planned_share() -> None:
    assert need_of(CALM).prefill == pytest.approx(7 * 0.2 / 0.7)
    assert need_of(CALM).needed == 2


def test_refused_prompts_need_engines_too() -> None:
    """Guards against sizing by what is served: a full fleet would never grow."""
    burst = CALM._replace(offered=14.0, refused=7.0, prompt_tokens=14 * TOKENS)
    assert need_of(burst).prefill == pytest.approx(2 * need_of(CALM).prefill)
    assert need_of(burst, serving=5).needed == 10


def test_waiting_prompts_are_to_be_served_by_the_time_new_engines_are() -> None:
    waiting = CALM._replace(waiting=28)
    assert need_of(waiting).prefill == pytest.approx(2 * need_of(CALM).prefill)


def test_streams_need_slots_and_interactive_ones_come_on_top() -> None:
    demand = ServiceDemand(fresh_share=1.0, offered=1.0, streams=12, long_streams=24)
    need = need_of(
        demand._replace(prompt_tokens=TOKENS), 10, (NeedSample(0, 0, 0, 1e-6),)
    )
    assert (need.streams, need.long_streams) == (2.0, 4.0)
    assert need.needed == 6


def test_the_wait_in_a_burst_is_not_taken_for_work() -> None:
    """Guards against orders that follow their own waiting times up to the maximum."""
    samples = tuple(NeedSample(60.0 + i, 2.0, 2, 0.2 / TOKENS) for i in range(20))
    slow = CALM._replace(prefill_seconds=7 * 0.8)
    assert need_of(slow, samples=samples).prefill == pytest.approx(2.0, abs=0.01)


def test_without_measured_prefill_refusals_still_raise_the_need() -> None:
    demand = ServiceDemand(fresh_share=1.0, offered=0.5, refused=0.5)
    assert need_of(demand, serving=3).needed == 6
    assert need_of(demand, serving=0).needed == 1


def test_some_late_prompts_do_not_raise_the_need() -> None:
    """Guards against engines bought for the short slow periods of others."""
    demand = CALM._replace(on_time=6.8, late=0.2)
    assert need_of(demand, serving=2).needed == need_of(CALM, serving=2).needed


def test_a_rise_above_the_recent_crests_is_projected_over_the_boot_time() -> None:
    flat = tuple(NeedSample(88.0 + i, 1.0, 1, 0.2 / TOKENS) for i in range(12))
    assert 0 < need_of(CALM, samples=flat).ahead <= 0.25 * need_of(CALM).work
    crest = (*flat[:-5], flat[-5]._replace(work=2.5), *flat[-4:])
    assert need_of(CALM, samples=crest).ahead == 0.0


def test_no_load_needs_no_engine() -> None:
    assert need_of(ServiceDemand(fresh_share=1.0)).needed == 0
