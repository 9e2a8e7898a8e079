"""Decide when a request is taken from a runner that has not answered yet."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from typing import NamedTuple

from hawthornshelf.clock import Clock
from hawthornshelf.gateway.context import RequestContext
from hawthornshelf.gateway.durations import MARGIN, RouteDurations
from hawthornshelf.gateway.retrygate import RetryGate

__all__ = ["RESPONSE_TIMEOUT_SHARE", "SilenceLimits", "WaitingAttempt"]

RESPONSE_TIMEOUT_SHARE = 0.4
"""Share of the remaining time for which a runner may be silent at least."""

CHECK_SECONDS = 0.1
"""Time after which a request that waits on is looked at again."""


class WaitingAttempt(NamedTuple):
    """Describe an attempt that waits for an answer.

    `answered_at` returns when its runner last answered anything, `has_alternative`
    whether another one would take the request now.
    """

    context: RequestContext
    sent_at: float
    answered_at: Callable[[], float]
    has_alternative: Callable[[], bool]


class SilenceLimits:
    """End the wait for a runner only if something better is to be had.

    That is a retry that is reserved, at another runner with room, with time left for
    what such requests take. A runner that has answered others since is not silent: it
    has as long as requests of the route are known to take. The first answers are those
    of the shortest requests, so for the time of one request nothing is known by them.
    """

    def __init__(self, retries: RetryGate, clock: Clock) -> None:
        self._retries = retries
        self._clock = clock
        self._waits = RouteDurations()

    def record_answer(self, attempt: WaitingAttempt) -> None:
        """Record that an attempt has its answer."""
        now = self._clock.monotonic()
        self._waits.record(now, attempt.context.route.name, now - attempt.sent_at)

    def retain(self, routes: set[str]) -> None:
        """Forget how long requests of all other routes take."""
        self._waits.retain(routes)

    @contextlib.contextmanager
    def watch(self, attempt: WaitingAttempt, limit: asyncio.Timeout) -> Iterator[None]:
        """Let a time limit end once the attempt is to be given up."""
        context = attempt.context
        loop = asyncio.get_running_loop()
        seconds_left = context.deadline - attempt.sent_at
        share = max(seconds_left * RESPONSE_TIMEOUT_SHARE, context.route.target)
        first = min(share, seconds_left * (1 - RESPONSE_TIMEOUT_SHARE))
        timer: asyncio.TimerHandle

        def check() -> None:
            nonlocal timer
            if not limit.expired() and self._reserve_better(attempt):
                limit.reschedule(loop.time())
            else:
                timer = loop.call_later(CHECK_SECONDS, check)

        timer = loop.call_later(first, check)
        try:
            yield
        finally:
            timer.cancel()

    def _reserve_better(self, attempt: WaitingAttempt) -> bool:
        """Reserve a retry if one may serve the request sooner than its runner."""
        now, route = self._clock.monotonic(), attempt.context.route.name
        deadline = attempt.context.deadline
        observed = self._waits.seconds_observed(now, route)
        if 0 < observed < deadline - attempt.sent_at:
            return False
        longest = MARGIN * self._waits.longest(now, route)
        is_sound = attempt.answered_at() > attempt.sent_at
        if is_sound and now < attempt.sent_at + longest:
            return False
        if deadline - now < self._waits.mean(now, route):
            return False
        return attempt.has_alternative() and self._retries.reserve(attempt.context)
