"""Find the request that crashes the upstreams it runs on."""

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
    """Hold a request and the crashes at which it was in flight."""

    digest: str
    incidents: tuple[str, ...]

    @property
    def quarantined(self) -> bool:
        """Tell if the request was in flight at enough crashes."""
        return len(self.incidents) >= CRASHES_TO_QUARANTINE


class TrialRow(NamedTuple):
    """Hold the one suspect that runs on an upstream."""

    upstream: str
    digest: str
    incarnation: str
    opened: float


class SuspectTable:
    """Apply crash reports and let suspects run one at a time on an upstream."""

    def __init__(
        self, rows: Iterable[SuspectRow] = (), trials: Iterable[TrialRow] = ()
    ) -> None:
        self._rows = {row.digest: row for row in rows}
        self._trials = {row.upstream: row for row in trials}

    def rows(self) -> tuple[SuspectRow, ...]:
        """Return all suspects, oldest first."""
        return tuple(self._rows.values())

    def trials(self) -> tuple[TrialRow, ...]:
        """Return the suspects that run now."""
        return tuple(self._trials.values())

    def report(self, command: ReportCrash, index: int) -> Result:
        """Count a crash once for each request that was in flight at it."""
        trial = self._trials.pop(command.upstream, None)
        for digest in command.digests:
            self._count(digest, command.incident)
        if trial is not None:
            self._count(trial.digest, command.incident)
        while len(self._rows) > MAX_SUSPECTS:
            del self._rows[next(iter(self._rows))]
        return Done(index)

    def clear(self, digests: Iterable[str], index: int) -> Result:
        """Clear requests that completed and are not quarantined."""
        for digest in digests:
            row = self._rows.get(digest)
            if row is not None and not row.quarantined:
                del self._rows[digest]
        return Done(index)

    def open_trial(self, command: OpenTrial, now: float) -> Result:
        """Let a suspect run unless it is quarantined or another one runs there."""
        row = self._rows.get(command.digest)
        if row is not None and row.quarantined:
            return TrialRefused(quarantined=True)
        if self._is_busy(command, now):
            return TrialRefused(quarantined=False)
        self._trials[command.upstream] = TrialRow(
            command.upstream, command.digest, command.incarnation, now
        )
        return TrialGranted(command.upstream)

    def end_trial(self, command: EndTrial, index: int) -> Result:
        """Free the upstream for the next suspect."""
        trial = self._trials.get(command.upstream)
        if trial is not None and trial.digest == command.digest:
            del self._trials[command.upstream]
        return Done(index)

    def _is_busy(self, command: OpenTrial, now: float) -> bool:
        for trial in self._trials.values():
            recent = now - trial.opened < TRIAL_SECONDS
            same_place = trial.upstream == command.upstream
            if recent and (same_place or trial.digest == command.digest):
                return True
        return False

    def _count(self, digest: str, incident: str) -> None:
        row = self._rows.get(digest, SuspectRow(digest, ()))
        if incident not in row.incidents and not row.quarantined:
            self._rows[digest] = SuspectRow(digest, (*row.incidents, incident))
