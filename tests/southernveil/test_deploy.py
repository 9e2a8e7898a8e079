"""Check that the deploy file gives the control group the voters that it needs."""

import tomllib
from pathlib import Path

DEPLOY = Path(__file__).parents[2] / "deploy" / "system.toml"
MOST_DISKS_IN_A_ZONE = 2
"""The first VMs of each zone have disks: one on small sites, two on grown ones."""


def test_every_disk_holds_a_replica_of_the_control_group() -> None:
    roles = tomllib.loads(DEPLOY.read_text())["roles"]
    control = roles["control"]
    assert control["count"] >= MOST_DISKS_IN_A_ZONE
    assert not control.get("apart", False)


def test_every_machine_takes_callers_and_answers_where_to_connect() -> None:
    roles = tomllib.loads(DEPLOY.read_text())["roles"]
    assert roles["entry"]["share"] == 1.0
    assert set(roles["entry"]["serves"]) == {"front", "directory"}
