import random

from hawthornshelf.gateway.retrydetector import MAX_SAMPLES, MIN_SAMPLES, RetryDetector


def test_callers_that_differ_in_patience_are_not_taken_for_late() -> None:
    """Answer callers that allow between 1.7 and 2 seconds."""
    rng, detector = random.Random(1), RetryDetector()
    taken = 0
    for _ in range(1000):
        budget = rng.uniform(1.7, 2.0)
        detector.record(budget)
        taken += detector.elapsed(budget) > 0
    assert taken < 60


def test_callers_that_come_back_are_known_by_the_time_they_have_left() -> None:
    """Answer an overload in which a third of the requests come back."""
    rng, detector = random.Random(2), RetryDetector()
    known = wrong = retries = 0
    for number in range(3000):
        budget, waited = rng.uniform(1.7, 2.0), 0.0
        if number % 3 == 0:
            waited = rng.uniform(0.5, 1.5)
            retries += 1
        detector.record(budget - waited)
        elapsed = detector.elapsed(budget - waited)
        known += waited > 0 and elapsed > 0
        wrong += waited == 0 and elapsed > 0
        if elapsed:
            assert abs(elapsed - waited) < 0.4
    assert known > 0.75 * retries
    assert wrong < 60


def test_the_first_requests_of_a_route_are_taken_for_new_ones() -> None:
    detector = RetryDetector()
    for _ in range(MIN_SAMPLES - 1):
        detector.record(2.0)
    assert detector.elapsed(0.5) == 0.0
    detector.record(2.0)
    assert detector.elapsed(0.5) == 1.5


def test_a_changed_habit_is_learnt_within_the_samples_kept() -> None:
    detector = RetryDetector()
    for budget in [2.0] * MAX_SAMPLES + [1.0] * MAX_SAMPLES:
        detector.record(budget)
    assert detector.elapsed(1.0) == 0.0
