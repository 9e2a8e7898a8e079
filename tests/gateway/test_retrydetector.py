import random

from hawthornshelf.gateway.retrydetector import MAX_SAMPLES, MIN_SAMPLES, RetryDetector


def test_callers_with_different_time_budgets_are_not_taken_for_retries() -> None:
    """Callers allow between 1.7 and 2 seconds."""
    rng, detector = random.Random(1), RetryDetector()
    false_positives = 0
    for _ in range(1000):
        budget = rng.uniform(1.7, 2.0)
        detector.record(budget)
        false_positives += detector.elapsed(budget) > 0
    assert false_positives < 60


def test_retries_are_detected_by_the_time_they_have_left() -> None:
    """In an overload a third of the requests are retries."""
    rng, detector = random.Random(2), RetryDetector()
    detected = false_positives = retries = 0
    for number in range(3000):
        budget, elapsed_before = rng.uniform(1.7, 2.0), 0.0
        if number % 3 == 0:
            elapsed_before = rng.uniform(0.5, 1.5)
            retries += 1
        detector.record(budget - elapsed_before)
        elapsed = detector.elapsed(budget - elapsed_before)
        detected += elapsed_before > 0 and elapsed > 0
        false_positives += elapsed_before == 0 and elapsed > 0
        if elapsed:
            assert abs(elapsed - elapsed_before) < 0.4
    assert detected > 0.75 * retries
    assert false_positives < 60


def test_the_first_requests_of_a_route_count_as_first_attempts() -> None:
    detector = RetryDetector()
    for _ in range(MIN_SAMPLES - 1):
        detector.record(2.0)
    assert detector.elapsed(0.5) == 0.0
    detector.record(2.0)
    assert detector.elapsed(0.5) == 1.5


def test_changed_time_budgets_are_followed_within_the_samples_kept() -> None:
    detector = RetryDetector()
    for budget in [2.0] * MAX_SAMPLES + [1.0] * MAX_SAMPLES:
        detector.record(budget)
    assert detector.elapsed(1.0) == 0.0
