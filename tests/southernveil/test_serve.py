"""Check the start program's command line."""

import subprocess
import sys
from pathlib import Path

from tests.southernveil.fakes import make_settings

SERVE = Path(__file__).parents[2] / "platform" / "serve.py"
PORTS = [8144, 8140, 8146, 8143, 7660]
TIMEOUT_SECONDS = 60


def serve(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, str(SERVE), *arguments]
    return subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_SECONDS, env={}
    )


def test_good_settings_are_printed_and_nothing_starts(tmp_path: Path) -> None:
    make_settings(tmp_path, "127.0.0.1", "entry", PORTS, "10.200.0.4:8142")
    path = tmp_path / "entry-127.0.0.1.toml"
    done = serve("entry", "--settings", str(path), "--check-settings")
    assert (done.returncode, done.stderr) == (0, "")
    assert "caller_address = 127.0.0.1:8144" in done.stdout
    assert "grace_seconds = 8" in done.stdout


def test_all_faults_of_the_settings_are_told_at_once(tmp_path: Path) -> None:
    path = tmp_path / "node.toml"
    path.write_text('Role = 7\nIp = "10.0.0.1"\n')
    done = serve("control", "--settings", str(path))
    assert done.returncode == 2
    faults = done.stderr.splitlines()
    assert len(faults) == 4
    for name in ("NodeName", "Role", "Zone", "PortRange"):
        assert any(name in fault for fault in faults)


def test_an_unknown_role_or_no_settings_file_is_bad_input() -> None:
    for arguments in (("door",), ("entry",), ()):
        done = serve(*arguments)
        assert done.returncode == 2 and "usage:" in done.stderr
