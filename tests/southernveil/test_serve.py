"""Check the command line of platform/serve.py."""

import subprocess
import sys
from pathlib import Path

import pytest

from tests.southernveil.fakes import make_settings

SERVE = Path(__file__).parents[2] / "platform" / "serve.py"
PORTS = [8144, 8140, 8146, 8143, 7660]
TIMEOUT_SECONDS = 60


def run_serve(*arguments: str, **variables: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, str(SERVE), *arguments]
    return subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_SECONDS, env=variables
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


def check_hedge_share(
    folder: Path, role: str, *flags: str, **variables: str
) -> subprocess.CompletedProcess[str]:
    """Check the settings of a role, with flags and variables for hedges."""
    make_settings(folder, "127.0.0.1", role, PORTS, "10.200.0.4:8142")
    path = folder / f"{role}-127.0.0.1.toml"
    arguments = ("--settings", str(path), "--check-settings", *flags)
    return run_serve(role, *arguments, **variables)


def test_the_hedge_share_is_off_or_as_it_is_set(tmp_path: Path) -> None:
    variable = {"HAWTHORNSHELF_HEDGE_SHARE": "0.05"}
    flag = ("--hedge-share", "0.1")
    for flags, variables, share in (
        ((), {}, "0.0"),
        ((), variable, "0.05"),
        (flag, variable, "0.1"),
    ):
        process = check_hedge_share(tmp_path, "entry", *flags, **variables)
        assert (process.returncode, process.stderr) == (0, "")
        assert f"hedge_share = {share}\n" in process.stdout


@pytest.mark.parametrize("value", ["0.21", "-0.1", "nan", "much", ""])
def test_a_bad_hedge_share_starts_an_entry_process(tmp_path: Path, value: str) -> None:
    process = check_hedge_share(tmp_path, "entry", HAWTHORNSHELF_HEDGE_SHARE=value)
    assert process.returncode == 2
    (error,) = process.stderr.splitlines()
    assert "hedge-share (HAWTHORNSHELF_HEDGE_SHARE)" in error
    assert "allowed: 0 to 0.2" in error
    process = check_hedge_share(tmp_path, "entry", f"--hedge-share={value}")
    assert process.returncode == 2 and "hedge-share" in process.stderr


def test_a_bad_hedge_share_hides_the_errors_of_the_file(tmp_path: Path) -> None:
    path = tmp_path / "node.toml"
    path.write_text('Role = 7\nIp = "10.0.0.1"\n')
    process = run_serve("entry", "--settings", str(path), HAWTHORNSHELF_HEDGE_SHARE="2")
    assert process.returncode == 2
    assert len(process.stderr.splitlines()) == 5


def test_a_control_process_has_a_hedge_share(tmp_path: Path) -> None:
    """The variable may be set for all processes of a VM; a flag is a mistake."""
    variable = {"HAWTHORNSHELF_HEDGE_SHARE": "0.05"}
    process = check_hedge_share(tmp_path, "control", **variable)
    assert process.returncode == 0 and "hedge" not in process.stdout
    process = check_hedge_share(tmp_path, "control", "--hedge-share", "0.05")
    assert process.returncode == 2 and "usage:" in process.stderr
