from collections.abc import Callable

import pytest

from hawthornshelf.duties import (
    CallOutcome,
    Duty,
    DutyCall,
    DutyHolder,
    DutySettings,
    HandoverWait,
    OrderEngines,
    ReportUsage,
)
from hawthornshelf.usagerecords import WorkspaceCount

SETTINGS = DutySettings(frozenset({Duty.USAGE, Duty.ENGINES}), "control-1")
WAIT = HandoverWait(0.6, 0.1, 1.0)
REPORT = ReportUsage(7, (WorkspaceCount("acme", 3),))
ORDER = OrderEngines("chat", "z-a", 4)
FOREVER = 1e9


def make_holder(settings: DutySettings = SETTINGS, wait: HandoverWait = WAIT):
    holder = DutyHolder(settings, wait)
    holder.begin(0.0, 5)
    return holder


def count_calls(
    holder: DutyHolder,
    seconds: float,
    answer: Callable[[DutyCall], CallOutcome],
    calls: tuple[DutyCall, ...] = (REPORT,),
) -> list[float]:
    """Return when calls started, if each is tried every 10 ms and ends at once."""
    started: list[float] = []
    for step in range(int(holder.starts_at * 100) + 1, int(seconds * 100)):
        now = step / 100
        for call in calls:
            if holder.start(now, FOREVER, call):
                started.append(now)
                holder.record_end(now, call, answer(call))
    return started


@pytest.mark.parametrize(("call_timeout", "first"), [(1.0, 3.0), (5.0, 5.7)])
def test_the_first_call_waits_for_the_lease_and_for_the_last_call_before(
    call_timeout: float, first: float
) -> None:
    holder = make_holder(wait=HandoverWait(0.6, 0.1, call_timeout))
    assert not holder.start(first - 0.01, FOREVER, REPORT)
    assert holder.start(first + 0.01, FOREVER, REPORT)


def test_no_call_starts_without_a_lease_or_after_the_duty_ended() -> None:
    holder = make_holder()
    assert not holder.start(4.0, 4.0, REPORT)
    assert not holder.start(4.0, float("-inf"), REPORT)
    holder.end()
    assert not holder.start(4.0, FOREVER, REPORT)


def test_a_second_term_of_duty_waits_again_and_has_its_own_number() -> None:
    holder = make_holder()
    assert holder.start(4.0, FOREVER, REPORT)
    holder.end()
    holder.begin(4.5, 7)
    assert holder.fence == 7
    assert not holder.start(7.4, FOREVER, REPORT)
    assert holder.start(7.6, FOREVER, REPORT)


def test_calls_on_one_matter_follow_one_another() -> None:
    holder = make_holder()
    assert holder.start(4.0, FOREVER, ORDER)
    assert not holder.start(4.5, FOREVER, ORDER)
    assert holder.start(4.5, FOREVER, OrderEngines("chat", "z-a", 1, is_spot=True))
    holder.record_end(4.6, ORDER, CallOutcome.DONE)
    assert holder.start(4.7, FOREVER, ORDER)


def test_a_call_whose_end_is_lost_does_not_block_its_matter_for_ever() -> None:
    holder = make_holder()
    assert holder.start(4.0, FOREVER, REPORT)
    assert not holder.start(8.9, FOREVER, REPORT)
    assert holder.start(9.1, FOREVER, REPORT)


@pytest.mark.parametrize("outcome", [CallOutcome.OUTDATED, CallOutcome.UNAVAILABLE])
def test_a_conflict_stops_the_matter_for_the_lease_and_no_other(
    outcome: CallOutcome,
) -> None:
    holder = make_holder()
    assert holder.start(4.0, FOREVER, ORDER)
    holder.record_end(4.1, ORDER, outcome)
    assert not holder.start(7.0, FOREVER, ORDER)
    assert holder.start(7.05, FOREVER, REPORT)
    assert holder.start(7.2, FOREVER, ORDER)


def test_failed_calls_are_repeated_ever_more_rarely_but_within_two_seconds() -> None:
    holder = make_holder()
    started = count_calls(holder, 20, lambda call: CallOutcome.FAILED)
    pauses = [round(b - a, 3) for a, b in zip(started, started[1:], strict=False)]
    assert pauses[0] == pytest.approx(0.25, abs=0.02)
    assert pauses == sorted(pauses)
    assert pauses[-1] == pytest.approx(2.0, abs=0.02)


def test_calls_on_many_matters_use_a_quarter_of_the_platforms_rate_at_most() -> None:
    holder = make_holder()
    orders = tuple(OrderEngines("chat", f"z-{n}", 1) for n in range(30))
    started = count_calls(holder, 14, lambda call: CallOutcome.DONE, orders)
    assert len(started) <= (14 - 3) * 50 / 4 + 1
    assert len(started) > 100


def test_a_limited_call_holds_up_calls_on_all_matters() -> None:
    holder = make_holder()
    assert holder.start(4.0, FOREVER, ORDER)
    holder.record_end(4.0, ORDER, CallOutcome.LIMITED)
    assert not holder.start(4.2, FOREVER, REPORT)
    assert holder.start(4.3, FOREVER, REPORT)


def test_a_holder_that_gets_no_answers_hands_over_but_not_at_once() -> None:
    """A node that reaches its group and not the platform would report nothing."""
    holder = make_holder()
    for at in (15.0, 16.5, 17.8):
        assert holder.start(at, FOREVER, REPORT)
        holder.record_end(at, REPORT, CallOutcome.UNREACHED)
    assert not holder.wants_handover(19.9)
    assert holder.wants_handover(20.0)
    assert holder.start(20.5, FOREVER, REPORT)
    holder.record_end(20.5, REPORT, CallOutcome.FAILED)
    assert not holder.wants_handover(40.0)
    holder.end()
    assert not holder.wants_handover(60.0)


def test_a_resumed_process_reads_waiting_messages_before_it_calls() -> None:
    holder = make_holder()
    holder.observe(3.9)
    holder.observe(3.95)
    assert holder.start(3.96, FOREVER, ORDER)
    holder.observe(9.0)
    assert not holder.start(9.0, FOREVER, REPORT)
    assert not holder.start(9.29, FOREVER, REPORT)
    assert holder.start(9.31, FOREVER, REPORT)
