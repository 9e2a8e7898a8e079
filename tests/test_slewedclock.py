import pytest

from hawthornshelf.slewedclock import SlewedClock


def test_the_time_is_that_of_the_first_reading_and_runs_on() -> None:
    time = SlewedClock()
    time.observe(10.0, 1_000_000.0)
    assert time.at(10.0) == 1_000_000.0
    assert time.at(25.5) == 1_000_015.5


@pytest.mark.parametrize("step", [-3600.0, 3600.0])
def test_a_step_of_the_clock_changes_it_by_a_thousandth_at_most(step: float) -> None:
    time = SlewedClock()
    time.observe(0.0, 1000.0)
    last = 1000.0
    for tick in range(1, 2001):
        time.observe(tick / 20, 1000.0 + step + tick / 20)
        assert time.at(tick / 20) > last
        last = time.at(tick / 20)
    assert last == pytest.approx(1100.0, abs=0.11)


def test_a_drift_of_the_oscillator_is_corrected() -> None:
    time = SlewedClock()
    time.observe(0.0, 1000.0)
    for tick in range(1, 36_001):
        now = tick / 10
        time.observe(now, 1000.0 + now * 1.0005)
    assert time.at(3600.0) == pytest.approx(1000.0 + 3601.8, abs=0.001)


def test_a_suspension_counts_and_moves_the_time_by_little() -> None:
    time = SlewedClock()
    time.observe(0.0, 1000.0)
    time.observe(30.0, 1030.0 + 5.0)
    assert time.at(30.0) == pytest.approx(1030.03)
