"""Make sure that a run has ended before its request goes on elsewhere."""

import asyncio
import contextlib
from enum import StrEnum

from hawthornshelf.clock import Clock
from hawthornshelf.gateway.cacherelease import CacheReleaser
from hawthornshelf.gateway.context import OpenRun, RequestContext
from hawthornshelf.gateway.exchange import (
    AttemptFailed,
    KvCacheHandle,
    RunnerClient,
    RunnerReplaced,
    RunNotEnded,
    StoppedRun,
)
from hawthornshelf.gateway.ratelimiter import RateLimiter
from hawthornshelf.gateway.recorder import Recorder
from hawthornshelf.gateway.runners import Runner, RunnerTable

__all__ = ["RunEnd", "RunStopper"]

CONTINUATION_SECONDS = 0.3
"""Time kept for the first event of the next run, before callers give the stream up."""

MIN_WAIT_SECONDS = 0.25
"""Least time for an engine's answer; as long as a repeatable request waits for it."""

EARLY_CALL_SECONDS = 0.3
CALL_SECONDS = 2.0
"""Time of one call; one to a silent engine is followed by the next one at once.

A connection may still wait for an engine that has long gone on.
"""

FIRST_PAUSE_SECONDS = 0.05
MAX_EARLY_PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 0.3
"""Pauses between two calls; each is twice as long as the one before.

With a connection that hangs, an engine that is back is called within half a second.
"""

EARLY_SECONDS = 2.0
"""Time for which a run that is not known to have ended is called for often."""

AFTER_DEADLINE_SECONDS = 15.0
"""Time for which it is called for after its deadline.

A request that lies unread counts its time from the moment at which it is read.
"""

PERMIT_WAIT_SECONDS = 0.1
"""Longest wait for a permit to call an engine that names a rate."""


class RunEnd(StrEnum):
    """Name what is known of the end of a run."""

    ABSENT = "absent"
    STOPPED = "stopped"
    REPLACED = "replaced"
    UNREACHED = "out of reach"
    SILENT = "silent"
    UNKNOWN = "unknown"


ENDED = frozenset({RunEnd.ABSENT, RunEnd.STOPPED, RunEnd.REPLACED})


class _Stop:
    """Represent the calls that are to stop one run, until some time, and their result.

    `is_awaited` is set while its request waits for the result.
    """

    def __init__(self, context: RequestContext, run: OpenRun, to: str) -> None:
        self.runner = run.runner
        self.has_begun = run.has_begun
        self.request = context.inbound.request_id
        self.to = to
        self.ends_at = context.deadline + AFTER_DEADLINE_SECONDS
        self.end = RunEnd.SILENT
        self.stopped: StoppedRun | None = None
        self.calls = 0
        self.is_awaited = True
        self.changed = asyncio.Event()

    @property
    def is_over(self) -> bool:
        """Return whether the run has ended and does not begin any more.

        A request of which nothing came back may arrive after the call.
        """
        return self.end in ENDED and (self.has_begun or self.end is not RunEnd.ABSENT)

    def conclude(self, end: RunEnd, stopped: StoppedRun | None = None) -> None:
        """Note what a call has shown."""
        self.end, self.stopped = end, stopped
        self.changed.set()


class RunStopper:
    """Stop runs whose connections broke, so that none goes on beside the next one.

    The end of a connection proves nothing: an engine may not learn of it, or work on in
    spite of it. An engine in reach is asked, and its word is waited for as long as the
    caller waits for the stream; one out of reach is asked until the time of its run is
    over, while the request goes on.
    """

    def __init__(
        self,
        client: RunnerClient,
        runners: RunnerTable,
        limiter: RateLimiter,
        releaser: CacheReleaser,
        recorder: Recorder,
        clock: Clock,
    ) -> None:
        self._client = client
        self._runners = runners
        self._limiter = limiter
        self._releaser = releaser
        self._recorder = recorder
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    async def settle(
        self, context: RequestContext, to: Runner | None = None
    ) -> KvCacheHandle | None:
        """Wait until the last run of a request has ended; raise RunNotEnded.

        Return the KV cache that was moved to the runner `to`, if any.
        """
        run = context.open_run
        if run is None:
            return None
        runner = run.runner
        began_at = self._clock.monotonic()
        address = to.address if to is not None else self._find_other(runner)
        stop = _Stop(context, run, address)
        task = asyncio.create_task(self._pursue(stop))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            await self._await_end(context, stop)
        finally:
            stop.is_awaited = False
        seconds = self._clock.monotonic() - began_at
        self._recorder.record_run_end(context, runner, stop.end, stop.calls, seconds)
        if not _allows_next(context, stop.end):
            self._release(stop)
            raise RunNotEnded(runner.name, stop.end)
        context.open_run = None
        if not stop.is_over:
            context.left_at.add(runner.name)
        if to is not None and stop.stopped is not None and stop.stopped.is_moved:
            return stop.stopped.handle
        self._release(stop)
        return None

    async def stop(self) -> None:
        """Ask no more."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _await_end(self, context: RequestContext, stop: _Stop) -> None:
        """Wait until a run has ended, its engine is out of reach, or time is up."""
        now = self._clock.monotonic()
        limit = now + MIN_WAIT_SECONDS
        if not context.is_repeatable and context.last_event_at:
            stalled_at = context.last_event_at + context.route.stall_limit
            limit = max(limit, stalled_at - CONTINUATION_SECONDS)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit - now):
                while stop.end not in ENDED and stop.end is not RunEnd.UNREACHED:
                    await stop.changed.wait()
                    stop.changed.clear()

    async def _pursue(self, stop: _Stop) -> None:
        """Call the engine until it is known that the run has ended.

        It is called often at first, and again once it answers after silence: what lay
        there unread is read by then, in any order.
        """
        pause, early_until = FIRST_PAUSE_SECONDS, self._clock.monotonic()
        was_heard = False
        while (now := self._clock.monotonic()) < stop.ends_at:
            is_heard = stop.end is RunEnd.ABSENT
            if is_heard != was_heard or not stop.calls:
                early_until = now + EARLY_SECONDS
                pause = FIRST_PAUSE_SECONDS
            was_heard = is_heard
            is_early = now < early_until
            with contextlib.suppress(TimeoutError):
                seconds = EARLY_CALL_SECONDS if is_early else CALL_SECONDS
                async with asyncio.timeout(min(seconds, stop.ends_at - now)):
                    await self._call(stop)
            if stop.is_over or self._is_gone(stop):
                break
            if stop.end is not RunEnd.SILENT:
                longest = MAX_EARLY_PAUSE_SECONDS if is_early else MAX_PAUSE_SECONDS
                await asyncio.sleep(min(pause, longest))
                pause *= 2
        if not stop.is_awaited:
            self._recorder.record_late_end(stop.request, stop.runner, stop.end)
            self._release(stop)

    async def _call(self, stop: _Stop) -> None:
        """Ask once, and note what that shows."""
        runner = stop.runner
        if self._is_replaced(runner):
            stop.conclude(RunEnd.REPLACED)
            return
        if not await self._limiter.acquire(runner, PERMIT_WAIT_SECONDS):
            stop.conclude(RunEnd.UNKNOWN)
            return
        stop.end = RunEnd.SILENT
        stop.calls += 1
        try:
            stopped = await self._client.stop_run(runner, stop.request, stop.to)
        except RunnerReplaced:
            stop.conclude(RunEnd.REPLACED)
        except AttemptFailed as error:
            stop.conclude(RunEnd.UNKNOWN if error.sent else RunEnd.UNREACHED)
        else:
            stop.conclude(RunEnd.STOPPED if stopped else RunEnd.ABSENT, stopped)

    def _is_replaced(self, runner: Runner) -> bool:
        """Return whether the list holds another boot of a runner."""
        listed = self._runners.find(runner.name)
        return listed is not None and listed.runner.boot != runner.boot

    def _is_gone(self, stop: _Stop) -> bool:
        """Return whether an engine is out of reach and off the list as well."""
        is_listed = self._runners.find(stop.runner.name) is not None
        return stop.end is RunEnd.UNREACHED and not is_listed

    def _find_other(self, runner: Runner) -> str:
        """Return the address of another engine, or of the same one without any."""
        addresses = [
            state.runner.address
            for state in self._runners.in_service(runner.service)
            if state.runner.name != runner.name
        ]
        return addresses[0] if addresses else runner.address

    def _release(self, stop: _Stop) -> None:
        """Release the KV cache that an engine keeps of a run, as nothing uses it."""
        if stop.stopped is not None and stop.stopped.handle is not None:
            self._releaser.release(stop.stopped.handle)
            stop.stopped = None


def _allows_next(context: RequestContext, end: RunEnd) -> bool:
    """Return whether a request may go on elsewhere.

    A call that lies unread at a silent engine stops the run as soon as that goes on;
    a request that may run again need not wait for it.
    """
    if end is RunEnd.SILENT:
        return context.is_repeatable
    return end in ENDED or end is RunEnd.UNREACHED
