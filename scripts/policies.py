"""Set up an entry core with our policy or with a baseline."""

import random
from collections.abc import Callable
from zlib import crc32

from hawthornshelf.admission import Admission, Backlog, Verdict
from hawthornshelf.entry import EntryCore
from hawthornshelf.rates import Pace
from hawthornshelf.upstreams import Choice, UpstreamRow, UpstreamTable, Wanted
from scripts.roles import ROLE_POLICIES, RoleTable

__all__ = ["POLICIES"]


class _Unlimited(UpstreamTable):
    """Send to any upstream that is not blocked or down, in a way of its own."""

    def choose(self, now: float, wanted: Wanted) -> Choice | None:
        """Return the upstream that the baseline picks."""
        skip = self.blocked.union(wanted.excluded)
        rows = [
            row
            for row in self.in_service(wanted.service)
            if row.runner.name not in skip and now >= row.down_until
        ]
        return Choice(self.pick(rows, wanted.blocks), 0.0) if rows else None

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
    def judge(self, backlog: Backlog, pace: Pace, left: float) -> Verdict:
        return Verdict(0.0)


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
