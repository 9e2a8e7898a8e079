"""Let the disks of control nodes fill up one after another, under changes."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.shellfleet import CONTACT_SECONDS, Change, ShellFleet

ACK_SECONDS = 4.0
"""The platform's bound for an acknowledgement while the control group is stable."""

FULL_SECONDS = 3.0
FILLED_DISKS = 6
CHANGE_SECONDS = 0.25
CALM_SECONDS = 20.0
COMPACT_ENTRIES = 10
"""So few that disks also fill up while a snapshot is written."""

Fill = Callable[[ShellFleet], Awaitable[None]]


async def fill(fleet: ShellFleet, name: str, room: int, seconds: float) -> None:
    """Let a disk take only some bytes more for some time."""
    fleet.disks[name].room = room
    await asyncio.sleep(seconds)
    fleet.disks[name].room = None


def make_turns(gap: float, room: int = 0) -> Fill:
    """Return a play that fills disks in turn, each some time after the one before."""

    async def fill_in_turn(fleet: ShellFleet) -> None:
        order = fleet.rng.sample(fleet.control_names, len(fleet.control_names))
        for _, name in zip(range(FILLED_DISKS), itertools.cycle(order), strict=False):
            await fill(fleet, name, room, FULL_SECONDS)
            await asyncio.sleep(gap)

    return fill_in_turn


async def fill_leaders(fleet: ShellFleet) -> None:
    """Fill the disk of whoever leads, six times."""
    for _ in range(6):
        while not (leader := fleet.leader()):
            await asyncio.sleep(0.05)
        await fill(fleet, leader, 40, FULL_SECONDS)


async def fill_while_rewriting(fleet: ShellFleet) -> None:
    """Leave room for a part of what a recovery writes anew, then fill the next."""
    for number in range(6):
        name = fleet.control_names[number % len(fleet.control_names)]
        for room in (0, 30, 100, 300, 900):
            await fill(fleet, name, room, 0.7)
            fleet.disks[name].room = room
        fleet.disks[name].room = None
        await asyncio.sleep(0.1)


async def fill_at_random(fleet: ShellFleet) -> None:
    """Fill disks in turn for random times with random room, never two at once."""
    for _ in range(8):
        name = fleet.rng.choice(fleet.control_names)
        room = fleet.rng.choice((0, 1, 20, 200, 2000))
        await fill(fleet, name, room, fleet.rng.uniform(0.2, 4.0))
        await asyncio.sleep(fleet.rng.choice((0.0, 0.1, 0.6)))


async def fill_beside_replacement(fleet: ShellFleet) -> None:
    """Lose one machine, add another one, and fill a disk while that joins."""
    lost, full = fleet.rng.sample(fleet.control_names, 2)
    await fleet.stop_control(lost)
    await fleet.start_control("c9")
    fleet.control_names.append("c9")
    await asyncio.sleep(fleet.rng.uniform(0.0, 2.0))
    await fill(fleet, full, 20, FULL_SECONDS)
    await fill(fleet, "c9", 0, FULL_SECONDS)


FILLS = {
    "at once after another": make_turns(0.0),
    "with less than an election between": make_turns(0.3),
    "within a record": make_turns(0.1, room=25),
    "leaders": fill_leaders,
    "while rewriting": fill_while_rewriting,
    "at random": fill_at_random,
    "beside a replacement": fill_beside_replacement,
}


def play(fleet: ShellFleet, disturb: Fill) -> list[Change]:
    """Change the document all along, and return the changes of the calm afterwards."""
    calm: list[Change] = []

    async def change_all_along(until: asyncio.Event) -> None:
        while not until.is_set():
            await fleet.change()
            await asyncio.sleep(CHANGE_SECONDS)

    async def scenario(fleet: ShellFleet) -> None:
        await asyncio.sleep(2.0)
        until = asyncio.Event()
        changes = asyncio.create_task(change_all_along(until))
        await disturb(fleet)
        await asyncio.sleep(CONTACT_SECONDS)
        until.set()
        async with asyncio.timeout(CALM_SECONDS):
            await changes
        for _ in range(10):
            async with asyncio.timeout(CALM_SECONDS):
                calm.append(await fleet.change())
        await asyncio.sleep(1.0)
        newest = fleet.changes[-1].number
        for control in fleet.controls.values():
            found = await control.read_routes()
            assert found is not None and found.number == newest

    fleet.run(scenario)
    return calm


def test_a_node_that_started_with_a_full_disk_is_known_as_a_control_node_later(
    tmp_path: Path,
) -> None:
    fleet = ShellFleet(tmp_path, 1, nodes=2)

    async def scenario(fleet: ShellFleet) -> None:
        fleet.make_disk("c9").room = 0
        await fleet.start_control("c9")
        await asyncio.sleep(2.0)
        fleet.disks["c9"].room = None
        await asyncio.sleep(CONTACT_SECONDS)
        for entry in fleet.entries.values():
            assert "c9" in entry.core.control_nodes()

    fleet.run(scenario)


def test_an_unexpected_error_while_a_disk_is_recovered_does_not_end_the_attempts(
    tmp_path: Path,
) -> None:
    fleet = ShellFleet(tmp_path, 1, nodes=2)

    async def scenario(fleet: ShellFleet) -> None:
        disk = fleet.disks["c1"]
        disk.errors = [ValueError("unexpected"), MemoryError()]
        disk.room = 0
        await fleet.change()
        await asyncio.sleep(1.0)
        disk.room = None
        await asyncio.sleep(CONTACT_SECONDS)
        control = fleet.controls["c1"].core.control
        assert control is not None
        assert not control.stopped

    fleet.run(scenario)


@pytest.mark.parametrize(
    ("nodes", "control", "voters", "seed"),
    [(5, 3, 3, 1), (5, 3, 3, 2), (5, 8, 5, 3), (80, 8, 5, 1)],
    ids=["5", "5, other seed", "5 beside 8", "80"],
)
@pytest.mark.parametrize("disturb", list(FILLS))
def test_changes_are_acknowledged_after_disks_were_full_one_after_another(
    tmp_path: Path, disturb: str, nodes: int, control: int, voters: int, seed: int
) -> None:
    fleet = ShellFleet(tmp_path, seed, nodes, control, voters)
    fleet.compact_entries = COMPACT_ENTRIES
    calm = play(fleet, FILLS[disturb])
    waits = [change.acked_at - change.sent_at for change in calm if change.acked_at]
    assert len(waits) == len(calm) > 0
    assert max(waits) <= ACK_SECONDS
    newest = calm[-1].number
    assert all(fleet.in_force_at(n, newest) < float("inf") for n in fleet.entry_names)
