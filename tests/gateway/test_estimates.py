import random

from hawthornshelf.gateway.estimates import FadingEstimate


def learn(seconds: float, count: int = 100, until: float = 1.0) -> FadingEstimate:
    estimate = FadingEstimate(0.06, 1.0)
    for step in range(count):
        estimate.note(until * (step + 1) / count, seconds)
    return estimate


def test_nothing_learnt_leaves_the_first_guess() -> None:
    assert FadingEstimate(0.06, 1.0).expect(100.0) == 0.06


def test_a_steady_duration_is_learnt() -> None:
    assert abs(learn(0.15).expect(1.0) - 0.15) < 0.02


def test_few_durations_exceed_what_is_expected() -> None:
    rng, estimate = random.Random(1), FadingEstimate(0.06, 1.0)
    exceeded = 0
    for step in range(2000):
        seconds = rng.uniform(0.05, 0.15)
        exceeded += seconds > estimate.expect(step / 100)
        estimate.note(step / 100, seconds)
    assert exceeded < 0.1 * 2000


def test_engines_that_were_too_slow_for_the_target_are_tried_again() -> None:
    """Come back from an overload in which no request could be on time."""
    estimate = learn(0.5)
    assert estimate.expect(1.0) > 0.2
    assert estimate.expect(4.0) < 0.2


def test_a_sample_after_a_long_pause_starts_from_the_guess() -> None:
    estimate = learn(0.5)
    estimate.note(20.0, 0.06)
    assert abs(estimate.expect(20.0) - 0.06) < 0.001
