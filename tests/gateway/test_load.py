"""Check which requests are served, and on time, under simulated loads."""

import pytest

from tests.gateway.load import LoadSimulation

CAPACITY = 250.0
"""Prompts per second that the engines for long prompts can prefill.

These are three of the four engines; one decode engine serves interactive requests.
"""


@pytest.mark.parametrize("seed", [1, 2])
def test_all_are_on_time_below_the_prefill_rate(seed: int) -> None:
    outcome = LoadSimulation(0.6 * CAPACITY, 5.0, seed).run()
    assert outcome.on_time >= 0.99 * outcome.total
    assert outcome.refusals == 0


@pytest.mark.parametrize("seed", [1, 2])
def test_nearly_all_are_on_time_close_to_the_prefill_rate(seed: int) -> None:
    """Callers differ in their time budgets and must not be taken for retries."""
    outcome = LoadSimulation(0.96 * CAPACITY, 5.0, seed).run()
    assert outcome.on_time >= 0.95 * outcome.total


@pytest.mark.parametrize("seed", [1, 2])
def test_no_engine_is_idle_in_a_burst_beyond_the_prefill_rate(seed: int) -> None:
    """Requests that can't be on time are queued behind all others, not rejected."""
    load = LoadSimulation(1.5 * CAPACITY, 5.0, seed)
    outcome = load.run()
    assert load.prefill_share >= 0.95 * 0.75
    served = outcome.on_time + outcome.late
    assert served >= 0.95 * min(outcome.total, CAPACITY * load.clock.seconds)
    assert outcome.on_time >= 0.8 * CAPACITY * 5.0


@pytest.mark.parametrize("seed", [1, 2])
def test_the_largest_prompts_are_not_starved_when_sizes_differ(seed: int) -> None:
    """Some prompts of the burst are six times as long as the typical one."""
    outcome = LoadSimulation(1.5 * CAPACITY, 5.0, seed, spread=0.8).run()
    assert outcome.on_time >= 0.64 * outcome.total
    assert outcome.served_share(0.1) >= 0.75 * outcome.served_share()
