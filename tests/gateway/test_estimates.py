import random

from hawthornshelf.gateway.estimates import DurationEstimator, LocalDurationEstimator


def record_samples(
    seconds: float, count: int = 100, until: float = 1.0
) -> DurationEstimator:
    estimate = DurationEstimator(0.06, 1.0)
    for step in range(count):
        estimate.record(until * (step + 1) / count, seconds, 3000)
    return estimate


def test_nothing_learnt_leaves_the_first_guess() -> None:
    assert DurationEstimator(0.06, 1.0).estimate(100.0, 3000) == 0.06


def test_a_steady_duration_is_learnt() -> None:
    assert abs(record_samples(0.15).estimate(1.0, 3000) - 0.15) < 0.02


def test_few_durations_exceed_what_is_expected() -> None:
    rng, estimate = random.Random(1), DurationEstimator(0.06, 1.0)
    exceeded = 0
    for step in range(2000):
        seconds = rng.uniform(0.05, 0.15)
        exceeded += seconds > estimate.estimate(step / 100, 3000)
        estimate.record(step / 100, seconds, 3000)
    assert exceeded < 0.1 * 2000


def test_engines_that_were_too_slow_for_the_target_are_tried_again() -> None:
    """Come back from an overload in which no request could be on time."""
    estimate = record_samples(0.5)
    assert estimate.estimate(1.0, 3000) > 0.2
    assert estimate.estimate(4.0, 3000) < 0.2


def test_a_sample_after_a_long_pause_starts_from_the_guess() -> None:
    estimate = record_samples(0.5)
    estimate.record(20.0, 0.06, 3000)
    assert abs(estimate.estimate(20.0, 3000) - 0.06) < 0.001


def test_larger_work_is_expected_to_take_longer() -> None:
    """Answer prompts of which some are six times as long as the usual one."""
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


def test_a_place_without_samples_is_like_the_others_of_its_kind() -> None:
    """Answer a fleet so large that a node sends each engine little."""
    common = DurationEstimator(0.06, 1.0)
    slow, quick, unknown = (LocalDurationEstimator(common, 1.0) for _ in range(3))
    for step in range(200):
        slow.record(step / 100, 0.20, 3000)
        quick.record(step / 100, 0.10, 3000)
    expected = [place.estimate(2.0, 3000) for place in (quick, unknown, slow)]
    assert expected == sorted(expected)
    assert expected[2] - expected[0] > 0.05
    assert expected[1] > 0.12
    assert abs(slow.estimate(12.0, 3000) - quick.estimate(12.0, 3000)) < 0.001
