"""Note what became of attempts and requests: in tables, the log and the metrics."""

from hawthornshelf.clock import Clock
from hawthornshelf.gateway.course import Course
from hawthornshelf.gateway.exchange import AttemptFailed
from hawthornshelf.gateway.runners import RunnerState, RunnerTable
from hawthornshelf.logs import write_log
from hawthornshelf.metrics import Metrics, RequestOutcome

__all__ = ["Recorder"]

WRONG_RUNNER = 421
"""The status of a runner that is another one, or in another stage, than expected."""

BUSY_SECONDS = 0.2
"""How long a runner that refused work is left out."""

FAULTS = ("failed", "cut", "refused")


class Recorder:
    """Write one line for each decision on a request, and learn from what it met."""

    def __init__(self, runners: RunnerTable, metrics: Metrics, clock: Clock) -> None:
        self._runners = runners
        self._metrics = metrics
        self._clock = clock

    def note_refusal(self, course: Course, state: RunnerState, status: int) -> None:
        """Note that a runner refused an attempt without running it."""
        course.reason = f"runner refused with {status}"
        now = self._clock.monotonic()
        if status == WRONG_RUNNER:
            self._runners.note_failed(now, state)
        else:
            course.source = None
            state.down_until = max(state.down_until, now + BUSY_SECONDS)
        write_log(
            "attempt-refused",
            request=course.inbound.request,
            runner=state.runner.name,
            status=status,
            attempt=course.sends,
            list_age=self._list_age(),
        )

    def note_left(self, course: Course, state: RunnerState) -> None:
        """Note that a runner that was chosen before leaves, and gets nothing more."""
        write_log(
            "runner-left",
            request=course.inbound.request,
            runner=state.runner.name,
            attempt=course.sends,
            list_age=self._list_age(),
        )

    def note_bad_answer(self, course: Course, state: RunnerState, status: int) -> None:
        """Note an answer that is given up for another attempt."""
        self._runners.note_bad(self._clock.monotonic(), state)
        write_log(
            "attempt-failed",
            request=course.inbound.request,
            runner=state.runner.name,
            status=status,
            attempt=course.sends,
        )

    def note_failure(
        self, course: Course, state: RunnerState, error: AttemptFailed
    ) -> None:
        """Note an attempt without a whole answer."""
        down = self._runners.note_failed(self._clock.monotonic(), state)
        course.reason = f"{error.step}: {error.reason}"
        write_log(
            "attempt-failed",
            request=course.inbound.request,
            runner=state.runner.name,
            step=error.step,
            reason=error.reason,
            sent=error.sent,
            attempt=course.sends,
            down=round(down, 3),
            list_age=self._list_age(),
        )

    def note_answered(self, course: Course, state: RunnerState, status: int) -> None:
        """Note a whole answer that the caller has."""
        if status < 500:
            self._runners.note_good(state)
        else:
            self._runners.note_bad(self._clock.monotonic(), state)
        self.note_end(course, "complete", status)

    def note_event(self, course: Course) -> None:
        """Note one event of a stream, for the longest pause between two."""
        now = self._clock.monotonic()
        if course.last_event_at:
            pause = now - course.last_event_at
            course.longest_pause = max(course.longest_pause, pause)
        course.last_event_at = now

    def note_end(self, course: Course, outcome: str, status: int = 0) -> None:
        """Note the end of a request."""
        arrived = course.inbound.arrived_at
        seconds = self._clock.monotonic() - arrived
        wall = self._clock.now().timestamp()
        work = course.route.repeat.value
        self._metrics.record(
            wall, RequestOutcome(work, outcome, seconds, outcome in FAULTS)
        )
        first = course.first_at - arrived if course.first_at else 0.0
        waited = course.granted_at - arrived if course.granted_at else 0.0
        write_log(
            "request-ended",
            request=course.inbound.request,
            route=course.route.name,
            outcome=outcome,
            status=status,
            runner=course.last_runner,
            reader=course.reader,
            late=course.is_late,
            sends=course.sends,
            waited=round(waited, 4),
            seconds=round(seconds, 4),
            first=round(first, 4),
            pause=round(course.longest_pause, 4),
            budget=round(course.deadline - arrived, 3),
            routes=course.routes,
            reason=course.reason,
        )

    def note_refused_early(
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
