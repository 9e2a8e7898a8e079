import random

import pytest

from hawthornshelf.messages import CODEC, UsageCounts
from hawthornshelf.usage import (
    MAX_WINDOWS,
    UsageCounter,
    UsageLedger,
    check_window,
)
from hawthornshelf.usagerecords import WindowCounts, WorkspaceCount

SECONDS = 5.0


def tell(
    counter: UsageCounter,
    at: float,
    since: int = 0,
    node: str = "e1",
    incarnation: str = "i",
) -> UsageCounts:
    as_of = counter.complete_until(at)
    totals = counter.totals(since)
    return UsageCounts(node, incarnation, as_of, totals, counter.version, since)


def sums(ledger: UsageLedger, window: int) -> dict[str, int]:
    return dict(ledger.total(window))


def test_requests_are_counted_by_window_and_workspace() -> None:
    counter = UsageCounter(SECONDS)
    for at, name in ((9.9, "b"), (10.0, "a"), (14.99, "a"), (15.0, "a")):
        counter.record(at, name)
    assert counter.totals(0) == (
        WindowCounts(1, (WorkspaceCount("b", 1),)),
        WindowCounts(2, (WorkspaceCount("a", 2),)),
        WindowCounts(3, (WorkspaceCount("a", 1),)),
    )


def test_only_totals_that_changed_since_a_version_are_told() -> None:
    counter = UsageCounter(SECONDS)
    counter.record(10.0, "a")
    counter.record(11.0, "b")
    version = counter.version
    counter.record(12.0, "a")
    assert counter.totals(version) == (WindowCounts(2, (WorkspaceCount("a", 2),)),)
    assert counter.totals(counter.version) == ()


def test_a_held_request_keeps_its_window_open_and_counts_when_it_was_sent() -> None:
    counter = UsageCounter(SECONDS)
    held = counter.hold(14.9, "a")
    assert counter.complete_until(16.0) == 14.9
    counter.accept(held)
    assert counter.complete_until(16.1) == 16.1
    assert counter.totals(0) == (WindowCounts(2, (WorkspaceCount("a", 1),)),)


def test_a_refused_request_is_not_counted() -> None:
    counter = UsageCounter(SECONDS)
    assert counter.withdraw(counter.hold(14.9, "a"))
    assert counter.totals(0) == ()
    assert counter.complete_until(15.0) == 15.0


def test_a_request_at_a_silent_runner_does_not_keep_its_window_open_for_ever() -> None:
    counter = UsageCounter(SECONDS)
    held = counter.hold(14.9, "a")
    assert counter.complete_until(17.0) == 17.0
    assert not counter.withdraw(held)
    counter.accept(held)
    assert counter.totals(0) == (WindowCounts(2, (WorkspaceCount("a", 1),)),)


def test_a_node_keeps_the_last_windows_only_and_none_that_is_decided() -> None:
    counter = UsageCounter(SECONDS)
    for window in range(40):
        counter.record(window * SECONDS, "a")
    windows = [row.window for row in counter.totals(0)]
    assert windows == list(range(40 - MAX_WINDOWS, 40))
    counter.forget(37)
    assert [row.window for row in counter.totals(0)] == [38, 39]
    counter.record(37 * SECONDS, "a")
    assert counter.late == 1
    assert [row.window for row in counter.totals(0)] == [38, 39]


@pytest.mark.parametrize("seed", range(20))
def test_lost_repeated_and_reordered_messages_do_not_change_the_sums(
    seed: int,
) -> None:
    """And a window never counts as complete while totals are missing."""
    rng = random.Random(seed)
    counter, ledger = UsageCounter(SECONDS), UsageLedger(SECONDS)
    truth: dict[int, int] = {}
    confirmed, now = 0, 100.0
    under_way: list[UsageCounts] = []
    for _ in range(300):
        now += rng.uniform(0, 0.3)
        if rng.random() < 0.7:
            counter.record(now, "a")
            window = int(now // SECONDS)
            truth[window] = truth.get(window, 0) + 1
        if rng.random() < 0.4:
            under_way.append(tell(counter, now, confirmed))
        if under_way and rng.random() < 0.4:
            message = rng.choice(under_way)
            version = ledger.merge(now, message)
            if rng.random() < 0.5:
                confirmed = version
        if rng.random() < 0.02:
            ledger = UsageLedger(SECONDS)
        for window, total in truth.items():
            if ledger.complete_until().get("e1", 0.0) >= (window + 1) * SECONDS:
                assert sums(ledger, window) == {"a": total}
    for _ in range(2):
        confirmed = ledger.merge(now, tell(counter, now, confirmed))
    assert all(sums(ledger, w) == {"a": n} for w, n in truth.items())


def test_the_counts_of_a_restarted_node_add_up() -> None:
    ledger = UsageLedger(SECONDS)
    for incarnation, requests in (("i", 3), ("j", 2)):
        counter = UsageCounter(SECONDS)
        for _ in range(requests):
            counter.record(10.0, "a")
        ledger.merge(0.0, tell(counter, 12.0, incarnation=incarnation))
        ledger.merge(0.0, tell(counter, 12.0, incarnation=incarnation))
    assert sums(ledger, 2) == {"a": 5}


def test_a_ledger_drops_decided_windows_and_silent_processes() -> None:
    ledger = UsageLedger(SECONDS)
    counter = UsageCounter(SECONDS)
    counter.record(10.0, "a")
    message = tell(counter, 12.0)
    ledger.merge(0.0, message)
    ledger.forget(0.0, 2)
    assert ledger.total(2) == ()
    ledger.merge(0.0, message)
    assert ledger.total(2) == ()
    ledger.forget(MAX_WINDOWS * SECONDS + 1, 2)
    assert ledger.complete_until().get("e1", 0.0) == 0.0


def close(
    ledger: UsageLedger, time: float, live: tuple[str, ...], is_settled: bool = True
) -> tuple[bool, tuple[str, ...]]:
    return check_window(15.0, time, 10.0, is_settled, live, ledger)


def test_a_window_closes_once_all_live_nodes_are_complete() -> None:
    ledger = UsageLedger(SECONDS)
    ledger.merge(0.0, tell(UsageCounter(SECONDS), 15.0, node="e1"))
    ledger.merge(0.0, tell(UsageCounter(SECONDS), 14.9, node="e2"))
    assert close(ledger, 15.5, ("e1",)) == (True, ())
    assert close(ledger, 15.5, ("e1", "e2")) == (False, ("e2",))
    assert close(ledger, 14.9, ("e1",)) == (False, ())


def test_missing_nodes_are_left_out_in_time_for_the_report() -> None:
    ledger = UsageLedger(SECONDS)
    assert close(ledger, 20.9, ("e1",)) == (False, ("e1",))
    assert close(ledger, 21.0, ("e1",)) == (True, ("e1",))


def test_a_leader_that_knows_too_little_closes_no_window() -> None:
    """A new one may know few nodes, all of which seem complete."""
    ledger = UsageLedger(SECONDS)
    assert close(ledger, 30.0, (), is_settled=False) == (False, ())


@pytest.mark.parametrize(("own", "corrected"), [(130.0, 102.5), (70.0, 100.0)])
def test_a_wrong_clock_is_bounded_by_the_median_of_the_nodes(
    own: float, corrected: float
) -> None:
    ledger = UsageLedger(SECONDS)
    for number, at in enumerate((100.0, 100.0, 50.0, 100.0)):
        ledger.merge(7.0, tell(UsageCounter(SECONDS), at, node=f"e{number}"))
    assert ledger.correct(7.0, own) == pytest.approx(corrected)
    assert ledger.correct(7.0, 101.0) == 101.0
    assert ledger.correct(11.0, own) == own


def test_a_message_carries_little_besides_the_totals() -> None:
    """Once a second from 330 nodes to two replicas each."""
    quiet = UsageCounts("10.200.10.200:7661", "a1b2c3d4e5f6", 1.8e9, (), 90_000, 90_000)
    assert len(CODEC.encode(quiet)) < 150
    counts = tuple(WorkspaceCount(f"workspace-{n}", 300) for n in range(85))
    full = UsageCounts("e", "i", 1.8e9, (WindowCounts(360_000_000, counts),), 1, 1)
    assert len(CODEC.encode(full)) < 150 + 85 * 18
