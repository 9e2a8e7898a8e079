"""Test that all files that pin dependencies name the same versions."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def read_lines(name: str) -> set[str]:
    lines = (ROOT / name).read_text().splitlines()
    return {line.strip().lower().replace("_", "-") for line in lines if line.strip()}


def test_requirements_match_the_project_dependencies() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    assert read_lines("requirements.txt") == set(project["dependencies"])
    assert read_lines("requirements.txt") <= read_lines("constraints.txt")
