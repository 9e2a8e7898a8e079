"""Find the requests that crash upstreams, and quarantine them."""

from collections.abc import Iterable
from typing import NamedTuple

from hawthornshelf.commands import (
    Done,
    EndTrial,
    OpenTrial,
    ReportCrash,
    Result,
    TrialGranted,
    TrialRefused,
)

__all__ = ["SuspectRow", "SuspectTable", "TrialRow"]

CRASHES_TO_QUARANTINE = 2
MAX_SUSPECTS = 10_000
TRIAL_SECONDS = 120.0


class SuspectRow(NamedTuple):
    """Represent a request and the crashes at which it was in flight."""

    digest: str
    incidents: tuple[str, ...]

    @property
    def quarantined(self) -> bool:
        """Return whether the request was in flight at enough crashes."""
        return len(self.incidents) >= CRASHES_TO_QUARANTINE


class TrialRow(NamedTuple):
    """Represent the one suspect that may run on an upstream."""

    upstream: str
    digest: str
    incarnation: str
    opened: float


class SuspectTable:
    """Apply crash reports, and grant trials to one suspect per upstream at a time.

    With a single suspect on an upstream, a crash points to that request.
    """

    def __init__(
        self, rows: Iterable[SuspectRow] = (), trials: Iterable[TrialRow] = ()
    ) -> None:
        self._rows = {row.digest: row for row in rows}
        self._trials = {row.upstream: row for row in trials}

    def rows(self) -> tuple[SuspectRow, ...]:
        """Return all suspects, oldest first."""
        return tuple(self._rows.values())

    def trials(self) -> tuple[TrialRow, ...]:
        """Return the open trials."""
        return tuple(self._trials.values())

    def report(self, command: ReportCrash, index: int) -> Result:
        """Count a crash once for each request in flight at it, and end the trial there.

        Reports of the same incident from several nodes count once.
        """
        trial = self._trials.pop(command.upstream, None)
        for digest in command.digests:
            self._count_crash(digest, command.incident)
        if trial is not None:
            self._count_crash(trial.digest, command.incident)
        while len(self._rows) > MAX_SUSPECTS:
            del self._rows[next(iter(self._rows))]
        return Done(index)

    def clear(self, digests: Iterable[str], index: int) -> Result:
        """Remove suspects that completed, unless they are quarantined."""
        for digest in digests:
            row = self._rows.get(digest)
            if row is not None and not row.quarantined:
                del self._rows[digest]
        return Done(index)

    def open_trial(self, command: OpenTrial, now: float) -> Result:
        """Grant a trial unless the suspect is quarantined or a trial conflicts.

        A trial conflicts if it is of the same suspect or on the same upstream; after
        TRIAL_SECONDS it no longer counts.
        """
        row = self._rows.get(command.digest)
        if row is not None and row.quarantined:
            return TrialRefused(quarantined=True)
        if self._has_conflicting_trial(command, now):
            return TrialRefused(quarantined=False)
        self._trials[command.upstream] = TrialRow(
            command.upstream, command.digest, command.incarnation, now
        )
        return TrialGranted(command.upstream)

    def end_trial(self, command: EndTrial, index: int) -> Result:
        """End a suspect's trial, so that the next suspect may run on the upstream."""
        trial = self._trials.get(command.upstream)
        if trial is not None and trial.digest == command.digest:
            del self._trials[command.upstream]
        return Done(index)

    def _has_conflicting_trial(self, command: OpenTrial, now: float) -> bool:
        for trial in self._trials.values():
            is_open = now - trial.opened < TRIAL_SECONDS
            same_upstream = trial.upstream == command.upstream
            if is_open and (same_upstream or trial.digest == command.digest):
                return True
        return False

    def _count_crash(self, digest: str, incident: str) -> None:
        row = self._rows.get(digest, SuspectRow(digest, ()))
        if incident not in row.incidents and not row.quarantined:
            self._rows[digest] = SuspectRow(digest, (*row.incidents, incident))
