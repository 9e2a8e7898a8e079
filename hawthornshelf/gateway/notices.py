"""Act on what runners say of themselves in their answers."""

from hawthornshelf.clock import Clock
from hawthornshelf.gateway.exchange import (
    LeavingNotice,
    PauseNotice,
    RateLimitNotice,
    RunnerNotice,
)
from hawthornshelf.gateway.ratelimiter import RateLimiter
from hawthornshelf.gateway.runners import RunnerTable
from hawthornshelf.logs import write_log

__all__ = ["NoticeRecorder"]


class NoticeRecorder:
    """Record runners' notices where runners are chosen."""

    def __init__(
        self, runners: RunnerTable, limiter: RateLimiter, clock: Clock
    ) -> None:
        self._runners = runners
        self._limiter = limiter
        self._clock = clock

    def record(self, notice: RunnerNotice) -> None:
        """Record one notice of a runner."""
        match notice:
            case RateLimitNotice():
                self._limiter.record(notice)
            case LeavingNotice(runner, answered_at):
                now = self._clock.monotonic()
                self._runners.departures.learn(now, runner.key, answered_at)
            case PauseNotice():
                self._record_pause(notice)

    def _record_pause(self, notice: PauseNotice) -> None:
        """Record a pause; a boot that is no longer listed gets no requests anyway."""
        runner = notice.runner
        until = self._runners.record_pause(runner, notice.answered_at, notice.seconds)
        if until is not None:
            write_log(
                "runner-paused",
                runner=runner.name,
                boot=runner.boot,
                named=round(notice.seconds, 3),
                seconds=round(until - self._clock.monotonic(), 3),
            )
