"""Decide whether, and where, a request may run that was in flight at crashes."""

import random
from collections.abc import Callable, Mapping, Sequence

import xxhash

from hawthornshelf.attribution import Culprit
from hawthornshelf.clock import Clock
from hawthornshelf.crashrecords import Standing
from hawthornshelf.crashtable import CrashTable
from hawthornshelf.gateway.context import RequestContext
from hawthornshelf.gateway.runners import RunnerState, RunnerTable, Stage
from hawthornshelf.logs import write_log

__all__ = ["RUN_STAGES", "Quarantine", "RequestBlocked", "choose_isolated"]

HELD_RETRY_SECONDS = 1.0
"""Retry-After of a held request: by then most unconfirmed crashes are decided."""

TRIAL_INTERVAL_SECONDS = 4.0
"""Mean pause between two trials of a culprit at all nodes together.

By then a trial has crashed its runner, or has not, and all nodes know.
"""

MAX_CULPRITS_SEEN = 1024

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
    """Apply the table of crashes to this node's requests.

    `count_nodes` returns how many nodes serve callers, 0 while that is unknown.
    """

    def __init__(
        self,
        table: CrashTable,
        runners: RunnerTable,
        suspects_at: Mapping[str, int],
        clock: Clock,
        rng: random.Random,
        count_nodes: Callable[[], int],
    ) -> None:
        self._table = table
        self._runners = runners
        self._suspects_at = suspects_at
        self._clock = clock
        self._rng = rng
        self._count_nodes = count_nodes
        self._seen_at: dict[frozenset[bytes], float] = {}

    def check(self, context: RequestContext) -> Standing:
        """Return a request's standing; raise RequestBlocked if it may not run now."""
        if not self._table.has_suspects:
            context.is_suspect = False
            return Standing()
        now = self._clock.monotonic()
        for culprit in self._table.culprits(now):
            shared = culprit.suspects.intersection(context.suspects())
            if shared and context.trial != culprit.suspects:
                self._check_culprit(context, culprit, shared, now)
        digests = context.digests()
        standing = self._table.unexplained(now, digests.content, digests.resource)
        context.is_suspect = bool(standing.crashes)
        return standing

    def is_clear(self, context: RequestContext) -> bool:
        """Return whether a request is under no suspicion; count no trial."""
        if not self._table.has_suspects:
            return True
        now, suspects = self._clock.monotonic(), context.suspects()
        if any(c.suspects.intersection(suspects) for c in self._table.culprits(now)):
            return False
        digests = context.digests()
        standing = self._table.unexplained(now, digests.content, digests.resource)
        return not standing.crashes

    def _check_culprit(
        self,
        context: RequestContext,
        culprit: Culprit,
        shared: frozenset[bytes],
        now: float,
    ) -> None:
        """Raise RequestBlocked for a request with suspects of a culprit.

        One that has only some of the suspects is tried, as it may not have the one to
        blame; so is one with all of them once the part's time is over.
        """
        standing = self._table.standing_of(now, culprit)
        if shared == culprit.suspects:
            until = self._table.blocked_until(now, culprit)
            if now < until:
                raise RequestBlocked("quarantined", standing, until - now)
            if standing.is_held(now):
                raise RequestBlocked("held", standing, HELD_RETRY_SECONDS)
            if context.digest() in shared:
                return
        if not self._may_try(culprit, standing, now):
            raise RequestBlocked("held", standing, HELD_RETRY_SECONDS)
        context.trial = culprit.suspects
        write_log(
            "suspect-tried",
            **context.log_fields(),
            suspects=",".join(sorted(digest.hex() for digest in shared)),
            of=len(culprit.suspects),
            crashes=",".join(standing.crashes),
            crash_age=round(now - standing.last_at, 3),
        )

    def _may_try(self, culprit: Culprit, standing: Standing, now: float) -> bool:
        """Return whether to try a request with a culprit's suspects.

        Each node does so at such a share of these requests that all nodes together try
        one in TRIAL_INTERVAL_SECONDS, whatever their rate is: it estimates the rate
        from the time since the request before, or the crash.
        """
        seen_at = self._seen_at.pop(culprit.suspects, float("-inf"))
        self._seen_at[culprit.suspects] = now
        if len(self._seen_at) > MAX_CULPRITS_SEEN:
            del self._seen_at[next(iter(self._seen_at))]
        share = (now - max(seen_at, standing.last_at)) / TRIAL_INTERVAL_SECONDS
        nodes = self._count_nodes()
        return nodes > 0 and self._rng.random() * nodes < share

    def exclude_runners(
        self, context: RequestContext, standing: Standing, excluded: frozenset[str]
    ) -> frozenset[str]:
        """Return the runners that a request may not use, `excluded` ones among them.

        Of those left, a suspect may use one only, so that suspects of one crash run
        apart.
        """
        if not standing.crashes:
            return excluded
        now = self._clock.monotonic()
        states = self._runners.available(now, context.service, RUN_STAGES, excluded)
        if not states:
            return excluded
        chosen = choose_isolated(
            context.digest(), len(standing.crashes), states, self._suspects_at
        )
        names = {s.runner.name for s in self._runners.in_service(context.service)}
        return excluded | (names - {chosen.runner.name})


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
