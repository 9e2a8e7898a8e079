"""Check the command line of platform/serve.py."""

import subprocess
import sys
from pathlib import Path

from tests.southernveil.fakes import make_settings

SERVE = Path(__file__).parents[2] / "platform" / "serve.py"
PORTS = [8144, 8140, 8146, 8143, 7660]
TIMEOUT_SECONDS = 60


def run_serve(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, str(SERVE), *arguments]
    return subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_SECONDS, env={}
    )


def test_check_settings_prints_valid_settings_and_exits(tmp_path: Path) -> None:
    make_settings(tmp_path, "127.0.0.1", "entry", PORTS, "10.200.0.4:8142")
    path = tmp_path / "entry-127.0.0.1.toml"
    process = run_serve("entry", "--settings", str(path), "--check-settings")
    assert (process.returncode, process.stderr) == (0, "")
    assert "caller_address = 127.0.0.1:8144" in process.stdout
    assert "grace_seconds = 8" in process.stdout


def test_all_errors_in_the_settings_are_reported_at_once(tmp_path: Path) -> None:
    path = tmp_path / "node.toml"
    path.write_text('Role = 7\nIp = "10.0.0.1"\n')
    process = run_serve("control", "--settings", str(path))
    assert process.returncode == 2
    errors = process.stderr.splitlines()
    assert len(errors) == 4
    for name in ("NodeName", "Role", "Zone", "PortRange"):
        assert any(name in error for error in errors)


def test_an_unknown_role_or_a_missing_settings_file_is_a_usage_error() -> None:
    for arguments in (("door",), ("entry",), ()):
        process = run_serve(*arguments)
        assert process.returncode == 2 and "usage:" in process.stderr
