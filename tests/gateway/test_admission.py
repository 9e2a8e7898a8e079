import random

from hawthornshelf.gateway.admission import (
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    AdmissionQueue,
    engine_priority,
    spread_retry_after,
)
from hawthornshelf.gateway.exchange import Prompt

WAIT_SECONDS, BUDGET_SECONDS = 0.14, 2.0
LONG = Prompt(9000, 2)
SHORT = Prompt(200, 90)


def fill(queue: AdmissionQueue, now: float, count: int, priority: int = 0) -> None:
    for _ in range(count):
        queue.add(priority, now + WAIT_SECONDS)


def release(queue: AdmissionQueue, times: int, gap: float) -> None:
    for number in range(times):
        queue.record_release(number * gap)


def test_a_request_in_an_empty_queue_may_wait_until_it_would_miss_its_target() -> None:
    decision = AdmissionQueue().decide(
        10.0, 0, 10.0 + WAIT_SECONDS, 10.0 + BUDGET_SECONDS
    )
    assert decision.admitted and not decision.is_late
    assert decision.dispatch_by == 10.0 + WAIT_SECONDS


def record_late_failures(queue: AdmissionQueue, now: float) -> None:
    """Record that late requests have recently used up all the time they had."""
    for _ in range(20):
        queue.record_late(now, BUDGET_SECONDS)


def test_a_request_that_would_miss_its_target_in_the_queue_is_admitted_late() -> None:
    """In a burst no engine may be idle while callers are told to retry."""
    queue = AdmissionQueue()
    fill(queue, 0.0, 30)
    release(queue, 50, 0.05)
    decision = queue.decide(3.0, 0, 3.0 + WAIT_SECONDS, 3.0 + BUDGET_SECONDS)
    assert decision.admitted and decision.is_late


def test_a_long_queue_rejects_at_once_while_late_requests_time_out() -> None:
    queue = AdmissionQueue()
    fill(queue, 0.0, 30)
    release(queue, 50, 0.05)
    record_late_failures(queue, 3.0)
    decision = queue.decide(3.0, 0, 3.0 + WAIT_SECONDS, 3.0 + BUDGET_SECONDS)
    assert not decision.admitted
    assert MIN_RETRY_AFTER_SECONDS <= decision.retry_after <= MAX_RETRY_AFTER_SECONDS


def test_retry_after_covers_the_work_ahead_in_the_queue() -> None:
    for count in (45, 60, 1000):
        queue = AdmissionQueue()
        fill(queue, 0.0, count)
        release(queue, 50, 0.05)
        record_late_failures(queue, 3.0)
        decision = queue.decide(3.0, 0, 3.0 + WAIT_SECONDS, 3.0 + BUDGET_SECONDS)
        assert decision.retry_after >= min(MAX_RETRY_AFTER_SECONDS, 0.04 * count)


def test_a_request_past_its_dispatch_time_is_admitted_late() -> None:
    decision = AdmissionQueue().decide(5.0, 0, 4.9, 6.0)
    assert decision.admitted and decision.is_late


def test_lower_priority_requests_do_not_delay_urgent_ones() -> None:
    queue = AdmissionQueue()
    fill(queue, 0.0, 30, priority=1)
    release(queue, 50, 0.05)
    assert not queue.decide(3.0, 0, 3.0 + WAIT_SECONDS, 3.0 + BUDGET_SECONDS).is_late
    assert queue.decide(3.0, 1, 3.0 + WAIT_SECONDS, 3.0 + BUDGET_SECONDS).is_late


def test_entries_are_ordered_by_priority_then_return_then_time_left() -> None:
    queue = AdmissionQueue()
    less_urgent = queue.add(1, 5.0)
    older = queue.add(0, 9.0)
    newer = queue.add(0, 9.0)
    shorter = queue.add(0, 8.0)
    returned = queue.add(0, 9.5, was_refused=True)
    assert queue.waiting() == [returned, shorter, older, newer, less_urgent]
    queue.remove(returned)
    queue.remove(returned)
    assert len(queue) == 4 and queue.waiting() == [shorter, older, newer, less_urgent]


def test_a_returned_request_expects_to_wait_only_for_those_ahead_of_it() -> None:
    queue = AdmissionQueue()
    fill(queue, 0.0, 30)
    release(queue, 50, 0.05)
    dispatch_by, deadline = 3.0 + WAIT_SECONDS, 3.0 + BUDGET_SECONDS
    assert queue.decide(3.0, 0, dispatch_by, deadline).is_late
    assert not queue.decide(3.0, 0, dispatch_by, deadline, was_refused=True).is_late


def test_callers_refused_together_are_told_different_times() -> None:
    """One value for all would bring them back at the same moment."""
    rng = random.Random(1)
    times = [spread_retry_after(rng, 0.3) for _ in range(100)]
    assert len({round(seconds, 3) for seconds in times}) > 70
    assert 0.3 <= min(times) < 0.33 and 0.57 < max(times) <= 0.6
    again = random.Random(1)
    assert times == [spread_retry_after(again, 0.3) for _ in range(100)]


def test_late_requests_are_rejected_only_while_others_time_out() -> None:
    """In a lasting overload no request may wait until its deadline just to fail."""
    queue = AdmissionQueue()
    for step in range(20):
        queue.record_late(10.0 + step / 10, 1.7)
    refused = queue.decide(12.0, 0, 11.9, 13.0)
    assert not refused.admitted and refused.retry_after >= MIN_RETRY_AFTER_SECONDS
    assert queue.decide(12.0, 0, 11.9, 15.0).is_late
    assert queue.decide(14.0, 0, 13.9, 15.0).is_late


def test_no_long_prompt_precedes_an_interactive_request() -> None:
    """Engines with a full batch preempt by priority, whatever the route's priority."""
    assert engine_priority(SHORT, 1, False) < engine_priority(LONG, 0, False)
    assert engine_priority(SHORT, 7, False) < engine_priority(LONG, 0, False)
    priorities = [engine_priority(LONG, priority, False) for priority in range(12)]
    assert priorities == sorted(priorities) and priorities[-1] < engine_priority(
        LONG, 0, True
    )
    assert engine_priority(SHORT, 0, True) == engine_priority(LONG, 0, True)
