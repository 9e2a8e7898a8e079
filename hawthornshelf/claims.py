"""Keep the claims that let a non-idempotent request run at most once."""

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

__all__ = ["ClaimRow", "ClaimTable"]

MAX_CLAIMS = 100_000
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_RELEASED = 10_000
IN_PROGRESS_SECONDS = 120.0


class ClaimRow(NamedTuple):
    """Hold one claim; `opened` is in seconds since the epoch."""

    workspace: str
    key: str
    digest: str
    attempt: str
    opened: float
    answered: bool = False
    answer: Answer | None = None


class ClaimTable:
    """Apply claim commands; rows are never forgotten, kept answers are bounded."""

    def __init__(
        self, rows: Iterable[ClaimRow] = (), released: Iterable[str] = ()
    ) -> None:
        self._rows: dict[tuple[str, str], ClaimRow] = {}
        self._released: dict[str, None] = dict.fromkeys(released)
        self._kept: dict[tuple[str, str], int] = {}
        self._answer_bytes = 0
        for row in rows:
            self._put(row)

    def __len__(self) -> int:
        return len(self._rows)

    def rows(self) -> tuple[ClaimRow, ...]:
        """Return all claims in the order in which their answers were kept."""
        without = [r for k, r in self._rows.items() if k not in self._kept]
        return (*without, *(self._rows[key] for key in self._kept))

    def released(self) -> tuple[str, ...]:
        """Return the attempts that were given back, oldest first."""
        return tuple(self._released)

    def open(self, command: OpenClaim, now: float) -> Result:
        """Grant the claim to the first attempt, and tell others how it stands."""
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
        """Keep the answer of the attempt that holds the claim."""
        row = self._rows.get((command.workspace, command.key))
        if row is None or row.attempt != command.attempt:
            return NotFound(command.attempt)
        if not row.answered:
            self._put(row._replace(answered=True, answer=command.answer))
            self._drop_old_answers()
        return Done(index)

    def release(self, command: ReleaseClaim, index: int) -> Result:
        """Take the claim back, also one that lands after this release."""
        row = self._rows.get((command.workspace, command.key))
        if row is not None and row.attempt == command.attempt and not row.answered:
            del self._rows[(command.workspace, command.key)]
        self._released[command.attempt] = None
        while len(self._released) > MAX_RELEASED:
            del self._released[next(iter(self._released))]
        return Done(index)

    def _grant(self, command: OpenClaim, now: float) -> Result:
        if len(self._rows) >= MAX_CLAIMS:
            return ClaimsFull(MAX_CLAIMS)
        row = ClaimRow(
            command.workspace, command.key, command.digest, command.attempt, now
        )
        self._put(row)
        return ClaimGranted(command.attempt)

    def _put(self, row: ClaimRow) -> None:
        key = (row.workspace, row.key)
        self._rows[key] = row
        if row.answer is not None:
            self._kept[key] = len(row.answer.body)
            self._answer_bytes += len(row.answer.body)

    def _drop_old_answers(self) -> None:
        while self._answer_bytes > MAX_ANSWER_BYTES:
            key = next(iter(self._kept))
            self._answer_bytes -= self._kept.pop(key)
            self._rows[key] = self._rows[key]._replace(answer=None)
