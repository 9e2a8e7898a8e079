"""Test what a control process without a disk says at a first start."""

import asyncio
import secrets
from pathlib import Path
from typing import Any

import pytest
from southernveil import program
from southernveil.settings import read_settings

from hawthornshelf.clock import SystemClock

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
