"""Define the commands of the replicated state and their results."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from hawthornshelf.configuration import Configuration

__all__ = [
    "COMMAND_TYPES",
    "AckDrain",
    "Answer",
    "ChangeIdReused",
    "ClaimAnswered",
    "ClaimGranted",
    "ClaimInProgress",
    "ClaimMismatch",
    "ClaimReleased",
    "ClaimUnknown",
    "ClaimsFull",
    "ClearSuspects",
    "Command",
    "ConfigurationAccepted",
    "ConfigurationConflict",
    "Done",
    "DrainReason",
    "DrainUpstream",
    "EndTrial",
    "FinishOrder",
    "JoinNode",
    "NotFound",
    "OpenClaim",
    "OpenTrial",
    "OrderPlaced",
    "PlaceOrder",
    "ProposeConfiguration",
    "ReadRoutes",
    "RecordAnswer",
    "ReleaseClaim",
    "ReleaseUpstream",
    "RemoveNode",
    "ReplaceRoutes",
    "ReportCrash",
    "Result",
    "RoutesInForce",
    "TrialGranted",
    "TrialRefused",
]


class DrainReason(Enum):
    """Name who wants a drain; each reason is drained and released by itself."""

    OPERATOR = "operator"
    ORDER = "order"
    LEAVING = "leaving"


class Answer(NamedTuple):
    """Hold a whole answer of an upstream to a non-idempotent request."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ProposeConfiguration:
    """Replace the configuration if `base_version` is the one in force."""

    change_id: str
    base_version: int
    operator: str
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class JoinNode:
    """Enter an entry node among those whose acks a drain waits for."""

    node: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class RemoveNode:
    """Strike an entry node off, if it still has that incarnation."""

    node: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class OpenClaim:
    """Claim the only run of a non-idempotent request for one attempt."""

    workspace: str
    key: str
    digest: str
    attempt: str


@dataclass(frozen=True, slots=True)
class RecordAnswer:
    """Keep the answer that a claimed run gave."""

    workspace: str
    key: str
    attempt: str
    answer: Answer


@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """Give a claim back because no byte of the request was sent."""

    workspace: str
    key: str
    attempt: str


@dataclass(frozen=True, slots=True)
class DrainUpstream:
    """Stop new work for an upstream until it is released."""

    upstream: str
    reason: DrainReason


@dataclass(frozen=True, slots=True)
class AckDrain:
    """Confirm that a node sends an upstream nothing and has nothing in flight."""

    upstream: str
    drain: int
    node: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class ReleaseUpstream:
    """End the drain that has a reason."""

    upstream: str
    reason: DrainReason


@dataclass(frozen=True, slots=True)
class PlaceOrder:
    """Commit an order to an engine, which gives it a fencing number."""

    upstream: str
    model: str
    version: str
    adapters: tuple[str, ...]
    role: str


@dataclass(frozen=True, slots=True)
class FinishOrder:
    """Note that an engine reports the state an order asked for."""

    upstream: str
    order: int


@dataclass(frozen=True, slots=True)
class ReportCrash:
    """Name the requests that were in flight when an upstream crashed."""

    upstream: str
    incident: str
    digests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ClearSuspects:
    """Clear requests that have completed."""

    digests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class OpenTrial:
    """Ask to run a suspect on an upstream where no other suspect runs."""

    digest: str
    upstream: str
    node: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class EndTrial:
    """Note that a suspect's run has ended."""

    digest: str
    upstream: str


@dataclass(frozen=True, slots=True)
class ReplaceRoutes:
    """Put a route document in force unless its number is not higher.

    The body is kept to the byte, so that a read returns what was sent.
    """

    number: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ReadRoutes:
    """Read the route document in force; committed, so that it is linearizable."""


Command = (
    ReplaceRoutes
    | ReadRoutes
    | ProposeConfiguration
    | JoinNode
    | RemoveNode
    | OpenClaim
    | RecordAnswer
    | ReleaseClaim
    | DrainUpstream
    | AckDrain
    | ReleaseUpstream
    | PlaceOrder
    | FinishOrder
    | ReportCrash
    | ClearSuspects
    | OpenTrial
    | EndTrial
)


@dataclass(frozen=True, slots=True)
class Done:
    """Confirm a command; `index` is its place in the log."""

    index: int


@dataclass(frozen=True, slots=True)
class NotFound:
    """Say that what the command names does not exist."""

    name: str


@dataclass(frozen=True, slots=True)
class ConfigurationAccepted:
    """Confirm a configuration and its version."""

    version: int


@dataclass(frozen=True, slots=True)
class ConfigurationConflict:
    """Refuse a configuration based on a version that is not in force."""

    base_version: int
    current_version: int


@dataclass(frozen=True, slots=True)
class ChangeIdReused:
    """Refuse a change id that was used for another proposal."""

    change_id: str


@dataclass(frozen=True, slots=True)
class ClaimGranted:
    """Allow one attempt to run the request."""

    attempt: str


@dataclass(frozen=True, slots=True)
class ClaimInProgress:
    """Say that another attempt may still be running; age in seconds."""

    age: float


@dataclass(frozen=True, slots=True)
class ClaimAnswered:
    """Give the answer of the run that took place; None if no longer kept."""

    answer: Answer | None


@dataclass(frozen=True, slots=True)
class ClaimUnknown:
    """Say that an earlier run may or may not have taken place."""

    attempt: str


@dataclass(frozen=True, slots=True)
class ClaimMismatch:
    """Refuse a key that was used with another body."""

    key: str


@dataclass(frozen=True, slots=True)
class ClaimReleased:
    """Refuse an attempt that was already given back."""

    attempt: str


@dataclass(frozen=True, slots=True)
class ClaimsFull:
    """Refuse a claim because the table of claims is full."""

    limit: int


@dataclass(frozen=True, slots=True)
class OrderPlaced:
    """Give the number and the fencing number of an order."""

    order: int
    fence: int


@dataclass(frozen=True, slots=True)
class TrialGranted:
    """Allow a suspect to run on the upstream."""

    upstream: str


@dataclass(frozen=True, slots=True)
class TrialRefused:
    """Refuse a suspect: it is quarantined, or another one runs there."""

    quarantined: bool


@dataclass(frozen=True, slots=True)
class RoutesInForce:
    """Give the route document in force; number 0 means that there is none."""

    number: int
    body: bytes


Result = (
    Done
    | RoutesInForce
    | NotFound
    | ConfigurationAccepted
    | ConfigurationConflict
    | ChangeIdReused
    | ClaimGranted
    | ClaimInProgress
    | ClaimAnswered
    | ClaimUnknown
    | ClaimMismatch
    | ClaimReleased
    | ClaimsFull
    | OrderPlaced
    | TrialGranted
    | TrialRefused
)

COMMAND_TYPES: tuple[type, ...] = (*Command.__args__, *Result.__args__)
