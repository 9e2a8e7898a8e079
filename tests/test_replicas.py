"""Check that a group with a wanted number of voters replaces lost ones itself."""

from hawthornshelf.commands import ReadRoutes, ReplaceRoutes, RoutesInForce
from hawthornshelf.effects import Effect, Send
from hawthornshelf.messages import ViewUpdate
from tests.simulation import SimNode, Simulation

SECONDS = 20.0
CHANGED = "voters-changed"


def make(seed: int = 1, **options: int) -> Simulation:
    simulation = Simulation(seed, control=3, entries=0, voters=3, **options)
    simulation.start_all()
    simulation.run_until(simulation.leader, SECONDS, "leader")
    return simulation


def replace(simulation: Simulation, node: str, number: int) -> None:
    result = simulation.run_command(node, ReplaceRoutes(number, b"%d" % number))
    assert result == RoutesInForce(number, b"")


def test_an_empty_node_at_a_new_address_takes_the_place_of_a_lost_one() -> None:
    simulation = make()
    leader = simulation.leader()
    replace(simulation, leader, 5)
    lost = next(name for name in simulation.control if name != leader)
    simulation.kill(lost)
    simulation.add_control_node("c9")
    wanted = set(simulation.control) - {lost} | {"c9"}
    simulation.run_until(
        lambda: simulation.voters_of(leader) == wanted, SECONDS, "new voter"
    )
    other = next(name for name in wanted if name not in (leader, "c9"))
    simulation.kill(other)
    assert simulation.run_command(leader, ReadRoutes()) == RoutesInForce(5, b"5")


def test_every_change_of_the_voters_is_logged() -> None:
    simulation = make(6)
    leader = simulation.leader()
    lost = next(name for name in simulation.control if name != leader)
    simulation.kill(lost)
    simulation.add_control_node("c9")
    wanted = set(simulation.control) - {lost} | {"c9"}
    simulation.run_until(
        lambda: simulation.voters_of(leader) == wanted, SECONDS, "new voter"
    )
    simulation.run(1.0)
    lines = [
        dict(x.fields) for x in simulation.nodes[leader].log_lines if x.event == CHANGED
    ]
    assert set(str(lines[-1]["voters"]).split(",")) == wanted
    assert any(line["learners"] == "c9" for line in lines)


def test_a_short_silence_without_a_successor_removes_nobody() -> None:
    simulation = make(2)
    leader = simulation.leader()
    frozen = next(name for name in simulation.control if name != leader)
    simulation.freeze(frozen)
    simulation.run(6.0)
    assert simulation.voters_of(leader) == set(simulation.control)
    simulation.resume(frozen)
    simulation.run(2.0)
    assert len(simulation.voters_of(simulation.leader())) == 3


def test_a_spare_node_waits_as_a_learner_until_a_voter_is_lost() -> None:
    simulation = make(3)
    simulation.add_control_node("c9")
    simulation.run(4.0)
    assert simulation.voters_of(simulation.leader()) == set(simulation.control)
    simulation.kill(simulation.leader())
    simulation.run_until(simulation.leader, SECONDS, "leader")
    simulation.run_until(
        lambda: (
            simulation.leader() and "c9" in simulation.voters_of(simulation.leader())
        ),
        SECONDS,
        "spare voter",
    )
    assert len(simulation.voters_of(simulation.leader())) == 3


def test_a_wiped_disk_at_its_old_address_votes_again_as_a_new_replica() -> None:
    simulation = make(4)
    leader = simulation.leader()
    replace(simulation, leader, 7)
    wiped = next(name for name in simulation.control if name != leader)
    simulation.wipe(wiped)
    simulation.start(wiped)
    simulation.run_until(
        lambda: (
            simulation.nodes[wiped].core.control.raft.replica
            in simulation.nodes[leader].core.control.membership().voters()
        ),
        SECONDS,
        "new replica",
    )
    assert simulation.run_command(wiped, ReadRoutes()) == RoutesInForce(7, b"7")


def test_five_voters_keep_what_was_acknowledged_when_two_lose_their_disks() -> None:
    """Bear the loss of two nodes, as an adapter may ask, with all without power."""
    for seed in range(5):
        simulation = Simulation(seed, control=3, entries=1, voters=5)
        simulation.start_all()
        simulation.run_until(simulation.leader, SECONDS, "leader")
        for name in ("c8", "c9"):
            simulation.add_control_node(name)
        leader = simulation.leader()
        names = {*simulation.control, "c8", "c9"}
        simulation.run_until(
            lambda: simulation.voters_of(leader) == names,  # noqa: B023
            SECONDS,
            "five voters",
        )
        replace(simulation, leader, 7)
        lost = {leader, simulation.rng.choice(sorted(names - {leader}))}
        for name in names:
            if name in lost:
                simulation.wipe(name)
            else:
                simulation.kill(name)
        for name in names:
            simulation.start(name)
        simulation.run_until(simulation.leader, SECONDS, "leader")
        assert simulation.run_command("e0", ReadRoutes()) == RoutesInForce(7, b"7")


def test_the_highest_number_wins_and_equal_or_lower_ones_change_nothing() -> None:
    simulation = make(5)
    leader = simulation.leader()
    replace(simulation, leader, 7)
    lower = simulation.run_command(leader, ReplaceRoutes(6, b"lower"))
    equal = simulation.run_command(leader, ReplaceRoutes(7, b"other content"))
    assert lower == equal == RoutesInForce(7, b"")
    assert simulation.run_command(leader, ReadRoutes()) == RoutesInForce(7, b"7")


def test_a_document_outlives_the_death_of_all_and_the_compaction_of_the_log() -> None:
    simulation = make(6, compact_entries=10)
    for number in range(1, 30):
        replace(simulation, simulation.leader(), number)
    for name in simulation.control:
        simulation.kill(name)
    for name in simulation.control:
        simulation.start(name)
    simulation.run_until(simulation.leader, SECONDS, "leader")
    assert simulation.run_command("c1", ReadRoutes()) == RoutesInForce(29, b"29")
    views = [node.core.view.routes.number for node in simulation.nodes.values()]
    assert views == [29, 29, 29]


def test_a_minority_can_neither_read_nor_replace() -> None:
    simulation = make(7)
    leader = simulation.leader()
    replace(simulation, leader, 3)
    simulation.isolate(leader)
    assert simulation.run_command(leader, ReadRoutes()) is None
    assert simulation.run_command(leader, ReplaceRoutes(4, b"4")) is None


def test_a_large_document_reaches_every_node_once_and_not_three_times() -> None:
    """Answer a document of thousands of routes on links of a few Mbit/s."""
    simulation = Simulation(8, control=3, entries=12, voters=3)
    sent: dict[str, int] = {}
    deliver = simulation._apply_effect

    def count(node: SimNode, effect: Effect) -> None:
        if isinstance(effect, Send) and isinstance(effect.message, ViewUpdate):
            sent[effect.node] = sent.get(effect.node, 0) + 1
        deliver(node, effect)

    simulation._apply_effect = count
    simulation.start_all()
    simulation.run_until(simulation.leader, SECONDS, "leader")
    simulation.run(5.0)
    sent.clear()
    body = b"x" * 100_000
    simulation.run_command(simulation.leader(), ReplaceRoutes(9, body))
    nodes = [node for node in simulation.nodes.values() if node.core]
    simulation.run_until(
        lambda: all(node.core.view.routes.number == 9 for node in nodes),
        2.0,
        "large document everywhere",
    )
    simulation.run(2.0)
    assert max(sent.values()) == 1
