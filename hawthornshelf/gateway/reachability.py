"""Tell whether this node is cut off from all runners, by what its attempts show."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

from hawthornshelf.clock import Clock
from hawthornshelf.gateway.runners import Runner
from hawthornshelf.logs import write_log

__all__ = ["MIN_UNREACHED", "RunnerReachability"]

MIN_UNREACHED = 4
"""Runners out of reach, without an answer of any, that show that a node is cut off.

Fewer may have crashed together.
"""

EVIDENCE_SECONDS = 5.0
"""Time for which a failure to reach a runner counts."""

SILENCE_SECONDS = 1.0
"""Longest wait for an answer after which a runner is probed if none has answered.

Requests that come late wait for as long in the queue of an engine.
"""


class RunnerReachability:
    """Count the runners out of reach since the last answer of any of them.

    Attempts that wait for an answer are given up as soon as the node is cut off, if
    they may be sent again. `on_regained` is called once it no longer is.
    """

    def __init__(self, clock: Clock, on_regained: Callable[[], None]) -> None:
        self._clock = clock
        self._on_regained = on_regained
        self._unreached: dict[str, float] = {}
        self._answered_at = float("-inf")
        self._cut_at: float | None = None
        self._waiting: dict[asyncio.Timeout, None] = {}
        self._sent_at: dict[object, float] = {}

    @property
    def is_cut(self) -> bool:
        """Return whether this node reaches no runner."""
        return self._cut_at is not None

    def count_probes(self) -> int:
        """Return how many runners to probe now to tell if this node is cut off.

        Silence alone is a reason for one.
        """
        now = self._clock.monotonic()
        self._forget_old(now)
        if self.is_cut or self._unreached:
            return MIN_UNREACHED
        oldest = min(self._sent_at.values(), default=now)
        is_silent = now > max(oldest, self._answered_at) + SILENCE_SECONDS
        return int(is_silent and oldest < now)

    def record_answer(self) -> None:
        """Record that a runner has answered."""
        self._answered_at = self._clock.monotonic()
        self._unreached.clear()
        if self._cut_at is not None:
            seconds = self._answered_at - self._cut_at
            self._cut_at = None
            write_log("runners-regained", seconds=round(seconds, 3))
            self._on_regained()

    def record_failure(self, runner: Runner, listed: int) -> None:
        """Record that a runner is out of reach, one of `listed` runners."""
        now = self._clock.monotonic()
        self._forget_old(now)
        self._unreached[runner.key] = now
        if self.is_cut or len(self._unreached) < min(MIN_UNREACHED, listed):
            return
        self._cut_at = now
        write_log(
            "runners-lost",
            runners=",".join(self._unreached),
            answer_age=round(min(now - self._answered_at, 1e6), 3),
        )
        loop_time = asyncio.get_running_loop().time()
        for timeout in self._waiting:
            if not timeout.expired():
                timeout.reschedule(loop_time)

    @contextlib.contextmanager
    def watch(self) -> Iterator[None]:
        """Watch an attempt that waits for an answer."""
        attempt = object()
        self._sent_at[attempt] = self._clock.monotonic()
        try:
            yield
        finally:
            del self._sent_at[attempt]

    @contextlib.contextmanager
    def end_early(self, timeout: asyncio.Timeout) -> Iterator[None]:
        """Let a time limit end at once if this node is cut off meanwhile."""
        self._waiting[timeout] = None
        try:
            yield
        finally:
            del self._waiting[timeout]

    def _forget_old(self, now: float) -> None:
        oldest = now - EVIDENCE_SECONDS
        self._unreached = {k: at for k, at in self._unreached.items() if at > oldest}
