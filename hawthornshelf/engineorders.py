"""Reconcile engines with the declared configuration, one order at a time."""

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

POLL_SECONDS = 1.0
MAX_STATE_AGE_SECONDS = 3.0
READ_TIMEOUT_SECONDS = 5.0
NEVER = float("-inf")
MAX_SERVING_CHANGES = 1
"""Most changes in progress at a time, if the next engine to change has a model."""

MAX_EMPTY_CHANGES = 3
"""Most changes in progress at a time, if the next engine to change has no model."""


class _EngineRow(NamedTuple):
    """Store what this leader knows of one engine; times are monotonic seconds.

    `read_at` is when the state was requested. An order may still arrive at the
    engine until `order_pending_until`.
    """

    engine_state: EngineState | None = None
    read_at: float = NEVER
    polled_at: float = NEVER
    poll_pending: bool = False
    order_pending_until: float = NEVER


Propose = Callable[[Command], None]


class OrderReconciler:
    """Compare engine states with the configuration while this replica leads.

    An engine that differs is drained, gets an order once no node has requests in
    flight to it, and is released when its state matches.
    """

    def __init__(self, propose: Propose, order_timeout: float) -> None:
        self._propose = propose
        self._order_timeout = order_timeout
        self._rows: dict[str, _EngineRow] = {}
        self._proposed_at: dict[tuple[str, type], float] = {}
        self._changes_started = 0

    def reset(self) -> None:
        """Discard all states, so that a new leader reads before it orders."""
        self._rows.clear()
        self._proposed_at.clear()

    def on_engine_state(self, now: float, event: EngineStateRead) -> None:
        """Record an engine's state, or that it could not be read."""
        row = self._rows.get(event.upstream)
        if row is None:
            return
        row = row._replace(poll_pending=False)
        if event.engine_state is not None:
            row = row._replace(engine_state=event.engine_state, read_at=row.polled_at)
        self._rows[event.upstream] = row

    def on_order_ended(self, now: float, event: OrderEnded) -> Effect:
        """Record that an order can't arrive any more, if the engine responded to it.

        An order that was not sent in time counts as responded to.
        """
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
        unfenced_from: float,
    ) -> list[Effect]:
        """Take the next step for each engine; send no orders without the lease.

        Engines that don't check fencing tokens get orders only from `unfenced_from`
        on, in monotonic seconds.
        """
        runners = state.configuration.runners()
        models = state.configuration.models()
        self._rows = {n: self._rows.get(n, _EngineRow()) for n in models}
        self._changes_started = 0
        effects: list[Effect] = []
        for name, model in models.items():
            runner = runners[name]
            effects.extend(self._poll(now, runner))
            orders_from = NEVER if runner.checks_fencing else unfenced_from
            if now >= orders_from and now < lease_until:
                effects.extend(
                    self._advance(now, state, runner, model, lease_until, orders_from)
                )
        self._release_removed(now, state, state.configuration)
        return effects

    def _poll(self, now: float, runner: Runner) -> list[Effect]:
        row = self._rows[runner.name]
        wait = READ_TIMEOUT_SECONDS if row.poll_pending else POLL_SECONDS
        if now < row.polled_at + wait:
            return []
        self._rows[runner.name] = row._replace(polled_at=now, poll_pending=True)
        return [ReadEngineState(runner.name, runner.address)]

    def _advance(
        self,
        now: float,
        state: SharedState,
        runner: Runner,
        model: Model,
        lease_until: float,
        orders_from: float,
    ) -> list[Effect]:
        """Take the next step for an engine, if its state is fresh.

        A fresh state was requested once no earlier order could still arrive, and at
        most MAX_STATE_AGE_SECONDS ago.
        """
        row = self._rows[runner.name]
        pending_until = max(row.order_pending_until, orders_from)
        is_fresh = (
            pending_until < row.read_at and now <= row.read_at + MAX_STATE_AGE_SECONDS
        )
        if row.engine_state is None or not is_fresh or row.engine_state.changing:
            return []
        drain = state.find_drain(runner.name, DrainReason.ORDER)
        order = state.orders.get(runner.name)
        if _matches(row.engine_state, runner, model):
            self._finish_change(now, state, runner.name)
            return []
        if drain is None:
            if self._may_start_change(now, state, row.engine_state):
                self._changes_started += 1
                self._propose_once(now, DrainUpstream(runner.name, DrainReason.ORDER))
            return []
        if state.missing_acks(drain):
            return []
        target = PlaceOrder(
            runner.name, model.name, model.version, model.adapters, runner.role
        )
        failed = order is not None and row.engine_state.last_order == order.order
        if order is None or order.finished or failed or order.command != target:
            self._propose_once(now, target)
            return []
        return self._send_order(now, runner, order, lease_until)

    def _send_order(
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

    def _finish_change(self, now: float, state: SharedState, upstream: str) -> None:
        order = state.orders.get(upstream)
        drain = state.find_drain(upstream, DrainReason.ORDER)
        if order is not None and not order.finished:
            self._propose_once(now, FinishOrder(upstream, order.order))
        elif drain is not None:
            self._propose_once(now, ReleaseUpstream(upstream, DrainReason.ORDER))

    def _release_removed(
        self, now: float, state: SharedState, configuration: Configuration
    ) -> None:
        """Release the drains of upstreams that are no longer declared."""
        declared = configuration.runners()
        for drain in list(state.drains.values()):
            if drain.upstream not in declared:
                self._propose_once(now, ReleaseUpstream(drain.upstream, drain.reason))

    def _may_start_change(
        self, now: float, state: SharedState, engine_state: EngineState
    ) -> bool:
        """Return whether another change may start.

        Limits the changes in progress; unreachable engines don't count.
        """
        empty = engine_state.model == ""
        limit = MAX_EMPTY_CHANGES if empty else MAX_SERVING_CHANGES
        in_progress = [
            drain
            for drain in state.drains.values()
            if drain.reason is DrainReason.ORDER
            and self._is_reachable(now, drain.upstream)
        ]
        return len(in_progress) + self._changes_started < limit

    def _is_reachable(self, now: float, upstream: str) -> bool:
        row = self._rows.get(upstream, _EngineRow())
        return now <= row.read_at + READ_TIMEOUT_SECONDS

    def _propose_once(self, now: float, command: Command) -> None:
        """Propose a command unless the same kind was proposed within POLL_SECONDS."""
        upstream = getattr(command, "upstream", "")
        key = (upstream, type(command))
        if now >= self._proposed_at.get(key, float("-inf")) + POLL_SECONDS:
            self._proposed_at[key] = now
            self._propose(command)


def _matches(engine_state: EngineState, runner: Runner, model: Model) -> bool:
    target = (model.name, model.version, tuple(sorted(model.adapters)), runner.role)
    actual = (
        engine_state.model,
        engine_state.version,
        tuple(sorted(engine_state.adapters)),
        engine_state.role,
    )
    return target == actual
