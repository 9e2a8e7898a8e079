"""Test that a group bears lost disks at every moment while it replaces a voter."""

from typing import NamedTuple

import pytest

from hawthornshelf.commands import ReadRoutes, ReplaceRoutes, RoutesInForce
from tests.simulation import Simulation

TIMEOUT_SECONDS = 20.0
CATCH_UP_SECONDS = 4.0
STEP_SECONDS = 0.005
CONTROL_NODES = 8
GRACE_SECONDS = 8.0
DELAYS = (0.0, 0.01, 0.03, 0.06, 0.1, 0.2)
"""Seconds between a change of the voters and the loss of the disks."""


class Outcome(NamedTuple):
    """Represent what came back after the loss."""

    acknowledged: int
    read: int


class Group:
    """Run a control group with spare nodes, and an operator that changes its routes."""

    def __init__(self, seed: int, losses: int, nodes: int = CONTROL_NODES) -> None:
        voters = 2 * losses + 1
        self.losses = losses
        self.simulation = Simulation(seed, control=3, entries=1, voters=voters)
        self.simulation.start_all()
        self.simulation.run_until(self.simulation.leader, TIMEOUT_SECONDS, "leader")
        for number in range(3, nodes):
            self.simulation.add_control_node(f"c{number}")
        self.simulation.run_until(
            lambda: len(self.voters()) == voters, TIMEOUT_SECONDS, "all voters"
        )
        self.simulation.run(3.0)
        self.submitted = 0
        self.replaced = ""

    def voters(self) -> set[str]:
        """Return the nodes of the voters of the newest membership."""
        cores = {
            name: node.core.control
            for name, node in self.simulation.nodes.items()
            if node.core is not None and node.core.control is not None
        }
        newest = max(cores, key=lambda name: (cores[name].raft.last_index, name))
        return self.simulation.voters_of(newest)

    def voter_ids(self) -> tuple[str, ...]:
        """Return the replica ids of the voters of the leader's membership."""
        core = self.simulation.nodes[self.simulation.leader() or "c0"].core
        if not self.simulation.leader() or core is None or core.control is None:
            return ()
        return core.control.membership().voters()

    def choose_voter(self) -> str:
        """Return a voter that doesn't lead."""
        others = self.voters() - {self.simulation.leader()}
        return str(self.simulation.rng.choice(sorted(others)))

    def begin_replacement(self, how: str) -> None:
        """Give the group a reason to replace a voter."""
        simulation = self.simulation
        self.replaced = self.choose_voter()
        match how:
            case "frozen":
                simulation.freeze(self.replaced)
            case "leaving":
                simulation.stop(self.replaced)
            case "wiped":
                simulation.wipe(self.replaced)
                simulation.start(self.replaced)
            case "lost":
                simulation.kill(self.replaced)
                simulation.nodes[self.replaced].control = False
                simulation.nodes[self.replaced].disk = None

    def run(self, seconds: float) -> None:
        """Run on, with a change of the routes at every step."""
        until = self.simulation.now + seconds
        while self.simulation.now < until:
            leader = self.simulation.leader()
            if leader:
                self.submitted += 1
                command = ReplaceRoutes(self.submitted, b"%d" % self.submitted)
                self.simulation.submit(leader, command)
            self.simulation.run(STEP_SECONDS)

    def run_until_voters_change(self, times: int) -> None:
        """Run until the leader's voters have changed so many times."""
        known = self.voter_ids()
        until = self.simulation.now + TIMEOUT_SECONDS
        while times and self.simulation.now < until:
            self.run(STEP_SECONDS)
            voters = self.voter_ids() or known
            times -= voters != known
            known = voters
        assert times == 0

    def acknowledged(self) -> int:
        """Return the highest number that an operator was told to be in force."""
        results = [
            operation.result.number
            for operation in self.simulation.operations
            if isinstance(operation.result, RoutesInForce)
        ]
        return max(results, default=0)

    def elect_spare(self) -> str:
        """Restart leaders until one of the later nodes leads, and return its name."""
        simulation = self.simulation
        while True:
            simulation.run_until(simulation.leader, TIMEOUT_SECONDS, "leader")
            leader = simulation.leader()
            if leader not in simulation.control:
                return leader
            simulation.kill(leader)
            simulation.run_until(simulation.leader, TIMEOUT_SECONDS, "next leader")
            simulation.start(leader)
            self.run(CATCH_UP_SECONDS)

    def lose_disks(self, count: int) -> Outcome:
        """Lose disks of voters, kill all others, start all and read the routes."""
        simulation = self.simulation
        acknowledged = self.acknowledged()
        candidates = sorted(self.voters() - {self.replaced})
        lost = simulation.rng.sample(candidates, count)
        for name in simulation.nodes:
            if name in lost:
                simulation.wipe(name)
            else:
                simulation.kill(name)
        for name, node in simulation.nodes.items():
            if node.control or node.entry:
                simulation.start(name)
        simulation.run_until(simulation.leader, TIMEOUT_SECONDS, "leader")
        result = simulation.run_command("e0", ReadRoutes())
        assert isinstance(result, RoutesInForce)
        return Outcome(acknowledged, result.number)


def count_lost_disks(group: Group, how: str) -> int:
    """Return how many more disks may be lost while a voter is replaced."""
    return group.losses - (how in ("wiped", "lost"))


@pytest.mark.parametrize("delay", DELAYS)
@pytest.mark.parametrize("changes", [1, 2])
@pytest.mark.parametrize("how", ["frozen", "leaving", "wiped", "lost"])
@pytest.mark.parametrize("losses", [1, 2])
def test_a_group_never_elects_again_after_a_loss_that_it_bears(
    losses: int, how: str, changes: int, delay: float
) -> None:
    group = Group(seed=losses, losses=losses)
    group.run(0.1)
    group.begin_replacement(how)
    group.run_until_voters_change(changes)
    group.run(delay)
    outcome = group.lose_disks(count_lost_disks(group, how))
    assert outcome.read >= outcome.acknowledged > 0


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("how", ["wiped", "lost"])
@pytest.mark.parametrize("losses", [1, 2])
def test_a_lost_disk_counts_for_longer_than_the_time_to_catch_up(
    losses: int, how: str, seed: int
) -> None:
    group = Group(seed, losses)
    group.begin_replacement(how)
    if how == "lost":
        group.simulation.add_control_node("c8")
    group.run(CATCH_UP_SECONDS)
    outcome = group.lose_disks(losses)
    assert outcome.read >= outcome.acknowledged > 0


@pytest.mark.parametrize("delay", [0.0, 0.05, 0.3])
@pytest.mark.parametrize("leads", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_a_planned_stop_takes_a_vote_away_though_a_successor_is_there(
    seed: int, leads: bool, delay: float
) -> None:
    """The machine is gone for good, and its successor had its time to catch up."""
    group = Group(seed, losses=2)
    simulation = group.simulation
    leaver = group.elect_spare() if leads else max(group.voters())
    stopped = simulation.nodes[leaver]
    group.run(0.1)
    simulation.stop(leaver)
    simulation.run_until(lambda: stopped.stopped, GRACE_SECONDS, "stop", STEP_SECONDS)
    stopped.control, stopped.disk = False, None
    group.run(delay)
    group.replaced = leaver
    outcome = group.lose_disks(group.losses)
    assert outcome.read >= outcome.acknowledged > 0


def test_a_planned_stop_waits_for_a_successor_that_is_not_there() -> None:
    group = Group(seed=1, losses=2, nodes=5)
    stopped = group.simulation.nodes["c4"]
    group.simulation.stop("c4")
    seconds = group.simulation.run_until(lambda: stopped.stopped, 1.0, "stop")
    assert seconds < 0.2


@pytest.mark.parametrize("seed", range(4))
def test_a_new_leader_removes_a_sound_voter_as_it_has_not_heard_of_a_lost_one(
    seed: int,
) -> None:
    """One loses its disk; then the leader leaves for a short time."""
    group = Group(seed, losses=1, nodes=4)
    simulation = group.simulation
    group.run(0.1)
    leaver, lost = simulation.leader(), group.choose_voter()
    simulation.wipe(lost)
    simulation.run(0.1)
    simulation.stop(leaver)
    simulation.run(0.5)
    simulation.start(lost)
    simulation.kill(leaver)
    simulation.run(1.2)
    simulation.start(leaver)
    simulation.run_until(simulation.leader, TIMEOUT_SECONDS, "leader")
    result = simulation.run_command("e0", ReadRoutes())
    assert isinstance(result, RoutesInForce)
    assert result.number >= group.acknowledged() > 0
