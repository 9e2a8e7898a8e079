"""Bring engines to the declared state, one order at a time."""

from collections.abc import Callable
from typing import NamedTuple

from hawthornshelf.commands import (
    Command,
    DrainReason,
    DrainUpstream,
    FinishOrder,
    PlaceOrder,
    ReleaseUpstream,
)
from hawthornshelf.configuration import Configuration, Model, Runner
from hawthornshelf.effects import Effect, ReadEngineState, SendOrder, log
from hawthornshelf.events import EngineState, EngineStateRead, OrderEnded
from hawthornshelf.state import OrderRow, SharedState

__all__ = ["OrderReconciler"]

READ_SECONDS = 1.0
FRESH_READ_SECONDS = 3.0
LOST_READ_SECONDS = 5.0
NEVER = float("-inf")
MAX_CHANGES_OF_SERVING_ENGINES = 1
MAX_CHANGES_OF_EMPTY_ENGINES = 3


class _EngineRow(NamedTuple):
    """Hold what this leader knows of one engine; times are monotonic seconds.

    `read_at` is when the reading was asked for. An order may still arrive at
    the engine until `order_pending_until`.
    """

    reading: EngineState | None = None
    read_at: float = NEVER
    asked_at: float = NEVER
    asking: bool = False
    order_pending_until: float = NEVER


Propose = Callable[[Command], None]


class OrderReconciler:
    """Compare readings with the configuration while this replica leads."""

    def __init__(self, propose: Propose, order_timeout: float) -> None:
        self._propose = propose
        self._order_timeout = order_timeout
        self._rows: dict[str, _EngineRow] = {}
        self._proposed_at: dict[tuple[str, type], float] = {}
        self._started = 0

    def reset(self) -> None:
        """Forget all readings, so that a new leader reads before it orders."""
        self._rows.clear()
        self._proposed_at.clear()

    def on_engine_state(self, now: float, event: EngineStateRead) -> None:
        """Take in an engine's reading."""
        row = self._rows.get(event.upstream)
        if row is None:
            return
        row = row._replace(asking=False)
        if event.reading is not None:
            row = row._replace(reading=event.reading, read_at=row.asked_at)
        self._rows[event.upstream] = row

    def on_order_ended(self, now: float, event: OrderEnded) -> Effect:
        """Note that an order has arrived, if the engine answered it."""
        row = self._rows.get(event.upstream)
        if row is not None and event.answered:
            self._rows[event.upstream] = row._replace(order_pending_until=now)
        return log(
            "order-ended",
            upstream=event.upstream,
            order=event.order,
            answered=event.answered,
            reason=event.reason,
        )

    def tick(
        self,
        now: float,
        state: SharedState,
        lease_until: float,
        unchecked_from: float,
    ) -> list[Effect]:
        """Take the next step for each engine; order nothing without the lease."""
        runners = state.configuration.runners()
        models = state.configuration.models()
        self._rows = {n: self._rows.get(n, _EngineRow()) for n in models}
        self._started = 0
        effects: list[Effect] = []
        for name, model in models.items():
            runner = runners[name]
            effects.extend(self._ask(now, runner))
            allowed = NEVER if runner.checks_fencing else unchecked_from
            if now >= allowed and now < lease_until:
                effects.extend(
                    self._advance(now, state, runner, model, lease_until, allowed)
                )
        self._release_removed(now, state, state.configuration)
        return effects

    def _ask(self, now: float, runner: Runner) -> list[Effect]:
        row = self._rows[runner.name]
        wait = LOST_READ_SECONDS if row.asking else READ_SECONDS
        if now < row.asked_at + wait:
            return []
        self._rows[runner.name] = row._replace(asked_at=now, asking=True)
        return [ReadEngineState(runner.name, runner.address)]

    def _advance(
        self,
        now: float,
        state: SharedState,
        runner: Runner,
        model: Model,
        lease_until: float,
        allowed: float,
    ) -> list[Effect]:
        """Decide by a reading that no order can have outrun."""
        row = self._rows[runner.name]
        settled = max(row.order_pending_until, allowed)
        fresh = settled < row.read_at and now <= row.read_at + FRESH_READ_SECONDS
        if row.reading is None or not fresh or row.reading.changing:
            return []
        drain = state.find_drain(runner.name, DrainReason.ORDER)
        order = state.orders.get(runner.name)
        if _matches(row.reading, runner, model):
            self._finish(now, state, runner.name)
            return []
        if drain is None:
            if self._may_start(now, state, row.reading):
                self._started += 1
                self._propose_once(now, DrainUpstream(runner.name, DrainReason.ORDER))
            return []
        if state.missing_acks(drain):
            return []
        wanted = PlaceOrder(
            runner.name, model.name, model.version, model.adapters, runner.role
        )
        failed = order is not None and row.reading.last_order == order.order
        if order is None or order.finished or failed or order.command != wanted:
            self._propose_once(now, wanted)
            return []
        return self._send(now, runner, order, lease_until)

    def _send(
        self, now: float, runner: Runner, order: OrderRow, lease_until: float
    ) -> list[Effect]:
        row = self._rows[runner.name]
        arrives_by = lease_until + self._order_timeout
        self._rows[runner.name] = row._replace(order_pending_until=arrives_by)
        send = SendOrder(
            runner.name,
            runner.address,
            order.order,
            order.fence,
            order.command,
            lease_until,
        )
        return [send]

    def _finish(self, now: float, state: SharedState, upstream: str) -> None:
        order = state.orders.get(upstream)
        drain = state.find_drain(upstream, DrainReason.ORDER)
        if order is not None and not order.finished:
            self._propose_once(now, FinishOrder(upstream, order.order))
        elif drain is not None:
            self._propose_once(now, ReleaseUpstream(upstream, DrainReason.ORDER))

    def _release_removed(
        self, now: float, state: SharedState, configuration: Configuration
    ) -> None:
        """End the drains of upstreams that are no longer declared."""
        declared = configuration.runners()
        for drain in list(state.drains.values()):
            if drain.upstream not in declared:
                self._propose_once(now, ReleaseUpstream(drain.upstream, drain.reason))

    def _may_start(self, now: float, state: SharedState, reading: EngineState) -> bool:
        """Bound the changes under way; engines out of reach don't count."""
        empty = reading.model == ""
        limit = (
            MAX_CHANGES_OF_EMPTY_ENGINES if empty else MAX_CHANGES_OF_SERVING_ENGINES
        )
        under_way = [
            drain
            for drain in state.drains.values()
            if drain.reason is DrainReason.ORDER
            and self._is_in_reach(now, drain.upstream)
        ]
        return len(under_way) + self._started < limit

    def _is_in_reach(self, now: float, upstream: str) -> bool:
        row = self._rows.get(upstream, _EngineRow())
        return now <= row.read_at + LOST_READ_SECONDS

    def _propose_once(self, now: float, command: Command) -> None:
        """Propose a command unless the same was proposed a moment ago."""
        upstream = getattr(command, "upstream", "")
        key = (upstream, type(command))
        if now >= self._proposed_at.get(key, float("-inf")) + READ_SECONDS:
            self._proposed_at[key] = now
            self._propose(command)


def _matches(reading: EngineState, runner: Runner, model: Model) -> bool:
    wanted = (model.name, model.version, tuple(sorted(model.adapters)), runner.role)
    found = (
        reading.model,
        reading.version,
        tuple(sorted(reading.adapters)),
        reading.role,
    )
    return wanted == found
