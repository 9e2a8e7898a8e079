"""Set up an entry core with our policy or with a baseline."""

import random
from collections.abc import Callable
from zlib import crc32

from hawthornshelf.admission import Admission, AdmissionDecision, Backlog
from hawthornshelf.entry import EntryCore
from hawthornshelf.rates import ServiceRates
from hawthornshelf.upstreams import Choice, UpstreamQuery, UpstreamRow, UpstreamTable
from scripts.roles import ROLE_POLICIES, RoleTable

__all__ = ["POLICIES"]


class _Unlimited(UpstreamTable):
    """Send to any upstream that is not blocked or down, in a way of its own."""

    def choose(self, now: float, query: UpstreamQuery) -> Choice | None:
        """Return the upstream that the baseline picks."""
        skip = self.blocked.union(query.excluded)
        rows = [
            row
            for row in self.in_service(query.service)
            if row.runner.name not in skip and now >= row.down_until
        ]
        return Choice(self.pick(rows, query.blocks), 0.0) if rows else None

    def pick(self, rows: list[UpstreamRow], blocks: tuple[str, ...]) -> UpstreamRow:
        """Return one of the rows."""
        raise AssertionError("each baseline picks its own way")


class _RoundRobin(_Unlimited):
    turn = 0

    def pick(self, rows: list[UpstreamRow], blocks: tuple[str, ...]) -> UpstreamRow:
        self.turn += 1
        return rows[self.turn % len(rows)]


class _LeastInFlight(_Unlimited):
    def pick(self, rows: list[UpstreamRow], blocks: tuple[str, ...]) -> UpstreamRow:
        return min(rows, key=lambda row: (row.in_flight, self._rng.random()))


class _PrefixAffinity(_Unlimited):
    def pick(self, rows: list[UpstreamRow], blocks: tuple[str, ...]) -> UpstreamRow:
        start = blocks[min(5, len(blocks) - 1)] if blocks else ""
        return min(rows, key=lambda row: crc32(f"{start} {row.runner.name}".encode()))


class _AdmitAll(Admission):
    def decide(
        self, backlog: Backlog, rates: ServiceRates, seconds_left: float
    ) -> AdmissionDecision:
        return AdmissionDecision(0.0)


def _baseline(table: type[UpstreamTable]) -> Callable[[EntryCore, random.Random], None]:
    def set_up(core: EntryCore, rng: random.Random) -> None:
        core.upstreams = table("dc-0", rng)
        core.admission = _AdmitAll()

    return set_up


def _no_admission(core: EntryCore, rng: random.Random) -> None:
    core.admission = _AdmitAll()


def _ours(core: EntryCore, rng: random.Random) -> None:
    """Leave the core as it is."""


def _by_role(core: EntryCore, rng: random.Random) -> None:
    core.upstreams = RoleTable("dc-0", rng)


POLICIES: dict[str, Callable[[EntryCore, random.Random], None]] = {
    "ours": _ours,
    "no-admission": _no_admission,
    "round-robin": _baseline(_RoundRobin),
    "least-in-flight": _baseline(_LeastInFlight),
    "prefix-affinity": _baseline(_PrefixAffinity),
    **dict.fromkeys(ROLE_POLICIES, _by_role),
}
