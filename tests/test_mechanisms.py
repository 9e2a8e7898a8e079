"""Test that each check passes with its safety mechanism and fails without it."""

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


def start_fleet(seed: int, platform: bool = False) -> Simulation:
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


def check_acceptance_survives_kill_of_all_nodes() -> None:
    for seed in range(5):
        simulation = start_fleet(seed)
        simulation.max_sync_seconds = 0.3
        result = propose(simulation, simulation.leader(), "2")
        for name in simulation.nodes:
            simulation.kill(name)
        simulation.start_all()
        simulation.run_until(simulation.leader, 20, "leader")
        simulation.run(2)
        assert simulation.nodes["c0"].core.view.version == result.version, "reverted"


def check_acceptance_survives_empty_disk() -> None:
    for seed in range(5):
        simulation = start_fleet(seed)
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


def check_frozen_leader_sends_no_orders() -> None:
    """Freeze a leader between its decision to send an order and the write."""
    simulation = start_fleet(3)
    old_leader = simulation.leader()
    frozen = []
    apply_effect = simulation._apply_effect

    def freeze_at_order(node: SimNode, effect: object) -> None:
        apply_effect(node, effect)
        if isinstance(effect, SendOrder) and effect.upstream == "g1" and not frozen:
            frozen.append(node.name)
            simulation.freeze(node.name)

    simulation._apply_effect = freeze_at_order
    propose(simulation, old_leader, "2")
    simulation.run_until(lambda: frozen, 40, "order to g1")
    # The next change must not wait for the frozen node to confirm its drain.
    other_nodes = [n for n in simulation.nodes if n != old_leader]
    simulation.run_until(
        lambda: simulation.leader() not in ("", old_leader), 20, "new leader"
    )
    propose(simulation, simulation.leader(), "3")
    for node in other_nodes:
        state = simulation.nodes[node].core.control
        if state is not None:
            state.state.nodes.pop(old_leader, None)
    simulation.run_until(
        lambda: simulation.engines["g1"].target[1] == "3", 60, "new order"
    )
    simulation.run(0.2)
    simulation.resume(old_leader)
    simulation.run(20)
    check_orders(simulation)


def check_orders_do_not_overlap() -> None:
    run_chaos(4, _fault_schedule(4))


def check_orders_interrupt_no_stream() -> None:
    simulation = start_fleet(5)
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


def check_bookings_run_once() -> None:
    run_chaos(0, _fault_schedule(0))


def check_interrupted_bookings_are_not_resent() -> None:
    simulation = start_fleet(6)
    for number in range(40):
        simulation.send_request("e0", make_booking(f"b{number}", f"k{number}"))
        simulation.run(0.3)
    simulation.run(10)
    check_all(simulation)
    unknown = [r for r in simulation.requests.values() if isinstance(r.result, Refuse)]
    assert unknown, "no booking failed, so the check proves nothing"


def check_proposals_compare_and_set() -> None:
    simulation = start_fleet(4)
    for number, name in enumerate(("c0", "c1", "e0")):
        body = configuration_of(simulation, str(number + 2))
        simulation.submit(name, ProposeConfiguration(f"race-{number}", 1, name, body))
    simulation.run(5)
    check_all(simulation)


def check_streams_have_no_gap_or_repetition() -> None:
    simulation = start_fleet(7)
    for number in range(6):
        simulation.send_request("e0", make_completion(f"s{number}", 100))
    simulation.run(0.5)
    simulation.engines["g1"].crash(simulation)
    simulation.engines["g2"].crash(simulation)
    simulation.run(30)
    check_all(simulation)


def check_stopping_node_completes_its_streams() -> None:
    simulation = start_fleet(8)
    streams = [
        simulation.send_request("e0", make_completion(f"s{n}", 400)) for n in range(3)
    ]
    simulation.run(0.5)
    simulation.stop("e0")
    simulation.run(30)
    assert all(stream.result is not None for stream in streams), "interrupted"


def check_leaving_engine_gets_no_requests() -> None:
    simulation = start_fleet(9, platform=True)
    simulation.isolate("e0")
    simulation.cut("e0", "platform")
    simulation.platform_states["g0"] = "leaving"
    simulation.run(6)
    since = simulation.now
    for number in range(20):
        simulation.send_request("e0", make_completion(f"r{number}", 5))
        simulation.run(0.2)
    new_runs = [run for run in simulation.engines["g0"].runs if run.at > since]
    assert not new_runs, "new request to a leaving engine"


def check_crashing_request_crashes_at_most_two_engines() -> None:
    simulation = start_fleet(10)
    for name in sorted(simulation.nodes):
        request = simulation.send_request(
            name, make_completion(f"p-{name}", 50, digest=POISON)
        )
        simulation.run_until(lambda r=request: r.result, 61, "final response")
    crashes = sum(engine.crashes for engine in simulation.engines.values())
    assert crashes <= 2, f"{crashes} crashes"


def _fault_schedule(seed: int) -> list[Fault]:
    """Return a schedule under which the check fails without its mechanism."""
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


EXPECTED_FAILURES = {
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
    "no-linger": "interrupted",
    "no-quarantine": "crashes",
}

CHECKS: dict[str, Callable[[], None]] = {
    "send-before-sync": check_acceptance_survives_kill_of_all_nodes,
    "keep-replica-id": check_acceptance_survives_empty_disk,
    "no-lease": check_frozen_leader_sends_no_orders,
    "no-settling": check_orders_do_not_overlap,
    "no-acks": check_orders_interrupt_no_stream,
    "no-claims": check_bookings_run_once,
    "retry-unknown": check_interrupted_bookings_are_not_resent,
    "no-staleness-limit": check_leaving_engine_gets_no_requests,
    "no-compare-and-set": check_proposals_compare_and_set,
    "no-offsets": check_streams_have_no_gap_or_repetition,
    "resume-at-start": check_streams_have_no_gap_or_repetition,
    "no-linger": check_stopping_node_completes_its_streams,
    "no-quarantine": check_crashing_request_crashes_at_most_two_engines,
}


@pytest.mark.parametrize("without", [False, True], ids=["with", "without"])
@pytest.mark.parametrize("name", sorted(CHECKS))
def test_mechanism(name: str, without: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    if without:
        ABLATIONS[name](monkeypatch)
    failure = pytest.raises(AssertionError, match=EXPECTED_FAILURES[name])
    with failure if without else nullcontext():
        CHECKS[name]()
