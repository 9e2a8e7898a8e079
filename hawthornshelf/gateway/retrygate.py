"""Decide whether a request may be sent once more, within the retry budget."""

from collections.abc import Callable

from hawthornshelf.clock import Clock
from hawthornshelf.gateway.budget import RetryBudget
from hawthornshelf.gateway.context import RequestContext, ReservedSend
from hawthornshelf.gateway.recorder import Recorder
from hawthornshelf.gateway.runners import RunnerTable

__all__ = ["RetryGate"]


class RetryGate:
    """Apply the rules of a request's route and this node's share of the budget.

    `count_nodes` returns how many nodes share the budget, 0 while that is unknown.
    """

    def __init__(
        self,
        budget: RetryBudget,
        count_nodes: Callable[[], int],
        runners: RunnerTable,
        recorder: Recorder,
        clock: Clock,
    ) -> None:
        self._budget = budget
        self._count_nodes = count_nodes
        self._runners = runners
        self._recorder = recorder
        self._clock = clock

    def may_retry(self, context: RequestContext) -> bool:
        """Return whether a request without a complete response may be sent again."""
        now = self._clock.monotonic()
        backup = context.backup
        if backup is not None and not self._runners.accepts_work(now, backup):
            self._recorder.record_leaving_runner(context, backup)
            context.backup = None
        if not context.may_retry(now):
            return False
        allowed = self.may_spend(context)
        if not allowed:
            context.reason += "; retry budget is spent"
        return allowed

    def may_spend(self, context: RequestContext) -> bool:
        """Return whether the budget allows one more send."""
        if self._has_reserved(context):
            return True
        return self.may_resend(context.service)

    def may_resend(self, service: str) -> bool:
        """Return whether the budget allows one more send to a service."""
        now, nodes = self._clock.monotonic(), self._count_nodes()
        return self._budget.may_spend(now, service, nodes)

    def reserve(self, context: RequestContext) -> bool:
        """Count one more send before it takes place; return whether that is allowed."""
        if not self.may_spend(context):
            return False
        if not self._has_reserved(context):
            self.release(context)
            now = self._clock.monotonic()
            self._budget.spend(now, context.service)
            context.reserved_send = ReservedSend(context.service, now)
        return True

    def spend(self, context: RequestContext) -> None:
        """Count one more send, unless it was reserved."""
        if self._has_reserved(context):
            context.reserved_send = None
        else:
            self._budget.spend(self._clock.monotonic(), context.service)

    def release(self, context: RequestContext) -> None:
        """Give back a reserved send that did not take place."""
        reserved = self.take(context)
        if reserved is not None:
            self.give_back(reserved)

    def take(self, context: RequestContext) -> ReservedSend | None:
        """Return the reserved send of a request, which stays counted, or None."""
        reserved, context.reserved_send = context.reserved_send, None
        return reserved

    def give_back(self, reserved: ReservedSend) -> None:
        """Take back a send that was counted and did not take place."""
        self._budget.give_back(reserved.service, reserved.at)

    def _has_reserved(self, context: RequestContext) -> bool:
        reserved = context.reserved_send
        return reserved is not None and reserved.service == context.service
