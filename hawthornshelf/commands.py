"""Define the commands of the replicated state machine and their results."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from hawthornshelf.configuration import Configuration
from hawthornshelf.crashrecords import CrashRow
from hawthornshelf.origins import Origin, OriginRow
from hawthornshelf.usagerecords import WorkspaceCount

__all__ = [
    "COMMAND_TYPES",
    "AckDrain",
    "AdmitBuild",
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
    "DecideUsageReport",
    "Done",
    "DrainReason",
    "DrainUpstream",
    "EndTrial",
    "FindOrigin",
    "FinishFleetOrder",
    "FinishOrder",
    "FinishUsageReport",
    "JoinNode",
    "LiftQuarantine",
    "NotFound",
    "OpenClaim",
    "OpenTrial",
    "OrderFleet",
    "OrderPlaced",
    "OriginFound",
    "PlaceOrder",
    "ProposeConfiguration",
    "ReadRoutes",
    "RecordAnswer",
    "RecordOrigins",
    "RecordQuarantine",
    "ReleaseClaim",
    "ReleaseUpstream",
    "RemoveNode",
    "ReplaceRoutes",
    "ReportCrash",
    "Result",
    "RetireBuild",
    "RoutesInForce",
    "StartUsageReports",
    "TrialGranted",
    "TrialRefused",
    "UsageReportDecided",
]


class DrainReason(Enum):
    """Enumerate the reasons for a drain; each is drained and released separately."""

    OPERATOR = "operator"
    ORDER = "order"
    LEAVING = "leaving"


class Answer(NamedTuple):
    """Represent an upstream's complete response to a non-idempotent request."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ProposeConfiguration:
    """Replace the configuration if `base_version` is the current version."""

    change_id: str
    base_version: int
    operator: str
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class JoinNode:
    """Add an entry node to those whose acknowledgement a drain requires."""

    node: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class RemoveNode:
    """Remove an entry node if it still has the given incarnation."""

    node: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class OpenClaim:
    """Claim the single execution of a non-idempotent request for one attempt."""

    workspace: str
    key: str
    digest: str
    attempt: str


@dataclass(frozen=True, slots=True)
class RecordAnswer:
    """Store the response of a claimed execution."""

    workspace: str
    key: str
    attempt: str
    answer: Answer


@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """Release a claim because no byte of the request was sent."""

    workspace: str
    key: str
    attempt: str


@dataclass(frozen=True, slots=True)
class DrainUpstream:
    """Stop new work for an upstream until the drain is released."""

    upstream: str
    reason: DrainReason


@dataclass(frozen=True, slots=True)
class AckDrain:
    """Acknowledge a drain: the node sends nothing and has nothing in flight."""

    upstream: str
    drain: int
    node: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class ReleaseUpstream:
    """End the drain of an upstream for one reason."""

    upstream: str
    reason: DrainReason


@dataclass(frozen=True, slots=True)
class PlaceOrder:
    """Place an order for an engine; the commit assigns its fencing number."""

    upstream: str
    model: str
    version: str
    adapters: tuple[str, ...]
    role: str


@dataclass(frozen=True, slots=True)
class FinishOrder:
    """Mark an order as finished, once the engine reports the ordered state."""

    upstream: str
    order: int


@dataclass(frozen=True, slots=True)
class ReportCrash:
    """Report the requests that were in flight when an upstream crashed."""

    upstream: str
    incident: str
    digests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ClearSuspects:
    """Clear the suspicion of requests that have completed."""

    digests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class OpenTrial:
    """Request to run a suspect on an upstream where no other suspect runs."""

    digest: str
    upstream: str
    node: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class EndTrial:
    """Record that the run of a suspect has ended."""

    digest: str
    upstream: str


@dataclass(frozen=True, slots=True)
class ReplaceRoutes:
    """Replace the route document if the number is higher than the current one.

    The body is stored byte for byte, so that a read returns what was sent.
    """

    number: int
    body: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class ReadRoutes:
    """Read the current route document through the log, so the read is linearizable."""


@dataclass(frozen=True, slots=True)
class AdmitBuild:
    """Let the runners of a build begin streams."""

    service: str
    build: str


@dataclass(frozen=True, slots=True)
class RetireBuild:
    """Let a build begin no more streams, as no runner of it has been listed lately."""

    service: str
    build: str


@dataclass(frozen=True, slots=True)
class RecordOrigins:
    """Record which builds began some streams."""

    rows: tuple[OriginRow, ...]


@dataclass(frozen=True, slots=True)
class FindOrigin:
    """Find which build began a stream, through the log, so that no record is missed.

    `request` is the digest of the id of the request that began it; one of `services`
    did. `listed` are the builds that run now, as the asking node knows.
    """

    request: bytes
    services: tuple[str, ...]
    listed: tuple[Origin, ...]


@dataclass(frozen=True, slots=True)
class RecordQuarantine:
    """Keep what blocks requests, by the crashes that they are suspects of.

    It is kept for `kept_seconds`.
    """

    crashes: tuple[CrashRow, ...]
    kept_seconds: float


@dataclass(frozen=True, slots=True)
class LiftQuarantine:
    """Forget that digests are blocked, as they completed or did not crash runners."""

    digests: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class StartUsageReports:
    """Begin reports with a window, or leave out the windows before it."""

    window: int


@dataclass(frozen=True, slots=True)
class DecideUsageReport:
    """Decide the counts that are reported for a window, unless they are decided."""

    window: int
    counts: tuple[WorkspaceCount, ...]


@dataclass(frozen=True, slots=True)
class FinishUsageReport:
    """Mark the report for a window as received."""

    window: int


@dataclass(frozen=True, slots=True)
class OrderFleet:
    """Decide how many engines of a service a data centre is to run, and why.

    Spot engines are decided on separately.
    """

    service: str
    data_centre: str
    is_spot: bool
    desired: int
    reason: str


@dataclass(frozen=True, slots=True)
class FinishFleetOrder:
    """Record the outcome of an order of engines, unless a newer one replaced it.

    `number` is the log index of the order. `is_refused` means that the platform had no
    engine to give.
    """

    service: str
    data_centre: str
    is_spot: bool
    number: int
    is_refused: bool = False


Command = (
    RecordQuarantine
    | LiftQuarantine
    | AdmitBuild
    | RetireBuild
    | RecordOrigins
    | FindOrigin
    | ReplaceRoutes
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
    | StartUsageReports
    | DecideUsageReport
    | FinishUsageReport
    | OrderFleet
    | FinishFleetOrder
)


@dataclass(frozen=True, slots=True)
class Done:
    """Confirm a command; `index` is its log index."""

    index: int


@dataclass(frozen=True, slots=True)
class NotFound:
    """Report that the object named by the command does not exist."""

    name: str


@dataclass(frozen=True, slots=True)
class ConfigurationAccepted:
    """Accept a configuration and return its version."""

    version: int


@dataclass(frozen=True, slots=True)
class ConfigurationConflict:
    """Refuse a configuration whose base version is not the current one."""

    base_version: int
    current_version: int


@dataclass(frozen=True, slots=True)
class ChangeIdReused:
    """Refuse a change id that was already used for another proposal."""

    change_id: str


@dataclass(frozen=True, slots=True)
class ClaimGranted:
    """Allow an attempt to execute the request."""

    attempt: str


@dataclass(frozen=True, slots=True)
class ClaimInProgress:
    """Report that another attempt may still be running; `age` is in seconds."""

    age: float


@dataclass(frozen=True, slots=True)
class ClaimAnswered:
    """Return the response of an earlier execution, None if it is no longer stored."""

    answer: Answer | None


@dataclass(frozen=True, slots=True)
class ClaimUnknown:
    """Report that an earlier attempt may or may not have executed the request."""

    attempt: str


@dataclass(frozen=True, slots=True)
class ClaimMismatch:
    """Refuse a key that was already used with another body."""

    key: str


@dataclass(frozen=True, slots=True)
class ClaimReleased:
    """Refuse an attempt whose claim was already released."""

    attempt: str


@dataclass(frozen=True, slots=True)
class ClaimsFull:
    """Refuse a claim because the claim table is full."""

    limit: int


@dataclass(frozen=True, slots=True)
class OrderPlaced:
    """Return the order number and the fencing number of an order."""

    order: int
    fence: int


@dataclass(frozen=True, slots=True)
class TrialGranted:
    """Allow a suspect to run on the upstream."""

    upstream: str


@dataclass(frozen=True, slots=True)
class TrialRefused:
    """Refuse a trial: the suspect is quarantined, or another one runs there."""

    quarantined: bool


@dataclass(frozen=True, slots=True)
class RoutesInForce:
    """Represent the current route document, or acknowledge its number.

    An acknowledgement has no body if the number is above 0. Without a body, a number up
    to 0 is how builds that kept no such numbers tell of no document.
    """

    number: int
    body: bytes = field(repr=False)

    @property
    def is_absent(self) -> bool:
        """Return whether this tells of no document."""
        return self.number <= 0 and not self.body


@dataclass(frozen=True, slots=True)
class OriginFound:
    """Return the origin of a stream, None if it can't be known."""

    origin: Origin | None


@dataclass(frozen=True, slots=True)
class UsageReportDecided:
    """Return the counts that were decided first for a window."""

    window: int
    counts: tuple[WorkspaceCount, ...]


Result = (
    Done
    | OriginFound
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
    | UsageReportDecided
)

COMMAND_TYPES: tuple[type, ...] = (*Command.__args__, *Result.__args__)
