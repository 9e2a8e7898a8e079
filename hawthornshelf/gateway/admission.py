"""Order requests that wait for an engine, and tell which ones must not wait."""

import heapq
import itertools
from dataclasses import dataclass, field
from typing import NamedTuple

from hawthornshelf.gateway.estimates import decay_factor
from hawthornshelf.gateway.exchange import Prompt
from hawthornshelf.gateway.placement import is_long

__all__ = ["AdmissionQueue", "QueueEntry", "AdmissionDecision", "engine_priority"]

LATE_PRIORITY = 9
"""The rank at engines of requests that can't be on time: behind all others."""

LONG_PROMPT_PRIORITIES = range(4, 9)
"""The ranks of long prompts, by the ranks of their routes; short ones are before."""

SAMPLE_WEIGHT = 0.1
"""Weight of a new sample in a running mean."""

MIN_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 2.0
LATE_SAMPLE_WEIGHT = 0.2
LATE_HALF_LIFE_SECONDS = 1.0
"""How fast a bad experience of late requests fades: a burst lasts a few seconds."""

LATE_WAIT_SHARE = 0.9
"""Part of the time left that late requests may lately have taken."""


class AdmissionDecision(NamedTuple):
    """Hold if a request may wait, until when and in which rank, or when to return."""

    admitted: bool
    priority: int = 0
    dispatch_by: float = 0.0
    retry_after: float = 0.0
    is_late: bool = False


@dataclass(order=True, slots=True)
class QueueEntry:
    """Hold one request that waits; the most urgent and oldest goes first."""

    priority: int
    number: int
    dispatch_by: float = field(compare=False)
    is_removed: bool = field(compare=False, default=False)


class AdmissionQueue:
    """Order the requests that wait for a service's engines at this node.

    Answers bursts beyond what the engines can read: a request that could not have
    its first token in time goes behind all that can, so that those still are on
    time and no engine is idle; it is turned away at once while such requests lately
    waited in vain.
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
        self, now: float, priority: int, dispatch_by: float, deadline: float
    ) -> AdmissionDecision:
        """Tell if a request may wait that is late if it is sent after `start_by`.

        Times are in monotonic seconds.
        """
        on_time = AdmissionDecision(True, priority, dispatch_by)
        ahead = self._expected_wait(priority)
        if now + ahead <= on_time.dispatch_by:
            return on_time
        wait = self._decayed_late_wait(now)
        if wait <= (deadline - now) * LATE_WAIT_SHARE:
            return AdmissionDecision(True, priority, now, is_late=True)
        return AdmissionDecision(
            False, priority, retry_after=self._clamp_retry_after(max(ahead, wait))
        )

    def add(self, priority: int, dispatch_by: float) -> QueueEntry:
        """Add a request to those that wait."""
        entry = QueueEntry(priority, next(self._numbers), dispatch_by)
        heapq.heappush(self._entries, entry)
        self._count += 1
        return entry

    def remove(self, entry: QueueEntry) -> None:
        """Take a request out: it is placed, turned away, or its caller is gone."""
        if entry.is_removed:
            return
        entry.is_removed = True
        self._count -= 1
        while self._entries and self._entries[0].is_removed:
            heapq.heappop(self._entries)

    def waiting(self) -> list[QueueEntry]:
        """Return those that wait, the next one first."""
        return sorted(entry for entry in self._entries if not entry.is_removed)

    def record_late(self, now: float, seconds: float) -> None:
        """Learn how long a late request took to its first token, or in vain."""
        wait = self._decayed_late_wait(now)
        self._late_wait_seconds = wait + LATE_SAMPLE_WEIGHT * (seconds - wait)
        self._late_updated_at = now

    def record_release(self, now: float) -> None:
        """Learn how often room comes free while requests wait."""
        if self._count:
            gap = min(now - self._released_at, 1.0)
            self._release_interval += SAMPLE_WEIGHT * (gap - self._release_interval)
        self._released_at = now

    def _decayed_late_wait(self, now: float) -> float:
        return self._late_wait_seconds * decay_factor(
            now - self._late_updated_at, LATE_HALF_LIFE_SECONDS
        )

    def _expected_wait(self, priority: int) -> float:
        ahead = sum(not t.is_removed and t.priority <= priority for t in self._entries)
        return ahead * self._release_interval

    def _clamp_retry_after(self, seconds: float) -> float:
        return min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)


def engine_priority(prompt: Prompt, route_priority: int, is_late: bool) -> int:
    """Return the rank of a request among those that wait at an engine; 0 goes first.

    Answers engines whose batch is full: a long prompt that comes must not put a
    conversation back in the middle, whose caller would notice the pause.
    """
    if is_late:
        return LATE_PRIORITY
    if is_long(prompt):
        return min(
            LONG_PROMPT_PRIORITIES.start + route_priority,
            LONG_PROMPT_PRIORITIES.stop - 1,
        )
    return min(route_priority, LONG_PROMPT_PRIORITIES.start - 1)
