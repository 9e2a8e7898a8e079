"""Show for each mechanism that its proof fails without it and passes with it."""

from collections.abc import Callable
from contextlib import nullcontext

import pytest

from hawthornshelf.commands import ConfigurationAccepted, ProposeConfiguration
from hawthornshelf.effects import Refuse, SendOrder
from tests.ablations import ABLATIONS
from tests.chaos import (
    Fault,
    configuration_of,
    make_booking,
    make_completion,
    make_simulation,
    run_chaos,
)
from tests.invariants import check_all, check_orders
from tests.simulation import SimNode, Simulation
from tests.upstreams import POISON


def ready(seed: int, platform: bool = False) -> Simulation:
    simulation = make_simulation(seed)
    simulation.uses_platform = platform
    names = (*simulation.nodes, *simulation.engines, *simulation.services)
    simulation.platform_states = dict.fromkeys(names, "live")
    simulation.start_all()
    simulation.configure(configuration_of(simulation))
    simulation.run(25)
    return simulation


def propose(simulation: Simulation, name: str, version: str) -> ConfigurationAccepted:
    base = simulation.nodes[name].core.view.version
    body = configuration_of(simulation, version)
    command = ProposeConfiguration(f"to-{version}", base, "op", body)
    result = simulation.run_command(name, command)
    assert isinstance(result, ConfigurationAccepted), result
    return result


def accepted_survives_loss_of_all_processes() -> None:
    for seed in range(5):
        simulation = ready(seed)
        simulation.max_sync_seconds = 0.3
        result = propose(simulation, simulation.leader(), "2")
        for name in simulation.nodes:
            simulation.kill(name)
        simulation.start_all()
        simulation.run_until(simulation.leader, 20, "leader")
        simulation.run(2)
        assert simulation.nodes["c0"].core.view.version == result.version, "reverted"


def accepted_survives_an_empty_disk() -> None:
    for seed in range(5):
        simulation = ready(seed)
        leader = simulation.leader()
        first, second = (name for name in sorted(simulation.control) if name != leader)
        simulation.kill(second)
        result = propose(simulation, leader, "2")
        simulation.wipe(first)
        simulation.kill(leader)
        simulation.start(first)
        simulation.start(second)
        simulation.run(10)
        simulation.start(leader)
        simulation.run(20)
        for name in simulation.control:
            state = simulation.nodes[name].core.control.state
            assert state.version == result.version, "reverted"


def orders_of_a_frozen_leader_die() -> None:
    """Freeze a leader between the decision to send an order and its write."""
    simulation = ready(3)
    old = simulation.leader()
    frozen = []
    apply_effect = simulation._apply_effect

    def freeze_at_order(node: SimNode, effect: object) -> None:
        apply_effect(node, effect)
        if isinstance(effect, SendOrder) and effect.upstream == "g1" and not frozen:
            frozen.append(node.name)
            simulation.freeze(node.name)

    simulation._apply_effect = freeze_at_order
    propose(simulation, old, "2")
    simulation.run_until(lambda: frozen, 40, "order to g1")
    # The frozen node must not hold the next change back by its missing ack.
    state_nodes = [n for n in simulation.nodes if n != old]
    simulation.run_until(lambda: simulation.leader() not in ("", old), 20, "new leader")
    propose(simulation, simulation.leader(), "3")
    for node in state_nodes:
        state = simulation.nodes[node].core.control
        if state is not None:
            state.state.nodes.pop(old, None)
    simulation.run_until(
        lambda: simulation.engines["g1"].target[1] == "3", 60, "new order"
    )
    simulation.run(0.2)
    simulation.resume(old)
    simulation.run(20)
    check_orders(simulation)


def orders_do_not_overtake() -> None:
    run_chaos(4, _drawn(4))


def orders_cut_no_stream() -> None:
    simulation = ready(5)
    names = sorted(simulation.nodes)
    streams = [
        simulation.send_request(names[n % len(names)], make_completion(f"s{n}", 300))
        for n in range(12)
    ]
    simulation.run(0.5)
    propose(simulation, simulation.leader(), "2")
    simulation.run(40)
    check_all(simulation)
    assert not [s for s in streams if isinstance(s.result, Refuse)]


def bookings_run_once() -> None:
    run_chaos(0, _drawn(0))


def broken_bookings_are_not_repeated() -> None:
    simulation = ready(6)
    for number in range(40):
        simulation.send_request("e0", make_booking(f"b{number}", f"k{number}"))
        simulation.run(0.3)
    simulation.run(10)
    check_all(simulation)
    unknown = [r for r in simulation.requests.values() if isinstance(r.result, Refuse)]
    assert unknown, "no booking broke, so nothing was shown"


def proposals_are_compared_and_set() -> None:
    simulation = ready(4)
    for number, name in enumerate(("c0", "c1", "e0")):
        body = configuration_of(simulation, str(number + 2))
        simulation.submit(name, ProposeConfiguration(f"race-{number}", 1, name, body))
    simulation.run(5)
    check_all(simulation)


def streams_have_no_gap_or_repeat() -> None:
    simulation = ready(7)
    for number in range(6):
        simulation.send_request("e0", make_completion(f"s{number}", 100))
    simulation.run(0.5)
    simulation.engines["g1"].crash(simulation)
    simulation.engines["g2"].crash(simulation)
    simulation.run(30)
    check_all(simulation)


def a_stopping_node_ends_its_streams() -> None:
    simulation = ready(8)
    streams = [
        simulation.send_request("e0", make_completion(f"s{n}", 400)) for n in range(3)
    ]
    simulation.run(0.5)
    simulation.stop("e0")
    simulation.run(30)
    assert all(stream.result is not None for stream in streams), "cut"


def a_leaving_engine_gets_no_work() -> None:
    simulation = ready(9, platform=True)
    simulation.isolate("e0")
    simulation.cut("e0", "platform")
    simulation.platform_states["g0"] = "leaving"
    simulation.run(6)
    since = simulation.now
    for number in range(20):
        simulation.send_request("e0", make_completion(f"r{number}", 5))
        simulation.run(0.2)
    late = [run for run in simulation.engines["g0"].runs if run.at > since]
    assert not late, "new work for a leaving engine"


def a_crashing_request_costs_two_engines() -> None:
    simulation = ready(10)
    for name in sorted(simulation.nodes):
        request = simulation.send_request(
            name, make_completion(f"p-{name}", 50, digest=POISON)
        )
        simulation.run_until(lambda r=request: r.result, 61, "final answer")
    crashes = sum(engine.crashes for engine in simulation.engines.values())
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
