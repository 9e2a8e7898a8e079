"""Define the messages between nodes, except those of Raft."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from hawthornshelf.commands import COMMAND_TYPES
from hawthornshelf.crashrecords import CrashRow, RowSummary
from hawthornshelf.limitrecords import Permit, RateLimitRow
from hawthornshelf.raftmessages import RaftMessage
from hawthornshelf.serviceloads import ServiceLoad
from hawthornshelf.state import SharedView
from hawthornshelf.usagerecords import WindowCounts
from hawthornshelf.wire import Codec

__all__ = [
    "CODEC",
    "AskControl",
    "AskPermit",
    "ChangeReplica",
    "ControlWord",
    "CrashNews",
    "Departure",
    "DepartureNews",
    "Hello",
    "LeaderWord",
    "MemberRow",
    "MemberStatus",
    "Message",
    "NotLeader",
    "PermitReply",
    "Ping",
    "PingReply",
    "PingRequest",
    "PullCrashes",
    "PullView",
    "RateLimitNews",
    "ReplicaChanged",
    "Submit",
    "SubmitReply",
    "UsageCounts",
    "UsageProgress",
    "ViewNews",
    "ViewUpdate",
]


class MemberStatus(Enum):
    """Enumerate the states of a node in the gossip membership."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


class MemberRow(NamedTuple):
    """Represent a node's description of itself and its status as others see it."""

    node: str
    incarnation: int
    status: MemberStatus
    peer_address: str
    caller_address: str
    data_centre: str
    entry: bool
    control: bool
    serving: bool = False
    version: int = 0
    reaches_runners: bool = True


@dataclass(frozen=True, slots=True)
class Hello:
    """Introduce a control replica; `heard` echoes the receiver's replica id."""

    replica: str
    node: str
    blank: bool
    heard: str


@dataclass(frozen=True, slots=True)
class Submit:
    """Submit an encoded command to the leader.

    With `relay` it goes to a replica that forwards it to the leader.
    """

    request: str
    command: bytes
    relay: bool = False


@dataclass(frozen=True, slots=True)
class SubmitReply:
    """Return the encoded result of a committed command."""

    request: str
    result: bytes


@dataclass(frozen=True, slots=True)
class NotLeader:
    """Refuse a command and name the node believed to be the leader, if any."""

    request: str
    leader: str


@dataclass(frozen=True, slots=True)
class ChangeReplica:
    """Ask the leader to admit new replicas on a node, or to remove its replicas."""

    request: str
    node: str
    admit: bool


@dataclass(frozen=True, slots=True)
class ReplicaChanged:
    """Return whether a change of replicas was accepted, or the reason it was not."""

    request: str
    accepted: bool
    reason: str


@dataclass(frozen=True, slots=True)
class Ping:
    """Probe a node.

    `origin` is the node that requested the probe, if it is indirect. `age` is the
    staleness of the sender's state in seconds. `streams` is the number of
    interactive requests that the sender has open, `crashes` the checksum of its table
    of crashes, `limits` that of the runners that name a rate limit.
    """

    sequence: int
    origin: str
    revision: int
    age: float
    members: tuple[MemberRow, ...]
    streams: int = 0
    crashes: int = 0
    limits: int = 0


@dataclass(frozen=True, slots=True)
class PingReply:
    """Reply to a probe; the fields are those of `Ping`."""

    sequence: int
    origin: str
    revision: int
    age: float
    members: tuple[MemberRow, ...]
    streams: int = 0
    crashes: int = 0
    limits: int = 0


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Ask a node to probe another node on behalf of the sender."""

    sequence: int
    target: MemberRow


@dataclass(frozen=True, slots=True)
class PullView:
    """Request the shared view if it is newer than a revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class ViewUpdate:
    """Carry the shared view."""

    view: SharedView


@dataclass(frozen=True, slots=True)
class ViewNews:
    """Announce the revision of the sender's shared view, without the view itself."""

    revision: int


@dataclass(frozen=True, slots=True)
class CrashNews:
    """Carry rows of the sender's table of crashes, whole or what is new in them."""

    rows: tuple[CrashRow, ...]


@dataclass(frozen=True, slots=True)
class PullCrashes:
    """Request the crashes that the sender's table does not hold."""

    summaries: tuple[RowSummary, ...]


@dataclass(frozen=True, slots=True)
class AskPermit:
    """Ask for a permit for a rate-limited runner, free within `max_wait` seconds.

    `limit` is what the sender knows of the runner, `silent` the nodes that did not
    answer it lately. A forwarded question names the node that asks.
    """

    request: str
    limit: RateLimitRow
    max_wait: float
    silent: tuple[str, ...] = ()
    asker: str = ""


@dataclass(frozen=True, slots=True)
class PermitReply:
    """Answer a question for a permit, with what the sender knows of the runner."""

    request: str
    permit: Permit
    limit: RateLimitRow | None


@dataclass(frozen=True, slots=True)
class RateLimitNews:
    """Carry rate limits that have changed."""

    rows: tuple[RateLimitRow, ...]


class Departure(NamedTuple):
    """Represent that one boot of a runner said `age` seconds ago that it leaves."""

    runner: str
    age: float


@dataclass(frozen=True, slots=True)
class DepartureNews:
    """Carry which runners have said that they leave."""

    departures: tuple[Departure, ...]


@dataclass(frozen=True, slots=True)
class AskControl:
    """Request a freshness report from a control replica for a node's incarnation."""

    revision: int
    incarnation: str


@dataclass(frozen=True, slots=True)
class ControlWord:
    """Report the staleness of a replica's state in seconds and its applied index.

    `joined` is whether drains wait for the requesting node's acknowledgement.
    """

    age: float
    applied: int
    revision: int
    joined: bool


@dataclass(frozen=True, slots=True)
class LeaderWord:
    """Report the staleness of the leader's state in seconds to the other replicas."""

    age: float


@dataclass(frozen=True, slots=True)
class UsageCounts:
    """Carry a node's totals of requests by window and workspace.

    They are those of one process (`incarnation`), complete up to `as_of` in seconds
    since 1970. They changed after version `since` and bring the receiver to `version`.
    With `relay` they go to a replica that forwards them to the leader. `loads` are the
    totals of services whose engines are ordered, as of `loads_at` in seconds of the
    node's monotonic clock, 0 if the node measures none.
    """

    node: str
    incarnation: str
    as_of: float
    windows: tuple[WindowCounts, ...]
    version: int = 0
    since: int = 0
    relay: bool = False
    loads: tuple[ServiceLoad, ...] = ()
    loads_at: float = 0.0


@dataclass(frozen=True, slots=True)
class UsageProgress:
    """Confirm totals up to a version, and name the last window that is decided.

    `leader` is the node believed to be the leader, if any.
    """

    decided: int
    version: int
    leader: str


Message = (
    RaftMessage
    | Hello
    | Submit
    | SubmitReply
    | NotLeader
    | ChangeReplica
    | ReplicaChanged
    | Ping
    | PingReply
    | PingRequest
    | PullView
    | ViewNews
    | ViewUpdate
    | CrashNews
    | PullCrashes
    | AskPermit
    | PermitReply
    | RateLimitNews
    | DepartureNews
    | AskControl
    | ControlWord
    | LeaderWord
    | UsageCounts
    | UsageProgress
)

CODEC = Codec((*Message.__args__, *COMMAND_TYPES))
