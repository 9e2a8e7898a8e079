"""Run a world under a schedule of faults with operators and callers at work."""

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
from tests.upstreams import FakeEngine, FakeService
from tests.world import World

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


def make_world(seed: int, control: int = 3, entries: int = 2) -> World:
    """Return a world with two engines of each kind and one service."""
    world = World(seed, control, entries, compact=60)
    world.engines = {f"g{n}": FakeEngine(f"g{n}", checks=n % 2 == 0) for n in range(4)}
    world.services = {f"a{n}": FakeService(f"a{n}") for n in range(2)}
    return world


def configuration_of(world: World, version: str = "1") -> Configuration:
    """Return a configuration for a world's upstreams."""
    engines = dict.fromkeys(world.engines, "127.0.0.1:1")
    services = dict.fromkeys(world.services, "127.0.0.1:2")
    checks = {name: engine.checks for name, engine in world.engines.items()}
    return make_configuration(engines, services, version, checks.__getitem__)


def completion(request: str, tokens: int = 10, digest: str = "") -> RequestArrived:
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


def booking(request: str, key: str) -> RequestArrived:
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


def run_chaos(seed: int, faults: list[Fault]) -> World:
    """Run the faults against a busy world, let it settle, and check all."""
    world = make_world(seed)
    rng = random.Random(seed)
    world.start_all()
    world.configure(configuration_of(world))
    for fault in faults:
        world.after(fault.at, lambda fault=fault: _inject(world, fault))  # type: ignore[misc]
    _schedule_work(world, rng)
    world.run(RUN_SECONDS)
    _repair(world)
    world.run(SETTLE_SECONDS)
    check_all(world)
    _check_serves(world)
    return world


def _inject(world: World, fault: Fault) -> None:
    names = sorted(world.nodes)
    name = names[fault.target % len(names)]
    if world.nodes[name].core is None:
        return
    heal = world.heal
    match fault.kind:
        case "kill":
            world.kill(name)
            world.after(fault.seconds, lambda: _restart(world, name))
        case "wipe":
            if _can_lose_disk(world, name):
                world.wipe(name)
                world.after(fault.seconds, lambda: _restart(world, name))
        case "freeze":
            world.freeze(name)
            world.after(fault.seconds, lambda: world.wake(name))
        case "isolate":
            world.isolate(name)
            world.after(fault.seconds, heal)
        case "cut":
            world.cut(name, names[(fault.target + 1) % len(names)])
            world.after(fault.seconds, heal)
        case "crash-engine":
            engines = sorted(world.engines)
            engine = world.engines[engines[fault.target % len(engines)]]
            if engine.up:
                engine.crash(world, fault.seconds)
        case "stop":
            world.stop(name)
            world.after(5.0, lambda: _replace_stopped(world, name))


def _can_lose_disk(world: World, name: str) -> bool:
    """Tell if two whole disks of voters are left: more can't be survived."""
    node = world.nodes[name]
    if not node.control:
        return True
    leader = world.leader()
    if not leader:
        return False
    control = world.nodes[leader].core.control  # type: ignore[union-attr]
    assert control is not None
    voters = [m for m in control.membership().members if m.voter]
    known = {
        m.node
        for m in voters
        if (disk := world.nodes[m.node].disk) and disk.load().replica == m.replica
    }
    return len(voters) == 3 and len(known) == 3


def _restart(world: World, name: str) -> None:
    if world.nodes[name].core is None:
        world.start(name)


def _replace_stopped(world: World, name: str) -> None:
    """Start a node again once its graceful stop has ended."""
    if world.nodes[name].core is None:
        world.start(name)
    else:
        world.after(5.0, lambda: _replace_stopped(world, name))


def _repair(world: World) -> None:
    world.heal()
    for name, node in world.nodes.items():
        if node.frozen:
            world.wake(name)
        _restart(world, name)


def _schedule_work(world: World, rng: random.Random) -> None:
    names = sorted(world.nodes)
    for number in range(60):
        at = rng.uniform(0, RUN_SECONDS)
        name = rng.choice(names)
        kind = rng.random()
        if kind < 0.4:
            event = completion(f"r{number}", rng.randrange(1, 60))
        else:
            event = booking(f"r{number}", f"k{rng.randrange(8)}")
        world.after(at, lambda e=event, n=name: world.ask(n, e))  # type: ignore[misc]
    for number in range(12):
        at = rng.uniform(0, RUN_SECONDS)
        name = rng.choice(names)
        world.after(at, lambda n=name, i=number: _operate(world, rng, n, i))  # type: ignore[misc]


def _operate(world: World, rng: random.Random, name: str, number: int) -> None:
    node = world.nodes[name]
    if node.core is None:
        return
    if rng.random() < 0.6:
        base = node.core.view.version
        change = f"change-{rng.randrange(8)}"
        body = configuration_of(world, str(rng.randrange(3)))
        world.give(name, ProposeConfiguration(change, base, name, body))
    elif rng.random() < 0.5:
        world.give(name, DrainUpstream(f"g{number % 4}", DrainReason.OPERATOR))
    else:
        world.give(name, ReleaseUpstream(f"g{number % 4}", DrainReason.OPERATOR))


def _check_serves(world: World) -> None:
    """Assert that the fleet serves once all faults are over."""
    for engine in sorted(world.engines):
        world.give(world.leader(), ReleaseUpstream(engine, DrainReason.OPERATOR))
    world.run(20.0)
    for name in sorted(world.nodes):
        request = world.ask(name, completion(f"last-{name}", 5))
        booked = world.ask(name, booking(f"book-{name}", f"last-{name}"))
        world.run_until(
            lambda r=request, b=booked: r.end and b.end,  # type: ignore[misc]
            20,
            f"answers at {name}",
        )
    check_all(world)
    versions = {n.core.view.version for n in world.nodes.values() if n.core}
    assert len(versions) == 1, versions
    _check_replicas(world)


def _check_replicas(world: World) -> None:
    """Assert that every control node's own replica votes again."""
    core = world.nodes[world.leader()].core
    assert core is not None
    assert core.control is not None
    disks = [world.nodes[name].disk for name in world.control]
    replicas = {disk.load().replica for disk in disks if disk}
    assert set(core.control.membership().voters()) == replicas
