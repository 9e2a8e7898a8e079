"""Order requests that wait for an engine, and tell which ones must not wait."""

import heapq
import itertools
from dataclasses import dataclass, field
from typing import NamedTuple

from hawthornshelf.gateway.estimates import fade
from hawthornshelf.gateway.exchange import Prompt
from hawthornshelf.gateway.placement import is_long

__all__ = ["Queue", "Ticket", "Verdict", "engine_rank"]

LATE_RANK = 9
"""The rank at engines of requests that can't be on time: behind all others."""

LONG_RANKS = range(4, 9)
"""The ranks of long prompts, by the ranks of their routes; short ones are before."""

LEARNING_SHARE = 0.1
"""Weight of a new sample in a running mean."""

MIN_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 2.0
LATE_LEARNING_SHARE = 0.2
LATE_HALF_LIFE_SECONDS = 1.0
"""How fast a bad experience of late requests fades: a burst lasts a few seconds."""

LATE_CERTAINTY = 0.9
"""Part of the time left that late requests may lately have taken."""


class Verdict(NamedTuple):
    """Hold if a request may wait, until when and in which rank, or when to return."""

    admitted: bool
    rank: int = 0
    start_by: float = 0.0
    retry_after: float = 0.0
    is_late: bool = False


@dataclass(order=True, slots=True)
class Ticket:
    """Hold one request that waits; the most urgent and oldest goes first."""

    rank: int
    number: int
    start_by: float = field(compare=False)
    is_gone: bool = field(compare=False, default=False)


class Queue:
    """Order the requests that wait for a service's engines at this node.

    Answers bursts beyond what the engines can read: a request that could not have
    its first token in time goes behind all that can, so that those still are on
    time and no engine is idle; it is turned away at once while such requests lately
    waited in vain.
    """

    def __init__(self) -> None:
        self._tickets: list[Ticket] = []
        self._numbers = itertools.count()
        self._count = 0
        self._release_seconds = 0.0
        self._released_at = float("-inf")
        self._late_seconds = 0.0
        self._late_at = 0.0

    def __len__(self) -> int:
        return self._count

    def judge(self, now: float, rank: int, start_by: float, deadline: float) -> Verdict:
        """Tell if a request may wait that is late if it is sent after `start_by`.

        Times are in monotonic seconds.
        """
        on_time = Verdict(True, rank, start_by)
        ahead = self._expected_wait(rank)
        if now + ahead <= on_time.start_by:
            return on_time
        wait = self._late_wait(now)
        if wait <= (deadline - now) * LATE_CERTAINTY:
            return Verdict(True, rank, now, is_late=True)
        return Verdict(False, rank, retry_after=self._bound(max(ahead, wait)))

    def enter(self, rank: int, start_by: float) -> Ticket:
        """Add a request to those that wait."""
        ticket = Ticket(rank, next(self._numbers), start_by)
        heapq.heappush(self._tickets, ticket)
        self._count += 1
        return ticket

    def leave(self, ticket: Ticket) -> None:
        """Take a request out: it is placed, turned away, or its caller is gone."""
        if ticket.is_gone:
            return
        ticket.is_gone = True
        self._count -= 1
        while self._tickets and self._tickets[0].is_gone:
            heapq.heappop(self._tickets)

    def waiting(self) -> list[Ticket]:
        """Return those that wait, the next one first."""
        return sorted(ticket for ticket in self._tickets if not ticket.is_gone)

    def note_late(self, now: float, seconds: float) -> None:
        """Learn how long a late request took to its first token, or in vain."""
        wait = self._late_wait(now)
        self._late_seconds = wait + LATE_LEARNING_SHARE * (seconds - wait)
        self._late_at = now

    def note_released(self, now: float) -> None:
        """Learn how often room comes free while requests wait."""
        if self._count:
            gap = min(now - self._released_at, 1.0)
            self._release_seconds += LEARNING_SHARE * (gap - self._release_seconds)
        self._released_at = now

    def _late_wait(self, now: float) -> float:
        return self._late_seconds * fade(now - self._late_at, LATE_HALF_LIFE_SECONDS)

    def _expected_wait(self, rank: int) -> float:
        ahead = sum(not t.is_gone and t.rank <= rank for t in self._tickets)
        return ahead * self._release_seconds

    def _bound(self, seconds: float) -> float:
        return min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)


def engine_rank(prompt: Prompt, route_rank: int, is_late: bool) -> int:
    """Return the rank of a request among those that wait at an engine; 0 goes first.

    Answers engines whose batch is full: a long prompt that comes must not put a
    conversation back in the middle, whose caller would notice the pause.
    """
    if is_late:
        return LATE_RANK
    if is_long(prompt):
        return min(LONG_RANKS.start + route_rank, LONG_RANKS.stop - 1)
    return min(route_rank, LONG_RANKS.start - 1)
