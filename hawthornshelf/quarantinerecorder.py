"""Have the control group keep quarantines, and learn of those that it keeps."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hawthornshelf.commands import Command, LiftQuarantine, RecordQuarantine
from hawthornshelf.crashrecords import (
    CONTENT_DIGEST_BYTES,
    PART_DIGEST_BYTES,
    RESOURCE_DIGEST_BYTES,
    CrashRow,
    Transition,
)
from hawthornshelf.crashtable import CrashTable
from hawthornshelf.effects import LogLine, log
from hawthornshelf.quarantines import MAX_CRASHES, MAX_DIGESTS, QuarantineRow

__all__ = ["QuarantineRecorder"]

TURN_SECONDS = 0.4
"""Time after which the next node proposes what all see and none has recorded."""

MAX_TURNS = 8

RETRY_SECONDS = 2.0
MAX_TRIES = 30
MAX_PROPOSALS = 256
DIGEST_LENGTHS = (CONTENT_DIGEST_BYTES, RESOURCE_DIGEST_BYTES, PART_DIGEST_BYTES)


@dataclass(slots=True)
class _Proposal:
    """Track what is to be recorded (`crashes`) or lifted (none) for some digests."""

    digests: frozenset[bytes]
    crashes: tuple[str, ...]
    due: float
    kept_until: float
    tries: int = 0


class QuarantineRecorder:
    """Propose quarantines that begin, or are lifted, until the group's view agrees.

    All nodes see the same, so they take turns: `rank` returns this node's place, from
    0, in an order that all nodes derive from a digest. A quarantine that ends as its
    time is over is not lifted: the group forgets it by itself.
    """

    def __init__(self, table: CrashTable, rank: Callable[[bytes], int]) -> None:
        self._table = table
        self._rank = rank
        self._proposals: list[_Proposal] = []
        self._lines: list[LogLine] = []
        self._recorded: tuple[QuarantineRow, ...] = ()

    def note(self, now: float, transitions: Iterable[Transition]) -> None:
        """Note which quarantines have begun or ended."""
        begun: dict[tuple[str, ...], list[Transition]] = {}
        lifted: set[bytes] = set()
        for transition in transitions:
            if transition.begins:
                crashes = transition.standing.crashes
                begun.setdefault(crashes, []).append(transition)
            elif not transition.standing.crashes:
                lifted.add(transition.digest)
        for crashes, items in begun.items():
            digests = frozenset(sorted(i.digest for i in items)[:MAX_DIGESTS])
            until = max(item.until for item in items)
            seconds = until - min(item.standing.last_at for item in items)
            self._add(now, digests, crashes[:MAX_CRASHES], until + seconds)
        if lifted:
            self._add(now, frozenset(lifted), (), now)

    def _add(
        self,
        now: float,
        digests: frozenset[bytes],
        crashes: tuple[str, ...],
        kept_until: float,
    ) -> None:
        for proposal in self._proposals:
            proposal.digests -= digests
        left = [p for p in self._proposals if p.digests]
        self._proposals = left[-MAX_PROPOSALS:]
        due = now + TURN_SECONDS * min(self._rank(min(digests)), MAX_TURNS)
        self._proposals.append(_Proposal(digests, crashes, due, kept_until))

    def take_due(self, now: float) -> list[Command]:
        """Return the commands to submit now."""
        if not self._proposals:
            return []
        self._proposals = [p for p in self._proposals if not self._is_agreed(p)]
        self._give_up()
        commands: list[Command] = []
        for proposal in self._proposals:
            if now < proposal.due:
                continue
            proposal.due = now + RETRY_SECONDS
            proposal.tries += 1
            commands.append(self._make_command(now, proposal))
        return commands

    def take_lines(self) -> list[LogLine]:
        """Return and forget the lines on what could not be recorded."""
        lines, self._lines = self._lines, []
        return lines

    def _is_agreed(self, proposal: _Proposal) -> bool:
        """Return whether the group's view says what was proposed."""
        if not proposal.crashes:
            kept = {digest for row in self._recorded for digest in row.digests}
            return not proposal.digests & kept
        return any(
            proposal.digests <= set(row.digests)
            and _holds_crashes(row, proposal.crashes)
            for row in self._recorded
        )

    def _give_up(self) -> None:
        """Forget what the group has not taken for long, and say so."""
        for proposal in self._proposals:
            if proposal.tries >= MAX_TRIES:
                contents = ",".join(sorted(d.hex() for d in proposal.digests))
                line = log("quarantine-not-recorded", contents=contents)
                self._lines.append(line)
        self._proposals = [p for p in self._proposals if p.tries < MAX_TRIES]

    def _make_command(self, now: float, proposal: _Proposal) -> Command:
        digests = tuple(sorted(proposal.digests))
        if not proposal.crashes:
            return LiftQuarantine(digests)
        rows = tuple(
            row._replace(suspects=digests, cleared=())
            for row in self._table.rows(now, proposal.crashes)
        )
        return RecordQuarantine(rows, proposal.kept_until - now)

    def load(
        self, now: float, wall: float, rows: tuple[QuarantineRow, ...]
    ) -> list[LogLine]:
        """Apply what the control group keeps; return a line for each row that is new.

        `wall` is the time of day in epoch seconds.
        """
        known, self._recorded = set(self._recorded), rows
        lines: list[LogLine] = []
        for row in rows:
            if row in known or wall >= row.kept_until:
                continue
            lines.append(self._restore(now, wall, row))
        return lines

    def _restore(self, now: float, wall: float, row: QuarantineRow) -> LogLine:
        digests = tuple(d for d in row.digests if len(d) in DIGEST_LENGTHS)
        for crash in row.crashes:
            age = max(0.0, wall - crash.at)
            self._table.merge(now, CrashRow(crash.crash, age, crash.evidence, digests))
        return log(
            "quarantine-recorded",
            contents=",".join(digest.hex() for digest in digests),
            crashes=",".join(crash.crash for crash in row.crashes),
            unreadable=len(row.digests) - len(digests),
        )


def _holds_crashes(row: QuarantineRow, crashes: Iterable[str]) -> bool:
    """Return whether a row names the crashes, or as many as it can."""
    names = {crash.crash for crash in row.crashes}
    return len(names) >= MAX_CRASHES or names.issuperset(crashes)
