"""Choose runners that take a request now, within the rates that they name."""

from collections.abc import Sequence, Set
from typing import NamedTuple

from hawthornshelf.clock import Clock
from hawthornshelf.gateway.context import RequestContext
from hawthornshelf.gateway.quarantine import RUN_STAGES
from hawthornshelf.gateway.ratelimiter import RateLimiter
from hawthornshelf.gateway.recorder import Recorder
from hawthornshelf.gateway.runners import RunnerState, RunnerTable, Stage
from hawthornshelf.gateway.scheduler import AdmissionRejected

__all__ = ["LimitedEngines", "RunnerChooser"]

PERMIT_WAIT_SHARE = 0.3
"""Share of the remaining time for which a request waits for a permit at most."""

PERMIT_TARGET_SHARE = 0.5
"""Share of a route's target for which its requests wait for a permit at most.

Where more come than the runners take, the wait is as long as is allowed: a longer one
would make all of them late, and serve no more.
"""


class LimitedEngines(NamedTuple):
    """Name the engines that a request may not use for want of a permit.

    With `has_permit` it has one for the only decoding engine that is left.
    """

    excluded: frozenset[str]
    has_permit: bool = False


class RunnerChooser:
    """Choose runners without a rate limit first, and others with a permit.

    A request waits for a permit only if no other runner could serve it. Permits are
    logged and counted with the request.
    """

    def __init__(
        self,
        runners: RunnerTable,
        limiter: RateLimiter,
        recorder: Recorder,
        clock: Clock,
    ) -> None:
        self._runners = runners
        self._limiter = limiter
        self._recorder = recorder
        self._clock = clock

    async def choose_plain(
        self, context: RequestContext, excluded: Set[str]
    ) -> RunnerState:
        """Return a runner of a plain service that takes the request now.

        Raise AdmissionRejected if there is no runner, or no permit in time.
        """
        service = context.service
        refused: set[str] = set()
        while True:
            busy = self._limiter.exhausted(self._runners.in_service(service))
            now = self._clock.monotonic()
            state = self._runners.choose_plain(now, service, excluded | busy | refused)
            if state is None:
                return await self._await_any(context, (Stage.MIXED,), excluded)
            if await self.acquire(context, state):
                return state
            refused.add(state.runner.name)

    async def exclude_limited(
        self, context: RequestContext, excluded: Set[str]
    ) -> LimitedEngines:
        """Return the engines that a request may not use for want of a permit.

        If that leaves none to run it, wait for a permit for one of them. Raise
        AdmissionRejected if there is none in time.
        """
        service = context.service
        states = self._runners.in_service(service)
        busy = self._limiter.exhausted(states)
        now = self._clock.monotonic()
        if not busy or self._runners.available(
            now, service, RUN_STAGES, excluded | busy
        ):
            return LimitedEngines(busy)
        run = await self._await_any(context, RUN_STAGES, excluded)
        engines = {s.runner.name for s in states if s.runner.stage in RUN_STAGES}
        return LimitedEngines((busy | engines) - {run.runner.name}, has_permit=True)

    async def acquire(
        self, context: RequestContext, state: RunnerState, max_wait: float = 0.0
    ) -> bool:
        """Return whether a runner takes a request, within `max_wait` seconds."""
        if not self._limiter.is_limited(state.runner):
            return True
        asked_at = self._clock.monotonic()
        is_granted = await self._limiter.acquire(state.runner, max_wait)
        seconds = self._clock.monotonic() - asked_at
        self._recorder.record_permit(context, is_granted, seconds)
        return is_granted

    async def await_permit(
        self, context: RequestContext, states: Sequence[RunnerState]
    ) -> RunnerState:
        """Return the first of some runners to take a request.

        Raise AdmissionRejected if none does in time.
        """
        first = self._limiter.first_free(states)
        if first is None:
            raise AdmissionRejected("no runner", 0.0)
        if await self.acquire(context, first, self._max_wait(context)):
            return first
        raise AdmissionRejected("rate limit", self._limiter.retry_after(states))

    async def _await_any(
        self, context: RequestContext, stages: tuple[Stage, ...], excluded: Set[str]
    ) -> RunnerState:
        now = self._clock.monotonic()
        states = self._runners.available(now, context.service, stages, excluded)
        return await self.await_permit(context, self._limiter.limited(states))

    def _max_wait(self, context: RequestContext) -> float:
        """Return how long a request may wait for a permit, in seconds.

        Less urgent requests wait less, so that permits go to urgent ones first.
        """
        seconds_left = context.deadline - self._clock.monotonic()
        seconds = min(
            PERMIT_WAIT_SHARE * seconds_left, PERMIT_TARGET_SHARE * context.route.target
        )
        return max(0.0, seconds / (1 + context.route.priority))
