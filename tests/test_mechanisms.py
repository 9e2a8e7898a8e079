"""Show for each mechanism that its proof fails without it and passes with it."""

from collections.abc import Callable
from contextlib import nullcontext

import pytest

from hawthornshelf.commands import ConfigurationAccepted, ProposeConfiguration
from hawthornshelf.effects import Refuse, SendOrder
from tests.ablations import ABLATIONS
from tests.chaos import (
    Fault,
    booking,
    completion,
    configuration_of,
    make_world,
    run_chaos,
)
from tests.invariants import check_all, check_orders
from tests.upstreams import POISON
from tests.world import SimNode, World


def ready(seed: int, platform: bool = False) -> World:
    world = make_world(seed)
    world.uses_platform = platform
    names = (*world.nodes, *world.engines, *world.services)
    world.listed = dict.fromkeys(names, "live")
    world.start_all()
    world.configure(configuration_of(world))
    world.run(25)
    return world


def propose(world: World, name: str, version: str) -> ConfigurationAccepted:
    base = world.nodes[name].core.view.version
    body = configuration_of(world, version)
    command = ProposeConfiguration(f"to-{version}", base, "op", body)
    result = world.run_command(name, command)
    assert isinstance(result, ConfigurationAccepted), result
    return result


def accepted_survives_loss_of_all_processes() -> None:
    for seed in range(5):
        world = ready(seed)
        world.max_sync = 0.3
        result = propose(world, world.leader(), "2")
        for name in world.nodes:
            world.kill(name)
        world.start_all()
        world.run_until(world.leader, 20, "leader")
        world.run(2)
        assert world.nodes["c0"].core.view.version == result.version, "reverted"


def accepted_survives_an_empty_disk() -> None:
    for seed in range(5):
        world = ready(seed)
        leader = world.leader()
        first, second = (name for name in sorted(world.control) if name != leader)
        world.kill(second)
        result = propose(world, leader, "2")
        world.wipe(first)
        world.kill(leader)
        world.start(first)
        world.start(second)
        world.run(10)
        world.start(leader)
        world.run(20)
        for name in world.control:
            state = world.nodes[name].core.control.state
            assert state.version == result.version, "reverted"


def orders_of_a_frozen_leader_die() -> None:
    """Freeze a leader between the decision to send an order and its write."""
    world = ready(3)
    old = world.leader()
    frozen = []
    carry_out = world._carry_out

    def freeze_at_order(node: SimNode, effect: object) -> None:
        carry_out(node, effect)
        if isinstance(effect, SendOrder) and effect.upstream == "g1" and not frozen:
            frozen.append(node.name)
            world.freeze(node.name)

    world._carry_out = freeze_at_order
    propose(world, old, "2")
    world.run_until(lambda: frozen, 40, "order to g1")
    # The frozen node must not hold the next change back by its missing ack.
    state_nodes = [n for n in world.nodes if n != old]
    world.run_until(lambda: world.leader() not in ("", old), 20, "new leader")
    propose(world, world.leader(), "3")
    for node in state_nodes:
        state = world.nodes[node].core.control
        if state is not None:
            state.state.nodes.pop(old, None)
    world.run_until(lambda: world.engines["g1"].target[1] == "3", 60, "new order")
    world.run(0.2)
    world.wake(old)
    world.run(20)
    check_orders(world)


def orders_do_not_overtake() -> None:
    run_chaos(4, _drawn(4))


def orders_cut_no_stream() -> None:
    world = ready(5)
    names = sorted(world.nodes)
    streams = [
        world.ask(names[n % len(names)], completion(f"s{n}", 300)) for n in range(12)
    ]
    world.run(0.5)
    propose(world, world.leader(), "2")
    world.run(40)
    check_all(world)
    assert not [s for s in streams if isinstance(s.end, Refuse)]


def bookings_run_once() -> None:
    run_chaos(0, _drawn(0))


def broken_bookings_are_not_repeated() -> None:
    world = ready(6)
    for number in range(40):
        world.ask("e0", booking(f"b{number}", f"k{number}"))
        world.run(0.3)
    world.run(10)
    check_all(world)
    unknown = [r for r in world.requests.values() if isinstance(r.end, Refuse)]
    assert unknown, "no booking broke, so nothing was shown"


def proposals_are_compared_and_set() -> None:
    world = ready(4)
    for number, name in enumerate(("c0", "c1", "e0")):
        body = configuration_of(world, str(number + 2))
        world.give(name, ProposeConfiguration(f"race-{number}", 1, name, body))
    world.run(5)
    check_all(world)


def streams_have_no_gap_or_repeat() -> None:
    world = ready(7)
    for number in range(6):
        world.ask("e0", completion(f"s{number}", 100))
    world.run(0.5)
    world.engines["g1"].crash(world)
    world.engines["g2"].crash(world)
    world.run(30)
    check_all(world)


def a_stopping_node_ends_its_streams() -> None:
    world = ready(8)
    streams = [world.ask("e0", completion(f"s{n}", 400)) for n in range(3)]
    world.run(0.5)
    world.stop("e0")
    world.run(30)
    assert all(stream.end is not None for stream in streams), "cut"


def a_leaving_engine_gets_no_work() -> None:
    world = ready(9, platform=True)
    world.isolate("e0")
    world.cut("e0", "platform")
    world.listed["g0"] = "leaving"
    world.run(6)
    since = world.now
    for number in range(20):
        world.ask("e0", completion(f"r{number}", 5))
        world.run(0.2)
    late = [run for run in world.engines["g0"].runs if run.at > since]
    assert not late, "new work for a leaving engine"


def a_crashing_request_costs_two_engines() -> None:
    world = ready(10)
    for name in sorted(world.nodes):
        request = world.ask(name, completion(f"p-{name}", 50, digest=POISON))
        world.run_until(lambda r=request: r.end, 61, "final answer")
    crashes = sum(engine.crashes for engine in world.engines.values())
    assert crashes <= 2, f"{crashes} crashes"


def _drawn(seed: int) -> list[Fault]:
    """Return the schedule that was found to bring the fault about."""
    schedules = {
        0: [Fault(10.0, "kill", 3, 5.0), Fault(20.0, "isolate", 1, 5.0)],
        4: [
            Fault(3.0, "crash-engine", 0, 2.0),
            Fault(5.0, "kill", 0, 4.0),
            Fault(12.0, "freeze", 1, 6.0),
            Fault(18.0, "isolate", 2, 8.0),
        ],
    }
    return schedules[seed]


EXPECTED = {
    "send-before-sync": "reverted",
    "keep-replica-id": "reverted",
    "no-lease": r"g1.*OrderRecord",
    "no-settling": "changing=True",
    "no-acks": r"in_flight=[1-9]",
    "no-claims": r"'k\d': \d",
    "retry-unknown": r"'k\d+': 2",
    "no-staleness-limit": "leaving engine",
    "no-compare-and-set": "not linearizable",
    "no-offsets": r"s\d",
    "resume-at-start": r"s\d",
    "no-linger": "cut",
    "no-quarantine": "crashes",
}

PROOFS: dict[str, Callable[[], None]] = {
    "send-before-sync": accepted_survives_loss_of_all_processes,
    "keep-replica-id": accepted_survives_an_empty_disk,
    "no-lease": orders_of_a_frozen_leader_die,
    "no-settling": orders_do_not_overtake,
    "no-acks": orders_cut_no_stream,
    "no-claims": bookings_run_once,
    "retry-unknown": broken_bookings_are_not_repeated,
    "no-staleness-limit": a_leaving_engine_gets_no_work,
    "no-compare-and-set": proposals_are_compared_and_set,
    "no-offsets": streams_have_no_gap_or_repeat,
    "resume-at-start": streams_have_no_gap_or_repeat,
    "no-linger": a_stopping_node_ends_its_streams,
    "no-quarantine": a_crashing_request_costs_two_engines,
}


@pytest.mark.parametrize("without", [False, True], ids=["with", "without"])
@pytest.mark.parametrize("name", sorted(PROOFS))
def test_mechanism(name: str, without: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    if without:
        ABLATIONS[name](monkeypatch)
    failure = pytest.raises(AssertionError, match=EXPECTED[name])
    with failure if without else nullcontext():
        PROOFS[name]()
