"""Store a replica's vote, log and snapshot, in memory or on disk."""

import contextlib
import os
from abc import ABC, abstractmethod
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import msgspec

from hawthornshelf.errors import StorageCorrupt, StorageFailed
from hawthornshelf.log import LogEntry, Persist, RecoveredState, Snapshot
from hawthornshelf.logfile import frame_record, scan_records

__all__ = ["DiskStorage", "MemoryStorage", "Storage"]


class _Record(NamedTuple):
    term: int
    voted_for: str
    entries: tuple[LogEntry, ...]


class Storage(ABC):
    """Define durable storage for a replica's state."""

    @abstractmethod
    def load(self) -> RecoveredState:
        """Return the state last written; raise StorageCorrupt if it can't be read."""

    @abstractmethod
    def write(self, batches: Sequence[Persist]) -> None:
        """Write and sync the batches in order; raise StorageFailed on an I/O error."""

    def close(self) -> None:  # noqa: B027
        """Release the resources that the storage uses."""


def _replace_tail(entries: list[LogEntry], added: Sequence[LogEntry]) -> None:
    """Replace all entries from the index of the first added one with the added ones."""
    if not added:
        return
    first = added[0].index
    while entries and entries[-1].index >= first:
        entries.pop()
    entries.extend(added)


class MemoryStorage(Storage):
    """Store the state in memory; tests decide what survives a crash."""

    def __init__(self, replica: str, founding: Snapshot = Snapshot()) -> None:
        self._recovered = RecoveredState(replica, founding.term, "", founding)

    def load(self) -> RecoveredState:
        """Return the state last written."""
        return self._recovered

    def write(self, batches: Sequence[Persist]) -> None:
        """Write the batches in order."""
        for batch in batches:
            entries = [] if batch.snapshot else list(self._recovered.entries)
            _replace_tail(entries, batch.entries)
            self._recovered = RecoveredState(
                self._recovered.replica,
                batch.term,
                batch.voted_for,
                batch.snapshot or self._recovered.snapshot,
                tuple(entries),
            )


class DiskStorage(Storage):
    """Store the state in a data folder; each write appends one synced record.

    An empty folder gets the id `new_replica` and the snapshot `founding`, if that
    holds members. A folder with an id keeps its own.
    """

    def __init__(
        self, folder: Path, new_replica: str, founding: Snapshot = Snapshot()
    ) -> None:
        self._folder = folder
        self._new_replica = new_replica
        self._founding = founding
        self._log_file = -1
        self._failed = False
        self._has_identity = False
        folder.mkdir(parents=True, exist_ok=True)

    def load(self) -> RecoveredState:
        """Write the state that the files hold anew, sync it, and return it.

        What a killed process wrote may be in the page cache only, and after a sync that
        failed no later sync need write it. So nothing that was read counts before it is
        in new files. Raise StorageCorrupt if a file is corrupt or the log has a gap.
        """
        replica = self._load_identity()
        snapshot = self._load_snapshot()
        term, voted_for, entries = self._load_log(snapshot)
        self._rewrite(snapshot, _Record(term, voted_for, entries))
        return RecoveredState(replica, term, voted_for, snapshot, entries)

    def write(self, batches: Sequence[Persist]) -> None:
        """Write the batches as one record and sync it.

        Raise StorageFailed on an I/O error, and on every write until `recover`.
        """
        if self._failed:
            raise StorageFailed("write log", str(self._folder), "stopped earlier")
        try:
            self._write(batches)
        except OSError as error:
            self._failed = True
            raise StorageFailed("write log", str(self._folder), str(error)) from error

    def recover(self) -> RecoveredState:
        """Load the state again after a failed write, and accept writes.

        Raise StorageFailed on an I/O error.
        """
        self.close()
        try:
            recovered = self.load()
        except OSError as error:
            raise StorageFailed("rewrite log", str(self._folder), str(error)) from error
        self._failed = False
        return recovered

    def close(self) -> None:
        """Close the log file."""
        file, self._log_file = self._log_file, -1
        if file >= 0:
            os.close(file)

    def _write(self, batches: Sequence[Persist]) -> None:
        snapshot: Snapshot | None = None
        entries: list[LogEntry] = []
        for batch in batches:
            if batch.snapshot:
                snapshot = batch.snapshot
                entries = []
            _replace_tail(entries, batch.entries)
        last = batches[-1]
        record = _Record(last.term, last.voted_for, tuple(entries))
        if snapshot:
            self._rewrite(snapshot, record)
        else:
            self._append(record)

    def _append(self, record: _Record) -> None:
        data = frame_record(msgspec.msgpack.encode(record))
        self._write_whole(self._log_file, data)
        self._sync(self._log_file)

    def _rewrite(self, snapshot: Snapshot, record: _Record) -> None:
        self._replace("snapshot", msgspec.msgpack.encode(snapshot))
        self._replace("log", msgspec.msgpack.encode(record))
        self.close()
        self._log_file = os.open(self._path("log"), os.O_WRONLY | os.O_APPEND)

    def _replace(self, name: str, payload: bytes) -> None:
        """Replace a file atomically: write and sync a new file, then rename it."""
        temporary = self._path(f"{name}.new")
        file = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
        try:
            self._write_whole(file, frame_record(payload))
            self._sync(file)
        finally:
            os.close(file)
        os.replace(temporary, self._path(name))
        self._sync_folder()

    def _write_whole(self, file: int, data: bytes) -> None:
        if os.write(file, data) != len(data):
            raise OSError("short write")

    def _sync(self, file: int) -> None:
        os.fsync(file)

    def _sync_folder(self) -> None:
        self._sync_path(self._folder)

    def _sync_path(self, path: Path) -> None:
        folder = os.open(path, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def _load_identity(self) -> str:
        path = self._path("replica-id")
        if not path.exists():
            if self._path("log").exists():
                raise self._corrupt(
                    "replica-id", "a log exists but the replica id is missing"
                )
            if self._has_identity:
                raise self._corrupt("replica-id", "lost while the process ran")
            self._write_identity()
        replica = self._read_record_file("replica-id").decode()
        # A log whose name outlives that of the id could never be read again.
        self._sync_folder()
        self._has_identity = True
        return replica

    def _write_identity(self) -> None:
        """Write the founding snapshot, if any, and then the replica id.

        Only the id puts the snapshot in force, so one without an id is what a process
        left that was killed in between, and is removed.
        """
        self._sync_path(self._folder.parent)
        if self._path("snapshot").exists():
            os.unlink(self._path("snapshot"))
            self._sync_folder()
        if self._founding.membership.members:
            self._replace("snapshot", msgspec.msgpack.encode(self._founding))
        self._replace("replica-id", self._new_replica.encode())

    def _load_snapshot(self) -> Snapshot:
        if not self._path("snapshot").exists():
            return Snapshot()
        data = self._read_record_file("snapshot")
        try:
            return msgspec.msgpack.decode(data, type=Snapshot)
        except msgspec.DecodeError as error:
            raise self._corrupt("snapshot", str(error)) from error

    def _load_log(self, snapshot: Snapshot) -> _Record:
        """Return the term, the vote and the entries after the snapshot."""
        entries: list[LogEntry] = []
        term, voted_for = 0, ""
        for record in self._load_records():
            term, voted_for = record.term, record.voted_for
            _replace_tail(entries, record.entries)
        if any(e.index == snapshot.index and e.term != snapshot.term for e in entries):
            # The process ended before the log that goes with a leader's snapshot.
            entries = []
        entries = [entry for entry in entries if entry.index > snapshot.index]
        if term < snapshot.term:
            term, voted_for = snapshot.term, ""
        self._check_contiguous(snapshot, entries)
        return _Record(term, voted_for, tuple(entries))

    def _load_records(self) -> list[_Record]:
        """Return the records of the log, without one that is torn at the end."""
        path = self._path("log")
        if not path.exists():
            return []
        scan = scan_records(path.read_bytes())
        if scan.corrupt_middle:
            raise self._corrupt("log", f"corrupt record at byte {scan.valid_bytes}")
        try:
            return [msgspec.msgpack.decode(r, type=_Record) for r in scan.records]
        except msgspec.DecodeError as error:
            raise self._corrupt("log", str(error)) from error

    def _read_record_file(self, name: str) -> bytes:
        scan = scan_records(self._path(name).read_bytes())
        if len(scan.records) != 1:
            raise self._corrupt(name, "checksum does not match")
        return scan.records[0]

    def _check_contiguous(self, snapshot: Snapshot, entries: list[LogEntry]) -> None:
        for expected, entry in enumerate(entries, snapshot.index + 1):
            if entry.index != expected:
                reason = f"log entry {expected} is missing"
                raise self._corrupt("log", reason)

    def _corrupt(self, name: str, reason: str) -> StorageCorrupt:
        return StorageCorrupt("read data folder", str(self._path(name)), reason)

    def _path(self, name: str) -> Path:
        return self._folder / name

    def __del__(self) -> None:
        with contextlib.suppress(OSError):
            self.close()
