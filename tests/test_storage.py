"""Test the memory and disk storage, and the disk storage with damaged files."""

import os
from pathlib import Path

import pytest

from hawthornshelf.errors import StorageCorrupt, StorageFailed
from hawthornshelf.log import EntryKind, LogEntry, Member, Membership, Persist, Snapshot
from hawthornshelf.storage import DiskStorage, MemoryStorage, Storage


class Opener:
    """Open a storage, and reopen it as a restart would."""

    def __init__(self, folder: Path, on_disk: bool) -> None:
        self._folder = folder
        self._on_disk = on_disk
        self._memory = MemoryStorage("r1")

    def __call__(self) -> Storage:
        return DiskStorage(self._folder, "r1") if self._on_disk else self._memory


@pytest.fixture(params=[False, True], ids=["memory", "disk"])
def reopen(request: pytest.FixtureRequest, tmp_path: Path) -> Opener:
    return Opener(tmp_path, request.param)


def entries(first: int, last: int, term: int = 1) -> tuple[LogEntry, ...]:
    return tuple(
        LogEntry(term, index, EntryKind.COMMAND, f"{term}.{index}".encode())
        for index in range(first, last + 1)
    )


def snapshot(index: int, term: int = 1) -> Snapshot:
    members = Membership((Member("r1", "n1", voter=True),))
    return Snapshot(term, index, members, b"state")


def test_a_new_storage_is_empty(reopen: Opener) -> None:
    recovered = reopen().load()
    assert recovered.replica == "r1"
    assert recovered.entries == ()


def test_written_state_is_loaded(reopen: Opener) -> None:
    storage = reopen()
    storage.load()
    storage.write([Persist(1, 3, "r2", entries(1, 3))])
    recovered = reopen().load()
    assert (recovered.term, recovered.voted_for) == (3, "r2")
    assert recovered.entries == entries(1, 3)


def test_entries_replace_those_from_their_index_on(reopen: Opener) -> None:
    storage = reopen()
    storage.load()
    storage.write(
        [Persist(1, 1, "", entries(1, 5)), Persist(2, 2, "", entries(3, 4, 2))]
    )
    assert reopen().load().entries == entries(1, 2) + entries(3, 4, 2)


def test_a_snapshot_replaces_all_entries(reopen: Opener) -> None:
    storage = reopen()
    storage.load()
    storage.write([Persist(1, 1, "", entries(1, 9))])
    storage.write([Persist(2, 1, "", entries(6, 9), snapshot(5))])
    storage.write([Persist(3, 1, "", entries(10, 10))])
    recovered = reopen().load()
    assert recovered.snapshot == snapshot(5)
    assert recovered.entries == entries(6, 10)


def test_a_torn_tail_is_truncated_to_the_last_whole_record(tmp_path: Path) -> None:
    storage = DiskStorage(tmp_path, "r1")
    storage.load()
    storage.write([Persist(1, 1, "", entries(1, 2))])
    whole = (tmp_path / "log").read_bytes()
    storage.write([Persist(2, 1, "", entries(3, 4))])
    both = (tmp_path / "log").read_bytes()
    for length in range(len(whole), len(both)):
        (tmp_path / "log").write_bytes(both[:length])
        reopened = DiskStorage(tmp_path, "other")
        assert reopened.load().entries == entries(1, 2)
        reopened.write([Persist(3, 1, "", entries(3, 3))])
        assert DiskStorage(tmp_path, "other").load().entries == entries(1, 3)


def test_a_corrupt_record_before_a_valid_one_is_refused(tmp_path: Path) -> None:
    storage = DiskStorage(tmp_path, "r1")
    storage.load()
    for number in range(1, 4):
        storage.write([Persist(number, 1, "", entries(number, number))])
    data = bytearray((tmp_path / "log").read_bytes())
    data[20] ^= 0xFF
    (tmp_path / "log").write_bytes(data)
    with pytest.raises(StorageCorrupt, match="corrupt record"):
        DiskStorage(tmp_path, "r1").load()


@pytest.mark.parametrize("name", ["replica-id", "snapshot"])
def test_a_corrupt_file_is_refused(tmp_path: Path, name: str) -> None:
    storage = DiskStorage(tmp_path, "r1")
    storage.load()
    storage.write([Persist(1, 1, "", (), snapshot(5))])
    data = bytearray((tmp_path / name).read_bytes())
    data[-1] ^= 0xFF
    (tmp_path / name).write_bytes(data)
    with pytest.raises(StorageCorrupt):
        DiskStorage(tmp_path, "r1").load()


def test_a_log_without_a_replica_id_is_refused(tmp_path: Path) -> None:
    DiskStorage(tmp_path, "r1").load()
    (tmp_path / "replica-id").unlink()
    with pytest.raises(StorageCorrupt):
        DiskStorage(tmp_path, "r2").load()


def test_a_crash_at_each_step_of_a_snapshot_loses_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    real_replace = os.replace
    for fails_at in (1, 2):
        folder = tmp_path / str(fails_at)
        storage = DiskStorage(folder, "r1")
        storage.load()
        storage.write([Persist(1, 1, "", entries(1, 9))])
        calls = iter(range(1, 3))

        def replace(old: Path, new: Path, at: int = fails_at, calls=calls) -> None:
            if next(calls) == at:
                raise OSError("crash")
            real_replace(old, new)

        monkeypatch.setattr(os, "replace", replace)
        with pytest.raises(StorageFailed):
            storage.write([Persist(2, 1, "", entries(6, 9), snapshot(5))])
        monkeypatch.setattr(os, "replace", real_replace)
        recovered = DiskStorage(folder, "r1").load()
        last = recovered.entries[-1]
        assert last == entries(9, 9)[0]
        assert recovered.snapshot.index in (0, 5)


@pytest.mark.parametrize("call", ["write", "fsync"])
def test_a_failed_write_or_sync_stops_the_storage(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    storage = DiskStorage(tmp_path, "r1")
    storage.load()

    def fail(*_: object) -> int:
        raise OSError(28, "no space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(os, call, fail)
        with pytest.raises(StorageFailed, match="no space left"):
            storage.write([Persist(1, 1, "", entries(1, 1))])
    with pytest.raises(StorageFailed, match="stopped earlier"):
        storage.write([Persist(2, 1, "", entries(1, 1))])


@pytest.mark.parametrize("call", ["write", "fsync"])
def test_recovery_rewrites_and_syncs_the_whole_state(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    """After a failed write or sync, the page cache may hold data the disk lacks."""
    storage = DiskStorage(tmp_path, "r1")
    storage.load()
    storage.write([Persist(1, 3, "r2", entries(1, 4))])

    def fail(*_: object) -> int:
        raise OSError(28, "no space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(os, call, fail)
        with pytest.raises(StorageFailed):
            storage.write([Persist(2, 3, "r2", entries(5, 6))])
        with pytest.raises(StorageFailed):
            storage.recover()
    synced: list[int] = []
    fsync = os.fsync

    def record_sync(file: int) -> None:
        synced.append(file)
        fsync(file)

    monkeypatch.setattr(os, "fsync", record_sync)
    recovered = storage.recover()
    assert len(synced) >= 4
    assert (recovered.term, recovered.voted_for) == (3, "r2")
    assert recovered.entries[:4] == entries(1, 4)
    storage.write([Persist(3, 4, "r1", entries(5, 5, term=4))])
    again = DiskStorage(tmp_path, "r1").load()
    assert again.entries == entries(1, 4) + entries(5, 5, term=4)


def test_a_log_that_could_not_be_opened_again_is_not_closed_twice(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its descriptor may belong to a connection by then."""
    storage = DiskStorage(tmp_path, "r1")
    storage.load()
    storage.write([Persist(1, 1, "", entries(1, 4))])
    real_open = os.open

    def fail(path: Path, flags: int, *args: int) -> int:
        if flags == os.O_WRONLY | os.O_APPEND:
            raise OSError(24, "too many open files")
        return real_open(path, flags, *args)

    with monkeypatch.context() as patch:
        patch.setattr(os, "open", fail)
        with pytest.raises(StorageFailed):
            storage.write([Persist(2, 1, "", entries(3, 4), snapshot(2))])
    other = real_open(tmp_path / "other", os.O_RDONLY | os.O_CREAT)
    before = os.fstat(other)
    assert storage.recover().entries == entries(3, 4)
    assert os.fstat(other).st_ino == before.st_ino
    os.close(other)
