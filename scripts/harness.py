"""Start a fleet with a configuration in force, for measurements and trials."""

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
    """Return nodes: some that run control with the roles given, then entry nodes."""
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
    """Start everything and wait until all engines serve the declared model."""
    found_engines, found_services = {}, {}
    for number in range(engines):
        name = f"llm-{number}"
        options = (
            f"--slots={slots}",
            f"--checks={int(checks(name))}",
            *engine_options,
        )
        found_engines[name] = fleet.start_engine(name, *options)
    for number in range(services):
        name = f"app-{number}"
        found_services[name] = fleet.start_service(name)
    fleet.start_nodes()
    configuration = make_configuration(
        found_engines, found_services, "1", checks, slots
    )
    await wait_until(lambda: has_serving_nodes(fleet), 30, "serving nodes")
    await propose(fleet, configuration, 0)
    await wait_until(lambda: _all_loaded(fleet, engines), 60, "loaded engines")
    await asyncio.sleep(1.0)
    return configuration


async def propose(
    fleet: Fleet,
    configuration: Configuration,
    base: int,
    at: list[str] | None = None,
    change_id: str = "",
) -> Result:
    """Propose a configuration and return the result."""
    change_id = change_id or make_change_id()
    command = ProposeConfiguration(change_id, base, "rig", configuration)
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
    """Return the control node that leads, or an empty name."""
    for name in among:
        report = await fetch_report(fleet, name)
        if report.control and report.control.role == "leader":
            return name
    return ""


async def has_serving_nodes(fleet: Fleet) -> bool:
    """Tell if every running node is named by the first one that answers."""
    at = list(fleet.listen.values())
    data = await call_any(at, "GET", "/v1/addresses", b"", "")
    addresses = msgspec.json.decode(data, type=AddressAnswer).addresses
    entries = [node for node in fleet.nodes.values() if "entry" in node.roles]
    return len(addresses) >= min(4, len(entries))


async def _all_loaded(fleet: Fleet, engines: int) -> bool:
    names = [n for n, s in fleet.nodes.items() if "control" in s.roles]
    leader = await find_leader(fleet, names)
    report = await fetch_report(fleet, leader)
    assert report.control is not None
    done = [order for order in report.control.orders if order.finished]
    return len(done) == engines and not report.control.drains
