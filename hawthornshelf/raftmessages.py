"""Define the messages that the replicas of a control group exchange."""

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
    """Ask for a vote, or with `pre` whether a vote would be granted."""

    sender: str
    target: str
    term: int
    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Answer a vote request."""

    sender: str
    target: str
    term: int
    granted: bool
    pre: bool = False


@dataclass(frozen=True, slots=True)
class Append:
    """Carry log entries, or none as a heartbeat; `sent` is the leader's clock."""

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
    """Answer an append with the last index known to match, echoing `sent`."""

    sender: str
    target: str
    term: int
    success: bool
    match_index: int
    sent: float


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Carry a whole snapshot to a replica whose entries were compacted away."""

    sender: str
    target: str
    term: int
    snapshot: Snapshot
    sent: float


@dataclass(frozen=True, slots=True)
class TakeOver:
    """Tell a replica to stand for election at once."""

    sender: str
    target: str
    term: int


RaftMessage = (
    VoteRequest | VoteReply | Append | AppendReply | InstallSnapshot | TakeOver
)


@dataclass(frozen=True, slots=True)
class RaftSend:
    """Ask for a message to be sent to its target replica."""

    message: RaftMessage
