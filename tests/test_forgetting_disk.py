"""Test the storage on a disk that forgets what was not synced, at every call.

A process is killed at each of its calls, starts again, and is killed at each of those
calls, or goes on; then the power is lost. What a started storage returned, and what a
write confirmed, must be there in every content that the folder may have after that.
"""

from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import NamedTuple

import pytest

from hawthornshelf.errors import StorageFailed
from hawthornshelf.founding import make_founding_snapshot, make_replica_id
from hawthornshelf.log import EntryKind, LogEntry, Persist, RecoveredState, Snapshot
from hawthornshelf.storage import DiskStorage
from tests.forgettingdisk import Files, ForgettingDisk, Killed, attach

NODES = ("a", "b", "c")
FOUNDING = make_founding_snapshot("a", NODES)
MEMBERS = FOUNDING.membership


def entries(first: int, last: int, term: int = 1) -> tuple[LogEntry, ...]:
    return tuple(
        LogEntry(term, index, EntryKind.COMMAND, b"%d.%d" % (term, index))
        for index in range(first, last + 1)
    )


APPEND = [Persist(1, 1, "", entries(2, 4)), Persist(2, 1, "", entries(5, 6))]
VOTE = [Persist(1, 2, "b"), Persist(2, 3, "c")]
CONFLICT = [Persist(1, 1, "", entries(2, 6)), Persist(2, 3, "c", entries(4, 5, 3))]
COMPACTION = [
    Persist(1, 1, "", entries(2, 6)),
    Persist(2, 1, "", entries(5, 6), Snapshot(1, 4, MEMBERS, b"four")),
    Persist(3, 1, "", entries(7, 7)),
]
SNAPSHOT_AHEAD = [
    Persist(1, 1, "", entries(2, 6)),
    Persist(2, 3, "", (), Snapshot(3, 5, MEMBERS, b"five")),
    Persist(3, 3, "", entries(6, 6, 3)),
]
SCRIPTS: dict[str, Sequence[Persist]] = {
    "identity": [],
    "append": APPEND,
    "vote": VOTE,
    "conflict": CONFLICT,
    "compaction": COMPACTION,
    "snapshot-ahead": SNAPSHOT_AHEAD,
}


class Promise(NamedTuple):
    """Represent what counts as durable."""

    replica: str = ""
    term: int = 0
    voted_for: str = ""
    log: tuple[tuple[int, int], ...] = ()

    @classmethod
    def of(cls, state: RecoveredState) -> "Promise":
        """Return what a started storage promises."""
        log = [(n, state.snapshot.term) for n in range(1, state.snapshot.index + 1)]
        log += [(entry.index, entry.term) for entry in state.entries]
        return cls(state.replica, state.term, state.voted_for, tuple(log))

    def is_kept_by(self, state: RecoveredState) -> bool:
        """Return whether a state holds what was promised.

        Indexes within a snapshot count as held whatever their term was.
        """
        held = Promise.of(state)
        terms = dict(held.log)
        is_logged = all(
            terms.get(index) == term or 0 < index <= state.snapshot.index
            for index, term in self.log
        )
        is_voted = held.term > self.term or held.voted_for == self.voted_for
        is_same = self.replica in ("", held.replica)
        return is_logged and is_voted and is_same and held.term >= self.term


class Process:
    """Run the storage of one process on a disk, until it is killed."""

    def __init__(self, disk: ForgettingDisk, is_first: bool = True) -> None:
        self.disk = disk
        founding = FOUNDING if is_first else Snapshot()
        replica = make_replica_id(founding, "a", "random")
        self.storage = DiskStorage(disk.folder, replica, founding)
        self.promise = Promise()
        self.unconfirmed = Promise()

    def follow(self, other: "Process") -> None:
        """Take over what counted as durable, or may do, before this process started."""
        self.promise, self.unconfirmed = other.promise, other.unconfirmed

    def run(self, script: Sequence[Persist], kill_after: int = 0) -> bool:
        """Load, and write what is not there yet; return whether it ran to its end."""
        self.disk.kill_at = self.disk.calls + kill_after if kill_after else 0
        try:
            state = self.storage.load()
            assert self.holds(state)
            self.promise = self.unconfirmed = Promise.of(state)
            for batch in script:
                if self._is_due(batch):
                    self.unconfirmed = self._after(batch)
                    self.storage.write([batch])
                    self.promise = self.unconfirmed
        except Killed:
            return False
        finally:
            self.disk.kill_at = 0
            self.storage.close()
        return True

    def holds(self, state: RecoveredState) -> bool:
        """Return whether a state has what was promised, or also the write after it."""
        promises = (self.promise, self.unconfirmed)
        return any(promise.is_kept_by(state) for promise in promises)

    def _is_due(self, batch: Persist) -> bool:
        terms = dict(self.promise.log)
        has_entries = all(terms.get(e.index) == e.term for e in batch.entries)
        covers = batch.snapshot is None or batch.snapshot.index in terms
        is_voted = (batch.term, batch.voted_for) <= self.promise[1:3]
        is_written = has_entries and covers and is_voted
        return batch.term >= self.promise.term and not is_written

    def _after(self, batch: Persist) -> Promise:
        log = dict(self.promise.log)
        if batch.snapshot is not None:
            index, term = batch.snapshot.index, batch.snapshot.term
            log = dict.fromkeys(range(1, index + 1), term)
        if batch.entries:
            first = batch.entries[0].index
            log = {index: term for index, term in log.items() if index < first}
            log |= {entry.index: entry.term for entry in batch.entries}
        rows = tuple(sorted(log.items()))
        return Promise(self.promise.replica, batch.term, batch.voted_for, rows)


class Fixture:
    """Make disks in folders of their own, and check what a loss of power leaves."""

    def __init__(self, folder: Path, patch: pytest.MonkeyPatch) -> None:
        self._folder = folder
        self._patch = patch
        self._count = 0

    def make_disk(self, files: Files | None = None) -> ForgettingDisk:
        """Return a disk in a new folder that the storage calls from now on."""
        self._count += 1
        disk = ForgettingDisk(self._folder / str(self._count), files)
        attach(self._patch, disk)
        return disk

    def check_power_loss(self, process: Process) -> None:
        """Fail if a content that the folder may have breaks the promise."""
        for files in process.disk.outcomes():
            again = Process(self.make_disk(files), not process.promise.replica)
            state = again.storage.load()
            again.storage.close()
            assert process.holds(state), (process.promise, state, sorted(files))
        attach(self._patch, process.disk)


@pytest.fixture
def fixture(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Fixture:
    return Fixture(tmp_path, monkeypatch)


def kill_at_every_call(
    prepare: Callable[[], Process], script: Sequence[Persist]
) -> Iterator[Process]:
    """Run a process that is killed at its first call, then its second, to its end."""
    for call in range(1, 1000):
        process = prepare()
        if process.run(script, kill_after=call):
            yield process
            return
        yield process


@pytest.mark.parametrize("goes_on", [False, True])
@pytest.mark.parametrize("name", SCRIPTS)
def test_a_started_storage_returns_what_the_next_loss_of_power_takes(
    fixture: Fixture, name: str, goes_on: bool
) -> None:
    script = SCRIPTS[name]
    kills = 0
    for killed in kill_at_every_call(lambda: Process(fixture.make_disk()), script):
        kills += 1
        started = Process(killed.disk)
        started.follow(killed)
        started.run(script if goes_on else ())
        fixture.check_power_loss(started)
    assert kills > 10


@pytest.mark.parametrize("name", SCRIPTS)
def test_a_second_kill_takes_what_the_first_one_left(
    fixture: Fixture, name: str
) -> None:
    script = SCRIPTS[name]
    for call in range(1, 1000):

        def prepare(call: int = call) -> Process:
            first = Process(fixture.make_disk())
            first.run(script, kill_after=call)
            again = Process(first.disk)
            again.follow(first)
            return again

        for process in kill_at_every_call(prepare, script):
            fixture.check_power_loss(process)
        if Process(fixture.make_disk()).run(script, kill_after=call):
            return


@pytest.mark.parametrize("name", ["append", "compaction", "snapshot-ahead"])
def test_a_kill_after_a_loss_of_power_takes_what_was_read(
    fixture: Fixture, name: str
) -> None:
    script = SCRIPTS[name]
    for call in range(1, 1000):
        first = Process(fixture.make_disk())
        is_whole = first.run(script, kill_after=call)
        for files in list(first.disk.outcomes()):

            def prepare(files: Files = files, first: Process = first) -> Process:
                again = Process(fixture.make_disk(files))
                again.follow(first)
                return again

            for process in kill_at_every_call(prepare, ()):
                fixture.check_power_loss(process)
        if is_whole:
            return


def test_a_full_disk_takes_what_was_read_before(fixture: Fixture) -> None:
    for call in range(1, 1000):
        disk = fixture.make_disk()
        process = Process(disk)
        process.run(APPEND)
        disk.room = 0
        with pytest.raises((StorageFailed, OSError)):
            process.storage.load()
            process.storage.write(VOTE)
        disk.room = None
        disk.kill_at = disk.calls + call
        try:
            process.promise = Promise.of(process.storage.recover())
            is_whole = True
        except Killed:
            is_whole = False
        disk.kill_at = 0
        process.storage.close()
        fixture.check_power_loss(process)
        if is_whole:
            return


def test_a_stale_tail_of_the_log_survives_a_snapshot_from_the_leader(
    fixture: Fixture,
) -> None:
    for process in kill_at_every_call(
        lambda: Process(fixture.make_disk()), SNAPSHOT_AHEAD[:2]
    ):
        state = Process(process.disk).storage.load()
        terms = [entry.term for entry in state.entries]
        assert state.snapshot.index < 5 or 1 not in terms
