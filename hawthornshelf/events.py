"""Define the events that the shell reports to the core."""

from dataclasses import dataclass
from typing import NamedTuple

from hawthornshelf.commands import Answer, Command
from hawthornshelf.duties import CallOutcome, DutyCall
from hawthornshelf.enginegroups import EngineCount, EngineLimits
from hawthornshelf.messages import Message

__all__ = [
    "AttemptBroken",
    "AttemptCompleted",
    "AttemptRefused",
    "AttemptStarted",
    "CallerDisconnected",
    "ChunkReceived",
    "CommandRequested",
    "EngineState",
    "EngineStateRead",
    "EnginesListed",
    "Event",
    "LoadReport",
    "LoadReported",
    "MessageReceived",
    "OrderEnded",
    "PermitRequested",
    "Persisted",
    "PlatformCallEnded",
    "PlatformListed",
    "ReplicaChangeRequested",
    "RequestArrived",
    "ScalingLoaded",
    "ServiceEngines",
    "ServiceScaling",
    "StopRequested",
    "StorageLost",
    "ViewRequested",
]


class EngineState(NamedTuple):
    """Represent an engine's state as the engine reports it.

    `last_order` is the number of the last order that it received, and `changing` is
    set while it carries one out.
    """

    boot: str
    model: str
    version: str
    adapters: tuple[str, ...]
    role: str
    changing: bool
    last_order: int


class LoadReport(NamedTuple):
    """Represent an engine's load report; `age` is its age in seconds on arrival."""

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
    """Report that a message from another node arrived."""

    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class Persisted:
    """Report that a Persist effect and all earlier ones are synced to disk."""

    sequence: int


@dataclass(frozen=True, slots=True)
class StorageLost:
    """Report that the data folder can no longer be written."""

    reason: str


@dataclass(frozen=True, slots=True)
class CommandRequested:
    """Report that an operator sent a command to this node."""

    request: str
    command: Command


@dataclass(frozen=True, slots=True)
class ReplicaChangeRequested:
    """Report that an operator asked this node to change the control replicas."""

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
    """Report an engine's state, or None if it could not be read."""

    upstream: str
    engine_state: EngineState | None


@dataclass(frozen=True, slots=True)
class OrderEnded:
    """Report that the call for an order ended.

    Without a response (`answered` is false) the order may still arrive at the engine.
    """

    upstream: str
    order: int
    answered: bool
    reason: str


@dataclass(frozen=True, slots=True)
class PlatformCallEnded:
    """Report the end of a call to the platform."""

    call: DutyCall
    outcome: CallOutcome


class ServiceScaling(NamedTuple):
    """Store the limits of a service's engines."""

    service: str
    limits: EngineLimits


@dataclass(frozen=True, slots=True)
class ScalingLoaded:
    """Report the services of a route document whose engines are to be ordered."""

    number: int
    services: tuple[ServiceScaling, ...]


class ServiceEngines(NamedTuple):
    """Count a service's listed engines of one data centre and kind."""

    service: str
    engines: EngineCount


@dataclass(frozen=True, slots=True)
class EnginesListed:
    """Report the engines that the platform listed; `read_at` in monotonic seconds."""

    services: tuple[ServiceEngines, ...]
    read_at: float

    def of_service(self, service: str) -> list[EngineCount]:
        """Return the counts of a service's engines."""
        return [row.engines for row in self.services if row.service == service]


@dataclass(frozen=True, slots=True)
class LoadReported:
    """Report an engine's load, or None if it could not be read.

    `refused` is set if the connection was refused, so that no process listens.
    """

    upstream: str
    report: LoadReport | None
    refused: bool = False


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """Report a caller's request; `deadline` is in seconds from now, 0 for none."""

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
    """Report that a caller closed its connection before its request finished."""

    request: str


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """Report that an upstream accepted an attempt, with its boot id if it sent one."""

    attempt: str
    boot: str


@dataclass(frozen=True, slots=True)
class ChunkReceived:
    """Report one chunk of a stream with its offset in chunks."""

    attempt: str
    offset: int
    text: str


@dataclass(frozen=True, slots=True)
class AttemptCompleted:
    """Report a complete response; for engines `chunk_count` is the stream's length."""

    attempt: str
    answer: Answer | None
    chunk_count: int = 0


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """Report that an upstream refused an attempt before running it."""

    attempt: str
    reason: str


@dataclass(frozen=True, slots=True)
class AttemptBroken:
    """Report an attempt that ended without a response.

    `sent` is set if any byte of the request may have been sent.
    """

    attempt: str
    sent: bool
    reason: str


@dataclass(frozen=True, slots=True)
class PermitRequested:
    """Request a permit for a boot of a rate-limited runner.

    It is to be free within `max_wait` seconds.
    """

    request: str
    runner: str
    max_wait: float


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Report that the process was asked to stop gracefully."""


@dataclass(frozen=True, slots=True)
class ViewRequested:
    """Request a newer shared view of a node, or of a few if none is named."""

    node: str


Event = (
    MessageReceived
    | Persisted
    | StorageLost
    | CommandRequested
    | ReplicaChangeRequested
    | PermitRequested
    | PlatformListed
    | EngineStateRead
    | OrderEnded
    | PlatformCallEnded
    | ScalingLoaded
    | EnginesListed
    | LoadReported
    | RequestArrived
    | CallerDisconnected
    | AttemptStarted
    | ChunkReceived
    | AttemptCompleted
    | AttemptRefused
    | AttemptBroken
    | StopRequested
    | ViewRequested
)
