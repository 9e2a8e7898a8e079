"""Keep what an entry node knows of each upstream, and choose among them."""

import random
from typing import NamedTuple

from hawthornshelf.admission import bulk_limit, late_allowance
from hawthornshelf.configuration import Configuration, EngineService, Runner
from hawthornshelf.effects import ReadLoad
from hawthornshelf.events import LoadReport, LoadReported
from hawthornshelf.prefixes import PrefixTable
from hawthornshelf.rates import RateEstimator

__all__ = ["Choice", "UpstreamRow", "UpstreamTable", "UpstreamQuery"]

LOAD_READ_SECONDS = 1.0
LOAD_HALF_LIFE_SECONDS = 0.5
RETRY_DOWN_SECONDS = 1.0
TOKENS_PER_BLOCK = 16
BUSY_SECONDS = 0.1
HOP_SECONDS = 0.003
SAMPLED_CHOICES = 2
MAX_IN_FLIGHT_PER_SLOT = 4
MAX_URGENT_BESIDE_LATE = 1
IDLE_SHARE = 0.6
FRESH_SECONDS = 2.5


class UpstreamRow(NamedTuple):
    """Hold one upstream; times are monotonic seconds."""

    runner: Runner
    service: str
    is_engine: bool
    boot: str = ""
    in_flight: int = 0
    urgent: int = 0
    tokens_in_flight: int = 0
    report: LoadReport | None = None
    reported_at: float = float("-inf")
    asked_at: float = float("-inf")
    down_until: float = float("-inf")
    last_event: int = 0


class UpstreamQuery(NamedTuple):
    """Hold what a request needs of an upstream."""

    service: str
    nodes: int
    urgent: bool = False
    lateness: float = 0.0
    tokens: int = 0
    blocks: tuple[str, ...] = ()
    excluded: tuple[str, ...] = ()


class Choice(NamedTuple):
    """Hold the upstream chosen and the seconds it is expected to need to start."""

    row: UpstreamRow
    ttft: float


class UpstreamTable:
    """Hold all upstreams of the configuration in force, indexed by service."""

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._rows: dict[str, UpstreamRow] = {}
        self._by_service: dict[str, list[str]] = {}
        self.prefixes = PrefixTable()
        self.rates = RateEstimator()
        self.blocked: frozenset[str] = frozenset()

    def load(self, configuration: Configuration) -> None:
        """Take the runners of a configuration, keeping what is known of them."""
        rows: dict[str, UpstreamRow] = {}
        by_service: dict[str, list[str]] = {}
        for deployment in configuration.deployments:
            for service in deployment.all_services():
                is_engine = isinstance(service, EngineService)
                for runner in service.runners:
                    fresh = UpstreamRow(runner, service.name, is_engine)
                    known = self._rows.get(runner.name, fresh)
                    rows[runner.name] = known._replace(
                        runner=runner, service=service.name, is_engine=is_engine
                    )
                    by_service.setdefault(service.name, []).append(runner.name)
        self._rows, self._by_service = rows, by_service

    def find(self, name: str) -> UpstreamRow | None:
        """Return one upstream, if it is declared."""
        return self._rows.get(name)

    def rows(self) -> tuple[UpstreamRow, ...]:
        """Return all upstreams."""
        return tuple(self._rows.values())

    def in_service(self, service: str) -> list[UpstreamRow]:
        """Return the upstreams of a service."""
        return [self._rows[name] for name in self._by_service.get(service, ())]

    def choose(self, now: float, query: UpstreamQuery) -> Choice | None:
        """Return the best of a few sampled upstreams with room, or None."""
        skip = self.blocked.union(query.excluded)
        open_rows = [
            row
            for row in self.in_service(query.service)
            if row.runner.name not in skip
            and now >= row.down_until
            and row.in_flight < MAX_IN_FLIGHT_PER_SLOT * row.runner.slots
        ]
        if not open_rows or (not query.urgent and self._is_bulk_full(now, query)):
            return None
        count = min(SAMPLED_CHOICES, len(open_rows))
        sampled = self._rng.sample(open_rows, count)
        choices = [Choice(row, self.estimate_ttft(now, row, query)) for row in sampled]
        return min(choices, key=lambda choice: choice.ttft)

    def slots(self, service: str) -> int:
        """Return the slots of a service's upstreams that take work."""
        return sum(
            row.runner.slots
            for row in self.in_service(service)
            if row.runner.name not in self.blocked
        )

    def _idle_slots(self, now: float, service: str) -> int:
        """Return the slots that others leave, as far as fresh reports tell."""
        idle = 0.0
        for row in self.in_service(service):
            report = row.report
            blocked = row.runner.name in self.blocked
            if report is None or blocked or now - row.reported_at > FRESH_SECONDS:
                continue
            others = max(0, report.running + report.waiting - row.in_flight)
            idle += max(0.0, IDLE_SHARE * row.runner.slots - others)
        return int(idle)

    def _is_bulk_full(self, now: float, query: UpstreamQuery) -> bool:
        """Tell if bulk work would use more than this node's share of the slots.

        The share is an equal one, or what the others leave idle. Urgent work
        counts against it, so that bulk work gives way to it.
        """
        rows = self.in_service(query.service)
        limit = bulk_limit(self.slots(query.service), query.nodes)
        limit = max(limit, self._idle_slots(now, query.service))
        if sum(row.urgent for row in rows) <= MAX_URGENT_BESIDE_LATE:
            limit += late_allowance(query.lateness)
        return sum(row.in_flight for row in rows) >= limit

    def add(self, name: str, tokens: int, urgent: bool) -> None:
        """Count a request that is sent to an upstream."""
        self._count(name, 1, tokens, urgent)

    def remove(self, name: str, tokens: int, urgent: bool) -> None:
        """Discount a request whose attempt has ended."""
        self._count(name, -1, -tokens, urgent)

    def record_boot(self, name: str, boot: str) -> None:
        """Remember the boot id an upstream last told."""
        row = self._rows.get(name)
        if row is not None and boot:
            self._rows[name] = row._replace(boot=boot)

    def record_failure(self, now: float, name: str) -> None:
        """Leave out an upstream for a while after a failure."""
        row = self._rows.get(name)
        if row is not None:
            self._rows[name] = row._replace(down_until=now + RETRY_DOWN_SECONDS)
            self.prefixes.forget(name)

    def on_load(self, now: float, event: LoadReported) -> None:
        """Take in a load report; a failed one leaves the upstream out a while."""
        row = self._rows.get(event.upstream)
        if row is None:
            return
        if event.report is None:
            self.record_failure(now, event.upstream)
            return
        if row.boot and event.report.boot != row.boot:
            self.prefixes.forget(event.upstream)
        self.prefixes.add(event.upstream, event.report.cached)
        self._rows[event.upstream] = row._replace(
            report=event.report._replace(cached=()),
            boot=event.report.boot,
            last_event=event.report.last_event,
            reported_at=now - event.report.age,
        )

    def tick(self, now: float) -> list[ReadLoad]:
        """Return the load reports to ask for now."""
        reads = []
        for name, row in self._rows.items():
            if row.is_engine and now >= row.asked_at + LOAD_READ_SECONDS:
                self._rows[name] = row._replace(asked_at=now)
                reads.append(ReadLoad(name, row.runner.address, row.last_event))
        return reads

    def _count(self, name: str, requests: int, tokens: int, urgent: bool) -> None:
        row = self._rows.get(name)
        if row is not None:
            self._rows[name] = row._replace(
                in_flight=max(0, row.in_flight + requests),
                urgent=max(0, row.urgent + (requests if urgent else 0)),
                tokens_in_flight=max(0, row.tokens_in_flight + tokens),
            )

    def estimate_ttft(
        self, now: float, row: UpstreamRow, query: UpstreamQuery
    ) -> float:
        """Return the seconds until the first token, as far as can be told."""
        rates = self.rates.find(query.service)
        others, tokens = _discount_report(now, row)
        cached = self.prefixes.match(row.runner.name, query.blocks)
        own = query.tokens - cached * TOKENS_PER_BLOCK
        waiting = tokens + row.tokens_in_flight
        queue = row.in_flight + others - row.runner.slots
        seconds = rates.bulk
        if query.urgent:
            waiting = 0.0
            queue = min(queue, row.urgent * query.nodes - row.runner.slots)
            seconds = rates.urgent
        slot = max(0.0, queue) * seconds / row.runner.slots
        prefill = (waiting + max(1.0, own)) / rates.prefill
        busy = (row.in_flight + others) / row.runner.slots * BUSY_SECONDS
        distance = 0.0 if row.runner.data_centre == self._data_centre else HOP_SECONDS
        return slot + prefill + busy + distance


def _discount_report(now: float, row: UpstreamRow) -> tuple[float, float]:
    """Return others' requests and tokens, weighted by the age of the report."""
    report = row.report
    if report is None:
        return 0.0, 0.0
    age = max(0.0, now - row.reported_at)
    weight = 0.5 ** (age / LOAD_HALF_LIFE_SECONDS)
    others = max(0, report.running + report.waiting - row.in_flight)
    return weight * others, weight * report.waiting_tokens
