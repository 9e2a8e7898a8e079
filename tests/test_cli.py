import subprocess
import sys

import pytest

from hawthornshelf.cli import make_application
from tests.fleet import ROOT


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
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


def test_bad_settings_exit_with_2_and_name_each() -> None:
    done = run("serve", "--node=x")
    assert done.returncode == 2
    assert "listen" in done.stderr
    assert "control" in done.stderr


def test_settings_can_be_checked_without_serving() -> None:
    done = run(
        "serve",
        "--check-settings",
        "--node=a",
        "--data-centre=dc",
        "--listen=127.0.0.1:1",
        "--peer-listen=127.0.0.1:2",
        "--control=a=127.0.0.1:2",
        "--operator-token=hush",
    )
    assert done.returncode == 0
    assert "--node" in done.stdout
    assert "hush" not in done.stdout


def test_a_declaration_is_printed() -> None:
    done = run("config", "print", "examples/bamboo_lantern.py")
    assert done.returncode == 0
    assert done.stdout.startswith("deployment lantern-calls")


@pytest.mark.parametrize("form", [[], ["--json"]])
def test_an_unreachable_node_exits_with_3(form: list[str]) -> None:
    done = run("status", "--at", "127.0.0.1:1", *form)
    assert done.returncode == 3
    assert "127.0.0.1:1" in done.stderr


def test_a_missing_declaration_exits_with_2() -> None:
    done = run("config", "print", "examples/none.py")
    assert done.returncode == 2
    assert "none.py" in done.stderr
