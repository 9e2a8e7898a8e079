"""Test when a request may be hedged, and what hedges do to slow answers."""

import itertools

import eliot
import pytest

from hawthornshelf.gateway.budget import RetryLimits
from hawthornshelf.gateway.hedging import (
    FAILURE_COOLDOWN_SECONDS,
    MAX_SAMPLES,
    MIN_SAMPLES,
    SAMPLE_SECONDS,
    SHARE_SECONDS,
    HedgeCase,
    HedgeLimit,
    HedgePolicy,
    decide,
)
from tests.gateway.hedgefleet import ROUTE, HedgeFleet
from tests.gateway.load import run_in_virtual_time

GOOD = HedgeCase(
    seconds_left=1.0,
    typical_seconds=0.1,
    attempts_left=1,
    is_clear=True,
    is_limited=False,
    has_runner=True,
    load=0.1,
    seconds_since_failure=60.0,
    hedges=0,
    requests=100,
)
PLAY_SECONDS = 40.0


def play(share: float, seconds: float = PLAY_SECONDS, **options: object) -> HedgeFleet:
    """Play a load and print what became of it."""
    fleet = HedgeFleet(share, **options)  # type: ignore[arg-type]
    run_in_virtual_time(fleet.clock, fleet.play(seconds))
    print(
        f"share {share}, {fleet.nodes} nodes, {fleet.rate} a second: "
        f"{len(fleet.arrivals)} requests, {len(fleet.hedges)} hedges, "
        f"p50 {fleet.quantile(0.5):.3f} p99 {fleet.quantile(0.99):.3f}, "
        f"{fleet.ends.most_common(3)}"
    )
    return fleet


# The policy


def test_the_delay_is_not_the_wait_that_95_in_100_requests_did_not_exceed() -> None:
    policy = HedgePolicy(0.1)
    for number in range(100):
        policy.record_wait(0.0, "r", (number * 37 % 100 + 1) / 100)
    assert policy.find_delay(0.0, "r") == 0.95
    assert policy.typical_wait(0.0, "r") == 0.5
    assert policy.find_delay(0.0, "other") is None


def test_a_delay_is_guessed_from_few_or_old_answers() -> None:
    policy = HedgePolicy(0.1)
    for _ in range(MIN_SAMPLES - 1):
        policy.record_wait(0.0, "r", 0.1)
    assert policy.find_delay(0.0, "r") is None
    policy.record_wait(1.0, "r", 0.1)
    assert policy.find_delay(1.0, "r") == 0.1
    assert policy.find_delay(SAMPLE_SECONDS, "r") is None
    assert policy.typical_wait(SAMPLE_SECONDS, "r") == float("inf")


def test_old_answers_outweigh_the_newest_ones() -> None:
    policy = HedgePolicy(0.1)
    for seconds in [9.0] * MAX_SAMPLES + [0.1] * MAX_SAMPLES:
        policy.record_wait(0.0, "r", seconds)
    assert policy.find_delay(0.0, "r") == 0.1


def test_what_is_known_of_a_route_outlives_it() -> None:
    policy = HedgePolicy(0.1)
    for _ in range(MIN_SAMPLES):
        policy.record_wait(0.0, "r", 0.1)
    policy.record_request(0.0, "app")
    policy.retain({"r"}, {"app"})
    assert policy.find_delay(0.0, "r") and policy.count_requests(0.0, "app") == 1
    policy.retain(set(), set())
    assert policy.find_delay(0.0, "r") is None
    assert policy.count_requests(0.0, "app") == 0


def test_a_fit_case_is_refused() -> None:
    assert decide(GOOD, 0.05) is None


@pytest.mark.parametrize(
    ("changes", "limit"),
    [
        ({"attempts_left": 0}, HedgeLimit.ATTEMPTS),
        ({"is_clear": False}, HedgeLimit.STANDING),
        ({"is_limited": True}, HedgeLimit.RATE),
        ({"seconds_left": 0.1}, HedgeLimit.TIME),
        ({"typical_seconds": float("inf")}, HedgeLimit.TIME),
        ({"load": 0.5}, HedgeLimit.LOAD),
        ({"seconds_since_failure": FAILURE_COOLDOWN_SECONDS / 2}, HedgeLimit.FAILURES),
        ({"has_runner": False}, HedgeLimit.RUNNER),
        ({"hedges": 5}, HedgeLimit.SHARE),
        ({"requests": 19}, HedgeLimit.SHARE),
    ],
)
def test_a_hedge_passes_a_limit(changes: dict[str, object], limit: HedgeLimit) -> None:
    assert decide(GOOD._replace(**changes), 0.05) is limit


def test_hedges_and_requests_of_another_time_or_service_count() -> None:
    policy = HedgePolicy(0.1)
    policy.record_request(0.0, "app")
    policy.record_hedge(0.0, "app")
    assert policy.count_requests(5.0, "app") == policy.count_hedges(5.0, "app") == 1
    assert policy.count_requests(5.0, "other") == 0
    assert policy.count_requests(SHARE_SECONDS, "app") == 0
    assert policy.count_hedges(SHARE_SECONDS, "app") == 0


def test_slots_held_long_ago_count_as_load() -> None:
    policy = HedgePolicy(0.1)
    for number in range(10):
        policy.record_busy(float(number), "app", 2.0)
    assert policy.mean_in_use(9.0, "app") == pytest.approx(2.0)
    assert policy.mean_in_use(14.5, "app") == pytest.approx(1.0)
    assert policy.mean_in_use(99.0, "app") == 0.0


def test_a_policy_that_is_off_keeps_something_for_each_request() -> None:
    policy = HedgePolicy(0.0)
    policy.record_request(0.0, "app")
    policy.record_failure(0.0, "app")
    assert not policy.is_enabled
    assert policy.count_requests(0.0, "app") == 0
    assert policy.seconds_since_failure(0.0, "app") == float("inf")


# The load


@pytest.mark.parametrize("nodes", [1, 3])
@pytest.mark.parametrize(("slowness", "gain"), [(2.5, 1.0), (10.0, 1.8)])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_runner_that_is_slow_now_and_then_sets_the_slowest_answers(
    seed: int, slowness: float, gain: float, nodes: int
) -> None:
    """`gain` is the factor by which the 99th percentile falls at least."""
    options = {"seed": seed, "slowness": slowness, "nodes": nodes}
    plain, hedged = play(0.0, **options), play(0.05, **options)
    assert plain.hedges == [] and hedged.hedges != []
    assert hedged.ends["served"] == len(hedged.arrivals)
    assert plain.quantile(0.99) >= gain * hedged.quantile(0.99)
    assert hedged.quantile(0.5) <= 1.05 * plain.quantile(0.5)


@pytest.mark.parametrize("share", [0.02, 0.05, 0.2])
@pytest.mark.parametrize("seed", [1, 2])
def test_hedges_exceed_their_share_in_a_window(seed: int, share: float) -> None:
    """At each hedge, over the 10 s that end then; a node alone knows no others."""
    fleet = play(share, seed=seed, slowness=10.0)
    assert fleet.hedges
    for hedge in fleet.hedges:
        oldest = hedge.at - SHARE_SECONDS
        hedges = sum(oldest < h.at <= hedge.at for h in fleet.hedges)
        requests = sum(oldest < at <= hedge.at for at in fleet.arrivals)
        assert hedges <= share * requests


@pytest.mark.parametrize("nodes", [1, 3, 24])
@pytest.mark.parametrize("rate", [700.0, 900.0])
def test_hedges_go_to_a_service_that_has_more_to_do_than_it_can(
    rate: float, nodes: int
) -> None:
    """18 slots serve 450 requests a second; the first moment is that of the ramp."""
    fleet = play(0.2, 10.0, rate=rate, nodes=nodes, slowness=2.5)
    assert [hedge.at for hedge in fleet.hedges if hedge.at > 1.0] == []


def test_a_hedge_is_sent_beyond_the_retry_budget() -> None:
    limits = RetryLimits(0.0, 10.0, 10.0)
    fleet = play(0.2, slowness=10.0, limits=limits)
    times = [hedge.at for hedge in fleet.hedges]
    assert times
    for at in times:
        assert sum(at - limits.window < other <= at for other in times) <= 6
    assert fleet.exported('hawthornshelf_hedges_refused_total{limit="budget"}') > 0


def test_a_hedge_is_sent_beyond_the_attempts_of_its_route() -> None:
    fleet = play(0.2, slowness=10.0, route=ROUTE._replace(max_attempts=1))
    assert fleet.hedges == []
    assert fleet.exported('hawthornshelf_hedges_refused_total{limit="attempts"}') > 0
    assert len(fleet.sends) == len(fleet.arrivals)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_hedged_request_is_counted_twice_or_has_the_answer_of_another(
    seed: int,
) -> None:
    fleet = play(0.2, seed=seed, slowness=10.0, nodes=3)
    count = fleet.exported('hawthornshelf_requests_total{outcome="complete"')
    assert count == len(fleet.arrivals) == fleet.ends.total()
    assert fleet.wrong_answers == 0
    runs = [len(list(sends)) for _, sends in by_request(fleet)]
    assert max(runs) == 2
    sent = fleet.exported('hawthornshelf_hedges_total{outcome="sent"}')
    won = fleet.exported('hawthornshelf_hedges_total{outcome="won"}')
    assert sent == len(fleet.hedges) >= won > 0


def by_request(fleet: HedgeFleet) -> itertools.groupby:  # type: ignore[type-arg]
    """Group the sends of a fleet by request."""
    sends = sorted(fleet.sends, key=lambda send: send.request)
    return itertools.groupby(sends, key=lambda send: send.request)


def test_hedging_that_is_off_changes_a_send_a_metric_or_a_log_line() -> None:
    lines: list[dict[str, object]] = []
    eliot.add_destinations(lines.append)
    lines.clear()  # the first destination gets what was logged before
    try:
        fleet = play(0.0, 20.0, slowness=10.0)
    finally:
        eliot.remove_destination(lines.append)
    assert len(fleet.sends) == len(fleet.arrivals)
    assert "hedge" not in fleet.metrics[0].export({}).decode()
    assert any(line["message_type"] == "request-ended" for line in lines)
    assert not any({"won", "unhedged"} & line.keys() for line in lines)
    assert not any("hedge" in str(line["message_type"]) for line in lines)
