"""Decide whether, and where, a request may run that was in flight at crashes."""

from collections.abc import Mapping, Sequence

import xxhash

from hawthornshelf.clock import Clock
from hawthornshelf.crashrecords import Standing
from hawthornshelf.crashtable import CrashTable
from hawthornshelf.gateway.context import RequestContext
from hawthornshelf.gateway.runners import RunnerState, RunnerTable, Stage

__all__ = ["Quarantine", "RequestBlocked", "choose_isolated"]

HELD_RETRY_SECONDS = 1.0
"""Retry-After of a held request: by then most unconfirmed crashes are decided."""

RUN_STAGES = (Stage.DECODE, Stage.MIXED)


class RequestBlocked(Exception):
    """Signal that a request may not run now; `retry_after` is in seconds."""

    def __init__(self, outcome: str, standing: Standing, retry_after: float) -> None:
        count = len(standing.crashes)
        super().__init__(f"{outcome}: in flight when {count} runners crashed")
        self.outcome = outcome
        self.standing = standing
        self.retry_after = retry_after


class Quarantine:
    """Apply the table of crashes to this node's requests."""

    def __init__(
        self,
        table: CrashTable,
        runners: RunnerTable,
        suspects_at: Mapping[str, int],
        clock: Clock,
    ) -> None:
        self._table = table
        self._runners = runners
        self._suspects_at = suspects_at
        self._clock = clock

    def check(self, context: RequestContext) -> Standing:
        """Return a request's standing; raise RequestBlocked if it may not run now."""
        if not self._table.has_suspects:
            context.is_suspect = False
            return Standing()
        now = self._clock.monotonic()
        standing = self._table.standing(now, context.digest())
        context.is_suspect = bool(standing.crashes)
        if standing.is_quarantined(now):
            seconds_left = standing.quarantined_until - now
            raise RequestBlocked("quarantined", standing, seconds_left)
        if standing.is_held(now):
            raise RequestBlocked("held", standing, HELD_RETRY_SECONDS)
        return standing

    def exclude_runners(
        self, context: RequestContext, standing: Standing
    ) -> frozenset[str]:
        """Return the runners that a request may not use, empty unless it is a suspect.

        All but one are excluded, so that suspects of one crash run apart.
        """
        if not standing.crashes:
            return frozenset()
        now = self._clock.monotonic()
        states = self._runners.available(
            now, context.service, RUN_STAGES, context.tried
        )
        if not states:
            return frozenset()
        chosen = choose_isolated(
            context.digest(), len(standing.crashes), states, self._suspects_at
        )
        names = {s.runner.name for s in self._runners.in_service(context.service)}
        return frozenset(names - {chosen.runner.name})


def choose_isolated(
    digest: bytes,
    crashes: int,
    states: Sequence[RunnerState],
    suspects_at: Mapping[str, int],
) -> RunnerState:
    """Return the runner for a suspect, apart from other suspects where possible.

    Runners without a suspect of this node go first. Among these the choice is a hash
    of the request and of its crashes: nodes that don't know each other's suspects
    spread them evenly, and those that shared a crash part again after the next one.
    """
    free = [s for s in states if not suspects_at.get(s.runner.name, 0)] or states
    return min(free, key=lambda state: _distance(digest, crashes, state))


def _distance(digest: bytes, crashes: int, state: RunnerState) -> int:
    key = f"{digest.hex()}/{crashes}/{state.runner.name}"
    return xxhash.xxh3_64_intdigest(key.encode())
