"""Count each request of a workspace once, when it begins to run.

Requests are sent again, relayed to other nodes and continued, while runners refuse them
or fail; the platform is told of one request all the same.
"""

from hawthornshelf.clock import Clock
from hawthornshelf.gateway.context import RequestContext
from hawthornshelf.gateway.exchange import AttemptFailed, RunnerResponse
from hawthornshelf.gateway.routes import RetryPolicy
from hawthornshelf.usagesender import UsageSender

__all__ = ["RequestUsage"]


class RequestUsage:
    """Count requests at the node to which their callers sent them.

    A stream counts with its first event, any other request at the time when it went to
    the runner that accepted it. Without a sender nothing is counted.
    """

    def __init__(self, sender: UsageSender | None, clock: Clock) -> None:
        self._sender = sender
        self._clock = clock

    def hand_over(self, context: RequestContext) -> None:
        """Note that a request goes to a runner, or to another node."""
        if self._sender is None or context.usage_hold or not self._counts(context):
            return
        if not _is_stream(context):
            context.usage_hold = self._sender.counter.hold(
                self._time(self._sender), context.workspace or ""
            )

    def settle(self, context: RequestContext, response: RunnerResponse | None) -> None:
        """Count a request that was handed over, unless the response refuses it.

        Without a response it was broken off, and the runner may have accepted it, as
        may one of two runners to which it went.
        """
        if response is not None and response.not_run and not context.lost_runs:
            self._withdraw(context)
            return
        self._accept(context)
        is_whole = response is not None and not response.is_stream
        if is_whole and response is not None and response.status < 300:
            self.begin(context)

    def settle_failure(self, context: RequestContext, error: AttemptFailed) -> None:
        """Count a request whose connection failed, if any of it was sent."""
        if error.sent or context.lost_runs:
            self._accept(context)
        else:
            self._withdraw(context)

    def begin(self, context: RequestContext) -> None:
        """Count a request whose first event came, unless it is counted already."""
        if self._sender is not None and self._counts(context):
            context.is_counted = True
            at = self._time(self._sender)
            self._sender.counter.record(at, context.workspace or "")

    def _accept(self, context: RequestContext) -> None:
        if self._sender is not None and context.usage_hold:
            self._sender.counter.accept(context.usage_hold)
            context.usage_hold, context.is_counted = 0, True

    def _withdraw(self, context: RequestContext) -> None:
        """Forget a refused request; one that was refused late is counted already."""
        if self._sender is not None and context.usage_hold:
            was_held = self._sender.counter.withdraw(context.usage_hold)
            context.usage_hold, context.is_counted = 0, not was_held

    def _counts(self, context: RequestContext) -> bool:
        """Return whether a request is to be counted here and is not yet.

        One that another node relayed is counted there.
        """
        is_relayed = context.inbound.relayed_runs is not None
        return bool(context.workspace) and not context.is_counted and not is_relayed

    def _time(self, sender: UsageSender) -> float:
        return sender.time.at(self._clock.monotonic())


def _is_stream(context: RequestContext) -> bool:
    route = context.route
    return route.is_generation or route.retry_policy is RetryPolicy.STREAM
