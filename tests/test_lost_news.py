"""Let a route document reach nodes whose connections have gone silent."""

import asyncio
import random
from pathlib import Path

import pytest

from tests.shellfleet import CONTACT_SECONDS, Change, ShellFleet

CALM_SECONDS = 20.0
"""Time in which most nodes connect to most others."""

FOLLOW_SECONDS = 6.0


def play(fleet: ShellFleet, delay: float) -> tuple[Change, float]:
    """Silence all connections, change the document, and return when that was."""
    seen: list[tuple[Change, float]] = []

    async def scenario(fleet: ShellFleet) -> None:
        await asyncio.sleep(CALM_SECONDS)
        silenced_at = fleet.clock.monotonic()
        names = [*fleet.control_names, *fleet.entry_names]
        fleet.network.silence(1.0, fleet.rng, names)
        await asyncio.sleep(delay)
        change = await fleet.change()
        await asyncio.sleep(FOLLOW_SECONDS)
        seen.append((change, silenced_at))

    fleet.run(scenario)
    return seen[0]


def find_late(fleet: ShellFleet, change: Change, since: float, bound: float) -> list:
    """Return the nodes that had a document later than they must."""
    assert change.acked_at is not None
    limit = max(change.acked_at + bound, since + CONTACT_SECONDS)
    return [n for n in fleet.entry_names if fleet.in_force_at(n, change.number) > limit]


@pytest.mark.parametrize(
    ("nodes", "control", "bound"), [(5, 3, 2.0), (80, 8, 2.5)], ids=["5", "80"]
)
@pytest.mark.parametrize("delay", [1.0, 3.0])
def test_a_document_is_in_force_in_time_though_all_connections_went_silent(
    tmp_path: Path, nodes: int, control: int, bound: float, delay: float
) -> None:
    voters = 3 if control == 3 else 5
    fleet = ShellFleet(tmp_path, 1, nodes, control, voters)
    change, since = play(fleet, delay)
    assert find_late(fleet, change, since, bound) == []


@pytest.mark.parametrize(
    ("control", "bound"), [(3, 2.0), (8, 2.5)], ids=["3 control", "8 control"]
)
@pytest.mark.parametrize("seed", range(5))
def test_a_node_to_which_nobody_connects_gets_a_document_in_time_all_the_same(
    tmp_path: Path, control: int, bound: float, seed: int
) -> None:
    """What it asks for itself comes over its own connections, which went silent."""
    voters = 3 if control == 3 else 5
    fleet = ShellFleet(tmp_path, seed, 1, control, voters)
    fleet.network.blocked = lambda source, target: target in fleet.entry_names
    change, since = play(fleet, 3.0)
    assert find_late(fleet, change, since, bound) == []


def test_a_document_that_takes_long_on_its_link_arrives(tmp_path: Path) -> None:
    """On links of entry nodes of 5 Mbit/s, which others use as well."""
    fleet = ShellFleet(tmp_path, 1, 2)
    rates = dict.fromkeys(fleet.entry_names, 550_000.0)
    fleet.network.bytes_per_second = rates
    fleet.padding = random.Random(1).randbytes(700_000)
    change, since = play(fleet, 3.0)
    assert find_late(fleet, change, since, FOLLOW_SECONDS) == []
