"""Test what a control process says of its disk at its start."""

import asyncio
import secrets
from pathlib import Path
from typing import Any

import pytest
from southernveil import program
from southernveil.replicastorage import make_storage
from southernveil.settings import read_settings

from hawthornshelf import nodeshell
from hawthornshelf.clock import SystemClock
from hawthornshelf.log import EntryKind, LogEntry, Persist

SETTINGS = """
NodeName = "front-1"
Role = "control"
Ip = "127.0.0.1"
Zone = "z"
PortRange = [7660, 7675]
Seeds = ["127.0.0.1:8146", "127.0.0.2:8146", "127.0.0.3:8146"]
Bootstrap = true
"""


def test_a_seed_without_a_disk_is_silent_about_what_it_waits_for(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / f"{secrets.token_hex(4)}.toml"
    path.write_text(SETTINGS)
    lines: list[dict[str, Any]] = []
    monkeypatch.setattr(
        program, "write_log", lambda event, **fields: lines.append({event: fields})
    )

    async def nothing(*_: object) -> None:
        return None

    async def start() -> None:
        process = program.ControlProcess(read_settings(path), SystemClock())
        monkeypatch.setattr(process.node, "start_peers", nothing)
        monkeypatch.setattr(program, "start_server", nothing)
        await process.start()

    asyncio.run(start())
    fields = lines[0]["no-replica"]
    assert fields["level"] == "error"
    assert fields["seed"] is True
    assert fields["awaited"] == "127.0.0.2:7660,127.0.0.3:7660"


def test_a_replica_does_not_say_what_it_starts_with(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / f"{secrets.token_hex(4)}.toml"
    path.write_text(SETTINGS.replace("= true", f'= false\nDataDir = "{tmp_path}"'))
    lines: dict[str, dict[str, Any]] = {}
    monkeypatch.setattr(
        nodeshell, "write_log", lambda event, **fields: lines.update({event: fields})
    )

    async def start() -> str:
        storage = make_storage(read_settings(path))
        assert storage is not None
        replica = storage.load().replica
        storage.write([Persist(1, 7, "other", (LogEntry(7, 1, EntryKind.NOOP),))])
        storage.close()
        program.ControlProcess(read_settings(path), SystemClock())
        return replica

    replica = asyncio.run(start())
    assert lines["storage-loaded"] == {
        "replica": replica,
        "term": 7,
        "voted_for": "other",
        "snapshot": 0,
        "last": 1,
    }
