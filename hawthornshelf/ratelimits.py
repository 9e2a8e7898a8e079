"""Store the rate limits that runners name, merged among all nodes.

The latest word of a runner holds, by the time of its answer: a node that learns of it
late, or from another node, does not bring back an older one. Times are monotonic
seconds of the node; rows carry ages instead.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from hawthornshelf.effects import LogLine, log
from hawthornshelf.limitrecords import RateLimitRow

__all__ = ["RateLimitTable"]

MAX_LIMITS = 4096
"""Runners whose limits are stored; the one heard of the longest ago goes first."""

KEPT_SECONDS = 600.0
"""Time for which the end of a limit is kept, so that older news don't undo it."""

UNBOUNDED_RATE = 10_000.0
"""Limit, in requests a second, from which on it binds nothing: no runner takes so many.
"""

NEWS_CHANGE_SHARE = 0.1
"""Change of a limit, as a share of it, that other nodes are told at once."""


@dataclass(slots=True)
class _Limit:
    """Store a limit; `at` is when the runner said so, `told` what was passed on."""

    rate: float | None
    at: float
    told: float | None


class RateLimitTable:
    """Store the latest limit of each runner that has named one.

    A runner is named with its boot, since a new boot starts without a limit.
    """

    def __init__(self) -> None:
        self._limits: dict[str, _Limit] = {}
        self._news: dict[str, None] = {}
        self._lines: list[LogLine] = []
        self.count = 0
        self.checksum = 0

    def find(self, runner: str) -> float | None:
        """Return a runner's limit in requests a second, or None without one."""
        limit = self._limits.get(runner)
        return limit.rate if limit is not None else None

    def learn(self, now: float, runner: str, rate: float | None, at: float) -> None:
        """Record what a runner's answer said at a time.

        The end of a limit counts from when the answered request was sent, as answers
        may overtake each other.
        """
        self.merge(now, RateLimitRow(runner, rate, now - at), "answer")

    def merge(self, now: float, row: RateLimitRow, source: str) -> bool:
        """Merge a row; return whether it was later than what was known."""
        rate = row.rate
        if rate is not None and rate >= UNBOUNDED_RATE:
            rate = None
        known = self._limits.get(row.runner)
        if known is None and rate is None:
            return False
        at = now - row.age
        if known is not None and at <= known.at:
            return False
        before = known.rate if known is not None else None
        told = known.told if known is not None else None
        self._limits.pop(row.runner, None)
        self._limits[row.runner] = _Limit(rate, at, told)
        if (rate is None) is not (before is None):
            self._count(row.runner, 1 if before is None else -1)
        if _differs(told, rate):
            self._limits[row.runner].told = rate
            self._news[row.runner] = None
            self._note(row, before, rate, source)
        self._shrink()
        return True

    def row(self, now: float, runner: str) -> RateLimitRow | None:
        """Return what is known of a runner, or None."""
        limit = self._limits.get(runner)
        if limit is None:
            return None
        return RateLimitRow(runner, limit.rate, now - limit.at)

    def rows(self, now: float) -> tuple[RateLimitRow, ...]:
        """Return what is known of all runners."""
        rows = (self.row(now, runner) for runner in self._limits)
        return tuple(row for row in rows if row is not None)

    def take_news(self, now: float) -> tuple[RateLimitRow, ...]:
        """Return and forget what other nodes are to be told, with current ages."""
        news, self._news = self._news, {}
        rows = (self.row(now, runner) for runner in news)
        return tuple(row for row in rows if row is not None)

    def take_lines(self) -> list[LogLine]:
        """Return and forget the lines on changed limits."""
        lines, self._lines = self._lines, []
        return lines

    def retain(self, now: float, runners: Iterable[str]) -> None:
        """Forget runners that are gone, and limits that ended long ago."""
        listed = set(runners)
        for runner, limit in list(self._limits.items()):
            is_old = limit.at < now - KEPT_SECONDS
            if is_old and (limit.rate is None or runner not in listed):
                self._drop(runner)

    def _note(
        self, row: RateLimitRow, before: float | None, rate: float | None, source: str
    ) -> None:
        event = "rate-limit-ended" if rate is None else "rate-limit-learnt"
        self._lines.append(
            log(
                event,
                runner=row.runner,
                rate=rate if rate is not None else -1.0,
                before=before if before is not None else -1.0,
                age=round(row.age, 3),
                source=source,
            )
        )

    def _shrink(self) -> None:
        while len(self._limits) > MAX_LIMITS:
            self._drop(next(iter(self._limits)))

    def _drop(self, runner: str) -> None:
        if self._limits.pop(runner).rate is not None:
            self._count(runner, -1)

    def _count(self, runner: str, change: int) -> None:
        """Count a runner that has got a limit, or has none any more."""
        self.count += change
        digest = hashlib.blake2b(runner.encode(), digest_size=8).digest()
        self.checksum ^= int.from_bytes(digest, "big")


def _differs(told: float | None, rate: float | None) -> bool:
    """Return whether a change of a limit is worth telling."""
    if told is None or rate is None:
        return told is not rate
    return abs(rate - told) > NEWS_CHANGE_SHARE * told
