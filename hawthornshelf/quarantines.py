"""Replicate which requests are blocked as they crash runners."""

from collections.abc import Iterable
from typing import NamedTuple

from hawthornshelf.crashrecords import CrashRow, Evidence

__all__ = [
    "MAX_CRASHES",
    "MAX_DIGESTS",
    "CrashRecord",
    "QuarantineRow",
    "QuarantineTable",
]

MAX_ROWS = 256
MAX_DIGESTS = 64
"""Digests that one row holds at most: those of a request and of its prompt's parts."""

MAX_CRASHES = 16


class CrashRecord(NamedTuple):
    """Represent one crash of a runner; `at` is in epoch seconds."""

    crash: str
    at: float
    evidence: Evidence


class QuarantineRow(NamedTuple):
    """Represent digests that are blocked by the same crashes.

    Until `kept_until`, in epoch seconds, nodes that start are told of them.
    """

    digests: tuple[bytes, ...]
    crashes: tuple[CrashRecord, ...]
    kept_until: float


class QuarantineTable:
    """Store quarantines; the caller passes the time in epoch seconds."""

    def __init__(self, rows: Iterable[QuarantineRow] = ()) -> None:
        self._rows = {row.digests: row for row in rows}

    def rows(self) -> tuple[QuarantineRow, ...]:
        """Return all quarantines, the one recorded first at the front."""
        return tuple(self._rows.values())

    def record(
        self, now: float, crashes: Iterable[CrashRow], kept_seconds: float
    ) -> bool:
        """Store a quarantine by its crashes; return whether that changed anything.

        Nodes may know different crashes of the same digests: all of them count.
        """
        rows = list(crashes)
        digests = tuple(sorted({d for row in rows for d in row.suspects}))
        digests = digests[:MAX_DIGESTS]
        known = self._rows.get(digests, QuarantineRow(digests, (), 0.0))
        records = {c.crash: c for c in known.crashes}
        for row in rows:
            record = CrashRecord(row.crash, now - row.age, row.evidence)
            records.setdefault(row.crash, record)
        latest = sorted(records.values(), key=lambda c: (-c.at, c.crash))
        kept = tuple(sorted(latest[:MAX_CRASHES]))
        if not digests or kept == known.crashes:
            return False
        self._expire(now)
        self._rows.pop(digests, None)
        until = max(known.kept_until, now + kept_seconds)
        self._rows[digests] = QuarantineRow(digests, kept, until)
        while len(self._rows) > MAX_ROWS:
            del self._rows[next(iter(self._rows))]
        return True

    def lift(self, now: float, digests: Iterable[bytes]) -> bool:
        """Remove digests from all quarantines; return whether any was there."""
        lifted = set(digests)
        before = self._rows
        rows = [
            row._replace(digests=tuple(d for d in row.digests if d not in lifted))
            for row in before.values()
        ]
        self._rows = {row.digests: row for row in rows if row.digests}
        is_changed = self._rows != before
        self._expire(now)
        return is_changed

    def _expire(self, now: float) -> None:
        rows = self._rows.items()
        self._rows = {key: row for key, row in rows if now < row.kept_until}
