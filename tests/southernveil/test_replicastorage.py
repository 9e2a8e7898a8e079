"""Test that a founder's place is written before a process has started."""

import os
import subprocess
import sys
from pathlib import Path

import pytest
from southernveil.replicastorage import write_founding
from southernveil.settings import PlatformSettings, read_settings

from hawthornshelf.storage import DiskStorage

ROOT = Path(__file__).resolve().parents[2]
SLOW_MODULES = {"aiohttp", "grpc", "uvloop", "hawthornshelf.messages"}
SETTINGS = """
NodeName = "front-1"
Role = "control"
Ip = "127.0.0.1"
Zone = "z"
PortRange = [7660, 7675]
Seeds = ["127.0.0.1:8146", "127.0.0.2:8146", "127.0.0.3:8146"]
Bootstrap = {bootstrap}
DataDir = "{data}"
"""


def make_settings(folder: Path, bootstrap: str) -> PlatformSettings:
    path = folder / "node.toml"
    path.write_text(SETTINGS.format(bootstrap=bootstrap, data=folder / "data"))
    return read_settings(path)


def test_a_founder_that_is_killed_early_is_no_founder_after_its_restart(
    tmp_path: Path,
) -> None:
    write_founding(make_settings(tmp_path, "true"))
    recovered = DiskStorage(tmp_path / "data" / "control", "other").load()
    assert recovered.replica == "founder-127.0.0.1:7660"
    nodes = [member.node for member in recovered.snapshot.membership.members]
    assert nodes == ["127.0.0.1:7660", "127.0.0.2:7660", "127.0.0.3:7660"]


def test_a_wiped_disk_gets_a_place_early(tmp_path: Path) -> None:
    write_founding(make_settings(tmp_path, "false"))
    assert not (tmp_path / "data").exists()


def test_a_disk_that_fails_early_ends_the_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def refuse(*_: object) -> None:
        raise OSError("full")

    monkeypatch.setattr(DiskStorage, "_replace", refuse)
    write_founding(make_settings(tmp_path, "true"))


def test_the_place_is_written_after_the_slow_imports() -> None:
    script = "import sys, southernveil.replicastorage; print(*sys.modules)"
    path = os.pathsep.join((str(ROOT), str(ROOT / "platform")))
    run = subprocess.run(
        [sys.executable, "-c", script],
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONPATH": path},
    )
    assert SLOW_MODULES.isdisjoint(run.stdout.split())
