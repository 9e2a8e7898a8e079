"""Run a control process on a disk that forgets what was not synced.

The process works in the folder as ever. Beside it a mirror holds what each file's last
sync covered, and the names as of the folder's last sync. `lose_power` puts the folder
back to that, with some of the later writes and names.
"""

import json
import os
import random
import runpy
import sys
import tempfile
import time
from pathlib import Path

__all__ = ["lose_power", "serve"]

SYNC_SECONDS = 0.004
NAMES = "names.json"


class MirroredDisk:
    """Stand in for the `os` module of the storage, in one folder."""

    def __init__(self, folder: Path, mirror: Path) -> None:
        self._folder, self._mirror = folder, mirror
        mirror.mkdir(parents=True, exist_ok=True)
        for path in folder.iterdir() if folder.exists() else ():
            self._hold(path.stat().st_ino, path)

    def __getattr__(self, name: str) -> object:
        return getattr(os, name)

    def open(self, path: Path, flags: int, mode: int = 0o777) -> int:
        """Open a file, and keep its inode from being used again."""
        descriptor = os.open(path, flags, mode)
        if Path(path).parent == self._folder:
            self._hold(os.fstat(descriptor).st_ino, Path(path))
        return descriptor

    def fsync(self, descriptor: int) -> None:
        """Copy a file's content, or the names in the folder, to the mirror."""
        time.sleep(SYNC_SECONDS)
        inode = os.fstat(descriptor).st_ino
        if self._folder.exists() and inode == self._folder.stat().st_ino:
            names = {p.name: p.stat().st_ino for p in self._folder.iterdir()}
            self._store(NAMES, json.dumps(names).encode())
        elif (held := self._mirror / f"inode-{inode}").exists():
            self._store(f"synced-{inode}", held.read_bytes())

    def _hold(self, inode: int, path: Path) -> None:
        held = self._mirror / f"inode-{inode}"
        if not held.exists():
            os.link(path, held)

    def _store(self, name: str, data: bytes) -> None:
        with tempfile.NamedTemporaryFile(dir=self._mirror, delete=False) as file:
            file.write(data)
        os.replace(file.name, self._mirror / name)


def lose_power(folder: Path, mirror: Path, rng: random.Random) -> None:
    """Take away what was not synced: at half of the losses all of it."""
    if not mirror.exists():
        return
    keeps = rng.random() < 0.5
    names = mirror / NAMES
    durable: dict[str, int] = json.loads(names.read_text()) if names.exists() else {}
    live = {path.name: path.stat().st_ino for path in folder.iterdir()}
    files: dict[str, bytes] = {}
    for name in durable.keys() | live.keys():
        table = live if keeps and rng.random() < 0.5 else durable
        if name in table:
            files[name] = _draw_content(mirror, table[name], keeps, rng)
    for path in (*folder.iterdir(), *mirror.iterdir()):
        path.unlink()
    disk = MirroredDisk(folder, mirror)
    for name, data in files.items():
        descriptor = disk.open(folder / name, os.O_WRONLY | os.O_CREAT)
        os.write(descriptor, data)
        disk.fsync(descriptor)
        os.close(descriptor)
    descriptor = os.open(folder, os.O_RDONLY)
    disk.fsync(descriptor)
    os.close(descriptor)


def _draw_content(mirror: Path, inode: int, keeps: bool, rng: random.Random) -> bytes:
    synced = mirror / f"synced-{inode}"
    content = synced.read_bytes() if synced.exists() else b""
    written = (mirror / f"inode-{inode}").read_bytes()
    later = written[len(content) :] if written.startswith(content) else b""
    return content + later[: rng.randrange(len(later) + 1) if keeps else 0]


def serve(program: str, data: Path, arguments: list[str]) -> None:
    """Run the platform's program with its storage on such a disk."""
    root = Path(program).resolve().parent
    sys.path[:0] = [str(root), str(root.parent)]
    from hawthornshelf import storage

    storage.os = MirroredDisk(data / "control", data / "mirror")  # type: ignore
    sys.argv = [program, *arguments]
    runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    serve(sys.argv[1], Path(sys.argv[2]), sys.argv[3:])
