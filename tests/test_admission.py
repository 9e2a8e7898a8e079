from hawthornshelf.admission import (
    MAX_QUEUED_PER_SERVICE,
    Admission,
    Backlog,
    bulk_limit,
    late_extra,
)
from hawthornshelf.rates import Pace, Rates

PACE = Pace(urgent=1.0, bulk=4.0)


def backlog(ahead: int = 0, queued: int = 0, estimate: float = 0.0) -> Backlog:
    return Backlog(False, ahead, queued, 4, estimate)


def test_what_can_start_in_time_is_taken() -> None:
    assert Admission().judge(backlog(ahead=4), PACE, 30.0).refusal == ""


def test_what_can_not_start_in_time_is_refused() -> None:
    assert Admission().judge(backlog(ahead=100), PACE, 30.0).refusal


def test_a_full_queue_refuses() -> None:
    full = backlog(queued=MAX_QUEUED_PER_SERVICE)
    assert Admission().judge(full, PACE, 600.0).refusal == "queue is full"


def test_retry_after_is_when_the_excess_is_worked_off() -> None:
    admission = Admission()
    assert admission.retry_after(backlog(ahead=40), PACE, 30.0) == 10.0
    assert admission.retry_after(backlog(ahead=0), PACE, 30.0) == 1.0
    assert admission.retry_after(backlog(ahead=10_000), PACE, 30.0) == 30.0


def test_bulk_work_leaves_slots_free_for_urgent_work() -> None:
    assert bulk_limit(slots=48, nodes=10) * 10 < 48
    assert bulk_limit(slots=1, nodes=10) == 1


def test_late_work_may_go_beyond_its_share() -> None:
    assert late_extra(0.2) == 0
    assert late_extra(0.5) < late_extra(0.9)


def test_speeds_are_learnt_from_answers() -> None:
    rates = Rates()
    for _ in range(100):
        rates.note_completed("s", urgent=True, seconds=2.0)
        rates.note_first("s", tokens=4000, seconds=0.2)
    pace = rates.find("s")
    assert abs(pace.urgent - 2.0) < 0.01
    assert pace.bulk == Pace().bulk
    assert abs(pace.prefill - 20_000) < 1
