"""Define what the core asks the shell to do."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from hawthornshelf.commands import Answer, PlaceOrder, Result
from hawthornshelf.log import Persist
from hawthornshelf.messages import Message

__all__ = [
    "CancelAttempt",
    "CommandEnded",
    "Dispatch",
    "Effect",
    "Finish",
    "LogLine",
    "Outcome",
    "ReadEngineState",
    "ReadLoad",
    "Refuse",
    "ReplicaChangeEnded",
    "Send",
    "SendChunk",
    "SendOrder",
    "StopProcess",
]


class Outcome(Enum):
    """Tell a caller what became of its request."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    COMPLETE = "complete"


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a node."""

    node: str
    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class ReadEngineState:
    """Read an engine's own state."""

    upstream: str
    address: str


@dataclass(frozen=True, slots=True)
class ReadLoad:
    """Fetch an engine's load report and its cache events after a number."""

    upstream: str
    address: str
    after: int


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order on a fresh connection, no later than a monotonic second."""

    upstream: str
    address: str
    order: int
    fence: int
    command: PlaceOrder
    not_after: float


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send a request to an upstream, no later than a monotonic second."""

    request: str
    attempt: str
    upstream: str
    address: str
    offset: int
    not_after: float
    urgent: bool


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop an attempt and tell the engine to cancel it."""

    attempt: str


@dataclass(frozen=True, slots=True)
class SendChunk:
    """Give the caller the next piece of its answer."""

    request: str
    text: str


@dataclass(frozen=True, slots=True)
class Finish:
    """Give the caller the end of its answer, or all of it."""

    request: str
    answer: Answer | None
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class Refuse:
    """Give the caller a final refusal; `retry_after` in seconds, 0 for never."""

    request: str
    status: int
    outcome: Outcome
    reason: str
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class CommandEnded:
    """Give an operator the result of a command, or None if none came in time."""

    request: str
    result: Result | None


@dataclass(frozen=True, slots=True)
class ReplicaChangeEnded:
    """Give an operator the outcome of a change of replicas."""

    request: str
    accepted: bool
    reason: str


class Field(NamedTuple):
    """Hold one key and value of a log line."""

    key: str
    value: str | int | float


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write one line to the log."""

    event: str
    fields: tuple[Field, ...] = ()


@dataclass(frozen=True, slots=True)
class StopProcess:
    """End the process: all that it owed is done."""


Effect = (
    Persist
    | Send
    | ReadEngineState
    | ReadLoad
    | SendOrder
    | Dispatch
    | CancelAttempt
    | SendChunk
    | Finish
    | Refuse
    | CommandEnded
    | ReplicaChangeEnded
    | LogLine
    | StopProcess
)


def log(event: str, **fields: str | int | float) -> LogLine:
    """Return a log line with the fields in the order given."""
    return LogLine(event, tuple(Field(key, value) for key, value in fields.items()))
