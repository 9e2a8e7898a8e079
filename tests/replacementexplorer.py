"""Enumerate the orders of events while a group of voters and spare nodes changes.

The group starts with a leader, a committed document and one spare learner. An action
is one of:

- silence: the leader hears nothing of a voter for long
- reconcile: a leader takes one step towards the desired membership
- call: the messages on a link arrive; the replies come back or stay in flight
- beat: a leader sends heartbeats
- propose: a leader gets a document
- timer: the clocks of all pass every time limit, and one node's election timer is due
- restart: a process is killed and starts again
- wipe: a machine loses its disk and starts again, as a new replica
- hello: a replica that is no voter introduces itself to the others

In each state every set of disks that may be lost is lost, all processes start again on
the disks that are left, and all messages arrive: a leader must come about that holds
every entry that was committed. A machine whose disk is lost again counts once.
"""

import argparse
import itertools
import time
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from hawthornshelf.log import Member, Membership, RecoveredState, Snapshot
from hawthornshelf.replicas import ReplicaReconciler
from hawthornshelf.storage import MemoryStorage
from tests.foundingexplorer import LONG_AGO, Action, Message, Replica

__all__ = ["Exploration", "RemovesFirst", "Rules", "explore"]

MAX_ROUNDS = 12
"""Elections after which a group that has no leader is taken to be lost."""


class RemovesFirst(ReplicaReconciler):
    """Remove a voter before its successor votes."""

    def _replace(self, now: float, old: str, new: str) -> bool:
        return self._propose_removal(old)


class AddsFirst(ReplicaReconciler):
    """Let a successor vote before the voter that it replaces is removed."""

    def _replace(self, now: float, old: str, new: str) -> bool:
        learner = self._raft.membership.find(new)
        assert learner is not None
        added = self._raft.membership.with_member(learner._replace(voter=True))
        return self._raft.change_membership(added) is not None

    def _promote_one(self, now: float) -> bool:
        if len(self._raft.membership.voters()) <= self._voters:
            return super()._promote_one(now)
        for member in self._raft.membership.members:
            twins = self._raft.membership.on_node(member.node)
            if member.voter and len(twins) > 1 and member == twins[0]:
                return self._propose_removal(member.replica)
        old = self._find_replaceable_voter(now)
        return old is not None and self._propose_removal(old)


class Rules(NamedTuple):
    """Store what is explored: the rule under test, and how often each fault occurs.

    With `begins_wiped` a voter has lost its disk, and its new replica has caught up.
    """

    losses: int = 1
    begins_wiped: bool = False
    reconciler: type[ReplicaReconciler] = ReplicaReconciler
    silences: int = 1
    timers: int = 1
    proposals: int = 1
    restarts: int = 1
    wipes: int = 0


class Exploration(NamedTuple):
    """Store how many states, actions and losses were visited, and what was lost."""

    states: int
    actions: int
    recoveries: int
    by_kind: dict[str, int]
    violation: str
    path: tuple[Action, ...]


class Group:
    """Hold the nodes, the messages in flight and what was ever committed."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.voters = 2 * rules.losses + 1
        self.left = {
            "silences": rules.silences,
            "timers": rules.timers,
            "proposals": rules.proposals,
            "restarts": rules.restarts,
            "wipes": rules.wipes,
        }
        self.wiped: tuple[str, ...] = ()
        self.numbers = 0
        self.links: dict[tuple[str, str], tuple[Message, ...]] = {}
        self.committed: dict[int, object] = {}
        self.replicas: dict[str, Replica] = {}
        names = [chr(ord("a") + n) for n in range(self.voters + 1)]
        members = tuple(Member(f"{n}/0", n, n != names[-1]) for n in names)
        snapshot = Snapshot(1, 1, Membership(members))
        for name in names:
            self.start(name, MemoryStorage(f"{name}/0", snapshot))
        self.elect(names[0])
        self.perform(("propose", names[0]))
        self.deliver_all()
        self.perform(("beat", names[0]))
        self.deliver_all()
        self.perform(("reconcile", names[0]))
        if rules.begins_wiped:
            self._begin_wiped(names[0], names[1])
        self.left.update(proposals=rules.proposals, wipes=rules.wipes)

    def _begin_wiped(self, leader: str, node: str) -> None:
        self.perform(("wipe", node))
        self.perform(("hello", node))
        self.deliver_all()
        self.perform(("reconcile", leader))
        self.deliver_all()
        self.perform(("beat", leader))
        self.deliver_all()
        assert len(self.replicas[leader].raft.membership.on_node(node)) == 2

    def start(self, node: str, disk: MemoryStorage) -> None:
        """Start a replica on a disk."""
        self.replicas[node] = Replica(
            node, disk, False, self.rules.reconciler, self.voters
        )

    def elect(self, node: str) -> None:
        """Let one node's election timer be due, and deliver all messages."""
        for name in self.replicas:
            self._own(name).expire()
        self._own(node).raft.tick(0.0)
        self._collect()
        self.deliver_all()

    def deliver_all(self) -> None:
        """Deliver messages until none is in flight."""
        while any(self.links.values()):
            for sender, target in list(self.links):
                self._deliver(sender, target)

    def copy(self) -> "Group":
        """Return a copy whose replicas are shared until they are changed."""
        other = object.__new__(Group)
        other.__dict__.update(self.__dict__)
        for name in ("left", "replicas", "links", "committed"):
            other.__dict__[name] = dict(self.__dict__[name])
        return other

    def key(self) -> int:
        """Return a number that is the same for equal states."""
        replicas = tuple((n, r.key()) for n, r in sorted(self.replicas.items()))
        tables = (self.links, self.left, self.committed)
        rows = (tuple(sorted(t.items())) for t in tables)
        return hash((replicas, self.wiped, *rows))

    def actions(self) -> Iterator[Action]:
        """Return what may happen next."""
        for node, replica in self.replicas.items():
            raft = replica.raft
            is_voter = raft.replica in raft.membership.voters()
            if raft.is_ready:
                yield ("reconcile", node)
                yield ("beat", node)
                if self.left["proposals"]:
                    yield ("propose", node)
                if self.left["silences"]:
                    for member in raft.membership.members:
                        if member.voter and member.node != node:
                            yield ("silence", node, member.replica)
            if is_voter and not raft.is_leader and self.left["timers"]:
                yield ("timer", node)
            if raft.membership.find(raft.replica) is None:
                yield ("hello", node)
            if self.left["restarts"]:
                yield ("restart", node)
            may_lose = node in self.wiped or len(self.wiped) < self.rules.losses
            if self.left["wipes"] and may_lose:
                yield ("wipe", node)
        for link, messages in self.links.items():
            if messages:
                yield ("call", *link, "answered")
                yield ("call", *link, "")

    def perform(self, action: Action) -> None:
        """Let something happen."""
        match action:
            case ("silence", node, replica):
                self.left["silences"] -= 1
                table = self._own(node).raft._progress
                row = table.find(replica)._replace(acked_sent_at=LONG_AGO)
                table._rows[replica] = row
            case ("reconcile", node):
                self._own(node).reconciler.tick(0.0)
            case ("beat", node):
                self._own(node).raft._broadcast(0.0)
            case ("propose", node):
                self.left["proposals"] -= 1
                document = f"document of {node} {self.left['proposals']}"
                self._own(node).raft.propose(document.encode())
            case ("timer", node):
                self.left["timers"] -= 1
                for name in self.replicas:
                    self._own(name).expire()
                self._own(node).raft.tick(0.0)
            case ("restart", node):
                self.left["restarts"] -= 1
                self.start(node, self._own(node).disk)
            case ("wipe", node):
                self.left["wipes"] -= 1
                self.numbers += 1
                self.wiped = tuple(sorted({*self.wiped, node}))
                self.start(node, MemoryStorage(f"{node}/{self.numbers}"))
            case ("hello", node):
                self._introduce(node)
            case ("call", caller, callee, answered):
                self._deliver(caller, callee)
                if answered:
                    self._deliver(callee, caller)
        self._collect()

    def _introduce(self, node: str) -> None:
        replica = self._own(node)
        is_blank = not replica.raft.membership.members
        others = [n for n in self.replicas if n != node]
        for target, hello in replica.bootstrap.hellos(is_blank, others):
            self._send(node, target, hello)

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
        others = [m for m in self.links.get((sender, target), ()) if m != message]
        self.links[sender, target] = (*others, message)

    def _collect(self) -> None:
        for node, replica in self.replicas.items():
            for message in replica.take_sends():
                target = message.target.partition("/")[0]
                if target in self.replicas:
                    self._send(node, target, message)
            raft = replica.raft
            for entry in raft.entries[: raft.commit_index - raft.snapshot.index]:
                self.committed[entry.index] = (entry.term, entry.data)

    # After a loss

    def losses(self) -> Iterator[tuple[str, ...]]:
        """Return the sets of further disks that may be lost."""
        voters: set[str] = set()
        for replica in self.replicas.values():
            members = replica.raft.membership.members
            voters |= {member.node for member in members if member.voter}
        left = self.rules.losses - len(self.wiped)
        candidates = sorted(voters - set(self.wiped))
        for count in range(left + 1):
            yield from itertools.combinations(candidates, count)
        for node in self.wiped:
            for others in itertools.combinations(candidates, left):
                yield (node, *others)

    def disks(self) -> tuple[tuple[str, RecoveredState], ...]:
        """Return what the disks of all nodes hold."""
        return tuple((n, r.disk.load()) for n, r in sorted(self.replicas.items()))

    def find_loss(self, lost: tuple[str, ...]) -> str:
        """Lose disks, start all processes again, and return what is lost, or ''."""
        after = self.copy()
        after.links = {}
        for node, replica in self.replicas.items():
            disk = replica.copy().disk
            blank = MemoryStorage(f"{node}/new")
            after.start(node, blank if node in lost else disk)
        for node in itertools.islice(itertools.cycle(after.replicas), MAX_ROUNDS):
            after.elect(node)
            leaders = [r.raft for r in after.replicas.values() if r.raft.is_ready]
            if leaders:
                raft = max(leaders, key=lambda raft: raft.term)
                held = {e.index: (e.term, e.data) for e in raft.entries}
                missing = [
                    index
                    for index, entry in self.committed.items()
                    if index > raft.snapshot.index and held.get(index) != entry
                ]
                return f"committed entries are lost: {missing}" if missing else ""
        return f"no leader after the loss of {','.join(lost) or 'no disk'}"


def explore(depth: int, rules: Rules = Rules()) -> Exploration:
    """Visit all states that so many actions reach, breadth first."""
    start = Group(rules)
    seen = {start.key()}
    checked: set[int] = set()
    frontier: list[tuple[Group, tuple[Action, ...]]] = [(start, ())]
    kinds: Counter[str] = Counter()
    for _ in range(depth):
        reached: list[tuple[Group, tuple[Action, ...]]] = []
        for state, path in frontier:
            for action in state.actions():
                kinds[action[0]] += 1
                after = state.copy()
                after.perform(action)
                key = after.key()
                if key in seen:
                    continue
                seen.add(key)
                reached.append((after, (*path, action)))
                violation = _find_violation(after, checked)
                if violation:
                    total = sum(kinds.values())
                    found = (*path, action)
                    return Exploration(
                        len(seen), total, len(checked), dict(kinds), violation, found
                    )
        frontier = reached
    total = sum(kinds.values())
    return Exploration(len(seen), total, len(checked), dict(kinds), "", ())


def _find_violation(state: Group, checked: set[int]) -> str:
    disks, committed = state.disks(), tuple(sorted(state.committed.items()))
    for lost in state.losses():
        key = hash((disks, committed, lost))
        if key in checked:
            continue
        checked.add(key)
        if violation := state.find_loss(lost):
            return violation
    return ""


def main() -> None:
    """Explore from the command line, with the rule or another one."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--depth", type=int, default=6)
    parser.add_argument("--rule", choices=("at-once", "remove", "add"))
    parser.add_argument("--begins-wiped", action="store_true")
    for name, times in Rules()._asdict().items():
        if type(times) is int:
            parser.add_argument(f"--{name}", type=int, default=times)
    arguments = parser.parse_args()
    began_at = time.monotonic()
    limits = {n: getattr(arguments, n) for n in Rules._fields if n != "reconciler"}
    kinds = {"remove": RemovesFirst, "add": AddsFirst}
    reconciler = kinds.get(arguments.rule, ReplicaReconciler)
    result = explore(arguments.depth, Rules(reconciler=reconciler, **limits))
    seconds = time.monotonic() - began_at
    print(f"depth {arguments.depth}: {result.states} states, {result.actions} actions,")
    print(f"{result.recoveries} losses; {seconds:.1f} s; {result.by_kind}")
    print(f"violation: {result.violation or 'none'}")
    for action in result.path:
        print(" ", *action)


if __name__ == "__main__":
    main()
