"""Test a control group that replaces lost voters by itself."""

from dataclasses import replace

import pytest

from hawthornshelf.commands import ReadRoutes, ReplaceRoutes, RoutesInForce
from hawthornshelf.effects import Effect, Send
from hawthornshelf.messages import ViewUpdate
from hawthornshelf.node import NodeCore
from hawthornshelf.raft import Raft
from hawthornshelf.raftmessages import RaftSend
from tests.simulation import SimNode, Simulation

TIMEOUT_SECONDS = 20.0
VOTERS_CHANGED = "voters-changed"


def start_group(seed: int = 1, **options: int) -> Simulation:
    simulation = Simulation(seed, control=3, entries=0, voters=3, **options)
    simulation.start_all()
    simulation.run_until(simulation.leader, TIMEOUT_SECONDS, "leader")
    return simulation


def number_in_force(core: NodeCore) -> int | None:
    return core.view.routes.number if core.view.routes else None


def replace_routes(simulation: Simulation, node: str, number: int) -> None:
    result = simulation.run_command(node, ReplaceRoutes(number, b"%d" % number))
    assert result == RoutesInForce(number, b"")


def test_a_blank_node_at_a_new_address_replaces_a_lost_voter() -> None:
    simulation = start_group()
    leader = simulation.leader()
    replace_routes(simulation, leader, 5)
    lost = next(name for name in simulation.control if name != leader)
    simulation.kill(lost)
    simulation.add_control_node("c9")
    expected_voters = set(simulation.control) - {lost} | {"c9"}
    simulation.run_until(
        lambda: simulation.voters_of(leader) == expected_voters,
        TIMEOUT_SECONDS,
        "new voter",
    )
    other = next(name for name in expected_voters if name not in (leader, "c9"))
    simulation.kill(other)
    assert simulation.run_command(leader, ReadRoutes()) == RoutesInForce(5, b"5")


def test_voter_changes_are_logged() -> None:
    simulation = start_group(6)
    leader = simulation.leader()
    lost = next(name for name in simulation.control if name != leader)
    simulation.kill(lost)
    simulation.add_control_node("c9")
    expected_voters = set(simulation.control) - {lost} | {"c9"}
    simulation.run_until(
        lambda: simulation.voters_of(leader) == expected_voters,
        TIMEOUT_SECONDS,
        "new voter",
    )
    simulation.run(1.0)
    lines = [
        dict(x.fields)
        for x in simulation.nodes[leader].log_lines
        if x.event == VOTERS_CHANGED
    ]
    assert set(str(lines[-1]["voters"]).split(",")) == expected_voters
    assert any(line["learners"] == "c9" for line in lines)


def test_a_silent_voter_stays_if_no_learner_can_replace_it() -> None:
    simulation = start_group(2)
    leader = simulation.leader()
    frozen = next(name for name in simulation.control if name != leader)
    simulation.freeze(frozen)
    simulation.run(6.0)
    assert simulation.voters_of(leader) == set(simulation.control)
    simulation.resume(frozen)
    simulation.run(2.0)
    assert len(simulation.voters_of(simulation.leader())) == 3


def test_a_spare_node_stays_a_learner_until_a_voter_is_lost() -> None:
    simulation = start_group(3)
    simulation.add_control_node("c9")
    simulation.run(4.0)
    assert simulation.voters_of(simulation.leader()) == set(simulation.control)
    lost = simulation.leader()
    simulation.kill(lost)
    simulation.run_until(simulation.leader, TIMEOUT_SECONDS, "leader")
    expected_voters = set(simulation.control) - {lost} | {"c9"}
    simulation.run_until(
        lambda: (
            simulation.leader()
            and simulation.voters_of(simulation.leader()) == expected_voters
        ),
        TIMEOUT_SECONDS,
        "spare voter",
    )


def test_a_node_with_a_wiped_disk_becomes_a_voter_under_a_new_replica_id() -> None:
    simulation = start_group(4)
    leader = simulation.leader()
    replace_routes(simulation, leader, 7)
    wiped = next(name for name in simulation.control if name != leader)
    simulation.wipe(wiped)
    simulation.start(wiped)
    simulation.run_until(
        lambda: (
            simulation.nodes[wiped].core.control.raft.replica
            in simulation.nodes[leader].core.control.membership().voters()
        ),
        TIMEOUT_SECONDS,
        "new replica",
    )
    assert simulation.run_command(wiped, ReadRoutes()) == RoutesInForce(7, b"7")


def test_five_voters_keep_acknowledged_data_when_two_lose_their_disks() -> None:
    """All nodes crash at once and two of them lose their disks.

    An adapter may require that this loses no data.
    """
    for seed in range(5):
        simulation = Simulation(seed, control=3, entries=1, voters=5)
        simulation.start_all()
        simulation.run_until(simulation.leader, TIMEOUT_SECONDS, "leader")
        for name in ("c8", "c9"):
            simulation.add_control_node(name)
        leader = simulation.leader()
        names = {*simulation.control, "c8", "c9"}
        simulation.run_until(
            lambda: simulation.voters_of(leader) == names,  # noqa: B023
            TIMEOUT_SECONDS,
            "five voters",
        )
        replace_routes(simulation, leader, 7)
        lost = {leader, simulation.rng.choice(sorted(names - {leader}))}
        for name in names:
            if name in lost:
                simulation.wipe(name)
            else:
                simulation.kill(name)
        for name in names:
            simulation.start(name)
        simulation.run_until(simulation.leader, TIMEOUT_SECONDS, "leader")
        assert simulation.run_command("e0", ReadRoutes()) == RoutesInForce(7, b"7")


def test_only_a_higher_number_replaces_the_route_document() -> None:
    simulation = start_group(5)
    leader = simulation.leader()
    replace_routes(simulation, leader, 7)
    lower = simulation.run_command(leader, ReplaceRoutes(6, b"lower"))
    equal = simulation.run_command(leader, ReplaceRoutes(7, b"other content"))
    assert lower == equal == RoutesInForce(7, b"")
    assert simulation.run_command(leader, ReadRoutes()) == RoutesInForce(7, b"7")


def test_a_route_document_survives_log_compaction_and_a_crash_of_all_nodes() -> None:
    simulation = start_group(6, compact_entries=10)
    for number in range(1, 30):
        replace_routes(simulation, simulation.leader(), number)
    for name in simulation.control:
        simulation.kill(name)
    for name in simulation.control:
        simulation.start(name)
    simulation.run_until(simulation.leader, TIMEOUT_SECONDS, "leader")
    assert simulation.run_command("c1", ReadRoutes()) == RoutesInForce(29, b"29")
    views = [number_in_force(node.core) for node in simulation.nodes.values()]
    assert views == [29, 29, 29]


@pytest.mark.parametrize("is_cut", [True, False])
@pytest.mark.parametrize("seed", range(4))
def test_nodes_that_all_restart_hold_no_older_document_than_was_acknowledged(
    seed: int, is_cut: bool
) -> None:
    """The replicas start from snapshots, which are older than their logs."""
    simulation = Simulation(seed, control=3, entries=2, voters=3, compact_entries=10)
    simulation.start_all()
    simulation.run_until(simulation.leader, TIMEOUT_SECONDS, "leader")
    for number in range(1, 30):
        replace_routes(simulation, simulation.leader(), number)
    for name in simulation.nodes:
        simulation.kill(name)
    for name in simulation.control if is_cut else ():
        simulation.isolate(name, simulation.control)
    for name in simulation.nodes:
        simulation.start(name)
    seen: set[int | None] = set()
    for _ in range(200):
        simulation.run(0.02)
        cores = [node.core for node in simulation.nodes.values()]
        seen |= {number_in_force(core) for core in cores if core is not None}
    assert seen == ({None} if is_cut else {None, 29})
    simulation.heal()
    simulation.run(5.0)
    cores = [node.core for node in simulation.nodes.values()]
    assert {number_in_force(core) for core in cores if core is not None} == {29}


def test_a_minority_can_neither_read_nor_replace() -> None:
    simulation = start_group(7)
    leader = simulation.leader()
    replace_routes(simulation, leader, 3)
    simulation.isolate(leader)
    assert simulation.run_command(leader, ReadRoutes()) is None
    assert simulation.run_command(leader, ReplaceRoutes(4, b"4")) is None


def test_a_large_route_document_is_sent_to_each_node_once() -> None:
    """Distribute a document of thousands of routes on links of a few Mbit/s.

    If the view were pushed whole, each node would receive it about three times.
    """
    simulation = Simulation(8, control=3, entries=12, voters=3)
    sent: dict[str, int] = {}
    run_effect = simulation._apply_effect

    def count_view_updates(node: SimNode, effect: Effect) -> None:
        if isinstance(effect, Send) and isinstance(effect.message, ViewUpdate):
            sent[effect.node] = sent.get(effect.node, 0) + 1
        run_effect(node, effect)

    simulation._apply_effect = count_view_updates
    simulation.start_all()
    simulation.run_until(simulation.leader, TIMEOUT_SECONDS, "leader")
    simulation.run(5.0)
    sent.clear()
    body = b"x" * 100_000
    simulation.run_command(simulation.leader(), ReplaceRoutes(9, body))
    nodes = [node for node in simulation.nodes.values() if node.core]
    simulation.run_until(
        lambda: all(number_in_force(node.core) == 9 for node in nodes),
        2.0,
        "large document everywhere",
    )
    simulation.run(2.0)
    assert max(sent.values()) == 1


def test_an_older_build_gets_an_entry_that_it_can_not_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reply_append = Raft._reply_append

    def reply(self: Raft, *arguments: object) -> None:
        reply_append(self, *arguments)  # type: ignore[arg-type]
        send = self._sends_after_sync.pop()
        older = replace(send.message, reads_replacements=False)
        self._sends_after_sync.append(RaftSend(older))

    monkeypatch.setattr(Raft, "_reply_append", reply)
    simulation = start_group()
    leader = simulation.leader()
    lost = next(name for name in simulation.control if name != leader)
    simulation.kill(lost)
    simulation.add_control_node("c9")
    raft = simulation.nodes[leader].core.control.raft
    counts = set()
    while "c9" not in simulation.voters_of(leader):
        simulation.run(0.01)
        counts.add(len(raft.membership.voters()))
        assert raft.replacement is None
    assert counts == {2, 3}
