"""Run a simulation under a schedule of faults with operators and callers at work."""

import random
from typing import NamedTuple

from hawthornshelf.commands import (
    DrainReason,
    DrainUpstream,
    ProposeConfiguration,
    ReleaseUpstream,
)
from hawthornshelf.configuration import Configuration
from hawthornshelf.events import RequestArrived
from tests.fleet import make_configuration
from tests.invariants import check_all
from tests.simulation import Simulation
from tests.upstreams import FakeEngine, FakeService

__all__ = ["FAULTS", "Fault", "run_chaos"]

RUN_SECONDS = 40.0
SETTLE_SECONDS = 40.0
FAULTS = ("kill", "wipe", "freeze", "isolate", "cut", "crash-engine", "stop")


class Fault(NamedTuple):
    """Hold one fault: when, what, which node or engine, and for how long."""

    at: float
    kind: str
    target: int
    seconds: float


def make_simulation(seed: int, control: int = 3, entries: int = 2) -> Simulation:
    """Return a simulation with two engines of each kind and one service."""
    simulation = Simulation(seed, control, entries, compact_entries=60)
    simulation.engines = {
        f"g{n}": FakeEngine(f"g{n}", checks_fencing=n % 2 == 0) for n in range(4)
    }
    simulation.services = {f"a{n}": FakeService(f"a{n}") for n in range(2)}
    return simulation


def configuration_of(simulation: Simulation, version: str = "1") -> Configuration:
    """Return a configuration for a simulation's upstreams."""
    engines = dict.fromkeys(simulation.engines, "127.0.0.1:1")
    services = dict.fromkeys(simulation.services, "127.0.0.1:2")
    checks = {
        name: engine.checks_fencing for name, engine in simulation.engines.items()
    }
    return make_configuration(engines, services, version, checks.__getitem__)


def make_completion(request: str, tokens: int = 10, digest: str = "") -> RequestArrived:
    """Return a request for a completion."""
    return RequestArrived(
        request,
        "workspace",
        "chat",
        is_engine=True,
        method="POST",
        path="/v1/completions",
        work="bulk",
        key="",
        digest=digest or request,
        deadline=0.0,
        max_tokens=tokens,
    )


def make_booking(request: str, key: str) -> RequestArrived:
    """Return a request for a booking."""
    return RequestArrived(
        request,
        "workspace",
        "app",
        is_engine=False,
        method="POST",
        path="/bookings",
        work="bulk",
        key=key,
        digest=f"digest-{key}",
        deadline=0.0,
    )


def run_chaos(seed: int, faults: list[Fault]) -> Simulation:
    """Run the faults against a busy simulation, let it settle, and check all."""
    simulation = make_simulation(seed)
    rng = random.Random(seed)
    simulation.start_all()
    simulation.configure(configuration_of(simulation))
    for fault in faults:
        simulation.schedule(fault.at, lambda fault=fault: _inject(simulation, fault))  # type: ignore[misc]
    _schedule_work(simulation, rng)
    simulation.run(RUN_SECONDS)
    _repair(simulation)
    simulation.run(SETTLE_SECONDS)
    check_all(simulation)
    _check_serves(simulation)
    return simulation


def _inject(simulation: Simulation, fault: Fault) -> None:
    names = sorted(simulation.nodes)
    name = names[fault.target % len(names)]
    if simulation.nodes[name].core is None:
        return
    heal = simulation.heal
    match fault.kind:
        case "kill":
            simulation.kill(name)
            simulation.schedule(fault.seconds, lambda: _restart(simulation, name))
        case "wipe":
            if _can_lose_disk(simulation, name):
                simulation.wipe(name)
                simulation.schedule(fault.seconds, lambda: _restart(simulation, name))
        case "freeze":
            simulation.freeze(name)
            simulation.schedule(fault.seconds, lambda: simulation.resume(name))
        case "isolate":
            simulation.isolate(name)
            simulation.schedule(fault.seconds, heal)
        case "cut":
            simulation.cut(name, names[(fault.target + 1) % len(names)])
            simulation.schedule(fault.seconds, heal)
        case "crash-engine":
            engines = sorted(simulation.engines)
            engine = simulation.engines[engines[fault.target % len(engines)]]
            if engine.up:
                engine.crash(simulation, fault.seconds)
        case "stop":
            simulation.stop(name)
            simulation.schedule(5.0, lambda: _replace_stopped(simulation, name))


def _can_lose_disk(simulation: Simulation, name: str) -> bool:
    """Tell if two whole disks of voters are left: more can't be survived."""
    node = simulation.nodes[name]
    if not node.control:
        return True
    leader = simulation.leader()
    if not leader:
        return False
    control = simulation.nodes[leader].core.control  # type: ignore[union-attr]
    assert control is not None
    voters = [m for m in control.membership().members if m.voter]
    known = {
        m.node
        for m in voters
        if (disk := simulation.nodes[m.node].disk) and disk.load().replica == m.replica
    }
    return len(voters) == 3 and len(known) == 3


def _restart(simulation: Simulation, name: str) -> None:
    if simulation.nodes[name].core is None:
        simulation.start(name)


def _replace_stopped(simulation: Simulation, name: str) -> None:
    """Start a node again once its graceful stop has ended."""
    if simulation.nodes[name].core is None:
        simulation.start(name)
    else:
        simulation.schedule(5.0, lambda: _replace_stopped(simulation, name))


def _repair(simulation: Simulation) -> None:
    simulation.heal()
    for name, node in simulation.nodes.items():
        if node.frozen:
            simulation.resume(name)
        _restart(simulation, name)


def _schedule_work(simulation: Simulation, rng: random.Random) -> None:
    names = sorted(simulation.nodes)
    for number in range(60):
        at = rng.uniform(0, RUN_SECONDS)
        name = rng.choice(names)
        kind = rng.random()
        if kind < 0.4:
            event = make_completion(f"r{number}", rng.randrange(1, 60))
        else:
            event = make_booking(f"r{number}", f"k{rng.randrange(8)}")
        simulation.schedule(at, lambda e=event, n=name: simulation.send_request(n, e))  # type: ignore[misc]
    for number in range(12):
        at = rng.uniform(0, RUN_SECONDS)
        name = rng.choice(names)
        simulation.schedule(
            at, lambda n=name, i=number: _operate(simulation, rng, n, i)
        )  # type: ignore[misc]


def _operate(
    simulation: Simulation, rng: random.Random, name: str, number: int
) -> None:
    node = simulation.nodes[name]
    if node.core is None:
        return
    if rng.random() < 0.6:
        base = node.core.view.version
        change = f"change-{rng.randrange(8)}"
        body = configuration_of(simulation, str(rng.randrange(3)))
        simulation.submit(name, ProposeConfiguration(change, base, name, body))
    elif rng.random() < 0.5:
        simulation.submit(name, DrainUpstream(f"g{number % 4}", DrainReason.OPERATOR))
    else:
        simulation.submit(name, ReleaseUpstream(f"g{number % 4}", DrainReason.OPERATOR))


def _check_serves(simulation: Simulation) -> None:
    """Assert that the fleet serves once all faults are over."""
    for engine in sorted(simulation.engines):
        simulation.submit(
            simulation.leader(), ReleaseUpstream(engine, DrainReason.OPERATOR)
        )
    simulation.run(20.0)
    for name in sorted(simulation.nodes):
        request = simulation.send_request(name, make_completion(f"last-{name}", 5))
        booked = simulation.send_request(
            name, make_booking(f"book-{name}", f"last-{name}")
        )
        simulation.run_until(
            lambda r=request, b=booked: r.result and b.result,  # type: ignore[misc]
            20,
            f"answers at {name}",
        )
    check_all(simulation)
    versions = {n.core.view.version for n in simulation.nodes.values() if n.core}
    assert len(versions) == 1, versions
    _check_replicas(simulation)


def _check_replicas(simulation: Simulation) -> None:
    """Assert that every control node's own replica votes again."""
    core = simulation.nodes[simulation.leader()].core
    assert core is not None
    assert core.control is not None
    disks = [simulation.nodes[name].disk for name in simulation.control]
    replicas = {disk.load().replica for disk in disks if disk}
    assert set(core.control.membership().voters()) == replicas
