from hawthornshelf.admission import (
    MAX_QUEUED_PER_SERVICE,
    Admission,
    Backlog,
    bulk_limit,
    late_allowance,
)
from hawthornshelf.rates import RateEstimator, ServiceRates

RATES = ServiceRates(urgent=1.0, bulk=4.0)


def backlog(ahead: int = 0, queued: int = 0, ttft: float = 0.0) -> Backlog:
    return Backlog(False, ahead, queued, 4, ttft)


def test_what_can_start_in_time_is_taken() -> None:
    assert Admission().decide(backlog(ahead=4), RATES, 30.0).refusal == ""


def test_what_can_not_start_in_time_is_refused() -> None:
    assert Admission().decide(backlog(ahead=100), RATES, 30.0).refusal


def test_a_full_queue_refuses() -> None:
    full = backlog(queued=MAX_QUEUED_PER_SERVICE)
    assert Admission().decide(full, RATES, 600.0).refusal == "queue is full"


def test_retry_after_is_when_the_excess_is_worked_off() -> None:
    admission = Admission()
    assert admission.retry_after(backlog(ahead=40), RATES, 30.0) == 10.0
    assert admission.retry_after(backlog(ahead=0), RATES, 30.0) == 1.0
    assert admission.retry_after(backlog(ahead=10_000), RATES, 30.0) == 30.0


def test_bulk_work_leaves_slots_free_for_urgent_work() -> None:
    assert bulk_limit(slots=48, nodes=10) * 10 < 48
    assert bulk_limit(slots=1, nodes=10) == 1


def test_late_work_may_go_beyond_its_share() -> None:
    assert late_allowance(0.2) == 0
    assert late_allowance(0.5) < late_allowance(0.9)


def test_speeds_are_learnt_from_answers() -> None:
    estimator = RateEstimator()
    for _ in range(100):
        estimator.record_completion("s", urgent=True, seconds=2.0)
        estimator.record_first_token("s", tokens=4000, seconds=0.2)
    rates = estimator.find("s")
    assert abs(rates.urgent - 2.0) < 0.01
    assert rates.bulk == ServiceRates().bulk
    assert abs(rates.prefill - 20_000) < 1
