import random

from hawthornshelf.gateway.estimates import DurationEstimator, LocalDurationEstimator


def record_samples(
    seconds: float, count: int = 100, until: float = 1.0
) -> DurationEstimator:
    estimate = DurationEstimator(0.06, 1.0)
    for step in range(count):
        estimate.record(until * (step + 1) / count, seconds, 3000)
    return estimate


def test_without_samples_the_estimate_is_the_initial_value() -> None:
    assert DurationEstimator(0.06, 1.0).estimate(100.0, 3000) == 0.06


def test_the_estimate_converges_to_a_constant_duration() -> None:
    assert abs(record_samples(0.15).estimate(1.0, 3000) - 0.15) < 0.02


def test_few_durations_exceed_the_estimate() -> None:
    rng, estimate = random.Random(1), DurationEstimator(0.06, 1.0)
    exceeded = 0
    for step in range(2000):
        seconds = rng.uniform(0.05, 0.15)
        exceeded += seconds > estimate.estimate(step / 100, 3000)
        estimate.record(step / 100, seconds, 3000)
    assert exceeded < 0.1 * 2000


def test_engines_that_were_too_slow_for_the_target_are_tried_again() -> None:
    """After an overload the estimate must not keep all work away from an engine."""
    estimate = record_samples(0.5)
    assert estimate.estimate(1.0, 3000) > 0.2
    assert estimate.estimate(4.0, 3000) < 0.2


def test_a_sample_after_a_long_pause_starts_from_the_initial_value() -> None:
    estimate = record_samples(0.5)
    estimate.record(20.0, 0.06, 3000)
    assert abs(estimate.estimate(20.0, 3000) - 0.06) < 0.001


def test_the_estimate_grows_with_the_size_of_the_work() -> None:
    """Some prompts are six times as long as the typical one."""
    rng, estimate = random.Random(2), DurationEstimator(0.06, 1.0)
    exceeded = 0
    for step in range(2000):
        size = min(18000.0, rng.lognormvariate(8.0, 0.8))
        seconds = 0.02 + size / 150_000 + rng.uniform(0, 0.02)
        exceeded += seconds > estimate.estimate(step / 100, size)
        estimate.record(step / 100, seconds, size)
    assert exceeded < 0.1 * 2000
    assert estimate.estimate(20.0, 1000) < 0.06
    assert 0.14 < estimate.estimate(20.0, 18000) < 0.2


def test_an_engine_without_samples_is_estimated_like_the_others() -> None:
    """In a large fleet a node sends few requests to each engine."""
    common = DurationEstimator(0.06, 1.0)
    slow, fast, unknown = (LocalDurationEstimator(common, 1.0) for _ in range(3))
    for step in range(200):
        slow.record(step / 100, 0.20, 3000)
        fast.record(step / 100, 0.10, 3000)
    expected = [estimator.estimate(2.0, 3000) for estimator in (fast, unknown, slow)]
    assert expected == sorted(expected)
    assert expected[2] - expected[0] > 0.05
    assert expected[1] > 0.12
    assert abs(slow.estimate(12.0, 3000) - fast.estimate(12.0, 3000)) < 0.001
