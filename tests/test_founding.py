"""Test that a control group forms at the first start, whichever node is lost then.

Any minority of the initial nodes is lost, wiped, frozen or cut at any moment.
"""

from collections.abc import Callable
from pathlib import Path

import pytest

from hawthornshelf.commands import ReadRoutes, ReplaceRoutes, RoutesInForce
from hawthornshelf.control import AWAITED_AFTER_SECONDS
from hawthornshelf.errors import StorageCorrupt
from hawthornshelf.founding import make_founding_snapshot, make_replica_id
from hawthornshelf.log import Member, Membership, Persist, Snapshot
from hawthornshelf.storage import DiskStorage, MemoryStorage
from tests.simulation import Simulation

ACK_SECONDS = 4.0
"""The platform's bound for an acknowledgement while the control group is stable."""

CATCH_UP_SECONDS = 4.0
"""After this time a node that is back, or is new, counts as running again."""

STABLE_SECONDS = 3.0
"""The control group is stable this long after the last disturbance."""

TIMES = (0.0, 0.02, 0.1, 0.3, 0.6, 0.9, 1.2, 1.6, 2.5)
"""Moments of a disturbance, in seconds after the first start."""

SUCCESSOR_SECONDS = 2.0
AWAITED = "leader-awaited"

Disturb = Callable[[Simulation, str], None]


class Commits:
    """Record which entry each replica committed at each index, for all times."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._entries: dict[int, tuple[int, bytes]] = {}
        self.conflicts: list[int] = []
        simulation.schedule(0.0, self._sample)

    def _sample(self) -> None:
        for node in self._simulation.nodes.values():
            if node.core is None or node.core.control is None:
                continue
            raft = node.core.control.raft
            for entry in raft.entries[: raft.commit_index - raft.snapshot.index]:
                value = (entry.term, entry.data)
                if self._entries.setdefault(entry.index, value) != value:
                    self.conflicts.append(entry.index)
        self._simulation.schedule(0.02, self._sample)


def lose(simulation: Simulation, name: str) -> None:
    simulation.wipe(name)
    number = len(simulation.nodes)
    successor = f"c{number + 5}"
    simulation.schedule(
        SUCCESSOR_SECONDS, lambda: simulation.add_control_node(successor)
    )


def wipe(simulation: Simulation, name: str) -> None:
    simulation.wipe(name)
    simulation.schedule(1.0, lambda: simulation.start(name))


def restart(simulation: Simulation, name: str) -> None:
    simulation.kill(name)
    simulation.schedule(0.5, lambda: simulation.start(name))


def freeze(simulation: Simulation, name: str) -> None:
    simulation.freeze(name)


def isolate(simulation: Simulation, name: str) -> None:
    simulation.isolate(name)


def is_isolated(simulation: Simulation, name: str) -> bool:
    links = [link for link in simulation.cut_links if name in link]
    return len(links) == len(simulation.nodes) - 1


def assert_acknowledged(simulation: Simulation, number: int) -> None:
    """Send a document to running nodes in turn; it must be acknowledged in time."""
    started_at = simulation.now
    names = [
        name
        for name, node in simulation.nodes.items()
        if node.core and node.core.control and not node.frozen
        if not is_isolated(simulation, name)
    ]
    assert names
    while True:
        for name in names:
            count = len(simulation.operations)
            simulation.submit(name, ReplaceRoutes(number, b"%d" % number))
            until = simulation.now + 1.0
            while len(simulation.operations) == count and simulation.now < until:
                simulation.run(0.02)
            answer = simulation.operations[-1].result if simulation.operations else None
            if isinstance(answer, RoutesInForce) and answer.number >= number:
                assert simulation.now - started_at <= ACK_SECONDS
                return
            assert simulation.now - started_at <= ACK_SECONDS, "no acknowledgement"


def voting_replicas(simulation: Simulation) -> set[str]:
    leader = simulation.leader()
    core = simulation.nodes[leader].core
    assert core is not None
    assert core.control is not None
    return set(core.control.membership().voters())


@pytest.mark.parametrize("at", TIMES)
@pytest.mark.parametrize("disturb", [lose, wipe, restart, freeze, isolate])
@pytest.mark.parametrize("lost", ["c0", "c1", "c2"])
def test_a_first_start_without_one_of_three_nodes_never_acknowledges_a_document(
    lost: str, disturb: Disturb, at: float
) -> None:
    for seed in range(2):
        simulation = Simulation(seed, control=3, entries=1, voters=3)
        commits = Commits(simulation)
        simulation.start_all()
        simulation.run(at)
        disturb(simulation, lost)
        simulation.run(STABLE_SECONDS)
        assert_acknowledged(simulation, 1)
        simulation.run(SUCCESSOR_SECONDS + CATCH_UP_SECONDS)
        simulation.heal()
        if simulation.nodes[lost].frozen:
            simulation.resume(lost)
        simulation.run(CATCH_UP_SECONDS)
        assert len(voting_replicas(simulation)) == 3
        other = next(n for n in ("c0", "c1", "c2") if n != lost)
        simulation.kill(other)
        simulation.run(STABLE_SECONDS)
        assert_acknowledged(simulation, 2)
        assert commits.conflicts == []


@pytest.mark.parametrize("at", TIMES)
@pytest.mark.parametrize("disturb", [lose, wipe, freeze, isolate])
@pytest.mark.parametrize("lost", [("c0", "c1"), ("c1", "c3"), ("c3", "c4")])
def test_a_first_start_without_two_of_five_nodes_never_acknowledges_a_document(
    lost: tuple[str, str], disturb: Disturb, at: float
) -> None:
    simulation = Simulation(3, control=5, entries=1, voters=5)
    commits = Commits(simulation)
    simulation.start_all()
    simulation.run(at)
    for name in lost:
        disturb(simulation, name)
    simulation.run(STABLE_SECONDS)
    assert_acknowledged(simulation, 1)
    assert commits.conflicts == []


@pytest.mark.parametrize("at", [0.02, 0.1, 0.3, 0.6, 0.9, 1.2])
@pytest.mark.parametrize("is_first", [True, False])
def test_a_kill_of_all_nodes_at_the_first_start_ends_the_founding(
    at: float, is_first: bool
) -> None:
    """The restarted processes are told that it is the first start, or that it isn't."""
    simulation = Simulation(4, control=3, entries=1, voters=3)
    simulation.start_all()
    simulation.run(at)
    for name in simulation.control:
        simulation.kill(name)
        if is_first:
            simulation.nodes[name].epoch = 0
    simulation.run(0.5)
    for name in simulation.control:
        simulation.start(name)
    simulation.run(STABLE_SECONDS)
    assert_acknowledged(simulation, 1)


def test_nodes_that_an_earlier_build_left_without_a_group_never_form_one() -> None:
    """They hold random ids, which have no vote; all of them have to say hello."""
    simulation = Simulation(5, control=3, entries=1, voters=3)
    for name in simulation.control:
        simulation.nodes[name].disk = MemoryStorage(f"old-{name}")
    simulation.start_all()
    simulation.run(STABLE_SECONDS)
    assert_acknowledged(simulation, 1)
    assert voting_replicas(simulation) == {f"old-{name}" for name in simulation.control}


@pytest.mark.parametrize("seed", range(6))
def test_a_wiped_founder_and_a_thawed_one_form_a_second_group(seed: int) -> None:
    """The group forms without one node; then a founder loses its disk, another is cut.

    The node that was frozen and the wiped one are a majority of the initial nodes,
    and neither holds the document that was acknowledged.
    """
    simulation = Simulation(seed, control=3, entries=1, voters=3)
    commits = Commits(simulation)
    simulation.start_all()
    frozen, wiped, cut = simulation.rng.sample(sorted(simulation.control), 3)
    simulation.freeze(frozen)
    simulation.run(STABLE_SECONDS)
    assert_acknowledged(simulation, 7)
    simulation.wipe(wiped)
    simulation.isolate(cut)
    simulation.nodes[frozen].backlog.clear()
    simulation.resume(frozen)
    simulation.kill(frozen)
    simulation.nodes[frozen].epoch = 0
    simulation.start(frozen)
    simulation.start(wiped)
    simulation.run(10.0)
    leaders = [
        name
        for name in (frozen, wiped)
        if (core := simulation.nodes[name].core) and core.control
        if core.control.raft.is_ready
    ]
    assert leaders == []
    simulation.heal()
    simulation.run(CATCH_UP_SECONDS)
    leader = simulation.leader()
    assert simulation.run_command(leader, ReadRoutes()) == RoutesInForce(7, b"7")
    assert commits.conflicts == []


def test_nodes_that_wait_for_a_group_are_silent_about_what_they_wait_for() -> None:
    simulation = Simulation(1, control=3, entries=0, voters=3)
    simulation.start("c1")
    simulation.add_control_node("c9")
    simulation.run(AWAITED_AFTER_SECONDS + 1.0)
    lines = {
        name: [
            dict(x.fields)
            for x in simulation.nodes[name].log_lines
            if x.event == AWAITED
        ]
        for name in ("c1", "c9")
    }
    assert lines["c1"][0]["awaited"] == "c0,c2"
    assert lines["c1"][0]["voter"] is True
    assert lines["c9"][0]["voter"] is False
    assert "c0" in str(lines["c9"][0]["awaited"])


def test_a_voter_without_its_disk_is_taken_for_one_that_is_there() -> None:
    """It answers under a new id, which has no vote."""
    simulation = Simulation(1, control=3, entries=0, voters=3)
    simulation.start("c1")
    simulation.nodes["c2"].epoch = 1
    simulation.start("c2")
    simulation.run(AWAITED_AFTER_SECONDS + 1.0)
    log_lines = simulation.nodes["c1"].log_lines
    line = next(dict(x.fields) for x in log_lines if x.event == AWAITED)
    assert line["awaited"] == "c0,c2"
    assert line["heard"] == "c2"


def test_a_group_that_has_formed_says_that_it_waits() -> None:
    simulation = Simulation(1, control=3, entries=0, voters=3)
    simulation.start_all()
    simulation.run(20.0)
    lines = [x for node in simulation.nodes.values() for x in node.log_lines]
    assert AWAITED not in [x.event for x in lines]


# What a disk holds

NODES = ("a", "b", "c")


def open_disk(
    folder: Path, is_first: bool, nodes: tuple[str, ...] = NODES
) -> DiskStorage:
    founding = make_founding_snapshot("a", nodes) if is_first else Snapshot()
    return DiskStorage(folder, make_replica_id(founding, "a", "random"), founding)


def test_a_founder_forgets_its_place_if_it_is_told_later_that_it_is_no_first_start(
    tmp_path: Path,
) -> None:
    first = open_disk(tmp_path, is_first=True).load()
    assert [m.node for m in first.snapshot.membership.members] == ["a", "b", "c"]
    assert first.replica in first.snapshot.membership.voters()
    assert first.term == first.snapshot.term
    assert open_disk(tmp_path, is_first=False).load() == first
    assert open_disk(tmp_path, is_first=True, nodes=("a", "x", "y")).load() == first


def test_a_wiped_disk_takes_the_place_of_the_founder_that_it_held(
    tmp_path: Path,
) -> None:
    wiped = open_disk(tmp_path, is_first=False).load()
    assert wiped.replica == "random"
    assert wiped.snapshot == Snapshot()
    again = open_disk(tmp_path, is_first=True).load()
    assert again == wiped


def test_a_node_that_is_not_named_becomes_a_founder() -> None:
    assert make_founding_snapshot("d", NODES) == Snapshot()


def test_a_founding_cut_short_leaves_a_place_without_its_identity(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Kill the process after each of the writes of a founding."""
    for writes in (0, 1):
        folder = tmp_path / f"after-{writes}"
        done: list[str] = []
        original = DiskStorage._replace

        def replace(self: DiskStorage, name: str, payload: bytes) -> None:
            if len(done) == writes:  # noqa: B023
                raise OSError("killed")
            done.append(name)  # noqa: B023
            original(self, name, payload)  # noqa: B023

        with monkeypatch.context() as patch:
            patch.setattr(DiskStorage, "_replace", replace)
            with pytest.raises(OSError, match="killed"):
                open_disk(folder, is_first=True).load()
        later = open_disk(folder, is_first=False).load()
        assert later.replica == "random"
        assert later.snapshot == Snapshot()


def test_a_disk_lost_under_a_running_process_is_founded_a_second_time(
    tmp_path: Path,
) -> None:
    """The process still holds the settings of the first start."""
    storage = open_disk(tmp_path, is_first=True)
    storage.load()
    for path in tmp_path.iterdir():
        path.unlink()
    with pytest.raises(StorageCorrupt):
        storage.recover()
    assert open_disk(tmp_path, is_first=False).load().replica == "random"


def test_the_folder_of_a_founder_is_lost_with_the_power(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A folder whose name isn't synced may be gone; the disk then looks empty."""
    synced: list[Path] = []
    storage = open_disk(tmp_path / "control", is_first=True)
    monkeypatch.setattr(DiskStorage, "_sync_path", lambda _, path: synced.append(path))
    storage.load()
    assert synced[0] == tmp_path


def test_a_disk_that_refuses_a_sync_ends_the_process_at_its_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Only what `load` raises is answered by writing the storage anew later."""

    def refuse(*_: object) -> None:
        raise OSError("no sync")

    with monkeypatch.context() as patch:
        patch.setattr(DiskStorage, "_sync_path", refuse)
        storage = open_disk(tmp_path / "control", is_first=True)
        with pytest.raises(OSError, match="no sync"):
            storage.load()
    assert storage.recover().replica == "founder-a"


def test_a_folder_of_an_earlier_build_becomes_a_founder_in_a_second_group(
    tmp_path: Path,
) -> None:
    """An earlier build gave a node a random id before the group formed."""
    DiskStorage(tmp_path, "old").load()
    upgraded = open_disk(tmp_path, is_first=True).load()
    assert upgraded.replica == "old"
    assert upgraded.snapshot == Snapshot()


def test_a_replica_of_an_earlier_build_loses_its_group(tmp_path: Path) -> None:
    storage = DiskStorage(tmp_path, "old")
    storage.load()
    members = Membership((Member("old", "a", True), Member("other", "b", True)))
    snapshot = Snapshot(1, 1, members)
    storage.write([Persist(1, 3, "other", (), snapshot)])
    storage.close()
    upgraded = open_disk(tmp_path, is_first=True).load()
    assert (upgraded.replica, upgraded.term, upgraded.voted_for) == ("old", 3, "other")
    assert upgraded.snapshot == snapshot
