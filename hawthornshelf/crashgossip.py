"""Spread the table of crashes among nodes: push what is new, pull what is missing."""

from collections.abc import Callable, Iterable

from hawthornshelf.crashrecords import CrashRow
from hawthornshelf.crashtable import CrashTable
from hawthornshelf.effects import LogLine, log
from hawthornshelf.messages import CrashNews, PullCrashes
from hawthornshelf.quarantinerecorder import QuarantineRecorder

__all__ = ["CrashGossip"]

NEWS_INTERVAL_SECONDS = 0.1
"""Time over which a node collects news of crashes before it passes them on."""

PULL_INTERVAL_SECONDS = 0.25


class CrashGossip:
    """Decide which crashes to tell and to ask for; the node sends the messages."""

    def __init__(self, rank: Callable[[bytes], int]) -> None:
        self.table = CrashTable()
        self.recorder = QuarantineRecorder(self.table, rank)
        self._news_due = 0.0
        self._pull_due = 0.0

    def receive(
        self, now: float, sender: str, rows: Iterable[CrashRow]
    ) -> list[LogLine]:
        """Merge another node's rows; return a line for each crash learnt or changed."""
        lines = []
        for row in rows:
            before = self.table.status(row.crash)
            self.table.merge(now, row)
            status = self.table.status(row.crash)
            if status is None or status == before:
                continue
            lines.append(
                log(
                    "crash-learnt",
                    crash=row.crash,
                    sender=sender,
                    evidence=status.evidence.name.lower(),
                    void=status.is_void,
                    suspects=len(row.suspects),
                    age=round(row.age, 3),
                )
            )
        return lines

    def request_missing(self, now: float, checksum: int) -> PullCrashes | None:
        """Return a request to a node whose table differs, at most one per interval."""
        if checksum in (0, self.table.checksum) or now < self._pull_due:
            return None
        self._pull_due = now + PULL_INTERVAL_SECONDS
        return PullCrashes(self.table.summaries())

    def answer(self, now: float, request: PullCrashes) -> CrashNews | None:
        """Return the rows that a requesting node does not hold, or None."""
        rows = self.table.rows_unlike(now, request.summaries)
        return CrashNews(rows) if rows else None

    def take_news(self, now: float) -> CrashNews | None:
        """Return what is to be pushed to a few nodes, which pass it on, or None."""
        if now < self._news_due:
            return None
        self._news_due = now + NEWS_INTERVAL_SECONDS
        rows = self.table.take_news(now)
        return CrashNews(rows) if rows else None

    def expire(self, now: float) -> list[LogLine]:
        """Forget old crashes; return a line for each quarantine that begins or ends."""
        self.table.expire(now)
        lines = []
        transitions = self.table.take_transitions()
        self.recorder.note(now, transitions)
        for digest, begins, standing, until in transitions:
            seconds_left = until - now if begins else 0.0
            age = now - standing.last_at if standing.crashes else 0.0
            lines.append(
                log(
                    "quarantine-begins" if begins else "quarantine-ends",
                    content=digest.hex(),
                    crashes=",".join(standing.crashes),
                    age=round(age, 3),
                    seconds=round(seconds_left, 3),
                )
            )
        return lines
