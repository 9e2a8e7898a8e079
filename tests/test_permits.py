import random

import pytest

from hawthornshelf.permits import (
    MIN_RATE,
    MINORITY_SHARE,
    SETTLE_SECONDS,
    UNSETTLED_SHARE,
    IssuerStanding,
    PermitIssuer,
    order_issuers,
)

RUNNER = "i-1/17"
FIRST = IssuerStanding(True, 5, 5)
SECOND = FIRST._replace(is_first=False)
WINDOW_SECONDS = 4.0


def issue_times(
    issuer: PermitIssuer,
    rate: float,
    standing: IssuerStanding = FIRST,
    start: float = 0.0,
    seconds: float = 40.0,
    demand: float = 200.0,
    max_wait: float = 0.0,
) -> list[float]:
    """Ask at random times and return when the permits granted are to be used."""
    rng = random.Random(1)
    now, times = start, []
    while now < start + seconds:
        permit = issuer.issue(now, RUNNER, rate, standing, max_wait)
        if permit.is_granted:
            times.append(now + permit.wait)
        now += rng.expovariate(demand)
    return times


def settle(issuer: PermitIssuer) -> float:
    issuer.issue(0.0, RUNNER, 1.0, FIRST, 0.0)
    return SETTLE_SECONDS


def worst_window(times: list[float]) -> int:
    times = sorted(times)
    return max(
        sum(start <= at <= start + WINDOW_SECONDS for at in times) for start in times
    )


@pytest.mark.parametrize("max_wait", [0.0, 0.5])
@pytest.mark.parametrize("rate", [0.5, 2.3, 3.5, 40.0])
def test_permits_are_issued_at_the_rate_and_no_faster(
    rate: float, max_wait: float
) -> None:
    issuer = PermitIssuer()
    start = settle(issuer)
    times = issue_times(issuer, rate, start=start, max_wait=max_wait)
    assert worst_window(times) <= rate * WINDOW_SECONDS + 2
    assert len(times) >= 0.9 * rate * 40.0 - 1


def test_a_rate_of_zero_is_tried_now_and_then() -> None:
    times = issue_times(PermitIssuer(), 0.0)
    assert 0.8 * 40.0 * MIN_RATE * UNSETTLED_SHARE <= len(times) <= 2 + 40.0 * MIN_RATE


def test_demand_after_a_pause_gets_no_burst() -> None:
    issuer = PermitIssuer()
    start = settle(issuer) + 600.0
    assert len(issue_times(issuer, 3.0, start=start, seconds=0.1)) <= 2


def test_a_node_beside_the_first_one_issues_less() -> None:
    alone = len(issue_times(PermitIssuer(), 10.0, SECOND))
    assert alone == pytest.approx(10.0 * 40.0 * UNSETTLED_SHARE, rel=0.05)


def test_a_node_that_has_just_become_the_first_issues_less_for_a_while() -> None:
    issuer = PermitIssuer()
    early = issue_times(issuer, 10.0, seconds=SETTLE_SECONDS)
    assert len(early) <= 10.0 * SETTLE_SECONDS * UNSETTLED_SHARE + 2
    late = issue_times(issuer, 10.0, start=SETTLE_SECONDS, seconds=10.0)
    assert len(late) >= 0.9 * 100.0
    issue_times(issuer, 10.0, SECOND, start=20.0, seconds=0.1)
    again = issue_times(issuer, 10.0, start=20.1, seconds=SETTLE_SECONDS)
    assert len(again) <= 10.0 * SETTLE_SECONDS * UNSETTLED_SHARE + 2


def test_the_parts_of_a_split_fleet_issue_no_more_than_the_rate_together() -> None:
    total = 0
    for alive in (4, 4, 2, 1):
        standing = IssuerStanding(True, alive, 11)
        total += len(issue_times(PermitIssuer(), 10.0, standing))
    assert total <= 10.0 * 40.0 * MINORITY_SHARE + 8


def test_a_backlog_is_worked_off_at_the_rate_that_is_named_now() -> None:
    issuer = PermitIssuer()
    start = settle(issuer)
    for _ in range(4):
        assert issuer.issue(start, RUNNER, 0.5, FIRST, 60.0).is_granted
    refused = issuer.issue(start, RUNNER, 10.0, FIRST, 0.0)
    assert not refused.is_granted and refused.wait < 0.5
    refused = issuer.issue(start, RUNNER, 0.5, FIRST, 0.0)
    assert refused.wait > 4.0


def test_a_refusal_tells_when_the_next_permit_is_free() -> None:
    issuer = PermitIssuer()
    start = settle(issuer) + 10.0
    while issuer.issue(start, RUNNER, 2.0, FIRST, 0.0).is_granted:
        pass
    refused = issuer.issue(start, RUNNER, 2.0, FIRST, 0.0)
    assert 0.0 < refused.wait <= 0.5
    assert issuer.issue(start + refused.wait, RUNNER, 2.0, FIRST, 0.0).is_granted


def test_a_node_that_leaves_moves_only_the_runners_whose_permits_it_issued() -> None:
    nodes = [f"n{number}" for number in range(11)]
    runners = [f"i-{number}/1" for number in range(300)]
    first = {runner: order_issuers(runner, nodes)[0] for runner in runners}
    assert set(first.values()) == set(nodes)
    left = [node for node in nodes if node != "n3"]
    for runner, issuer in first.items():
        if issuer != "n3":
            assert order_issuers(runner, left)[0] == issuer
