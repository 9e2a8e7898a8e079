"""Define the log entries, the membership and the persistent state of a replica."""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

import msgspec

__all__ = [
    "EntryKind",
    "LogEntry",
    "Member",
    "Membership",
    "Persist",
    "RecoveredState",
    "Replacement",
    "Snapshot",
    "VoterSet",
]


class EntryKind(IntEnum):
    """Enumerate the kinds of log entry."""

    NOOP = 0
    COMMAND = 1
    MEMBERSHIP = 2


class LogEntry(NamedTuple):
    """Represent an entry of the replicated log."""

    term: int
    index: int  # type: ignore[assignment]
    kind: EntryKind
    data: bytes = b""


class Member(NamedTuple):
    """Represent a replica of the control group and the node that it runs on."""

    replica: str
    node: str
    voter: bool


class Membership(NamedTuple):
    """Represent the replicas of the control group, in sorted order."""

    members: tuple[Member, ...] = ()

    def voters(self) -> tuple[str, ...]:
        """Return the ids of the voters."""
        return tuple(m.replica for m in self.members if m.voter)

    def replicas(self) -> tuple[str, ...]:
        """Return the ids of all replicas, learners included."""
        return tuple(m.replica for m in self.members)

    def find(self, replica: str) -> Member | None:
        """Return the member with a replica id, or None."""
        return next((m for m in self.members if m.replica == replica), None)

    def on_node(self, node: str) -> tuple[Member, ...]:
        """Return the members that run on a node."""
        return tuple(m for m in self.members if m.node == node)

    def with_member(self, member: Member) -> "Membership":
        """Return a copy with the member added, or replaced if it has the same id."""
        others = [m for m in self.members if m.replica != member.replica]
        return Membership(tuple(sorted([*others, member])))

    def without(self, replica: str) -> "Membership":
        """Return a copy without the replica."""
        return Membership(tuple(m for m in self.members if m.replica != replica))


class Replacement(NamedTuple):
    """Name a voter that is being replaced, and the replica that takes its place."""

    old: str
    new: str


class VoterSet(NamedTuple):
    """Represent the membership in force, and the replacement under way, if any.

    During a replacement both replicas vote, and a quorum is a majority of the voters
    without the new one and a majority of those without the old one. So what either
    group bears is borne at every moment of the change.
    """

    membership: Membership
    replacement: Replacement | None = None

    def quorum_groups(self) -> tuple[tuple[str, ...], ...]:
        """Return the groups of voters of each of which a quorum has a majority."""
        voters = self.membership.voters()
        if self.replacement is None:
            return (voters,)
        before = tuple(v for v in voters if v != self.replacement.new)
        after = tuple(v for v in voters if v != self.replacement.old)
        return (before, after)

    def encode(self) -> bytes:
        """Return the data of a log entry.

        Builds that know no replacement read every entry that holds none.
        """
        if self.replacement is None:
            return msgspec.msgpack.encode(self.membership)
        return msgspec.msgpack.encode((self.membership.members, self.replacement))

    @classmethod
    def decode(cls, data: bytes) -> "VoterSet":
        """Return the voter set in the data of a log entry."""
        entry = msgspec.msgpack.decode(data, type=_EncodedVoterSet)
        return cls(Membership(entry.members), entry.replacement)


class _EncodedVoterSet(NamedTuple):
    members: tuple[Member, ...]
    replacement: Replacement | None = None


class Snapshot(NamedTuple):
    """Represent the applied state and the membership as of a log index."""

    term: int = 0
    index: int = 0  # type: ignore[assignment]
    membership: Membership = Membership()
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class Persist:
    """Request a write and sync by the shell, which must post a Persisted event."""

    sequence: int
    term: int
    voted_for: str
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


class RecoveredState(NamedTuple):
    """Represent the state that a replica reads from its storage when it starts."""

    replica: str
    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot = Snapshot()
    entries: tuple[LogEntry, ...] = ()
