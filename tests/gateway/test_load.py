"""Play whole loads, and check what callers get."""

import pytest

from tests.gateway.load import Load

CAPACITY = 250.0
"""Prompts a second that the engines of a load read which read long prompts."""


@pytest.mark.parametrize("seed", [1, 2])
def test_all_are_on_time_below_what_engines_read(seed: int) -> None:
    outcome = Load(0.6 * CAPACITY, 5.0, seed).play()
    assert outcome.on_time >= 0.99 * outcome.asked
    assert outcome.refusals == 0


@pytest.mark.parametrize("seed", [1, 2])
def test_nearly_all_are_on_time_close_to_what_engines_read(seed: int) -> None:
    """Answer callers who allow different times: none is taken for one that returns."""
    outcome = Load(0.96 * CAPACITY, 5.0, seed).play()
    assert outcome.on_time >= 0.95 * outcome.asked


@pytest.mark.parametrize("seed", [1, 2])
def test_no_engine_is_idle_in_a_burst_beyond_what_engines_read(seed: int) -> None:
    """Send those behind all others that can't be on time, rather than refuse them."""
    load = Load(1.5 * CAPACITY, 5.0, seed)
    outcome = load.play()
    assert load.read_share >= 0.95 * 0.75
    served = outcome.on_time + outcome.late
    assert served >= 0.95 * min(outcome.asked, CAPACITY * load.clock.seconds)
    assert outcome.on_time >= 0.8 * CAPACITY * 5.0


@pytest.mark.parametrize("seed", [1, 2])
def test_the_largest_prompts_are_not_starved_when_sizes_differ(seed: int) -> None:
    """Answer a burst in which some prompts are six times as long as the usual one."""
    outcome = Load(1.5 * CAPACITY, 5.0, seed, spread=0.8).play()
    assert outcome.on_time >= 0.64 * outcome.asked
    assert outcome.served_share(0.1) >= 0.75 * outcome.served_share()
