"""Define the effects that the core returns for the shell to perform."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from hawthornshelf.commands import Answer, PlaceOrder, Result
from hawthornshelf.duties import DutyCall
from hawthornshelf.limitrecords import Permit
from hawthornshelf.log import Persist
from hawthornshelf.messages import Message

__all__ = [
    "CallPlatform",
    "CancelAttempt",
    "CommandEnded",
    "Dispatch",
    "Effect",
    "Finish",
    "LogLine",
    "Outcome",
    "PermitEnded",
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
    """Represent whether a caller's request has run."""

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
    """Read an engine's state."""

    upstream: str
    address: str


@dataclass(frozen=True, slots=True)
class ReadLoad:
    """Read an engine's load report, and its cache events after number `after`."""

    upstream: str
    address: str
    after: int


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order on a new connection before `not_after`, in monotonic seconds."""

    upstream: str
    address: str
    order: int
    fence: int
    command: PlaceOrder
    not_after: float


@dataclass(frozen=True, slots=True)
class CallPlatform:
    """Call the platform before `valid_until`, in monotonic seconds.

    `holder` names this node, `fence` is the number of its term of duty.
    """

    call: DutyCall
    holder: str
    fence: int
    valid_until: float


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send a request to an upstream before `not_after`, in monotonic seconds.

    A stream resumes at chunk `offset`.
    """

    request: str
    attempt: str
    upstream: str
    address: str
    offset: int
    not_after: float
    urgent: bool


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close an attempt's connection, which cancels it on the engine."""

    attempt: str


@dataclass(frozen=True, slots=True)
class SendChunk:
    """Send the caller the next chunk of its response."""

    request: str
    text: str


@dataclass(frozen=True, slots=True)
class Finish:
    """Send the caller the end of a streamed response, or a whole response.

    `replayed` marks the recorded response of an earlier request with the same key.
    """

    request: str
    answer: Answer | None
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class Refuse:
    """Send the caller a final refusal; `retry_after` is in seconds, 0 for no retry."""

    request: str
    status: int
    outcome: Outcome
    reason: str
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class CommandEnded:
    """Return the result of a command to its operator, or None if it timed out."""

    request: str
    result: Result | None


@dataclass(frozen=True, slots=True)
class ReplicaChangeEnded:
    """Return the outcome of a replica change to its operator."""

    request: str
    accepted: bool
    reason: str


@dataclass(frozen=True, slots=True)
class PermitEnded:
    """Return the answer to a question for a permit."""

    request: str
    permit: Permit


class Field(NamedTuple):
    """Represent one key and value of a log line."""

    key: str
    value: str | int | float


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write one line to the log."""

    event: str
    fields: tuple[Field, ...] = ()


@dataclass(frozen=True, slots=True)
class StopProcess:
    """Stop the process; a graceful stop is complete."""


Effect = (
    Persist
    | Send
    | ReadEngineState
    | ReadLoad
    | SendOrder
    | CallPlatform
    | Dispatch
    | CancelAttempt
    | SendChunk
    | Finish
    | Refuse
    | CommandEnded
    | ReplicaChangeEnded
    | PermitEnded
    | LogLine
    | StopProcess
)


def log(event: str, **fields: str | int | float) -> LogLine:
    """Return a log line with its fields in the given order."""
    return LogLine(event, tuple(Field(key, value) for key, value in fields.items()))
