"""Order engines as the leader of the control group, from decision to known outcome.

Answers a leader or a platform that fails halfway: a decision is committed before it is
ordered, and an order without a known outcome is given again.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from hawthornshelf.commands import Command, FinishFleetOrder, OrderFleet
from hawthornshelf.duties import (
    CallOutcome,
    Duty,
    DutyCall,
    DutySettings,
    OrderEngines,
)
from hawthornshelf.effects import Effect, log
from hawthornshelf.enginegroups import EngineGroup, EngineKey, EngineLimits
from hawthornshelf.events import (
    EnginesListed,
    PlatformCallEnded,
    ScalingLoaded,
    ServiceScaling,
)
from hawthornshelf.fleetrecords import FleetOrderRow
from hawthornshelf.fleetsizing import FleetPlan, decide_fleet, record_unavailable
from hawthornshelf.messages import UsageCounts
from hawthornshelf.serviceloads import LoadLedger, ServiceDemand
from hawthornshelf.state import SharedState

__all__ = ["FleetGauge", "FleetReconciler"]

DECISION_SECONDS = 1.0
MAX_DECISION_AGE_SECONDS = 3.0
"""Age from which on a decision is not ordered: its counts are stale by then."""

PROPOSAL_SECONDS = 1.0
"""Time after which a command is proposed again that the state doesn't show."""

MAX_REASON_CHARACTERS = 160


class FleetGauge(NamedTuple):
    """Store what is known of a service's engines of one data centre and kind."""

    service: str
    key: EngineKey
    desired: int
    ordered: int
    present: int
    needed: int


class _OrderTarget(NamedTuple):
    """Name the engines that one order is about."""

    service: str
    key: EngineKey


class _Proposal(NamedTuple):
    """Store a command that was proposed, and when, in seconds."""

    command: Command
    at: float


class FleetReconciler:
    """Decide on the fleets each second, commit the decisions and order them.

    It orders nothing without the duty, without limits of the service, or on counts
    that are stale. `propose` submits a command to the group's log.
    """

    def __init__(
        self, settings: DutySettings, propose: Callable[[Command], None]
    ) -> None:
        self.is_on = Duty.ENGINES in settings.duties
        self._propose = propose
        self._ledger = LoadLedger()
        self._scaling: ScalingLoaded | None = None
        self._listed = EnginesListed((), float("-inf"))
        self._plans: dict[str, FleetPlan] = {}
        self._demands: dict[str, ServiceDemand] = {}
        self._decided_at: dict[str, float] = {}
        self._repeats: dict[_OrderTarget, int] = {}
        self._proposals: dict[_OrderTarget, _Proposal] = {}
        self._calls: dict[_OrderTarget, int] = {}
        self._ended: dict[_OrderTarget, FinishFleetOrder] = {}
        self._logged: dict[str, tuple[object, ...]] = {}
        self._decide_due = 0.0

    @property
    def scaling_number(self) -> int | None:
        """Return the number of the route document whose limits apply, None for none."""
        return self._scaling.number if self._scaling else None

    @property
    def _scaled_services(self) -> tuple[ServiceScaling, ...]:
        return self._scaling.services if self._scaling else ()

    def reset(self) -> None:
        """Forget what an earlier term of duty knew, except for the counts."""
        self._plans.clear()
        self._decided_at.clear()
        self._repeats.clear()
        self._proposals.clear()
        self._calls.clear()
        self._ended.clear()
        self._logged.clear()

    def load(self, event: ScalingLoaded | EnginesListed) -> None:
        """Apply a newer route document's limits, or a newer list of engines."""
        match event:
            case ScalingLoaded():
                self._scaling = event
            case EnginesListed():
                self._listed = event

    def receive(self, now: float, message: UsageCounts) -> None:
        """Record the totals of an entry node, if it measures any."""
        if self.is_on and message.loads_at:
            self._ledger.record(
                now, message.node, message.incarnation, message.loads_at, message.loads
            )

    def tick(
        self,
        now: float,
        state: SharedState,
        call: Callable[[DutyCall], list[Effect]],
    ) -> list[Effect]:
        """Decide if that is due, and order what is committed; while holding the duty.

        `call` returns the effect of a call, none if it may not be made now.
        """
        if not self.is_on:
            return []
        effects: list[Effect] = []
        if now >= self._decide_due:
            self._decide_due = now + DECISION_SECONDS
            for service, limits in self._scaled_services:
                self._decide(now, state, service, limits)
                effects.extend(self._describe(now, state, service))
        for service, _ in self._scaled_services:
            for row in state.fleet.of_service(service):
                effects.extend(self._advance(now, row, call))
        return effects

    def on_call_ended(
        self, now: float, state: SharedState, event: PlatformCallEnded
    ) -> list[Effect]:
        """Record the outcome of an order; one that is not known is given again."""
        call = event.call
        if not isinstance(call, OrderEngines):
            return []
        target = _OrderTarget(call.service, EngineKey(call.data_centre, call.is_spot))
        number = self._calls.pop(target, None)
        row = state.fleet.find(*target)
        is_current = row is not None and row.number == number
        is_refused = event.outcome in (CallOutcome.UNAVAILABLE, CallOutcome.OUTDATED)
        if is_current and number is not None:
            if is_refused:
                plan = self._plans.get(call.service, FleetPlan())
                self._plans[call.service] = record_unavailable(plan, now, target.key)
            if is_refused or event.outcome is CallOutcome.DONE:
                self._ended[target] = FinishFleetOrder(
                    call.service, call.data_centre, call.is_spot, number, is_refused
                )
        return [
            log(
                "engines-ordered",
                service=call.service,
                data_centre=call.data_centre,
                spot=call.is_spot,
                desired=call.desired,
                number=number or 0,
                newest=is_current,
                outcome=event.outcome.value,
            )
        ]

    def gauges(self, state: SharedState) -> list[FleetGauge]:
        """Return what this node knows of the fleets as their holder."""
        return [
            FleetGauge(
                service,
                group.key,
                group.desired,
                _ordered(state, service, group.key),
                group.present,
                plan.needed,
            )
            for service, plan in sorted(self._plans.items())
            for group in plan.groups
        ]

    # Decisions

    def _decide(
        self, now: float, state: SharedState, service: str, limits: EngineLimits
    ) -> None:
        previous = self._plans.get(service)
        if previous is None:
            previous = _resume(now, state.fleet.of_service(service))
        demand = self._demands[service] = self._ledger.measure(now, service)
        plan = decide_fleet(
            now,
            demand,
            limits,
            self._listed.of_service(service),
            previous,
            now - self._listed.read_at,
        )
        self._plans[service] = plan
        if plan.held:
            return
        self._decided_at[service] = now
        for group in plan.groups:
            if group.is_ordered:
                self._order(now, state, service, group, plan.reason)

    def _order(
        self,
        now: float,
        state: SharedState,
        service: str,
        group: EngineGroup,
        reason: str,
    ) -> None:
        """Propose an order that differs from the committed one, or a repetition."""
        target = _OrderTarget(service, group.key)
        row = state.fleet.find(*target)
        is_repeat = group.repeats > self._repeats.get(target, 0)
        self._repeats[target] = group.repeats
        if row is not None and row.desired == group.desired and not is_repeat:
            return
        command = OrderFleet(
            service, *group.key, group.desired, reason[:MAX_REASON_CHARACTERS]
        )
        self._propose_once(now, target, command)

    # Orders

    def _advance(
        self,
        now: float,
        row: FleetOrderRow,
        call: Callable[[DutyCall], list[Effect]],
    ) -> list[Effect]:
        """Order what a committed row says, unless its outcome is known."""
        target = _OrderTarget(row.service, row.key)
        if row.is_finished:
            self._ended.pop(target, None)
            return []
        ended = self._ended.get(target)
        if ended is not None and ended.number == row.number:
            self._propose_once(now, target, ended)
            return []
        if not self._may_order(now, row):
            return []
        engines = OrderEngines(row.service, row.data_centre, row.desired, row.is_spot)
        effects = call(engines)
        if effects:
            self._calls[target] = row.number
        return effects

    def _may_order(self, now: float, row: FleetOrderRow) -> bool:
        """Return whether a row is what was decided on fresh counts."""
        decided_at = self._decided_at.get(row.service, float("-inf"))
        if now > decided_at + MAX_DECISION_AGE_SECONDS:
            return False
        group = self._plans[row.service].find(row.key)
        return group is not None and group.desired == row.desired

    def _propose_once(self, now: float, target: _OrderTarget, command: Command) -> None:
        last = self._proposals.get(target)
        is_recent = last is not None and now < last.at + PROPOSAL_SECONDS
        if last is not None and is_recent and _is_same(last.command, command):
            return
        self._proposals[target] = _Proposal(command, now)
        self._propose(command)

    # Logs

    def _describe(
        self, now: float, state: SharedState, service: str
    ) -> Iterator[Effect]:
        """Yield a line if what is desired, ordered or present has changed."""
        plan = self._plans[service]
        gauges = [row for row in self.gauges(state) if row.service == service]
        key = (plan.held, *((g.key, g.desired, g.ordered, g.present) for g in gauges))
        if self._logged.get(service) == key:
            return
        self._logged[service] = key
        demand = self._demands[service]
        yield log(
            "fleet-decided",
            service=service,
            needed=plan.needed,
            desired=_list_counts((g.key, g.desired) for g in gauges),
            ordered=_list_counts((g.key, g.ordered) for g in gauges),
            present=_list_counts((g.key, g.present) for g in gauges),
            reason=plan.reason,
            held=plan.held,
            offered=round(demand.offered, 2),
            refused=round(demand.refused, 2),
            late=round(demand.late, 2),
            waiting=demand.waiting,
            streams=demand.streams + demand.long_streams,
            fresh=round(demand.fresh_share, 2),
            list_age=round(min(now - self._listed.read_at, 1e6), 2),
            routes="none" if self._scaling is None else self._scaling.number,
        )


def _resume(now: float, rows: list[FleetOrderRow]) -> FleetPlan:
    """Return the plan of a new holder, which knows the committed orders only."""
    groups = [EngineGroup(row.key, row.desired, row.desired, True) for row in rows]
    plan = FleetPlan(tuple(sorted(groups)))
    for row in rows:
        if row.is_refused:
            plan = record_unavailable(plan, now, row.key)
    return plan


def _ordered(state: SharedState, service: str, key: EngineKey) -> int:
    row = state.fleet.find(service, key)
    return row.desired if row is not None else 0


def _is_same(one: Command, other: Command) -> bool:
    """Return whether two commands order the same, for whatever reason."""
    match one, other:
        case OrderFleet(), OrderFleet():
            return one.desired == other.desired
        case _:
            return one == other


def _list_counts(counts: Iterable[tuple[EngineKey, int]]) -> str:
    return ",".join(f"{key.name}:{count}" for key, count in counts if count)
