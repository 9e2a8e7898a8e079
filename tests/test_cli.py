import subprocess
import sys

import pytest

from hawthornshelf.cli import make_application
from tests.fleet import ROOT


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "hawthornshelf", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_every_command_has_an_example_and_exit_codes_in_its_help() -> None:
    application = make_application()
    for name, command in application.all().items():
        if name in ("help", "list", "completions"):
            continue
        assert "Example: hawthornshelf" in command.help, name
        assert "Exit codes" in command.help, name


def test_invalid_settings_exit_with_2_and_are_all_named() -> None:
    process = run_command("serve", "--node=x")
    assert process.returncode == 2
    assert "listen" in process.stderr
    assert "control" in process.stderr


def test_check_settings_prints_the_settings_without_the_secret() -> None:
    process = run_command(
        "serve",
        "--check-settings",
        "--node=a",
        "--data-centre=dc",
        "--listen=127.0.0.1:1",
        "--peer-listen=127.0.0.1:2",
        "--control=a=127.0.0.1:2",
        "--operator-token=hush",
    )
    assert process.returncode == 0
    assert "--node" in process.stdout
    assert "hush" not in process.stdout


def test_a_declaration_is_printed() -> None:
    process = run_command("config", "print", "examples/bamboo_lantern.py")
    assert process.returncode == 0
    assert process.stdout.startswith("deployment lantern-calls")


@pytest.mark.parametrize("options", [[], ["--json"]])
def test_an_unreachable_node_exits_with_3(options: list[str]) -> None:
    process = run_command("status", "--at", "127.0.0.1:1", *options)
    assert process.returncode == 3
    assert "127.0.0.1:1" in process.stderr


def test_a_missing_declaration_exits_with_2() -> None:
    process = run_command("config", "print", "examples/none.py")
    assert process.returncode == 2
    assert "none.py" in process.stderr
