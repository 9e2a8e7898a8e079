"""Change the route document while nodes that reach no runner relay their requests."""

import asyncio
from collections.abc import Callable

import pytest

from tests.gateway.controlfleet import CONTROL
from tests.gateway.crashfleet import CONTACT_SECONDS
from tests.gateway.routefleet import RouteFleet, RouteTraffic

BEFORE_SECONDS = 2.0
CHANGES = 10
CHANGES_OF_MANY_NODES = 5
CHANGE_SECONDS = 3.0
MIN_SERVED_SHARE = 2 / 3
"""Share of what other nodes' callers are served that those of cut ones must be."""

Fault = Callable[[RouteFleet, list[str]], object]


async def leave_alone(fleet: RouteFleet, names: list[str]) -> None:
    """Let nothing else fail."""


async def freeze(fleet: RouteFleet, names: list[str]) -> None:
    for name in names:
        fleet.entries[name].freeze(fleet.rng.uniform(0.8, 3.5))


async def restart(fleet: RouteFleet, names: list[str]) -> None:
    for name in names:
        fleet.entries[name].kill()
    await asyncio.sleep(0.3)
    for name in names:
        fleet.start_entry(name)


async def cut(fleet: RouteFleet, names: list[str]) -> None:
    """Cut nodes off from the control group and all nodes but those without runners."""
    others = {CONTROL, *fleet.entry_names} - set(names) - {"n0"}
    fleet.cut = {(name, other) for name in names for other in others}
    disturb(fleet, names)
    await asyncio.sleep(fleet.rng.uniform(0.8, 2.5))
    fleet.cut = set()
    disturb(fleet, names)


def disturb(fleet: RouteFleet, names: list[str]) -> None:
    """Excuse nodes for the contact time, which is longer than any cut here."""
    for name in names:
        fleet.entries[name].disturbed_at = fleet.clock.monotonic()


async def kill_all(fleet: RouteFleet, names: list[str]) -> None:
    await restart(fleet, fleet.entry_names)
    for name in fleet.entry_names[: fleet.unreached]:
        fleet.entries[name].client.cut = "refused"


def play(nodes: int, fault: Fault, seed: int) -> RouteTraffic:
    """Cut some nodes off from all runners; let others fail around each change."""
    fleet = RouteFleet(seed=seed, nodes=nodes, retry_slack=200.0)
    fleet.unreached = unreached = max(1, nodes // 10)
    names = fleet.entry_names
    failing = names[unreached : unreached + max(1, nodes // 4)]
    traffic = RouteTraffic(fleet)
    changes = CHANGES if nodes < 80 else CHANGES_OF_MANY_NODES

    async def change_routes() -> None:
        for _ in range(changes):
            async with asyncio.TaskGroup() as group:
                group.create_task(fault(fleet, failing))  # type: ignore[arg-type]
                await asyncio.sleep(fleet.rng.uniform(0.0, 0.6))
                fleet.publish()
                await asyncio.sleep(CHANGE_SECONDS)

    async def scenario(fleet: RouteFleet) -> None:
        for name in names[:unreached]:
            fleet.entries[name].client.cut = "refused"
        await asyncio.sleep(BEFORE_SECONDS)
        seconds = changes * CHANGE_SECONDS
        async with asyncio.TaskGroup() as group:
            group.create_task(change_routes())
            group.create_task(traffic.send(seconds, 40.0, names[:unreached]))
            group.create_task(traffic.send(seconds, 20.0, names[unreached:]))

    fleet.run(scenario)  # type: ignore[arg-type]
    return traffic


FAULTS = [leave_alone, freeze, restart, cut, kill_all]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("nodes", [3, 5, 80])
@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_no_relayed_request_is_handled_by_an_older_document_than_its_node_holds(
    fault: Fault, nodes: int, seed: int
) -> None:
    traffic = play(nodes, fault, seed)
    assert len(traffic.find_late()) == 0
    assert len(traffic.find_missing()) == 0
    assert len(traffic.find_back()) == 0


@pytest.mark.parametrize("nodes", [5, 80])
@pytest.mark.parametrize("fault", [leave_alone, freeze], ids=lambda f: f.__name__)
def test_callers_of_cut_nodes_are_served_while_the_document_changes(
    fault: Fault, nodes: int
) -> None:
    traffic = play(nodes, fault, 3)
    fleet = traffic.fleet
    unreached = fleet.entry_names[: max(1, nodes // 10)]
    others = fleet.entry_names[len(unreached) :]
    since = BEFORE_SECONDS + CONTACT_SECONDS
    served = traffic.served(unreached, since)
    assert served >= MIN_SERVED_SHARE * traffic.served(others, since)
