"""Put a disk that forgets what was not synced under the storage of a replica.

The files of a folder are the page cache: a killed process leaves them as they are. At a
loss of power a file holds what its last sync covered; each later write is present,
missing or torn. Names that were created, replaced or removed since the last sync of
their folder are kept or lost one by one.
"""

import itertools
import os
import random
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import NamedTuple

import pytest

from hawthornshelf import storage

__all__ = ["Files", "ForgettingDisk", "Killed", "attach"]

NO_SPACE = OSError(28, "no space left on device")
Files = dict[str, bytes]


class Killed(BaseException):
    """End a process at a call of the storage; nothing catches it."""


class _Write(NamedTuple):
    offset: int
    data: bytes


class _File:
    """Hold what the last sync of a file covered, and what was written since."""

    def __init__(self, synced: bytes = b"") -> None:
        self.synced = synced
        self.writes: list[_Write] = []

    def outcomes(self) -> Iterator[bytes]:
        """Return what the file may hold after a loss of power."""
        parts = [_list_remains(write) for write in self.writes]
        for choice in itertools.product(*parts):
            yield self._apply(choice)

    def draw_outcome(self, rng: random.Random) -> bytes:
        """Return one of the contents that the file may have after a loss of power."""
        return self._apply([rng.choice(_list_remains(w)) for w in self.writes])

    def _apply(self, remains: Sequence[bytes]) -> bytes:
        content = self.synced
        for write, data in zip(self.writes, remains, strict=True):
            if data:
                content = content[: write.offset].ljust(write.offset, b"\0") + data
        return content


def _list_remains(write: _Write) -> tuple[bytes, ...]:
    """Return what may be left of a write that was not synced."""
    return (write.data, b"", write.data[: len(write.data) // 2])


class ForgettingDisk:
    """Stand in for the `os` module of the storage, in one folder.

    The call with the number `kill_at` kills the process instead; `room` is the number
    of bytes that the disk still takes, None for any number.
    """

    def __init__(self, folder: Path, files: Files | None = None) -> None:
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        for name, content in (files or {}).items():
            (folder / name).write_bytes(content)
        self._live = {name: _File(data) for name, data in (files or {}).items()}
        self._durable = dict(self._live)
        self._changes: list[tuple[str, _File | None]] = []
        self._open: dict[int, _File | None] = {}
        self.calls = 0
        self.kill_at = 0
        self.room: int | None = None

    def __getattr__(self, name: str) -> object:
        return getattr(os, name)

    # The calls of the storage

    def open(self, path: Path, flags: int, mode: int = 0o777) -> int:
        """Open a file, or a folder to sync it."""
        self._count()
        if Path(path) != self.folder and Path(path).parent != self.folder:
            return os.open(path, flags, mode)
        descriptor = os.open(path, flags, mode)
        name = Path(path).name
        if Path(path) == self.folder:
            self._open[descriptor] = None
            return descriptor
        if name not in self._live or flags & os.O_TRUNC:
            self._name(name, _File())
        self._open[descriptor] = self._live[name]
        return descriptor

    def write(self, descriptor: int, data: bytes) -> int:
        """Write data, which is not durable yet."""
        self._count()
        if self.room is not None and self.room < len(data):
            raise NO_SPACE
        file = self._open[descriptor]
        assert file is not None
        file.writes.append(_Write(os.fstat(descriptor).st_size, data))
        return os.write(descriptor, data)

    def fsync(self, descriptor: int) -> None:
        """Make a file's content durable, or the names in the folder."""
        self._count()
        if descriptor not in self._open:
            return
        file = self._open[descriptor]
        if file is None:
            self._durable = dict(self._live)
            self._changes = []
            return
        path = f"/proc/self/fd/{descriptor}"
        file.synced, file.writes = Path(path).read_bytes(), []

    def replace(self, old: Path, new: Path) -> None:
        """Rename a file, which is not durable yet."""
        self._count()
        os.replace(old, new)
        self._name(Path(new).name, self._live[Path(old).name])
        self._name(Path(old).name, None)

    def unlink(self, path: Path) -> None:
        """Remove a name, which is not durable yet."""
        self._count()
        os.unlink(path)
        self._name(Path(path).name, None)

    def close(self, descriptor: int) -> None:
        """Close a file."""
        self._open.pop(descriptor, None)
        os.close(descriptor)

    def _count(self) -> None:
        self.calls += 1
        if self.calls == self.kill_at:
            raise Killed

    def _name(self, name: str, file: _File | None) -> None:
        self._changes.append((name, file))
        if file is None:
            del self._live[name]
        else:
            self._live[name] = file

    # After a loss of power

    def outcomes(self) -> Iterator[Files]:
        """Return all contents that the folder may have after a loss of power."""
        seen: set[tuple[tuple[str, bytes], ...]] = set()
        for kept in itertools.product((True, False), repeat=len(self._changes)):
            names = dict(self._durable)
            for (name, file), is_kept in zip(self._changes, kept, strict=True):
                if is_kept and file is None:
                    names.pop(name, None)
                elif is_kept and file is not None:
                    names[name] = file
            contents = [list(file.outcomes()) for file in names.values()]
            for choice in itertools.product(*contents):
                files = dict(zip(names, choice, strict=True))
                key = tuple(sorted(files.items()))
                if key not in seen:
                    seen.add(key)
                    yield files

    def draw_outcome(self, rng: random.Random) -> Files:
        """Return one content that the folder may have after a loss of power.

        At half of the losses all that was not synced is gone.
        """
        keeps = rng.random() < 0.5
        names = dict(self._durable)
        for name, file in self._changes if keeps else ():
            if rng.random() < 0.5:
                continue
            if file is None:
                names.pop(name, None)
            else:
                names[name] = file
        return {
            name: file.draw_outcome(rng) if keeps else file.synced
            for name, file in names.items()
        }


def attach(patch: pytest.MonkeyPatch, disk: ForgettingDisk) -> None:
    """Let the storage call a disk in place of the operating system."""
    patch.setattr(storage, "os", disk)
