from hawthornshelf.gateway.admission import (
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    AdmissionQueue,
    engine_priority,
)
from hawthornshelf.gateway.exchange import Prompt

WAIT, BUDGET = 0.14, 2.0
LONG = Prompt(9000, 2)
SHORT = Prompt(200, 90)


def fill(queue: AdmissionQueue, now: float, count: int, priority: int = 0) -> None:
    for _ in range(count):
        queue.add(priority, now + WAIT)


def release(queue: AdmissionQueue, times: int, gap: float) -> None:
    for number in range(times):
        queue.record_release(number * gap)


def test_with_nothing_ahead_a_request_waits_until_it_could_not_be_on_time() -> None:
    decision = AdmissionQueue().decide(10.0, 0, 10.0 + WAIT, 10.0 + BUDGET)
    assert decision.admitted and not decision.is_late
    assert decision.dispatch_by == 10.0 + WAIT


def record_late_failures(queue: AdmissionQueue, now: float) -> None:
    """Let late requests at the engines lately have taken all the time they had."""
    for _ in range(20):
        queue.record_late(now, BUDGET)


def test_a_queue_too_long_for_the_target_sends_a_request_behind_all_others() -> None:
    """Answer a burst: no engine is idle while callers are told to come back."""
    queue = AdmissionQueue()
    fill(queue, 0.0, 30)
    release(queue, 50, 0.05)
    decision = queue.decide(3.0, 0, 3.0 + WAIT, 3.0 + BUDGET)
    assert decision.admitted and decision.is_late


def test_a_queue_too_long_turns_away_at_once_while_late_ones_wait_in_vain() -> None:
    queue = AdmissionQueue()
    fill(queue, 0.0, 30)
    release(queue, 50, 0.05)
    record_late_failures(queue, 3.0)
    decision = queue.decide(3.0, 0, 3.0 + WAIT, 3.0 + BUDGET)
    assert not decision.admitted
    assert MIN_RETRY_SECONDS <= decision.retry_after <= MAX_RETRY_SECONDS


def test_callers_return_no_sooner_than_the_work_ahead_is_done() -> None:
    for count in (45, 60, 1000):
        queue = AdmissionQueue()
        fill(queue, 0.0, count)
        release(queue, 50, 0.05)
        record_late_failures(queue, 3.0)
        decision = queue.decide(3.0, 0, 3.0 + WAIT, 3.0 + BUDGET)
        assert decision.retry_after >= min(MAX_RETRY_SECONDS, 0.04 * count)


def test_a_caller_that_returns_too_late_for_its_target_is_told_so() -> None:
    decision = AdmissionQueue().decide(5.0, 0, 4.9, 6.0)
    assert decision.admitted and decision.is_late


def test_less_urgent_requests_do_not_make_urgent_ones_wait() -> None:
    queue = AdmissionQueue()
    fill(queue, 0.0, 30, priority=1)
    release(queue, 50, 0.05)
    assert not queue.decide(3.0, 0, 3.0 + WAIT, 3.0 + BUDGET).is_late
    assert queue.decide(3.0, 1, 3.0 + WAIT, 3.0 + BUDGET).is_late


def test_the_most_urgent_and_then_the_oldest_goes_first() -> None:
    queue = AdmissionQueue()
    late = queue.add(1, 9.0)
    first = queue.add(0, 9.0)
    second = queue.add(0, 8.0)
    assert queue.waiting() == [first, second, late]
    queue.remove(first)
    queue.remove(first)
    assert len(queue) == 2 and queue.waiting() == [second, late]


def test_late_requests_are_turned_away_while_such_wait_in_vain_and_tried_again() -> (
    None
):
    """Answer an overload that lasts: nobody waits to a deadline for nothing."""
    queue = AdmissionQueue()
    for step in range(20):
        queue.record_late(10.0 + step / 10, 1.7)
    refused = queue.decide(12.0, 0, 11.9, 13.0)
    assert not refused.admitted and refused.retry_after >= MIN_RETRY_SECONDS
    assert queue.decide(12.0, 0, 11.9, 15.0).is_late
    assert queue.decide(14.0, 0, 13.9, 15.0).is_late


def test_no_long_prompt_puts_a_conversation_back() -> None:
    """Answer engines whose batch is full, whatever ranks their routes have."""
    assert engine_priority(SHORT, 1, False) < engine_priority(LONG, 0, False)
    assert engine_priority(SHORT, 7, False) < engine_priority(LONG, 0, False)
    ranks = [engine_priority(LONG, priority, False) for priority in range(12)]
    assert ranks == sorted(ranks) and ranks[-1] < engine_priority(LONG, 0, True)
    assert engine_priority(SHORT, 0, True) == engine_priority(LONG, 0, True)
