"""Note what became of attempts and requests: in tables, the log and the metrics."""

from hawthornshelf.clock import Clock
from hawthornshelf.gateway.context import RequestContext
from hawthornshelf.gateway.exchange import AttemptFailed
from hawthornshelf.gateway.runners import RunnerState, RunnerTable
from hawthornshelf.logs import write_log
from hawthornshelf.metrics import Metrics, RequestOutcome

__all__ = ["Recorder"]

MISDIRECTED_REQUEST = 421
"""The status of a runner that is another one, or in another stage, than expected."""

BUSY_SECONDS = 0.2
"""How long a runner that refused work is left out."""

FAILED_OUTCOMES = ("failed", "cut", "refused")


class Recorder:
    """Write one line for each decision on a request, and learn from what it met."""

    def __init__(self, runners: RunnerTable, metrics: Metrics, clock: Clock) -> None:
        self._runners = runners
        self._metrics = metrics
        self._clock = clock

    def record_refusal(
        self, context: RequestContext, state: RunnerState, status: int
    ) -> None:
        """Note that a runner refused an attempt without running it."""
        context.reason = f"runner refused with {status}"
        now = self._clock.monotonic()
        if status == MISDIRECTED_REQUEST:
            self._runners.record_failure(now, state)
        else:
            context.source = None
            state.down_until = max(state.down_until, now + BUSY_SECONDS)
        write_log(
            "attempt-refused",
            request=context.inbound.request_id,
            runner=state.runner.name,
            status=status,
            attempt=context.sends,
            list_age=self._list_age(),
        )

    def record_leaving_runner(
        self, context: RequestContext, state: RunnerState
    ) -> None:
        """Note that a runner that was chosen before leaves, and gets nothing more."""
        write_log(
            "runner-left",
            request=context.inbound.request_id,
            runner=state.runner.name,
            attempt=context.sends,
            list_age=self._list_age(),
        )

    def record_error_response(
        self, context: RequestContext, state: RunnerState, status: int
    ) -> None:
        """Note an answer that is given up for another attempt."""
        self._runners.record_error(self._clock.monotonic(), state)
        write_log(
            "attempt-failed",
            request=context.inbound.request_id,
            runner=state.runner.name,
            status=status,
            attempt=context.sends,
        )

    def record_failure(
        self, context: RequestContext, state: RunnerState, error: AttemptFailed
    ) -> None:
        """Note an attempt without a whole answer."""
        down = self._runners.record_failure(self._clock.monotonic(), state)
        context.reason = f"{error.step}: {error.reason}"
        write_log(
            "attempt-failed",
            request=context.inbound.request_id,
            runner=state.runner.name,
            step=error.step,
            reason=error.reason,
            sent=error.sent,
            attempt=context.sends,
            down=round(down, 3),
            list_age=self._list_age(),
        )

    def record_response(
        self, context: RequestContext, state: RunnerState, status: int
    ) -> None:
        """Note a whole answer that the caller has."""
        if status < 500:
            self._runners.record_success(state)
        else:
            self._runners.record_error(self._clock.monotonic(), state)
        self.record_end(context, "complete", status)

    def record_event(self, context: RequestContext) -> None:
        """Note one event of a stream, for the longest pause between two."""
        now = self._clock.monotonic()
        if context.last_event_at:
            pause = now - context.last_event_at
            context.longest_pause = max(context.longest_pause, pause)
        context.last_event_at = now

    def record_end(
        self, context: RequestContext, outcome: str, status: int = 0
    ) -> None:
        """Note the end of a request."""
        arrived = context.inbound.arrived_at
        seconds = self._clock.monotonic() - arrived
        wall = self._clock.now().timestamp()
        work = context.route.retry_policy.value
        self._metrics.record(
            wall, RequestOutcome(work, outcome, seconds, outcome in FAILED_OUTCOMES)
        )
        first = context.first_byte_at - arrived if context.first_byte_at else 0.0
        waited = context.reserved_at - arrived if context.reserved_at else 0.0
        write_log(
            "request-ended",
            request=context.inbound.request_id,
            route=context.route.name,
            outcome=outcome,
            status=status,
            runner=context.last_runner,
            reader=context.prefiller,
            late=context.is_late,
            sends=context.sends,
            waited=round(waited, 4),
            seconds=round(seconds, 4),
            first=round(first, 4),
            pause=round(context.longest_pause, 4),
            budget=round(context.deadline - arrived, 3),
            routes=context.route_number,
            reason=context.reason,
        )

    def record_unrouted(
        self, request: str, status: int, reason: str, routes: int
    ) -> None:
        """Note a request that found no route here."""
        write_log(
            "request-refused",
            request=request,
            status=status,
            reason=reason,
            routes=routes,
        )

    def _list_age(self) -> float:
        return round(self._clock.monotonic() - self._runners.read_at, 3)
