from hawthornshelf.gateway.polling import ListPace, poll_interval


def test_a_small_fleet_polls_every_second() -> None:
    assert poll_interval(ListPace(42.0, 3.0), 11) == 1.0


def test_a_large_fleet_stays_within_the_rate_and_the_drain_time() -> None:
    interval = poll_interval(ListPace(42.0, 4.0), 70)
    assert 70 / interval < 42.0
    assert interval < 4.0


def test_a_high_rate_limit_of_the_platform_is_not_used_up() -> None:
    assert 70 / poll_interval(ListPace(500.0, 6.0), 70) <= 25.0


def test_the_drain_time_takes_precedence_over_the_rate() -> None:
    assert poll_interval(ListPace(10.0, 4.0), 1000) == 2.8
