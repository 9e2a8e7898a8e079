"""Store the claims that let a non-idempotent request run at most once."""

import itertools
from collections.abc import Iterable
from typing import NamedTuple

from hawthornshelf.commands import (
    Answer,
    ClaimAnswered,
    ClaimGranted,
    ClaimInProgress,
    ClaimMismatch,
    ClaimReleased,
    ClaimsFull,
    ClaimUnknown,
    Done,
    NotFound,
    OpenClaim,
    RecordAnswer,
    ReleaseClaim,
    Result,
)

__all__ = ["ClaimKey", "ClaimRow", "ClaimTable"]

MAX_CLAIMS = 100_000
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_RELEASED = 10_000
IN_PROGRESS_SECONDS = 120.0
RETENTION_SECONDS = 7 * 24 * 3600.0
MAX_EVICTION_SCAN = 1000

ClaimKey = tuple[str, str]


class ClaimRow(NamedTuple):
    """Represent one claim; `opened` is in seconds since the epoch."""

    workspace: str
    key: str
    digest: str
    attempt: str
    opened: float
    answered: bool = False
    answer: Answer | None = None


class ClaimTable:
    """Apply claim commands within limits on count, age and bytes.

    A full table evicts the oldest answered claim that is past the retention period;
    claims without an answer stay. Replicas must evict the same claims, so the order
    of the rows and of the kept answers is part of the state.
    """

    def __init__(
        self,
        rows: Iterable[ClaimRow] = (),
        released: Iterable[str] = (),
        kept: Iterable[ClaimKey] = (),
    ) -> None:
        self._rows: dict[ClaimKey, ClaimRow] = {}
        self._released: dict[str, None] = dict.fromkeys(released)
        self._kept: dict[ClaimKey, int] = {}
        self._answer_bytes = 0
        for row in rows:
            self._rows[(row.workspace, row.key)] = row
        for key in kept:
            self._retain_answer(key)

    def __len__(self) -> int:
        return len(self._rows)

    def rows(self) -> tuple[ClaimRow, ...]:
        """Return all claims in the order in which they were granted."""
        return tuple(self._rows.values())

    def kept(self) -> tuple[ClaimKey, ...]:
        """Return the claims whose answers are kept, oldest answer first."""
        return tuple(self._kept)

    def released(self) -> tuple[str, ...]:
        """Return the attempts whose claims were released, oldest first."""
        return tuple(self._released)

    def open(self, command: OpenClaim, now: float) -> Result:
        """Grant the claim to the first attempt, and return its state to others.

        A claim without an answer counts as in progress for IN_PROGRESS_SECONDS, and
        then as unknown: its attempt may have run.
        """
        if command.attempt in self._released:
            return ClaimReleased(command.attempt)
        row = self._rows.get((command.workspace, command.key))
        if row is None:
            return self._grant(command, now)
        if row.digest != command.digest:
            return ClaimMismatch(command.key)
        if row.answered:
            return ClaimAnswered(row.answer)
        if row.attempt == command.attempt:
            return ClaimGranted(row.attempt)
        if now - row.opened < IN_PROGRESS_SECONDS:
            return ClaimInProgress(now - row.opened)
        return ClaimUnknown(row.attempt)

    def record(self, command: RecordAnswer, index: int) -> Result:
        """Store the answer of the attempt that holds the claim."""
        row = self._rows.get((command.workspace, command.key))
        if row is None or row.attempt != command.attempt:
            return NotFound(command.attempt)
        if not row.answered:
            key = (row.workspace, row.key)
            self._rows[key] = row._replace(answered=True, answer=command.answer)
            self._retain_answer(key)
            self._drop_old_answers()
        return Done(index)

    def release(self, command: ReleaseClaim, index: int) -> Result:
        """Release the claim, also if its OpenClaim is applied after this release."""
        row = self._rows.get((command.workspace, command.key))
        if row is not None and row.attempt == command.attempt and not row.answered:
            del self._rows[(command.workspace, command.key)]
        self._released[command.attempt] = None
        while len(self._released) > MAX_RELEASED:
            del self._released[next(iter(self._released))]
        return Done(index)

    def _grant(self, command: OpenClaim, now: float) -> Result:
        if len(self._rows) >= MAX_CLAIMS and not self._evict_oldest(now):
            return ClaimsFull(MAX_CLAIMS)
        row = ClaimRow(
            command.workspace, command.key, command.digest, command.attempt, now
        )
        self._rows[(row.workspace, row.key)] = row
        return ClaimGranted(command.attempt)

    def _evict_oldest(self, now: float) -> bool:
        """Evict the oldest answered claim past the retention period, if there is one.

        Scans at most MAX_EVICTION_SCAN rows.
        """
        for key, row in itertools.islice(self._rows.items(), MAX_EVICTION_SCAN):
            if row.answered and now - row.opened > RETENTION_SECONDS:
                del self._rows[key]
                self._answer_bytes -= self._kept.pop(key, 0)
                return True
        return False

    def _retain_answer(self, key: ClaimKey) -> None:
        answer = self._rows[key].answer
        if answer is not None:
            self._kept[key] = len(answer.body)
            self._answer_bytes += len(answer.body)

    def _drop_old_answers(self) -> None:
        while self._answer_bytes > MAX_ANSWER_BYTES:
            key = next(iter(self._kept))
            self._answer_bytes -= self._kept.pop(key)
            self._rows[key] = self._rows[key]._replace(answer=None)
