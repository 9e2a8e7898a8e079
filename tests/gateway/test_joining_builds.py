"""Let engines of a new build join while one node is out of step with the others."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from tests.gateway.buildfleet import BuildFleet, StreamTraffic
from tests.gateway.controlfleet import CONTROL
from tests.gateway.crashfleet import CONTACT_SECONDS, Entry

RATE = 16.0
SECONDS = 8.0
SETTLE_SECONDS = 4.0
JOIN_SECONDS = 2.5
STEP_SECONDS = 4.0
"""Time for which the node is out of step."""

Disturb = Callable[[BuildFleet, Entry], Awaitable[None]]


class Traffic(StreamTraffic):
    """Begin streams at other nodes than one, and take all of them up there."""

    def __init__(self, fleet: BuildFleet, odd: Entry) -> None:
        super().__init__(fleet)
        self.odd = odd

    def choose(self, is_take_up: bool) -> Entry | None:
        if is_take_up:
            return self.odd if self.odd.is_up else None
        return self.fleet.rng.choice([e for e in self._find_up() if e is not self.odd])


def play(disturb: Disturb, nodes: int, seed: int) -> Traffic:
    """Let a build join while one node is disturbed; break streams off meanwhile."""
    fleet = BuildFleet(seed=seed, nodes=nodes, engines=4, apps=0, retry_slack=200.0)
    fleet.set_builds("v1")
    found: list[Traffic] = []

    async def join(fleet: BuildFleet) -> None:
        await asyncio.sleep(JOIN_SECONDS)
        for number in range(4):
            fleet.add_engine(f"new{number}", "v2")
            await asyncio.sleep(0.1)

    async def break_off(traffic: Traffic) -> None:
        await asyncio.sleep(JOIN_SECONDS)
        for _ in range(20):
            await asyncio.sleep(0.25)
            traffic.break_off(share=0.3)

    async def scenario(fleet: BuildFleet) -> None:
        await asyncio.sleep(SETTLE_SECONDS)
        odd = fleet.entries["n0"]
        traffic = Traffic(fleet, odd)
        found.append(traffic)
        async with asyncio.TaskGroup() as group:
            group.create_task(traffic.send(SECONDS, RATE))
            group.create_task(join(fleet))
            group.create_task(break_off(traffic))
            group.create_task(disturb(fleet, odd))  # type: ignore[arg-type]

    fleet.run(scenario)  # type: ignore[arg-type]
    return found[0]


async def cut_off(fleet: BuildFleet, odd: Entry) -> None:
    """Cut the node off from all others and from the control group."""
    await asyncio.sleep(JOIN_SECONDS - 0.5)
    cut = {(odd.name, name) for name in (*fleet.entry_names, CONTROL)}
    fleet.cut |= cut
    await asyncio.sleep(STEP_SECONDS)
    fleet.cut -= cut


async def cut_off_from_nodes(fleet: BuildFleet, odd: Entry) -> None:
    """Cut the node off from the other entry nodes."""
    await asyncio.sleep(JOIN_SECONDS - 0.5)
    cut = {(odd.name, name) for name in fleet.entry_names}
    fleet.cut |= cut
    await asyncio.sleep(STEP_SECONDS)
    fleet.cut -= cut


async def cut_off_from_control(fleet: BuildFleet, odd: Entry) -> None:
    await asyncio.sleep(JOIN_SECONDS - 0.5)
    fleet.cut |= {(odd.name, CONTROL)}
    await asyncio.sleep(STEP_SECONDS)
    fleet.cut -= {(odd.name, CONTROL)}


async def stand_still(fleet: BuildFleet, odd: Entry) -> None:
    await asyncio.sleep(JOIN_SECONDS - 0.5)
    odd.freeze(STEP_SECONDS / 2)
    await asyncio.sleep(STEP_SECONDS)


async def keep_old_list(fleet: BuildFleet, odd: Entry) -> None:
    """Let the platform's list go silent for this node alone."""
    await asyncio.sleep(JOIN_SECONDS - 0.5)
    odd.reads_list = False
    await asyncio.sleep(STEP_SECONDS)
    odd.reads_list = True


async def lose_control(fleet: BuildFleet, odd: Entry) -> None:
    """Cut all nodes off from the control group, and this one from the list."""
    await asyncio.sleep(JOIN_SECONDS - 0.5)
    odd.reads_list = False
    cut = {(name, CONTROL) for name in fleet.entry_names}
    fleet.cut |= cut
    await asyncio.sleep(STEP_SECONDS)
    fleet.cut -= cut
    await asyncio.sleep(STEP_SECONDS)
    odd.reads_list = True


async def lose_control_and_stand_still(fleet: BuildFleet, odd: Entry) -> None:
    """Cut all nodes off from the control group while this one stands still."""
    await asyncio.sleep(JOIN_SECONDS - 0.5)
    cut = {(name, CONTROL) for name in fleet.entry_names}
    fleet.cut |= cut
    odd.freeze(STEP_SECONDS)
    await asyncio.sleep(STEP_SECONDS)
    fleet.cut -= cut


async def release_without_control(fleet: BuildFleet, odd: Entry) -> None:
    """Replace the old build while the control group is lost; this node stands still."""
    old = list(fleet.runners)
    await asyncio.sleep(JOIN_SECONDS - 0.5)
    cut = {(name, CONTROL) for name in fleet.entry_names}
    fleet.cut |= cut
    odd.freeze(STEP_SECONDS)
    await asyncio.sleep(1.0)
    for runner in old:
        runner.leave()
    await asyncio.sleep(STEP_SECONDS - 1.0)
    fleet.cut -= cut
    await asyncio.sleep(1.0)
    for runner in old:
        fleet.remove(runner)


DISTURBANCES = [
    cut_off,
    cut_off_from_nodes,
    cut_off_from_control,
    stand_still,
    keep_old_list,
    lose_control,
    lose_control_and_stand_still,
    release_without_control,
]


@pytest.mark.parametrize("seed", [6, 14])
@pytest.mark.parametrize("nodes", [5, 80])
@pytest.mark.parametrize("disturb", DISTURBANCES, ids=lambda d: d.__name__)
def test_a_stream_of_a_build_that_joins_is_not_joined_at_a_node_out_of_step(
    disturb: Disturb, nodes: int, seed: int
) -> None:
    traffic = play(disturb, nodes, seed)
    assert len(traffic.joined()) == 0
    assert len(traffic.broken_content()) == 0


assert STEP_SECONDS > CONTACT_SECONDS
