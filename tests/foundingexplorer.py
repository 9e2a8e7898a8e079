"""Enumerate all first starts of three nodes up to a number of actions.

Each state holds three real replicas (`Raft`, `ReplicaReconciler`, `GroupBootstrap`)
with their storage, and the messages in flight. An action is one of:

- timer: the clocks of all pass every time limit, and one node's election timer is due
- call: one node's messages reach another one, whose replies come back or stay in flight
- cut: all messages between two nodes are lost
- hello: a replica that is no voter introduces itself to the others
- reconcile: a leader takes one step towards the desired membership
- propose: a leader gets a document
- restart: a process is killed and starts again, told either that it is the first start
- wipe: a machine loses its disk and starts again
- lose: a machine is gone for good

A pause, or a start that comes late, is a node whose messages stay in flight. What a
replica writes is synced at once, and a message in flight on a link is there only once.
"""

import argparse
import copy
import random
import time
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple, TypeVar

from hawthornshelf.bootstrap import GroupBootstrap
from hawthornshelf.founding import make_founding_snapshot, make_replica_id
from hawthornshelf.log import Persist, Snapshot
from hawthornshelf.messages import Hello
from hawthornshelf.progress import ProgressTable
from hawthornshelf.raft import Raft, Timing
from hawthornshelf.raftmessages import RaftMessage, RaftSend
from hawthornshelf.replicas import ReplicaReconciler
from hawthornshelf.storage import MemoryStorage

__all__ = ["Action", "Exploration", "Rules", "explore"]

NODES = ("a", "b", "c")
LONG_AGO = -10.0
"""A time in seconds before which every time limit has passed; actions run at 0."""

Message = RaftMessage | Hello
Action = tuple[str, ...]
T = TypeVar("T")


class Rules(NamedTuple):
    """Store what is explored: the rule under test, and how often each fault occurs."""

    wiped_disk_is_no_first_start: bool = True
    timers: int = 3
    wipes: int = 1
    losses: int = 1
    restarts: int = 1
    cuts: int = 1
    proposals: int = 1


class Exploration(NamedTuple):
    """Store how many states and actions were visited, and what broke safety."""

    states: int
    actions: int
    by_kind: dict[str, int]
    violation: str
    path: tuple[Action, ...]


class FixedRandom(random.Random):
    """Return the same number always, so that equal states stay equal."""

    def random(self) -> float:
        """Return a half."""
        return 0.5


RNG = FixedRandom()


class Replica:
    """Run one node's replica; `copy` is cheap, as messages and entries are shared."""

    def __init__(
        self,
        node: str,
        disk: MemoryStorage,
        is_first: bool,
        reconciler: type[ReplicaReconciler] = ReplicaReconciler,
        voters: int = len(NODES),
    ) -> None:
        self.node = node
        self.disk = disk
        recovered = disk.load()
        self.raft = Raft(recovered, Timing(), RNG, LONG_AGO)
        initial = NODES if is_first else ()
        self.bootstrap = GroupBootstrap(node, recovered.replica, initial)
        self.reconciler = reconciler(self.raft, voters)
        self.expire()

    def copy(self) -> "Replica":
        """Return a copy that shares nothing that changes."""
        other = object.__new__(Replica)
        other.node = self.node
        other.disk = object.__new__(MemoryStorage)
        other.disk.__dict__.update(self.disk.__dict__)
        other.raft = copy_shallow(self.raft)
        other.raft._progress = copy_shallow(self.raft._progress)
        other.bootstrap = copy_shallow(self.bootstrap)
        other.reconciler = copy_shallow(self.reconciler)
        other.reconciler._raft = other.raft
        return other

    def expire(self) -> None:
        """Let all times be long ago."""
        raft = self.raft
        raft._leader_heard_at = raft._leader_since = LONG_AGO
        raft._election_deadline = raft._heartbeat_due = LONG_AGO
        for replica, row in raft._progress:
            raft._progress._rows[replica] = row._replace(
                acked_sent_at=min(row.acked_sent_at, LONG_AGO),
                snapshot_sent_at=min(row.snapshot_sent_at, LONG_AGO),
            )
        admitted = self.reconciler._admitted_at
        admitted.update(dict.fromkeys(admitted, LONG_AGO))

    def receive(self, message: Message) -> None:
        """Process a message."""
        if isinstance(message, Hello):
            self.bootstrap.receive(message)
            self.reconciler.receive(message)
        else:
            self.raft.step(0.0, message)

    def take_sends(self) -> list[RaftMessage]:
        """Sync what is to be persisted, and return the messages to other replicas."""
        snapshot = self.bootstrap.make_initial_snapshot()
        if snapshot is not None and not self.raft.membership.members:
            self.raft.bootstrap(snapshot)
        sends: list[RaftMessage] = []
        while effects := self.raft.take_effects(0.0):
            for effect in effects:
                match effect:
                    case Persist(sequence):
                        self.disk.write([effect])
                        self.raft.record_persisted(sequence)
                    case RaftSend(message) if message.target == self.raft.replica:
                        self.raft.step(0.0, message)
                    case RaftSend(message):
                        sends.append(message)
        return sends

    def key(self) -> object:
        """Return what tells this replica from others, without numbers of writes."""
        fields = {
            name: value
            for name, value in vars(self.raft).items()
            if name not in ("_rng", "_timing", "_sequence", "_persisted_sequence")
        }
        parts = (fields, vars(self.bootstrap), vars(self.reconciler))
        return (self.disk.load(), *(_freeze(part) for part in parts))


def copy_shallow(original: T) -> T:
    """Return a copy of an object and of the containers that it holds."""
    other = object.__new__(type(original))
    for name, value in vars(original).items():
        is_container = isinstance(value, list | dict | set)
        other.__dict__[name] = copy.copy(value) if is_container else value
    return other


def _freeze(value: object) -> object:
    match value:
        case dict():
            rows = ((k, _freeze(v)) for k, v in value.items() if k != "_raft")
            return tuple(sorted(rows))
        case list():
            return tuple(value)
        case set():
            return tuple(sorted(value))
        case ProgressTable():
            return tuple(value)
        case _ if callable(value):
            return ""
        case _:
            return value


class State:
    """Hold three nodes, the messages in flight and what was ever committed."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.left = rules._asdict()
        self.wiped = 0
        self.replicas = {n: Replica(n, make_disk(n, True, 0), True) for n in NODES}
        self.links: dict[tuple[str, str], tuple[Message, ...]] = {}
        self.committed: dict[int, object] = {}
        self.leaders: dict[int, str] = {}
        self.violation = ""

    def copy(self) -> "State":
        """Return a copy whose replicas are shared until they are changed."""
        other = object.__new__(State)
        other.__dict__.update(self.__dict__)
        for name in ("left", "replicas", "links", "committed", "leaders"):
            other.__dict__[name] = dict(self.__dict__[name])
        return other

    def key(self) -> int:
        """Return a number that is the same for equal states."""
        replicas = tuple((n, r.key()) for n, r in sorted(self.replicas.items()))
        tables = (self.links, self.left, self.committed, self.leaders)
        return hash((replicas, *(tuple(sorted(t.items())) for t in tables)))

    def actions(self) -> Iterator[Action]:
        """Return what may happen next."""
        for node, replica in self.replicas.items():
            is_voter = replica.raft.replica in replica.raft.membership.voters()
            if is_voter and self.left["timers"]:
                yield ("timer", node)
            if not is_voter:
                yield ("hello", node)
            if replica.raft.is_ready:
                yield ("reconcile", node)
                if self.left["proposals"]:
                    yield ("propose", node)
            if self.left["restarts"]:
                yield ("restart", node, "first")
                yield ("restart", node, "")
            if self.left["wipes"]:
                yield ("wipe", node)
            if self.left["losses"]:
                yield ("lose", node)
        for link, messages in self.links.items():
            if messages and link[1] in self.replicas:
                yield ("call", *link, "answered")
                yield ("call", *link, "")
        if self.left["cuts"]:
            pairs = {tuple(sorted(link)) for link, sent in self.links.items() if sent}
            for pair in sorted(pairs):
                yield ("cut", *pair)

    def perform(self, action: Action) -> None:
        """Let something happen."""
        match action:
            case ("timer", node):
                self.left["timers"] -= 1
                for name in self.replicas:
                    self._own(name).expire()
                self._own(node).raft.tick(0.0)
            case ("hello", node):
                replica = self._own(node)
                is_blank = not replica.raft.membership.members
                for target, hello in replica.bootstrap.hellos(is_blank, NODES):
                    self._send(node, target, hello)
            case ("reconcile", node):
                self._own(node).reconciler.tick(0.0)
            case ("propose", node):
                self.left["proposals"] -= 1
                self._own(node).raft.propose(f"document of {node}".encode())
            case ("restart", node, first):
                self.left["restarts"] -= 1
                disk = self._own(node).disk
                self.replicas[node] = Replica(node, disk, bool(first))
            case ("wipe", node):
                self.left["wipes"] -= 1
                self.wiped += 1
                is_first = not self.rules.wiped_disk_is_no_first_start
                disk = make_disk(node, is_first, self.wiped)
                self.replicas[node] = Replica(node, disk, is_first)
            case ("lose", node):
                self.left["losses"] -= 1
                del self.replicas[node]
            case ("cut", one, other):
                self.left["cuts"] -= 1
                self.links.pop((one, other), None)
                self.links.pop((other, one), None)
            case ("call", caller, callee, answered):
                self._deliver(caller, callee)
                if answered and caller in self.replicas:
                    self._deliver(callee, caller)
        self._collect()

    def _own(self, node: str) -> Replica:
        """Return a replica that only this state holds."""
        self.replicas[node] = self.replicas[node].copy()
        return self.replicas[node]

    def _deliver(self, sender: str, target: str) -> None:
        messages = self.links.pop((sender, target), ())
        replica = self._own(target)
        for message in messages:
            replica.receive(message)
        self._collect()

    def _send(self, sender: str, target: str, message: Message) -> None:
        """Put a message on a link, once if it is there already."""
        others = [m for m in self.links.get((sender, target), ()) if m != message]
        self.links[sender, target] = (*others, message)

    def _collect(self) -> None:
        for node, replica in self.replicas.items():
            members = replica.raft.membership
            for message in replica.take_sends():
                member = members.find(message.target)
                target = member.node if member else find_node(message.target)
                self._send(node, target, message)
            self._check(node, replica.raft)

    def _check(self, node: str, raft: Raft) -> None:
        """Note two leaders of one term, and two entries committed at one index."""
        if raft.is_leader and self.leaders.setdefault(raft.term, node) != node:
            self.violation = f"term {raft.term} has two leaders"
        for entry in raft.entries[: raft.commit_index - raft.snapshot.index]:
            value = (entry.term, entry.data)
            if self.committed.setdefault(entry.index, value) != value:
                self.violation = f"two entries are committed at index {entry.index}"


def make_disk(node: str, is_first: bool, number: int) -> MemoryStorage:
    """Return an empty disk of a node that starts."""
    founding = make_founding_snapshot(node, NODES) if is_first else Snapshot()
    replica = make_replica_id(founding, node, f"{node}/{number}")
    return MemoryStorage(replica, founding)


def find_node(replica: str) -> str:
    """Return the node of a replica that isn't a member."""
    return replica.partition("/")[0].removeprefix("founder-")


def explore(depth: int, rules: Rules = Rules()) -> Exploration:
    """Visit all states that so many actions reach, breadth first.

    The nodes are alike at the start, so the first timer is that of the first node.
    """
    start = State(rules)
    first: Action = ("timer", NODES[0])
    start.perform(first)
    seen = {start.key()}
    frontier: list[tuple[State, tuple[Action, ...]]] = [(start, (first,))]
    kinds: Counter[str] = Counter()
    for _ in range(depth - 1):
        reached: list[tuple[State, tuple[Action, ...]]] = []
        for state, path in frontier:
            for action in state.actions():
                kinds[action[0]] += 1
                after = state.copy()
                after.perform(action)
                if after.violation:
                    total = sum(kinds.values())
                    found = (*path, action)
                    return Exploration(
                        len(seen), total, dict(kinds), after.violation, found
                    )
                key = after.key()
                if key not in seen:
                    seen.add(key)
                    reached.append((after, (*path, action)))
        frontier = reached
    return Exploration(len(seen), sum(kinds.values()), dict(kinds), "", ())


def main() -> None:
    """Explore from the command line, with the rule or without it."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--depth", type=int, default=6)
    parser.add_argument("--without-rule", action="store_true")
    for name, times in Rules()._asdict().items():
        if not isinstance(times, bool):
            parser.add_argument(f"--{name}", type=int, default=times)
    arguments = parser.parse_args()
    began_at = time.monotonic()
    limits = {n: getattr(arguments, n) for n in Rules._fields[1:]}
    rules = Rules(not arguments.without_rule, **limits)
    result = explore(arguments.depth, rules)
    seconds = time.monotonic() - began_at
    print(f"depth {arguments.depth}: {result.states} states, {result.actions} actions")
    print(f"{seconds:.1f} s; {result.by_kind}; violation: {result.violation or 'none'}")
    for action in result.path:
        print(" ", *action)


if __name__ == "__main__":
    main()
