"""Start a fleet with a configuration in force, for measurements and fault tests."""

import asyncio
from collections.abc import Callable

import msgspec

from hawthornshelf.commands import ProposeConfiguration, Result
from hawthornshelf.configuration import Configuration
from hawthornshelf.messages import CODEC
from hawthornshelf.operatorapi import AddressAnswer
from hawthornshelf.porcelain import call_any, make_change_id
from hawthornshelf.status import NodeReport
from tests.fleet import Fleet, NodeSpec, make_configuration, wait_until

__all__ = [
    "fetch_report",
    "find_leader",
    "make_nodes",
    "propose",
    "has_serving_nodes",
    "start_fleet",
]


def make_nodes(
    control: int, entries: int, roles: str = "entry,control"
) -> list[NodeSpec]:
    """Return control nodes with the given roles, then entry nodes.

    The nodes are spread over three data centres.
    """
    nodes = [NodeSpec(f"c{n}", roles, f"dc-{n % 3}") for n in range(control)]
    nodes += [NodeSpec(f"e{n}", "entry", f"dc-{n % 3}") for n in range(entries)]
    return nodes


async def start_fleet(
    fleet: Fleet,
    engines: int,
    services: int,
    slots: int = 8,
    checks: Callable[[str], bool] = lambda name: True,
    engine_options: tuple[str, ...] = ("--change=0.5",),
) -> Configuration:
    """Start fakes and nodes, and wait until all engines serve the model.

    `checks` returns whether an engine checks fencing numbers. Return the
    configuration that is in force.
    """
    engine_addresses, service_addresses = {}, {}
    for number in range(engines):
        name = f"llm-{number}"
        options = (
            f"--slots={slots}",
            f"--checks={int(checks(name))}",
            *engine_options,
        )
        engine_addresses[name] = fleet.start_engine(name, *options)
    for number in range(services):
        name = f"app-{number}"
        service_addresses[name] = fleet.start_service(name)
    fleet.start_nodes()
    configuration = make_configuration(
        engine_addresses, service_addresses, "1", checks, slots
    )
    await wait_until(lambda: has_serving_nodes(fleet), 30, "serving nodes")
    await propose(fleet, configuration, 0)
    await wait_until(lambda: _all_engines_loaded(fleet, engines), 60, "loaded engines")
    await asyncio.sleep(1.0)
    return configuration


async def propose(
    fleet: Fleet,
    configuration: Configuration,
    base: int,
    at: list[str] | None = None,
    change_id: str = "",
) -> Result:
    """Propose a configuration on a base version and return the result."""
    change_id = change_id or make_change_id()
    command = ProposeConfiguration(change_id, base, "harness", configuration)
    body = msgspec.json.encode(command)
    at = at or list(fleet.listen.values())
    data = await call_any(at, "POST", "/v1/operator/propose", body, "")
    return CODEC.decode(data)


async def fetch_report(fleet: Fleet, name: str) -> NodeReport:
    """Return one node's report."""
    at = [fleet.listen[name]]
    data = await call_any(at, "GET", "/v1/operator/status", b"", "")
    return msgspec.json.decode(data, type=NodeReport)


async def find_leader(fleet: Fleet, among: list[str]) -> str:
    """Return the name of the leader among control nodes, or an empty string."""
    for name in among:
        report = await fetch_report(fleet, name)
        if report.control and report.control.role == "leader":
            return name
    return ""


async def has_serving_nodes(fleet: Fleet) -> bool:
    """Check whether the first reachable node lists all entry nodes, or four of them."""
    at = list(fleet.listen.values())
    data = await call_any(at, "GET", "/v1/addresses", b"", "")
    addresses = msgspec.json.decode(data, type=AddressAnswer).addresses
    entries = [node for node in fleet.nodes.values() if "entry" in node.roles]
    return len(addresses) >= min(4, len(entries))


async def _all_engines_loaded(fleet: Fleet, engines: int) -> bool:
    names = [n for n, s in fleet.nodes.items() if "control" in s.roles]
    leader = await find_leader(fleet, names)
    report = await fetch_report(fleet, leader)
    assert report.control is not None
    finished = [order for order in report.control.orders if order.finished]
    return len(finished) == engines and not report.control.drains
