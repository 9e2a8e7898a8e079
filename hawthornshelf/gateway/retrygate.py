"""Decide whether a request may be sent once more, within the retry budget."""

from collections.abc import Callable

from hawthornshelf.clock import Clock
from hawthornshelf.gateway.budget import RetryBudget
from hawthornshelf.gateway.context import RequestContext
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
        now, nodes = self._clock.monotonic(), self._count_nodes()
        return self._budget.may_spend(now, context.service, nodes)

    def spend(self, context: RequestContext) -> None:
        """Count one more send."""
        self._budget.spend(self._clock.monotonic(), context.service)
