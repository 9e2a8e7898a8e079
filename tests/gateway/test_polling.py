from hawthornshelf.gateway.polling import PollLimits, poll_interval


def test_a_small_fleet_reads_each_second() -> None:
    assert poll_interval(PollLimits(42.0, 3.0), 11) == 1.0


def test_a_large_fleet_stays_within_the_rate_and_the_time_of_a_drain() -> None:
    interval = poll_interval(PollLimits(42.0, 4.0), 70)
    assert 70 / interval < 42.0
    assert interval < 4.0


def test_a_generous_platform_is_not_asked_more_often() -> None:
    assert 70 / poll_interval(PollLimits(500.0, 6.0), 70) <= 25.0


def test_the_time_of_a_drain_goes_before_the_rate() -> None:
    assert poll_interval(PollLimits(10.0, 4.0), 1000) == 2.8
