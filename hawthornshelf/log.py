"""Define the rows of the replicated log and what a replica keeps on disk."""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

__all__ = [
    "EntryKind",
    "LogEntry",
    "Member",
    "Membership",
    "Persist",
    "RecoveredState",
    "Snapshot",
]


class EntryKind(IntEnum):
    """Tell what the data of a log entry mean."""

    NOOP = 0
    COMMAND = 1
    MEMBERSHIP = 2


class LogEntry(NamedTuple):
    """Hold one entry of the replicated log."""

    term: int
    index: int  # type: ignore[assignment]
    kind: EntryKind
    data: bytes = b""


class Member(NamedTuple):
    """Name one replica of the control group and the node it runs on."""

    replica: str
    node: str
    voter: bool


class Membership(NamedTuple):
    """Hold the replicas of the control group in a fixed order."""

    members: tuple[Member, ...] = ()

    def voters(self) -> tuple[str, ...]:
        """Return the ids of the replicas that vote."""
        return tuple(m.replica for m in self.members if m.voter)

    def replicas(self) -> tuple[str, ...]:
        """Return the ids of all replicas, learners included."""
        return tuple(m.replica for m in self.members)

    def find(self, replica: str) -> Member | None:
        """Return the member with that replica id, if any."""
        return next((m for m in self.members if m.replica == replica), None)

    def on_node(self, node: str) -> tuple[Member, ...]:
        """Return the members that run on a node."""
        return tuple(m for m in self.members if m.node == node)

    def with_member(self, member: Member) -> "Membership":
        """Return a membership in which the member is added or replaced."""
        others = [m for m in self.members if m.replica != member.replica]
        return Membership(tuple(sorted([*others, member])))

    def without(self, replica: str) -> "Membership":
        """Return a membership that lacks the replica."""
        return Membership(tuple(m for m in self.members if m.replica != replica))


class Snapshot(NamedTuple):
    """Hold the applied state up to an index, and the membership there."""

    term: int = 0
    index: int = 0  # type: ignore[assignment]
    membership: Membership = Membership()
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class Persist:
    """Ask the shell to write and sync; a Persisted event must answer it."""

    sequence: int
    term: int
    voted_for: str
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


class RecoveredState(NamedTuple):
    """Hold what a replica finds on its disk when it starts."""

    replica: str
    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot = Snapshot()
    entries: tuple[LogEntry, ...] = ()
