"""Apply committed commands to the replicated state machine."""

import hashlib
from typing import NamedTuple

import msgspec

from hawthornshelf.claims import ClaimKey, ClaimRow, ClaimTable
from hawthornshelf.commands import (
    AckDrain,
    AdmitBuild,
    ChangeIdReused,
    ClearSuspects,
    Command,
    ConfigurationAccepted,
    ConfigurationConflict,
    DecideUsageReport,
    Done,
    DrainReason,
    DrainUpstream,
    EndTrial,
    FindOrigin,
    FinishFleetOrder,
    FinishOrder,
    FinishUsageReport,
    JoinNode,
    LiftQuarantine,
    NotFound,
    OpenClaim,
    OpenTrial,
    OrderFleet,
    OrderPlaced,
    OriginFound,
    PlaceOrder,
    ProposeConfiguration,
    ReadRoutes,
    RecordAnswer,
    RecordOrigins,
    RecordQuarantine,
    ReleaseClaim,
    ReleaseUpstream,
    RemoveNode,
    ReplaceRoutes,
    ReportCrash,
    Result,
    RetireBuild,
    RoutesInForce,
    StartUsageReports,
    UsageReportDecided,
)
from hawthornshelf.configuration import Configuration
from hawthornshelf.fleetrecords import FleetOrderRow, FleetTable
from hawthornshelf.origins import BuildRow, OriginRow, OriginTable
from hawthornshelf.quarantines import QuarantineRow, QuarantineTable
from hawthornshelf.suspects import SuspectRow, SuspectTable, TrialRow
from hawthornshelf.usagerecords import UsageRecords, UsageSnapshot

__all__ = [
    "ChangeRow",
    "DrainRow",
    "NodeRow",
    "OrderRow",
    "SharedState",
    "SharedView",
]

FENCE_TERM_SHIFT = 40
"""Bits of a fencing number that hold the log index; the term is above them."""

MAX_CHANGE_OUTCOMES = 50_000
MAX_HISTORY = 500
NO_ROUTES = RoutesInForce(0, b"")
"""No document, in snapshots and in views on their way: all builds can read it."""

NO_USAGE = UsageSnapshot()


class ChangeRow(NamedTuple):
    """Represent an accepted change; `accepted` is in seconds since the epoch."""

    version: int
    change_id: str
    operator: str
    accepted: float


class OutcomeRow(NamedTuple):
    """Represent the outcome of the first proposal with a change id.

    The digest of the proposal tells a retry from a reuse of the id.
    """

    change_id: str
    digest: str
    base: int
    version: int
    accepted: bool


class NodeRow(NamedTuple):
    """Represent an entry node that may send work to upstreams."""

    node: str
    incarnation: str


class DrainRow(NamedTuple):
    """Represent a drain and the nodes that have acknowledged it."""

    upstream: str
    index: int  # type: ignore[assignment]
    reason: DrainReason
    acks: tuple[NodeRow, ...] = ()


class OrderRow(NamedTuple):
    """Represent the latest order placed for an engine."""

    upstream: str
    order: int
    fence: int
    command: PlaceOrder
    finished: bool = False


class SharedView(NamedTuple):
    """Represent the state that is distributed to every node.

    A view with a higher revision replaces one with a lower revision.
    """

    revision: int = 0
    version: int = 0
    configuration: Configuration = Configuration()
    drains: tuple[DrainRow, ...] = ()
    suspects: tuple[SuspectRow, ...] = ()
    stored_routes: RoutesInForce = NO_ROUTES
    builds: tuple[BuildRow, ...] = ()
    quarantines: tuple[QuarantineRow, ...] = ()

    @property
    def routes(self) -> RoutesInForce | None:
        """Return the current route document, None if there is none yet."""
        return _load_routes(self.stored_routes)


class _StateSnapshot(NamedTuple):
    revision: int
    timestamp: float
    version: int
    configuration: Configuration
    outcomes: tuple[OutcomeRow, ...]
    history: tuple[ChangeRow, ...]
    nodes: tuple[NodeRow, ...]
    drains: tuple[DrainRow, ...]
    orders: tuple[OrderRow, ...]
    claims: tuple[ClaimRow, ...]
    released: tuple[str, ...]
    kept: tuple[ClaimKey, ...]
    suspects: tuple[SuspectRow, ...]
    trials: tuple[TrialRow, ...]
    routes: RoutesInForce = NO_ROUTES
    builds: tuple[BuildRow, ...] = ()
    origins: tuple[OriginRow, ...] = ()
    quarantines: tuple[QuarantineRow, ...] = ()
    usage: UsageSnapshot = NO_USAGE
    fleet: tuple[FleetOrderRow, ...] = ()


class SharedState:
    """Store the tables that the control group replicates."""

    def __init__(self) -> None:
        self.revision = 0
        self.timestamp = 0.0
        self.version = 0
        self.configuration = Configuration()
        self.outcomes: dict[str, OutcomeRow] = {}
        self.history: list[ChangeRow] = []
        self.nodes: dict[str, NodeRow] = {}
        self.drains: dict[tuple[str, DrainReason], DrainRow] = {}
        self.orders: dict[str, OrderRow] = {}
        self.claims = ClaimTable()
        self.suspects = SuspectTable()
        self.routes: RoutesInForce | None = None
        self.origins = OriginTable()
        self.quarantines = QuarantineTable()
        self.usage = UsageRecords()
        self.fleet = FleetTable()

    def apply(
        self, term: int, index: int, timestamp: float, command: Command
    ) -> Result:
        """Apply a command and return its result.

        It is deterministic: the same commands give the same state and results on
        every replica. `timestamp` is the proposing leader's wall clock in seconds.
        """
        self.timestamp = max(self.timestamp, timestamp)
        match command:
            case ProposeConfiguration():
                return self._propose(index, command)
            case OpenClaim():
                return self.claims.open(command, self.timestamp)
            case RecordAnswer():
                return self.claims.record(command, index)
            case ReleaseClaim():
                return self.claims.release(command, index)
            case PlaceOrder():
                return self._place_order(term, index, command)
            case FinishOrder():
                return self._finish_order(index, command)
            case ReplaceRoutes():
                return self._replace_routes(index, command)
            case ReadRoutes():
                return self.routes or NotFound("route document")
            case AdmitBuild() | RetireBuild() | RecordOrigins() | FindOrigin():
                return self._apply_origins(index, command)
            case RecordQuarantine() | LiftQuarantine():
                return self._apply_quarantine(index, command)
            case StartUsageReports() | DecideUsageReport() | FinishUsageReport():
                return self._apply_usage(index, command)
            case OrderFleet() | FinishFleetOrder():
                return self._apply_fleet(index, command)
            case JoinNode():
                self.nodes[command.node] = NodeRow(command.node, command.incarnation)
                return Done(index)
            case RemoveNode():
                return self._remove_node(index, command)
            case _:
                return self._apply_shared(index, command)

    def view(self) -> SharedView:
        """Return the view that is distributed to every node."""
        return SharedView(
            self.revision,
            self.version,
            self.configuration,
            tuple(self.drains.values()),
            self.suspects.rows(),
            self.routes or NO_ROUTES,
            self.origins.builds(),
            self.quarantines.rows(),
        )

    def find_drain(self, upstream: str, reason: DrainReason) -> DrainRow | None:
        """Return the drain of an upstream for a reason, or None."""
        return self.drains.get((upstream, reason))

    def missing_acks(self, drain: DrainRow) -> tuple[str, ...]:
        """Return the names of the nodes that have not acknowledged a drain."""
        missing = set(self.nodes.values()) - set(drain.acks)
        return tuple(sorted(row.node for row in missing))

    def dump(self) -> bytes:
        """Return the serialized state."""
        snapshot = _StateSnapshot(
            self.revision,
            self.timestamp,
            self.version,
            self.configuration,
            tuple(self.outcomes.values()),
            tuple(self.history),
            tuple(self.nodes.values()),
            tuple(self.drains.values()),
            tuple(self.orders.values()),
            self.claims.rows(),
            self.claims.released(),
            self.claims.kept(),
            self.suspects.rows(),
            self.suspects.trials(),
            self.routes or NO_ROUTES,
            self.origins.builds(),
            self.origins.origins(),
            self.quarantines.rows(),
            self.usage.snapshot(),
            self.fleet.rows(),
        )
        # Builds that know no duties read snapshots that hold nothing of them.
        if snapshot.fleet:
            return msgspec.msgpack.encode(snapshot)
        if snapshot.usage != NO_USAGE:
            return msgspec.msgpack.encode(snapshot[:-1])
        return msgspec.msgpack.encode(snapshot[:-2])

    @classmethod
    def load(cls, data: bytes) -> "SharedState":
        """Return the state serialized by `dump`, or an empty state for no bytes."""
        state = cls()
        if not data:
            return state
        snapshot = msgspec.msgpack.decode(data, type=_StateSnapshot)
        state.revision = snapshot.revision
        state.timestamp = snapshot.timestamp
        state.version = snapshot.version
        state.configuration = snapshot.configuration
        state.outcomes = {row.change_id: row for row in snapshot.outcomes}
        state.history = list(snapshot.history)
        state.nodes = {row.node: row for row in snapshot.nodes}
        state.drains = {(row.upstream, row.reason): row for row in snapshot.drains}
        state.orders = {row.upstream: row for row in snapshot.orders}
        state.claims = ClaimTable(snapshot.claims, snapshot.released, snapshot.kept)
        state.suspects = SuspectTable(snapshot.suspects, snapshot.trials)
        state.routes = _load_routes(snapshot.routes)
        state.origins = OriginTable(snapshot.builds, snapshot.origins)
        state.quarantines = QuarantineTable(snapshot.quarantines)
        state.usage = UsageRecords(snapshot.usage)
        state.fleet = FleetTable(snapshot.fleet)
        return state

    def _apply_shared(self, index: int, command: Command) -> Result:
        """Apply a command that may change the view distributed to every node."""
        match command:
            case DrainUpstream():
                return self._start_drain(index, command)
            case AckDrain():
                return self._ack_drain(index, command)
            case ReleaseUpstream():
                return self._end_drain(index, command)
            case ReportCrash():
                self.revision = index
                return self.suspects.report(command, index)
            case ClearSuspects():
                self.revision = index
                return self.suspects.clear(command.digests, index)
            case OpenTrial():
                return self.suspects.open_trial(command, self.timestamp)
            case EndTrial():
                return self.suspects.end_trial(command, index)
            case _:
                return NotFound(type(command).__name__)

    def _apply_origins(
        self, index: int, command: AdmitBuild | RetireBuild | RecordOrigins | FindOrigin
    ) -> Result:
        """Apply a command on builds and the streams that they began."""
        now = self.timestamp
        is_new = False
        match command:
            case FindOrigin(request, services, listed):
                origin = self.origins.find(now, request, services, set(listed))
                return OriginFound(origin)
            case AdmitBuild(service, build):
                is_new = self.origins.admit(now, service, build)
            case RetireBuild(service, build):
                is_new = self.origins.retire(now, service, build)
            case RecordOrigins(rows):
                self.origins.record(now, rows)
        if is_new:
            self.revision = index
        return Done(index)

    def _apply_quarantine(
        self, index: int, command: RecordQuarantine | LiftQuarantine
    ) -> Result:
        match command:
            case RecordQuarantine(crashes, seconds):
                is_new = self.quarantines.record(self.timestamp, crashes, seconds)
            case LiftQuarantine(digests):
                is_new = self.quarantines.lift(self.timestamp, digests)
        if is_new:
            self.revision = index
        return Done(index)

    def _apply_usage(
        self,
        index: int,
        command: StartUsageReports | DecideUsageReport | FinishUsageReport,
    ) -> Result:
        match command:
            case StartUsageReports(window):
                self.usage.start(window)
            case DecideUsageReport(window, counts):
                report = self.usage.decide(window, counts)
                if report is None:
                    return NotFound(f"usage window {window}")
                return UsageReportDecided(report.window, report.counts)
            case FinishUsageReport(window):
                if not self.usage.finish(window):
                    return NotFound(f"usage window {window}")
        return Done(index)

    def _apply_fleet(
        self, index: int, command: OrderFleet | FinishFleetOrder
    ) -> Result:
        match command:
            case OrderFleet():
                self.fleet.record(index, command)
            case FinishFleetOrder():
                if not self.fleet.finish(command):
                    return NotFound(command.service)
        return Done(index)

    def _propose(self, index: int, command: ProposeConfiguration) -> Result:
        digest = _digest_proposal(command)
        if command.change_id not in self.outcomes:
            self._decide(index, command, digest)
        row = self.outcomes[command.change_id]
        if row.digest != digest:
            return ChangeIdReused(command.change_id)
        if row.accepted:
            return ConfigurationAccepted(row.version)
        return ConfigurationConflict(row.base, row.version)

    def _decide(self, index: int, command: ProposeConfiguration, digest: str) -> None:
        accepted = command.base_version == self.version
        if accepted:
            self.version += 1
            self.configuration = command.configuration
            self.revision = index
            change = ChangeRow(
                self.version, command.change_id, command.operator, self.timestamp
            )
            self.history = [*self.history[-MAX_HISTORY + 1 :], change]
        self.outcomes[command.change_id] = OutcomeRow(
            command.change_id, digest, command.base_version, self.version, accepted
        )
        while len(self.outcomes) > MAX_CHANGE_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]

    def _replace_routes(self, index: int, command: ReplaceRoutes) -> Result:
        """Replace the route document if the number is higher than the current one."""
        if self.routes is None or command.number > self.routes.number:
            self.routes = RoutesInForce(command.number, command.body)
            self.revision = index
        number, body = self.routes.number, self.routes.body
        return RoutesInForce(number, b"" if number > 0 else body)

    def _remove_node(self, index: int, command: RemoveNode) -> Result:
        row = self.nodes.get(command.node)
        if row is None or row.incarnation != command.incarnation:
            return NotFound(command.node)
        del self.nodes[command.node]
        return Done(index)

    def _start_drain(self, index: int, command: DrainUpstream) -> Result:
        key = (command.upstream, command.reason)
        if key not in self.drains:
            self.drains[key] = DrainRow(command.upstream, index, command.reason)
            self.revision = index
        return Done(self.drains[key].index)

    def _ack_drain(self, index: int, command: AckDrain) -> Result:
        ack = NodeRow(command.node, command.incarnation)
        for key, drain in self.drains.items():
            if drain.upstream == command.upstream and drain.index == command.drain:
                acks = [row for row in drain.acks if row.node != command.node]
                acks.append(ack)
                self.drains[key] = drain._replace(acks=tuple(sorted(acks)))
                return Done(index)
        return NotFound(command.upstream)

    def _end_drain(self, index: int, command: ReleaseUpstream) -> Result:
        if self.drains.pop((command.upstream, command.reason), None) is None:
            return NotFound(command.upstream)
        self.revision = index
        return Done(index)

    def _place_order(self, term: int, index: int, command: PlaceOrder) -> Result:
        drain = self.find_drain(command.upstream, DrainReason.ORDER)
        if drain is None or self.missing_acks(drain):
            return NotFound(command.upstream)
        fence = (term << FENCE_TERM_SHIFT) | index
        self.orders[command.upstream] = OrderRow(
            command.upstream, index, fence, command
        )
        return OrderPlaced(index, fence)

    def _finish_order(self, index: int, command: FinishOrder) -> Result:
        row = self.orders.get(command.upstream)
        if row is None or row.order != command.order:
            return NotFound(command.upstream)
        self.orders[command.upstream] = row._replace(finished=True)
        return Done(index)


def _load_routes(stored: RoutesInForce) -> RoutesInForce | None:
    return None if stored.is_absent else stored


def _digest_proposal(command: ProposeConfiguration) -> str:
    body = msgspec.msgpack.encode((command.base_version, command.configuration))
    return hashlib.blake2b(body, digest_size=12).hexdigest()
