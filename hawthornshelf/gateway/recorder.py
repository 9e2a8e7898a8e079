"""Record the outcomes of attempts and requests in state, log and metrics."""

from hawthornshelf.clock import Clock
from hawthornshelf.crashrecords import Standing
from hawthornshelf.gateway.context import RequestContext
from hawthornshelf.gateway.exchange import AttemptFailed, RunnerResponse
from hawthornshelf.gateway.loadcounter import LoadCounter
from hawthornshelf.gateway.quarantine import RequestBlocked
from hawthornshelf.gateway.runners import Runner, RunnerState, RunnerTable
from hawthornshelf.logs import write_log
from hawthornshelf.metrics import Metrics, RequestOutcome
from hawthornshelf.origins import Continuation

__all__ = ["Recorder"]

MISDIRECTED_REQUEST = 421
"""Status of a runner with another name or stage than the attempt expects."""

BUSY_SECONDS = 0.2
"""Time for which a runner that refused work gets none."""

MAX_LOGGED_PARTS = 16
MAX_LOGGED_ID = 64
FAILED_OUTCOMES = ("failed", "cut", "refused")


class Recorder:
    """Log each decision on a request and update the runners' state and the metrics."""

    def __init__(self, runners: RunnerTable, metrics: Metrics, clock: Clock) -> None:
        self._runners = runners
        self._metrics = metrics
        self._clock = clock
        self.loads = LoadCounter()

    def record_refusal(
        self, context: RequestContext, state: RunnerState, status: int
    ) -> None:
        """Record that a runner refused an attempt without running it.

        A misdirected request counts as a failure of the runner; a runner that refused
        for another reason gets no work for BUSY_SECONDS.
        """
        context.reason = f"runner refused with {status}"
        now = self._clock.monotonic()
        if status == MISDIRECTED_REQUEST:
            self._runners.record_failure(now, state)
        else:
            context.source = None
            state.down_until = max(state.down_until, now + BUSY_SECONDS)
            self._runners.refusals.record(now, state.runner.service, "refusal")
        write_log(
            "attempt-refused",
            **context.log_fields(),
            runner=state.runner.name,
            status=status,
            attempt=context.sends,
            list_age=self._list_age(),
        )

    def record_leaving_runner(
        self, context: RequestContext, state: RunnerState
    ) -> None:
        """Record that a runner chosen earlier is leaving and gets no more work."""
        write_log(
            "runner-left",
            **context.log_fields(),
            runner=state.runner.name,
            attempt=context.sends,
            list_age=self._list_age(),
        )

    def record_error_response(
        self, context: RequestContext, state: RunnerState, status: int
    ) -> None:
        """Record an error response that is dropped in favour of another attempt."""
        self._runners.record_error(self._clock.monotonic(), state)
        write_log(
            "attempt-failed",
            **context.log_fields(),
            runner=state.runner.name,
            status=status,
            attempt=context.sends,
        )

    def record_withheld(
        self, context: RequestContext, peer: str, response: RunnerResponse
    ) -> None:
        """Record a status that the caller doesn't get, as the request may have run."""
        context.reason = f"status {response.status} without a word that it has not run"
        write_log(
            "response-withheld",
            **context.log_fields(),
            peer=peer,
            status=response.status,
            attempt=context.sends,
        )

    def record_failure(
        self, context: RequestContext, state: RunnerState, error: AttemptFailed
    ) -> None:
        """Record an attempt without a complete response."""
        down = self._runners.record_failure(self._clock.monotonic(), state)
        context.reason = f"{error.step}: {error.reason}"
        write_log(
            "attempt-failed",
            **context.log_fields(),
            runner=state.runner.name,
            step=error.step,
            reason=error.reason,
            sent=error.sent,
            **_describe_response(context),
            attempt=context.sends,
            content=context.digest().hex(),
            resource=context.digests().resource.hex(),
            parts=_name_parts(context),
            boot=state.runner.boot,
            build=state.runner.build,
            down=round(down, 3),
            list_age=self._list_age(),
        )

    def record_resend(self, context: RequestContext, state: RunnerState) -> None:
        """Record that a request goes to one more runner, and on what ground."""
        write_log(
            "request-resent",
            **context.log_fields(),
            runner=state.runner.name,
            attempt=context.sends,
            **self._describe_ground(context),
            reason=context.reason,
        )

    def record_run_end(
        self,
        context: RequestContext,
        runner: Runner,
        end: str,
        calls: int,
        seconds: float,
    ) -> None:
        """Record what is known of the end of a run whose request is to go on."""
        self._metrics.record_run_end(end, seconds)
        write_log(
            "run-settled",
            **context.log_fields(),
            runner=runner.name,
            boot=runner.boot,
            outcome=end,
            calls=calls,
            seconds=round(seconds, 4),
            events=context.events,
            list_age=self._list_age(),
        )

    def record_late_end(self, request: str, runner: Runner, end: str) -> None:
        """Record the end of a run that had not been awaited."""
        write_log(
            "run-settled-late",
            request=request,
            runner=runner.name,
            boot=runner.boot,
            outcome=end,
        )

    def record_relay(self, context: RequestContext, peer: str) -> None:
        """Record that a request goes to another node, and on what ground."""
        write_log(
            "request-relayed",
            **context.log_fields(),
            peer=peer,
            attempt=context.sends,
            number=len(context.peers),
            unreached=context.unreached,
            last_resort=context.is_relayed,
            **self._describe_ground(context),
            routes=context.route_number,
            reason=context.reason,
        )

    def record_relay_response(
        self, context: RequestContext, peer: str, response: RunnerResponse
    ) -> None:
        """Record what another node answered, and whether that means not run."""
        write_log(
            "relay-answered",
            **context.log_fields(),
            peer=peer,
            status=response.status,
            not_run=response.not_run,
            stream=response.is_stream,
        )

    def record_relay_failure(
        self, context: RequestContext, peer: str, error: AttemptFailed
    ) -> None:
        """Record that another node gave no complete response."""
        context.reason = f"{error.step}: {error.reason}"
        write_log(
            "relay-failed",
            **context.log_fields(),
            peer=peer,
            step=error.step,
            reason=error.reason,
            sent=error.sent,
            **_describe_response(context),
        )

    def record_continuation(
        self, context: RequestContext, continuation: Continuation
    ) -> None:
        """Record whether a stream goes on, and what began it."""
        origin = context.origin
        write_log(
            "stream-continued",
            **context.log_fields(),
            resumes=context.inbound.resumes[:MAX_LOGGED_ID],
            outcome=continuation.name.lower(),
            service=origin.service if origin is not None else "",
            build=origin.build if origin is not None else "",
            events=context.events,
            list_age=self._list_age(),
        )

    def record_permit(
        self, context: RequestContext, is_granted: bool, seconds: float
    ) -> None:
        """Record the answer to a question for a permit, and the time that it took."""
        context.permits += is_granted
        context.permit_seconds += seconds
        self._metrics.count_permit(context.service, is_granted)

    def record_standing(
        self, context: RequestContext, state: RunnerState, standing: Standing
    ) -> None:
        """Record that a suspect is sent to a runner apart from others."""
        if standing.crashes:
            write_log(
                "suspect-sent",
                **context.log_fields(),
                content=context.digest().hex(),
                resource=context.digests().resource.hex(),
                runner=state.runner.name,
                boot=state.runner.boot,
                **self._describe(standing),
            )

    def record_blocked(self, context: RequestContext, blocked: RequestBlocked) -> None:
        """Record that a request may not run now."""
        write_log(
            "request-blocked",
            **context.log_fields(),
            content=context.digest().hex(),
            resource=context.digests().resource.hex(),
            outcome=blocked.outcome,
            parts=_name_parts(context),
            retry_after=round(blocked.retry_after, 3),
            **self._describe(blocked.standing),
        )

    def _describe(self, standing: Standing) -> dict[str, str | int | float]:
        age = self._clock.monotonic() - standing.last_at
        return {
            "crashes": ",".join(standing.crashes),
            "confirmed": standing.confirmed,
            "crash_age": round(age, 3),
        }

    def record_error(self, context: RequestContext, error: Exception) -> None:
        """Record an error of this node, which ends the request."""
        context.reason = repr(error)
        write_log(
            "request-error",
            level="error",
            **context.log_fields(),
            runner=context.last_runner,
            reason=context.reason,
        )

    def record_response(
        self, context: RequestContext, state: RunnerState, status: int
    ) -> None:
        """Record a complete response that the caller has received."""
        if status < 500:
            self._runners.record_success(state)
        else:
            self._runners.record_error(self._clock.monotonic(), state)
        self.record_end(context, "complete", status)

    def record_event(self, context: RequestContext) -> None:
        """Record one event of a stream, to measure the longest pause between two."""
        context.events += 1
        if context.events == 1:
            self.loads.record_first_token(context)
        now = self._clock.monotonic()
        if context.last_event_at:
            pause = now - context.last_event_at
            context.longest_pause = max(context.longest_pause, pause)
        context.last_event_at = now

    def record_end(
        self, context: RequestContext, outcome: str, status: int = 0
    ) -> None:
        """Record the end of a request in the metrics and the log."""
        self.loads.record_end(context, outcome)
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
            **context.log_fields(),
            route=context.route.name,
            outcome=outcome,
            status=status,
            runner=context.last_runner,
            build=self._find_build(context.last_runner),
            resumes=context.inbound.resumes[:MAX_LOGGED_ID],
            resume_after=context.inbound.resume_after[:MAX_LOGGED_ID],
            reader=context.prefiller,
            late=context.is_late,
            sends=context.sends,
            permits=context.permits,
            permit_seconds=round(context.permit_seconds, 4),
            waited=round(waited, 4),
            seconds=round(seconds, 4),
            first=round(first, 4),
            pause=round(context.longest_pause, 4),
            **_describe_response(context),
            budget=round(context.deadline - arrived, 3),
            routes=context.route_number,
            relayed=context.inbound.relayed_runs is not None,
            reason=context.reason,
            **context.describe_hedge(),
        )

    def record_unrouted(
        self, request: str, status: int, reason: str, routes: int | None, age: float
    ) -> None:
        """Record a request that was refused before it was routed.

        `age` is for how long the route document `routes` is in force here, in seconds;
        `routes` is None if none is.
        """
        write_log(
            "request-refused",
            request=request,
            status=status,
            reason=reason,
            routes="none" if routes is None else routes,
            routes_age=round(age, 3),
        )

    def _describe_ground(self, context: RequestContext) -> dict[str, str | float]:
        """Return what decides whether a request may be sent once more.

        `previous` is where it went last, `silent` how long ago its last event came.
        """
        now = self._clock.monotonic()
        since = context.last_event_at or context.inbound.arrived_at
        return {
            "previous": context.last_runner,
            "silent": round(now - since, 4),
            "runs": context.runs,
            "may_have_run": context.may_have_run,
            "repeatable": context.is_repeatable,
            "backup": context.backup.runner.name if context.backup else "",
            "copy": context.source.address if context.source else "",
            "after": context.last_event_id[:MAX_LOGGED_ID],
        }

    def _find_build(self, runner: str) -> str:
        state = self._runners.find(runner)
        return state.runner.build if state is not None else ""

    def _list_age(self) -> float:
        return round(self._clock.monotonic() - self._runners.read_at, 3)


def _describe_response(context: RequestContext) -> dict[str, str | int]:
    """Return how the last response ended, to tell a whole one from a broken one."""
    response = context.response
    return {
        "framing": response.framing.value if response else "",
        "connection": response.connection_end if response else "",
        "events": context.events,
        "unfinished": context.unfinished_bytes,
    }


def _name_parts(context: RequestContext) -> str:
    """Return the digests of the prompt's shared segments, the first ones of many."""
    prompt = context.inbound.prompt
    digests = prompt.shared_digests() if prompt is not None else ()
    return ",".join(digests[:MAX_LOGGED_PARTS])
