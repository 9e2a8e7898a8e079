"""Define what happens to a node, as its shell reports it to the core."""

from dataclasses import dataclass
from typing import NamedTuple

from hawthornshelf.commands import Answer, Command
from hawthornshelf.messages import Message

__all__ = [
    "AttemptBroken",
    "AttemptCompleted",
    "AttemptRefused",
    "AttemptStarted",
    "CallerDisconnected",
    "ChunkReceived",
    "CommandRequested",
    "EngineStateRead",
    "EngineState",
    "Event",
    "LoadReport",
    "LoadReported",
    "OrderEnded",
    "Persisted",
    "PlatformListed",
    "MessageReceived",
    "ReplicaChangeRequested",
    "RequestArrived",
    "StopRequested",
    "StorageLost",
]


class EngineState(NamedTuple):
    """Hold what an engine says of itself when it is read."""

    boot: str
    model: str
    version: str
    adapters: tuple[str, ...]
    role: str
    changing: bool
    last_order: int


class LoadReport(NamedTuple):
    """Hold a lagging load report; `age` is in seconds when it arrives."""

    boot: str
    running: int
    waiting: int
    waiting_tokens: int
    role: str
    age: float
    cached: tuple[str, ...] = ()
    last_event: int = 0


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Report a message from another node."""

    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class Persisted:
    """Report that a Persist effect and all before it are synced."""

    sequence: int


@dataclass(frozen=True, slots=True)
class StorageLost:
    """Report that the data folder can't be written any more."""

    reason: str


@dataclass(frozen=True, slots=True)
class CommandRequested:
    """Report a command of an operator at this node."""

    request: str
    command: Command


@dataclass(frozen=True, slots=True)
class ReplicaChangeRequested:
    """Report an operator's change of control replicas at this node."""

    request: str
    node: str
    admit: bool


@dataclass(frozen=True, slots=True)
class PlatformListed:
    """Report the platform's list of live and leaving VMs."""

    live: frozenset[str]
    leaving: frozenset[str]


@dataclass(frozen=True, slots=True)
class EngineStateRead:
    """Report an engine's own state, or None if it could not be read."""

    upstream: str
    reading: EngineState | None


@dataclass(frozen=True, slots=True)
class OrderEnded:
    """Report the end of an order's call; unanswered ones may still arrive."""

    upstream: str
    order: int
    answered: bool
    reason: str


@dataclass(frozen=True, slots=True)
class LoadReported:
    """Report the load of an engine, or None; `refused` if no process listens."""

    upstream: str
    report: LoadReport | None
    refused: bool = False


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """Report a request of a caller; `deadline` in seconds from now, 0 for none."""

    request: str
    workspace: str
    target: str
    is_engine: bool
    method: str
    path: str
    work: str
    key: str
    digest: str
    deadline: float
    prompt_blocks: tuple[str, ...] = ()
    prompt_tokens: int = 0
    max_tokens: int = 0
    urgency: int = 3


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """Report that a caller closed its connection."""

    request: str


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """Report that an upstream accepted an attempt, with its boot id if told."""

    attempt: str
    boot: str


@dataclass(frozen=True, slots=True)
class ChunkReceived:
    """Report one piece of a stream with its offset in pieces."""

    attempt: str
    offset: int
    text: str


@dataclass(frozen=True, slots=True)
class AttemptCompleted:
    """Report a whole answer; `pieces` is the stream's length for engines."""

    attempt: str
    answer: Answer | None
    pieces: int = 0


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """Report that an upstream refused an attempt before running it."""

    attempt: str
    reason: str


@dataclass(frozen=True, slots=True)
class AttemptBroken:
    """Report an attempt without an end; `sent` if any byte may have gone out."""

    attempt: str
    sent: bool
    reason: str


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Report that the process was asked to stop gracefully."""


Event = (
    MessageReceived
    | Persisted
    | StorageLost
    | CommandRequested
    | ReplicaChangeRequested
    | PlatformListed
    | EngineStateRead
    | OrderEnded
    | LoadReported
    | RequestArrived
    | CallerDisconnected
    | AttemptStarted
    | ChunkReceived
    | AttemptCompleted
    | AttemptRefused
    | AttemptBroken
    | StopRequested
)
