import msgspec

from hawthornshelf.commands import (
    DecideUsageReport,
    Done,
    FinishUsageReport,
    NotFound,
    StartUsageReports,
    UsageReportDecided,
)
from hawthornshelf.state import SharedState
from hawthornshelf.usagerecords import MAX_OPEN_WINDOWS, UsageRecords, WorkspaceCount

FIRST = (WorkspaceCount("acme", 3),)
SECOND = (WorkspaceCount("acme", 4),)
SNAPSHOT_FIELDS_WITHOUT_USAGE = 18


def make_state(*windows: int) -> SharedState:
    """Return a state in which reports are decided from the first window on."""
    state = SharedState()
    state.apply(1, 1, 0.0, StartUsageReports(windows[0]))
    for index, window in enumerate(windows, 2):
        state.apply(1, index, 0.0, DecideUsageReport(window, FIRST))
    return state


def test_the_first_decision_for_a_window_is_final() -> None:
    state = make_state(7)
    result = state.apply(2, 9, 0.0, DecideUsageReport(7, SECOND))
    assert result == UsageReportDecided(7, FIRST)
    assert state.usage.oldest() == (7, FIRST)


def test_windows_are_decided_in_order_only() -> None:
    state = make_state(7)
    assert isinstance(state.apply(1, 9, 0.0, DecideUsageReport(9, FIRST)), NotFound)
    assert isinstance(state.apply(1, 9, 0.0, DecideUsageReport(6, FIRST)), NotFound)
    assert state.usage.next_window == 8


def test_a_finished_window_is_never_decided_again() -> None:
    state = make_state(7)
    assert state.apply(1, 5, 0.0, FinishUsageReport(7)) == Done(5)
    assert isinstance(state.apply(1, 6, 0.0, FinishUsageReport(7)), NotFound)
    assert isinstance(state.apply(1, 7, 0.0, DecideUsageReport(7, SECOND)), NotFound)
    assert state.usage.oldest() is None


def test_a_later_start_leaves_windows_out_and_an_earlier_one_does_nothing() -> None:
    state = make_state(7)
    state.apply(1, 5, 0.0, StartUsageReports(3))
    assert state.usage.next_window == 8
    state.apply(1, 6, 0.0, StartUsageReports(20))
    assert state.usage.next_window == 20
    assert state.usage.oldest() == (7, FIRST)


def test_the_oldest_reports_are_dropped_beyond_the_limit() -> None:
    records = UsageRecords()
    records.start(1)
    for window in range(1, MAX_OPEN_WINDOWS + 4):
        assert records.decide(window, FIRST) is not None
    assert records.unfinished_count == MAX_OPEN_WINDOWS
    assert records.oldest() == (4, FIRST)


def test_a_snapshot_keeps_what_is_decided_and_not_finished() -> None:
    state = make_state(7, 8, 9)
    state.apply(1, 8, 0.0, FinishUsageReport(8))
    loaded = SharedState.load(state.dump())
    assert loaded.usage.snapshot() == state.usage.snapshot()
    assert loaded.usage.next_window == 10
    assert loaded.usage.oldest() == (7, FIRST)


def test_a_snapshot_without_usage_has_the_bytes_of_builds_before() -> None:
    """Builds that know no usage reports refuse a snapshot with one more field."""
    fields = msgspec.msgpack.decode(SharedState().dump())
    assert len(fields) == SNAPSHOT_FIELDS_WITHOUT_USAGE
    assert SharedState.load(msgspec.msgpack.encode(fields)).usage.next_window == 0
    fields = msgspec.msgpack.decode(make_state(7).dump())
    assert len(fields) == SNAPSHOT_FIELDS_WITHOUT_USAGE + 1
