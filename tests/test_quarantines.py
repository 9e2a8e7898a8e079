"""Test the replicated table of quarantines, and what nodes propose for it."""

from hawthornshelf.commands import Command, LiftQuarantine, RecordQuarantine
from hawthornshelf.crashrecords import CrashRow, Evidence, Standing, Transition
from hawthornshelf.crashtable import CrashTable
from hawthornshelf.quarantinerecorder import (
    MAX_TRIES,
    RETRY_SECONDS,
    TURN_SECONDS,
    QuarantineRecorder,
)
from hawthornshelf.quarantines import (
    MAX_CRASHES,
    MAX_ROWS,
    CrashRecord,
    QuarantineRow,
    QuarantineTable,
)
from hawthornshelf.state import SharedState

POISON = b"p" * 16
OTHER = b"o" * 16
KEPT_SECONDS = 1200.0
WALL = 1_800_000_000.0


def make_rows(count: int, digest: bytes = POISON, first: int = 0) -> list[CrashRow]:
    return [
        CrashRow(f"r{n}", float(count - n), Evidence.GONE, (digest,))
        for n in range(first, first + count)
    ]


def make_table(count: int = 3) -> CrashTable:
    table = CrashTable()
    for row in make_rows(count):
        table.merge(100.0, row)
    return table


def begin(table: CrashTable, digest: bytes = POISON) -> Transition:
    standing = table.standing(100.0, digest)
    return Transition(digest, True, standing, standing.quarantined_until)


def restart(rows: tuple[QuarantineRow, ...], wall: float = WALL) -> CrashTable:
    """Return the table of a node that knows only what the control group keeps."""
    table = CrashTable()
    QuarantineRecorder(table, lambda digest: 0).load(5.0, wall, rows)
    return table


def apply(state: SharedState, index: int, command: Command) -> None:
    state.apply(1, index, WALL, command)


def test_a_recorded_quarantine_blocks_the_request_at_a_node_that_starts() -> None:
    state = SharedState()
    apply(state, 1, RecordQuarantine(tuple(make_rows(3)), KEPT_SECONDS))
    state = SharedState.load(state.dump())
    table = restart(state.view().quarantines)
    (culprit,) = table.culprits(5.0)
    assert culprit.suspects == {POISON}
    assert table.blocked_until(5.0, culprit) > 5.0


def test_a_quarantine_is_written_once_and_changes_the_view_once() -> None:
    state = SharedState()
    command = RecordQuarantine(tuple(make_rows(3)), KEPT_SECONDS)
    apply(state, 1, command)
    apply(state, 2, command)
    assert state.revision == 1


def test_crashes_that_different_nodes_know_of_add_up() -> None:
    table = QuarantineTable()
    assert table.record(WALL, make_rows(3), KEPT_SECONDS)
    assert table.record(WALL, make_rows(3, first=1), KEPT_SECONDS)
    assert not table.record(WALL, make_rows(3), KEPT_SECONDS)
    (row,) = table.rows()
    assert [crash.crash for crash in row.crashes] == ["r0", "r1", "r2", "r3"]


def test_the_table_is_bounded_in_rows_crashes_and_age() -> None:
    table = QuarantineTable()
    table.record(WALL, make_rows(2 * MAX_CRASHES), KEPT_SECONDS)
    assert len(table.rows()[0].crashes) == MAX_CRASHES
    for number in range(2 * MAX_ROWS):
        table.record(WALL, make_rows(3, b"%016d" % number), KEPT_SECONDS)
    assert len(table.rows()) == MAX_ROWS
    table.record(WALL + KEPT_SECONDS, make_rows(3, OTHER), KEPT_SECONDS)
    assert [row.digests for row in table.rows()] == [(OTHER,)]


def test_a_lifted_quarantine_is_not_restored() -> None:
    state = SharedState()
    apply(state, 1, RecordQuarantine(tuple(make_rows(3)), KEPT_SECONDS))
    apply(state, 2, LiftQuarantine((POISON,)))
    assert state.revision == 2
    assert not restart(state.view().quarantines).has_suspects


def test_a_row_that_is_too_old_or_has_unreadable_digests_is_not_applied() -> None:
    crash = CrashRecord("r0", WALL, Evidence.GONE)
    old = QuarantineRow((POISON,), (crash,), WALL)
    odd = QuarantineRow((b"odd",), (crash,), WALL + KEPT_SECONDS)
    table = CrashTable()
    recorder = QuarantineRecorder(table, lambda digest: 0)
    (line,) = recorder.load(5.0, WALL, (old, odd))
    assert dict(line.fields)["unreadable"] == 1
    assert not table.has_suspects


def test_nodes_propose_in_turn_until_the_view_says_so() -> None:
    table = make_table()
    recorders = [QuarantineRecorder(table, lambda digest, n=n: n) for n in range(3)]
    for recorder in recorders:
        recorder.note(100.0, [begin(table)])
    (command,) = recorders[0].take_due(100.0)
    assert isinstance(command, RecordQuarantine)
    assert recorders[1].take_due(100.0) == []
    assert len(recorders[1].take_due(100.0 + TURN_SECONDS)) == 1
    state = SharedState()
    apply(state, 1, command)
    for recorder in recorders:
        recorder.load(101.0, WALL, state.view().quarantines)
        assert recorder.take_due(101.0 + RETRY_SECONDS) == []


def test_a_request_that_completed_is_lifted_and_one_whose_time_is_over_is_not() -> None:
    table = make_table()
    recorder = QuarantineRecorder(table, lambda digest: 0)
    state = SharedState()
    apply(state, 1, RecordQuarantine(tuple(make_rows(3)), KEPT_SECONDS))
    recorder.load(100.0, WALL, state.view().quarantines)
    recorder.note(800.0, [Transition(POISON, False, table.standing(800.0, POISON))])
    assert recorder.take_due(800.0) == []
    recorder.note(801.0, [Transition(POISON, False, Standing())])
    assert recorder.take_due(801.0) == [LiftQuarantine((POISON,))]


def test_a_record_that_the_group_does_not_take_is_given_up_with_a_line() -> None:
    table = make_table()
    recorder = QuarantineRecorder(table, lambda digest: 0)
    recorder.note(100.0, [begin(table)])
    for number in range(MAX_TRIES + 1):
        recorder.take_due(100.0 + number * RETRY_SECONDS)
    (line,) = recorder.take_lines()
    assert line.event == "quarantine-not-recorded"
    assert recorder.take_due(1000.0) == []
