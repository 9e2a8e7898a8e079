"""Configure an entry core with hawthornshelf's own policy or with a baseline."""

import random
from collections.abc import Callable
from zlib import crc32

from hawthornshelf.admission import Admission, AdmissionDecision, Backlog
from hawthornshelf.entry import EntryCore
from hawthornshelf.rates import ServiceRates
from hawthornshelf.upstreams import Choice, UpstreamQuery, UpstreamRow, UpstreamTable
from scripts.roles import ROLE_POLICIES, RoleTable

__all__ = ["POLICIES"]


class _BaselineTable(UpstreamTable):
    """Choose among all upstreams that are neither blocked nor down.

    Subclasses implement the choice; admission limits do not apply.
    """

    def choose(self, now: float, query: UpstreamQuery) -> Choice | None:
        """Return the upstream that the baseline picks, with an expected wait of 0 s."""
        unavailable = self.blocked.union(query.excluded)
        rows = [
            row
            for row in self.in_service(query.service)
            if row.runner.name not in unavailable and now >= row.down_until
        ]
        return Choice(self.pick(rows, query.blocks), 0.0) if rows else None

    def pick(self, rows: list[UpstreamRow], blocks: tuple[str, ...]) -> UpstreamRow:
        """Return the row to send the request to."""
        raise AssertionError("subclasses implement pick")


class _RoundRobin(_BaselineTable):
    index = 0

    def pick(self, rows: list[UpstreamRow], blocks: tuple[str, ...]) -> UpstreamRow:
        self.index += 1
        return rows[self.index % len(rows)]


class _LeastInFlight(_BaselineTable):
    def pick(self, rows: list[UpstreamRow], blocks: tuple[str, ...]) -> UpstreamRow:
        return min(rows, key=lambda row: (row.in_flight, self._rng.random()))


class _PrefixAffinity(_BaselineTable):
    def pick(self, rows: list[UpstreamRow], blocks: tuple[str, ...]) -> UpstreamRow:
        prefix = blocks[min(5, len(blocks) - 1)] if blocks else ""
        return min(rows, key=lambda row: crc32(f"{prefix} {row.runner.name}".encode()))


class _AdmitAll(Admission):
    def decide(
        self, backlog: Backlog, rates: ServiceRates, seconds_left: float
    ) -> AdmissionDecision:
        return AdmissionDecision(0.0)


def _baseline(table: type[UpstreamTable]) -> Callable[[EntryCore, random.Random], None]:
    def configure(core: EntryCore, rng: random.Random) -> None:
        core.upstreams = table("dc-0", rng)
        core.admission = _AdmitAll()

    return configure


def _no_admission(core: EntryCore, rng: random.Random) -> None:
    core.admission = _AdmitAll()


def _default(core: EntryCore, rng: random.Random) -> None:
    """Keep hawthornshelf's own policy."""


def _split_by_role(core: EntryCore, rng: random.Random) -> None:
    core.upstreams = RoleTable("dc-0", rng)


POLICIES: dict[str, Callable[[EntryCore, random.Random], None]] = {
    "ours": _default,
    "no-admission": _no_admission,
    "round-robin": _baseline(_RoundRobin),
    "least-in-flight": _baseline(_LeastInFlight),
    "prefix-affinity": _baseline(_PrefixAffinity),
    **dict.fromkeys(ROLE_POLICIES, _split_by_role),
}
