"""Queue requests that wait for an engine, and decide which of them are admitted."""

import heapq
import itertools
import random
from dataclasses import dataclass, field
from typing import NamedTuple

from hawthornshelf.gateway.estimates import decay_factor
from hawthornshelf.gateway.exchange import Prompt
from hawthornshelf.gateway.placement import is_long

__all__ = [
    "AdmissionDecision",
    "AdmissionQueue",
    "QueueEntry",
    "engine_priority",
    "spread_retry_after",
]

LATE_PRIORITY = 9
"""Priority at engines of requests that can't meet their target: behind all others."""

LONG_PROMPT_PRIORITIES = range(4, 9)
"""Priorities of long prompts at engines, by the priority of their route.

Interactive requests have lower numbers and so go first.
"""

SAMPLE_WEIGHT = 0.1
"""Weight of a new sample in the exponential moving average."""

RETRY_AFTER_SPREAD = 1.0
"""Longest random time added to a Retry-After, as a share of it.

Callers that are refused together would otherwise come back together.
"""

MIN_RETRY_AFTER_SECONDS = 0.25
MAX_RETRY_AFTER_SECONDS = 2.0
LATE_SAMPLE_WEIGHT = 0.2
LATE_HALF_LIFE_SECONDS = 1.0
"""Half-life of the wait measured for late requests; a burst lasts a few seconds."""

LATE_WAIT_SHARE = 0.9
"""Longest recent wait of late requests, as a share of the time that a new one has left.

With a longer wait the new one is rejected.
"""


class AdmissionDecision(NamedTuple):
    """Represent the decision on a request that asks for an engine.

    An admitted request has a priority and a time by which it must be dispatched
    (monotonic seconds); a late one can't meet its target. A rejected one may be retried
    after `retry_after` seconds.
    """

    admitted: bool
    priority: int = 0
    dispatch_by: float = 0.0
    retry_after: float = 0.0
    is_late: bool = False


@dataclass(order=True, slots=True)
class QueueEntry:
    """Represent a waiting request; entries sort in the order of dispatch.

    That is by priority, then requests that return after a refusal, then by the time
    left until `dispatch_by`, the latest time to dispatch it in monotonic seconds.
    """

    priority: int
    is_first_attempt: bool
    dispatch_by: float
    number: int
    is_removed: bool = field(compare=False, default=False)


class AdmissionQueue:
    """Order the requests that wait for a service's engines at this node.

    In a burst beyond the engines' prefill rate, a request that can't have its first
    token in time is marked late and goes behind all that can: those stay on time
    and no engine is idle. If late requests have recently waited for nearly as long as
    it has left, it is rejected at once instead.

    `_entries` is a heap. A removed entry is only marked and stays in it until it
    reaches the top, so `_count`, not the length of the heap, is the number of waiting
    requests.
    """

    def __init__(self) -> None:
        self._entries: list[QueueEntry] = []
        self._numbers = itertools.count()
        self._count = 0
        self._release_interval = 0.0
        self._released_at = float("-inf")
        self._late_wait_seconds = 0.0
        self._late_updated_at = 0.0

    def __len__(self) -> int:
        return self._count

    def decide(
        self,
        now: float,
        priority: int,
        dispatch_by: float,
        deadline: float,
        was_refused: bool = False,
    ) -> AdmissionDecision:
        """Decide on a request that misses its target if dispatched after `dispatch_by`.

        Times are in monotonic seconds; `was_refused` tells that it was refused before.
        """
        on_time = AdmissionDecision(True, priority, dispatch_by)
        queue_wait = self._expected_wait(priority, dispatch_by, was_refused)
        if now + queue_wait <= on_time.dispatch_by:
            return on_time
        late_wait = self._decayed_late_wait(now)
        if late_wait <= (deadline - now) * LATE_WAIT_SHARE:
            return AdmissionDecision(True, priority, now, is_late=True)
        return AdmissionDecision(
            False,
            priority,
            retry_after=self._clamp_retry_after(max(queue_wait, late_wait)),
        )

    def add(
        self, priority: int, dispatch_by: float, was_refused: bool = False
    ) -> QueueEntry:
        """Add a waiting request and return its entry."""
        number = next(self._numbers)
        entry = QueueEntry(priority, not was_refused, dispatch_by, number)
        heapq.heappush(self._entries, entry)
        self._count += 1
        return entry

    def remove(self, entry: QueueEntry) -> None:
        """Remove a request that was placed or rejected, or whose caller disconnected.

        Removing an entry twice has no effect.
        """
        if entry.is_removed:
            return
        entry.is_removed = True
        self._count -= 1
        while self._entries and self._entries[0].is_removed:
            heapq.heappop(self._entries)

    def waiting(self) -> list[QueueEntry]:
        """Return the waiting requests in the order in which to dispatch them."""
        return sorted(entry for entry in self._entries if not entry.is_removed)

    def record_late(self, now: float, seconds: float) -> None:
        """Record the seconds that a late request took to its first token or to fail."""
        late_wait = self._decayed_late_wait(now)
        self._late_wait_seconds = late_wait + LATE_SAMPLE_WEIGHT * (seconds - late_wait)
        self._late_updated_at = now

    def record_release(self, now: float) -> None:
        """Record that an engine has room again.

        The mean interval between releases gives the expected wait. Only intervals in
        which requests wait are counted, each as at most 1 s.
        """
        if self._count:
            interval = min(now - self._released_at, 1.0)
            self._release_interval += SAMPLE_WEIGHT * (
                interval - self._release_interval
            )
        self._released_at = now

    def _decayed_late_wait(self, now: float) -> float:
        return self._late_wait_seconds * decay_factor(
            now - self._late_updated_at, LATE_HALF_LIFE_SECONDS
        )

    def _expected_wait(
        self, priority: int, dispatch_by: float, was_refused: bool
    ) -> float:
        """Return the expected wait of a new request in this queue, in seconds.

        Each waiting request ahead of it is expected to take one mean interval between
        releases.
        """
        new = (priority, not was_refused, dispatch_by)
        ahead = sum(
            not entry.is_removed
            and (entry.priority, entry.is_first_attempt, entry.dispatch_by) <= new
            for entry in self._entries
        )
        return ahead * self._release_interval

    def _clamp_retry_after(self, seconds: float) -> float:
        return min(max(seconds, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)


def engine_priority(prompt: Prompt, route_priority: int, is_late: bool) -> int:
    """Return a request's priority in the queue of an engine; 0 goes first.

    Engines with a full batch preempt by priority: a new long prompt must not
    preempt an interactive request halfway, whose caller would notice the pause.
    """
    if is_late:
        return LATE_PRIORITY
    if is_long(prompt):
        return min(
            LONG_PROMPT_PRIORITIES.start + route_priority,
            LONG_PROMPT_PRIORITIES.stop - 1,
        )
    return min(route_priority, LONG_PROMPT_PRIORITIES.start - 1)


def spread_retry_after(rng: random.Random, seconds: float) -> float:
    """Return a random time, in seconds, that is at least the given one."""
    return seconds * (1.0 + rng.uniform(0.0, RETRY_AFTER_SPREAD))
