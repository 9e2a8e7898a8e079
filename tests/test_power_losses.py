"""Lose power and disks under a group whose storage is on disks that forget.

Drawn kills in the middle of a write, losses of power of one node or all, wiped disks,
stops and freezes, while an operator changes the routes; what was acknowledged is read
back after the last loss. More seeds: POWER_SEEDS=200.
"""

import os
import random
from collections.abc import Sequence
from pathlib import Path

import pytest

from hawthornshelf import storage
from hawthornshelf.commands import ReadRoutes, ReplaceRoutes, RoutesInForce
from hawthornshelf.founding import make_founding_snapshot, make_replica_id
from hawthornshelf.log import Persist, RecoveredState, Snapshot
from hawthornshelf.storage import DiskStorage, Storage
from tests.forgettingdisk import ForgettingDisk, Killed
from tests.simulation import SimNode, Simulation

SEEDS = int(os.environ.get("POWER_SEEDS", "8"))
TIMEOUT_SECONDS = 20.0
CATCH_UP_SECONDS = 6.0
RECOVERY_SECONDS = 15.0
STEP_SECONDS = 0.02
MAX_OPEN_CHANGES = 8
COMPACT_ENTRIES = (30, 10_000)
FAULTS = ("kill in a write", "kill in a write", "power", "power all", "freeze", "stop")


class ForgetfulStorage(Storage):
    """Store on a disk that forgets; the replica id and the snapshot are set once."""

    def __init__(self, folder: Path, replica: str, founding: Snapshot) -> None:
        self._root, self._count = folder, 0
        self._replica, self._founding = replica, founding
        self.disk = ForgettingDisk(folder / "0")
        self._storage: DiskStorage | None = None

    def load(self) -> RecoveredState:
        """Start a process on the disk."""
        storage.os = self.disk  # type: ignore[attr-defined]
        self._storage = DiskStorage(self.disk.folder, self._replica, self._founding)
        return self._storage.load()

    def write(self, batches: Sequence[Persist]) -> None:
        """Write the batches."""
        storage.os = self.disk  # type: ignore[attr-defined]
        assert self._storage is not None
        self._storage.write(batches)

    def lose_power(self, rng: random.Random) -> None:
        """Let the disk forget."""
        self._count += 1
        self._storage = None
        files = self.disk.draw_outcome(rng)
        self.disk = ForgettingDisk(self._root / str(self._count), files)


class PowerSimulation(Simulation):
    """Simulate a control group on such disks."""

    def __init__(self, seed: int, folder: Path, losses: int) -> None:
        self.losses, self._folder, self._disks = losses, folder, 0
        voters = 2 * losses + 1
        super().__init__(seed, 3, 1, COMPACT_ENTRIES[seed // 2 % 2], voters)
        self.lost: dict[str, float] = {}
        self.submitted = 0

    def start(self, name: str) -> None:
        node = self.nodes[name]
        if node.control and node.disk is None:
            self._disks += 1
            founding = Snapshot()
            if node.epoch == 0 and name in self.control:
                founding = make_founding_snapshot(name, sorted(self.control))
            replica = make_replica_id(founding, name, f"{name}-{self._disks}")
            folder = self._folder / f"{name}-{self._disks}"
            node.disk = ForgetfulStorage(folder, replica, founding)  # type: ignore
        super().start(name)

    def _persist(self, node: SimNode, batch: Persist) -> None:
        try:
            super()._persist(node, batch)
        except Killed:
            self.kill(node.name)

    def run(self, seconds: float) -> None:
        """Run on; a process that is killed within a write starts again."""
        until = self.now + seconds
        while self.now < until:
            try:
                super().run(until - self.now)
            except Killed:
                for name in self.control_names():
                    if self._is_killed(name):
                        self.kill(name)
                        self.schedule(0.5, lambda name=name: self._restart(name))

    def control_names(self) -> list[str]:
        """Return the nodes with a disk."""
        return [name for name, node in self.nodes.items() if node.control]

    def _is_killed(self, name: str) -> bool:
        disk = self.nodes[name].disk
        if not isinstance(disk, ForgetfulStorage) or not disk.disk.kill_at:
            return False
        is_killed = disk.disk.calls >= disk.disk.kill_at
        if is_killed:
            disk.disk.kill_at = 0
        return is_killed

    def _restart(self, name: str) -> None:
        if self.nodes[name].core is None:
            self.start(name)

    def cut_power(self, name: str) -> None:
        """Kill a node, and let its disk forget."""
        self.kill(name)
        disk = self.nodes[name].disk
        if isinstance(disk, ForgetfulStorage):
            disk.disk.kill_at = 0
            disk.lose_power(self.rng)

    def operate(self, seconds: float) -> None:
        """Change the routes over any node at every step."""
        until = self.now + seconds
        while self.now < until:
            running = [n for n in self.nodes if self.nodes[n].core is not None]
            if running and self._count_open() < MAX_OPEN_CHANGES:
                self.submitted += 1
                number = self.submitted
                command = ReplaceRoutes(number, b"%d" % number)
                self.submit(self.rng.choice(running), command)
            self.run(STEP_SECONDS)

    def _count_open(self) -> int:
        """Return how many changes of the last second have no answer."""
        recent = self.now - 1.0
        return sum(at > recent for _, _, at in self.pending_operations.values())

    def acknowledged(self) -> int:
        """Return the highest number that an operator was told to be in force."""
        numbers = [
            operation.result.number
            for operation in self.operations
            if isinstance(operation.result, RoutesInForce)
            and isinstance(operation.command, ReplaceRoutes)
        ]
        return max(numbers, default=0)

    def do_harm(self, what: str) -> None:
        """Do one kind of harm to a random node, or to all."""
        name = self.rng.choice(self.control_names())
        disk = self.nodes[name].disk
        match what:
            case "kill in a write" if isinstance(disk, ForgetfulStorage):
                disk.disk.kill_at = disk.disk.calls + self.rng.randrange(1, 12)
                if self.rng.random() < 0.5:
                    self.operate(self.rng.choice([0.1, 0.6, 0.7]))
                    self.cut_power(name)
                    self._restart(name)
            case "power":
                self.cut_power(name)
                self.operate(self.rng.choice([0.1, 0.5, 2.0]))
                self._restart(name)
            case "power all":
                for each in self.nodes:
                    self.cut_power(each)
                for each in self.nodes:
                    self.start(each)
            case "freeze":
                self.freeze(name)
                self.operate(self.rng.uniform(0.3, 2.5))
                self.resume(name)
            case "stop":
                self.stop(name)
                self.operate(self.rng.choice([0.2, 1.0, 3.5]))
                self.kill(name)
                self.start(name)
            case "wipe" if not self.lost:
                self.wipe(name)
                self.operate(self.rng.choice([0.1, 1.0]))
                self.start(name)
                self.lost[name] = self.now + CATCH_UP_SECONDS
                self.operate(CATCH_UP_SECONDS)
                self.lost.clear()

    def end_day(self) -> int:
        """Replace a voter, lose what may be lost, and return the number read back."""
        how = self.rng.choice(["freeze", "stop", ""])
        name = self.rng.choice(self.control_names())
        if how:
            (self.freeze if how == "freeze" else self.stop)(name)
        self.operate(self.rng.choice([0.1, 0.3, 1.6, 1.75, 1.9]))
        others = [each for each in self.control_names() if each != name]
        wiped = self.rng.sample(others, self.rng.choice([0, self.losses]))
        for each in self.nodes:
            self.cut_power(each)
            if each in wiped:
                self.wipe(each)
        for each in self.nodes:
            self.start(each)
        self.run_until(self.leader, RECOVERY_SECONDS, "leader")
        result = self.run_command("e0", ReadRoutes())
        assert isinstance(result, RoutesInForce)
        return result.number


@pytest.mark.parametrize("seed", range(SEEDS))
def test_an_acknowledged_change_is_lost_with_power_and_disks(
    seed: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(storage, "os", os)
    simulation = PowerSimulation(seed, tmp_path, losses=1 + seed % 2)
    simulation.start_all()
    simulation.run_until(simulation.leader, TIMEOUT_SECONDS, "leader")
    for number in range(3, 8 if simulation.losses == 2 else 4):
        simulation.add_control_node(f"c{number}")
    simulation.operate(3.0)
    for _ in range(5):
        simulation.do_harm(simulation.rng.choice((*FAULTS, "wipe")))
        simulation.operate(simulation.rng.choice([0.02, 0.1, 0.5, 2.0]))
    assert simulation.end_day() >= simulation.acknowledged() > 0
