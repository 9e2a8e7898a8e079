"""Run every command of the tutorial as printed, against a local fleet."""

import os
import re
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TUTORIAL = ROOT / "docs" / "TUTORIAL.md"
COMMAND_PREFIXES = ("hawthornshelf ", "curl ", "sed ")
START_SECONDS = 30
LOAD_SECONDS = 25


def read_commands() -> list[str]:
    """Return the commands of the tutorial in order."""
    lines = re.findall(r"^    (.+)$", TUTORIAL.read_text(), re.MULTILINE)
    return [line for line in lines if line.startswith(COMMAND_PREFIXES)]


def wait_for_fleet() -> None:
    """Wait until the first node responds to health checks."""
    for _ in range(START_SECONDS * 5):
        try:
            with urllib.request.urlopen("http://127.0.0.1:8001/healthz", timeout=1):
                return
        except (urllib.error.URLError, OSError):
            time.sleep(0.2)
    raise RuntimeError("the fleet did not start")


def run_commands() -> int:
    """Run the commands and return the number that failed."""
    path = f"{ROOT / '.venv' / 'bin'}:{os.environ['PATH']}"
    at = "127.0.0.1:8001,127.0.0.1:8002"
    environment = {**os.environ, "PATH": path, "HAWTHORNSHELF_AT": at}
    failed = 0
    for command in read_commands():
        print(f"$ {command}", flush=True)
        process = subprocess.run(
            command, shell=True, cwd=ROOT, env=environment, check=False
        )
        print(f"(exit code {process.returncode})\n", flush=True)
        failed += process.returncode != 0
        if "--base 0" in command:
            time.sleep(LOAD_SECONDS)
    return failed


def main() -> int:
    """Run the commands against a new fleet; return 1 if any failed."""
    fleet = subprocess.Popen([sys.executable, "scripts/local_fleet.py"], cwd=ROOT)
    try:
        wait_for_fleet()
        failed = run_commands()
    finally:
        fleet.terminate()
        fleet.wait()
    print(f"{len(read_commands())} commands, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
