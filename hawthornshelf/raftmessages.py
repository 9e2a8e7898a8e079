"""Define the Raft messages between the replicas of a control group."""

from dataclasses import dataclass

from hawthornshelf.log import LogEntry, Snapshot

__all__ = [
    "Append",
    "AppendReply",
    "InstallSnapshot",
    "RaftMessage",
    "RaftSend",
    "TakeOver",
    "VoteReply",
    "VoteRequest",
]


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Request a vote, or a pre-vote if `pre` is set.

    `transfer` marks an election that the leader asked for with `TakeOver`.
    """

    sender: str
    target: str
    term: int
    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Reply to a vote request."""

    sender: str
    target: str
    term: int
    granted: bool
    pre: bool = False


@dataclass(frozen=True, slots=True)
class Append:
    """Replicate log entries, or none as a heartbeat.

    `sent` is when it was sent, in monotonic seconds of the leader's clock.
    """

    sender: str
    target: str
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    sent: float


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Reply to an append with the last index known to match, and echo `sent`.

    On failure `match_index` is a hint: the last index at which the logs may match.
    A build that can't read log entries with a replacement leaves the last field out.
    """

    sender: str
    target: str
    term: int
    success: bool
    match_index: int
    sent: float
    reads_replacements: bool = False


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Send a whole snapshot to a replica whose next entries were compacted."""

    sender: str
    target: str
    term: int
    snapshot: Snapshot
    sent: float


@dataclass(frozen=True, slots=True)
class TakeOver:
    """Ask a replica to start an election at once (leadership transfer)."""

    sender: str
    target: str
    term: int


RaftMessage = (
    VoteRequest | VoteReply | Append | AppendReply | InstallSnapshot | TakeOver
)


@dataclass(frozen=True, slots=True)
class RaftSend:
    """Request that a message be sent to its target replica."""

    message: RaftMessage
