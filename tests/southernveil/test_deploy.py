"""Check the roles in the deploy file: enough voters, and an entry node on each VM."""

import tomllib
from pathlib import Path

DEPLOY = Path(__file__).parents[2] / "deploy" / "system.toml"
MAX_DISKS_IN_A_DATA_CENTRE = 2
"""The first VMs of a data centre have disks: one at small sites, two at grown ones."""


def test_every_vm_with_a_disk_runs_a_control_replica() -> None:
    roles = tomllib.loads(DEPLOY.read_text())["roles"]
    control = roles["control"]
    assert control["count"] >= MAX_DISKS_IN_A_DATA_CENTRE
    assert not control.get("apart", False)


def test_every_vm_serves_callers_and_the_directory() -> None:
    roles = tomllib.loads(DEPLOY.read_text())["roles"]
    assert roles["entry"]["share"] == 1.0
    assert set(roles["entry"]["serves"]) == {"front", "directory"}
