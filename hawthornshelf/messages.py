"""Define the messages between nodes, beside those of the replicated log."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from hawthornshelf.commands import COMMAND_TYPES
from hawthornshelf.raftmessages import RaftMessage
from hawthornshelf.state import SharedView
from hawthornshelf.wire import Codec

__all__ = [
    "CODEC",
    "AskControl",
    "ChangeReplica",
    "ControlWord",
    "Hello",
    "LeaderWord",
    "MemberRow",
    "MemberStatus",
    "Message",
    "NotLeader",
    "Ping",
    "PingReply",
    "PingRequest",
    "PullView",
    "ReplicaChanged",
    "Submit",
    "SubmitReply",
    "ViewNews",
    "ViewUpdate",
]


class MemberStatus(Enum):
    """Name what is believed of a node."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


class MemberRow(NamedTuple):
    """Hold what a node says of itself, and what others believe of it."""

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


@dataclass(frozen=True, slots=True)
class Hello:
    """Introduce a control replica; `heard` echoes the receiver's replica id."""

    replica: str
    node: str
    blank: bool
    heard: str


@dataclass(frozen=True, slots=True)
class Submit:
    """Hand an encoded command to the leader, or with `relay` to one that reaches it."""

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
    """Refuse a command and name the node believed to lead, if any."""

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
    """Tell how a change of replicas went."""

    request: str
    accepted: bool
    reason: str


@dataclass(frozen=True, slots=True)
class Ping:
    """Probe a node; `origin` is the node that asked for it, `age` in seconds.

    `streams` is how many conversations the sender has open.
    """

    sequence: int
    origin: str
    revision: int
    age: float
    members: tuple[MemberRow, ...]
    streams: int = 0


@dataclass(frozen=True, slots=True)
class PingReply:
    """Answer a probe."""

    sequence: int
    origin: str
    revision: int
    age: float
    members: tuple[MemberRow, ...]
    streams: int = 0


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Ask a node to probe another one for the sender."""

    sequence: int
    target: MemberRow


@dataclass(frozen=True, slots=True)
class PullView:
    """Ask for the shared view if it is newer than a revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class ViewUpdate:
    """Carry the shared view."""

    view: SharedView


@dataclass(frozen=True, slots=True)
class ViewNews:
    """Tell that the sender has a shared view of a revision, without carrying it."""

    revision: int


@dataclass(frozen=True, slots=True)
class AskControl:
    """Ask a control replica for fresh word in the name of a node's incarnation."""

    revision: int
    incarnation: str


@dataclass(frozen=True, slots=True)
class ControlWord:
    """Tell how old a replica's knowledge is, in seconds, and what it has applied.

    `joined` tells if the node that asked is among those that drains wait for.
    """

    age: float
    applied: int
    revision: int
    joined: bool


@dataclass(frozen=True, slots=True)
class LeaderWord:
    """Tell the other replicas how old the leader's knowledge is, in seconds."""

    age: float


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
    | AskControl
    | ControlWord
    | LeaderWord
)

CODEC = Codec((*Message.__args__, *COMMAND_TYPES))
