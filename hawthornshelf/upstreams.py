"""Track the load and health of an entry node's upstreams, and choose among them."""

import random
from typing import NamedTuple

from hawthornshelf.admission import bulk_limit, late_allowance
from hawthornshelf.configuration import Configuration, EngineService, Runner
from hawthornshelf.effects import ReadLoad
from hawthornshelf.events import LoadReport, LoadReported
from hawthornshelf.prefixes import PrefixTable
from hawthornshelf.rates import RateEstimator

__all__ = ["Choice", "UpstreamQuery", "UpstreamRow", "UpstreamTable"]

LOAD_POLL_SECONDS = 1.0
LOAD_HALF_LIFE_SECONDS = 0.5
DOWN_SECONDS = 1.0
TOKENS_PER_BLOCK = 16
BUSY_PENALTY_SECONDS = 0.1
CROSS_DATA_CENTRE_SECONDS = 0.003
SAMPLE_SIZE = 2
MAX_IN_FLIGHT_PER_SLOT = 4
MAX_URGENT_FOR_LATE_BULK = 1
USABLE_IDLE_SHARE = 0.6
MAX_REPORT_AGE_SECONDS = 2.5


class UpstreamRow(NamedTuple):
    """Store the state of one upstream; times are monotonic seconds.

    `in_flight`, `urgent_in_flight` and `tokens_in_flight` count this node's requests.
    `boot` changes when the upstream restarts, and `last_event` is the number of the
    last cache event that was read.
    """

    runner: Runner
    service: str
    is_engine: bool
    boot: str = ""
    in_flight: int = 0
    urgent_in_flight: int = 0
    tokens_in_flight: int = 0
    report: LoadReport | None = None
    reported_at: float = float("-inf")
    polled_at: float = float("-inf")
    down_until: float = float("-inf")
    last_event: int = 0


class UpstreamQuery(NamedTuple):
    """Represent what a request needs of an upstream.

    `lateness` is the part of its time that the request has waited, from 0 to 1.
    """

    service: str
    node_count: int
    urgent: bool = False
    lateness: float = 0.0
    tokens: int = 0
    blocks: tuple[str, ...] = ()
    excluded: tuple[str, ...] = ()


class Choice(NamedTuple):
    """Represent the upstream chosen and its expected time to first token in seconds."""

    row: UpstreamRow
    ttft: float


class UpstreamTable:
    """Store all upstreams of the configuration in force, indexed by service."""

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._rows: dict[str, UpstreamRow] = {}
        self._by_service: dict[str, list[str]] = {}
        self.prefixes = PrefixTable()
        self.rates = RateEstimator()
        self.blocked: frozenset[str] = frozenset()

    def load(self, configuration: Configuration) -> None:
        """Load the runners of a configuration, keeping the state of known ones."""
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
        """Return one upstream, or None if it is not declared."""
        return self._rows.get(name)

    def rows(self) -> tuple[UpstreamRow, ...]:
        """Return all upstreams."""
        return tuple(self._rows.values())

    def in_service(self, service: str) -> list[UpstreamRow]:
        """Return the upstreams of a service."""
        return [self._rows[name] for name in self._by_service.get(service, ())]

    def choose(self, now: float, query: UpstreamQuery) -> Choice | None:
        """Return the upstream with the lowest expected time to first token, or None.

        Compares SAMPLE_SIZE random candidates with room (power of two choices). A
        bulk request gets none while bulk requests use up this node's share.
        """
        skip = self.blocked.union(query.excluded)
        open_rows = [
            row
            for row in self.in_service(query.service)
            if row.runner.name not in skip
            and now >= row.down_until
            and row.in_flight < MAX_IN_FLIGHT_PER_SLOT * row.runner.slots
        ]
        if not open_rows or (not query.urgent and self._is_bulk_at_limit(now, query)):
            return None
        count = min(SAMPLE_SIZE, len(open_rows))
        sampled = self._rng.sample(open_rows, count)
        choices = [Choice(row, self.estimate_ttft(now, row, query)) for row in sampled]
        return min(choices, key=lambda choice: choice.ttft)

    def slots(self, service: str) -> int:
        """Return the total slots of a service's upstreams that accept requests."""
        return sum(
            row.runner.slots
            for row in self.in_service(service)
            if row.runner.name not in self.blocked
        )

    def _count_idle_slots(self, now: float, service: str) -> int:
        """Return the slots that other nodes leave idle, from recent load reports.

        Only USABLE_IDLE_SHARE of an engine's slots is taken to be usable.
        """
        idle = 0.0
        for row in self.in_service(service):
            report = row.report
            blocked = row.runner.name in self.blocked
            if (
                report is None
                or blocked
                or now - row.reported_at > MAX_REPORT_AGE_SECONDS
            ):
                continue
            others = max(0, report.running + report.waiting - row.in_flight)
            idle += max(0.0, USABLE_IDLE_SHARE * row.runner.slots - others)
        return int(idle)

    def _is_bulk_at_limit(self, now: float, query: UpstreamQuery) -> bool:
        """Return whether bulk requests use up this node's share of the slots.

        The share is an equal one, or the slots that other nodes leave idle if those
        are more. Urgent requests count against it, so that bulk requests yield to
        them. A late bulk request may exceed it while this node has at most
        MAX_URGENT_FOR_LATE_BULK urgent requests in flight.
        """
        rows = self.in_service(query.service)
        limit = bulk_limit(self.slots(query.service), query.node_count)
        limit = max(limit, self._count_idle_slots(now, query.service))
        if sum(row.urgent_in_flight for row in rows) <= MAX_URGENT_FOR_LATE_BULK:
            limit += late_allowance(query.lateness)
        return sum(row.in_flight for row in rows) >= limit

    def add_request(self, name: str, tokens: int, urgent: bool) -> None:
        """Count a request that is dispatched to an upstream."""
        self._adjust(name, 1, tokens, urgent)

    def remove_request(self, name: str, tokens: int, urgent: bool) -> None:
        """Stop counting a request whose attempt has ended."""
        self._adjust(name, -1, -tokens, urgent)

    def record_boot(self, name: str, boot: str) -> None:
        """Record the boot id that an upstream last reported."""
        row = self._rows.get(name)
        if row is not None and boot:
            self._rows[name] = row._replace(boot=boot)

    def record_failure(self, now: float, name: str) -> None:
        """Exclude an upstream for DOWN_SECONDS after a failure; forget its prefixes."""
        row = self._rows.get(name)
        if row is not None:
            self._rows[name] = row._replace(down_until=now + DOWN_SECONDS)
            self.prefixes.forget(name)

    def on_load(self, now: float, event: LoadReported) -> None:
        """Apply a load report; a failed read excludes the upstream for a while."""
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
        """Return the reads of load reports that are due."""
        reads = []
        for name, row in self._rows.items():
            if row.is_engine and now >= row.polled_at + LOAD_POLL_SECONDS:
                self._rows[name] = row._replace(polled_at=now)
                reads.append(ReadLoad(name, row.runner.address, row.last_event))
        return reads

    def _adjust(self, name: str, requests: int, tokens: int, urgent: bool) -> None:
        row = self._rows.get(name)
        if row is not None:
            self._rows[name] = row._replace(
                in_flight=max(0, row.in_flight + requests),
                urgent_in_flight=max(
                    0, row.urgent_in_flight + (requests if urgent else 0)
                ),
                tokens_in_flight=max(0, row.tokens_in_flight + tokens),
            )

    def estimate_ttft(
        self, now: float, row: UpstreamRow, query: UpstreamQuery
    ) -> float:
        """Return the expected time to first token in seconds.

        It is the sum of the wait for a slot, the prefill of the uncached prompt
        tokens and those queued before it, a penalty for busy slots and the delay to
        another data centre. Urgent requests overtake bulk ones at the engine, so an
        urgent request waits only for other urgent ones; every node is taken to have
        as many of them there as this one.
        """
        rates = self.rates.find(query.service)
        others, tokens = _decay_report(now, row)
        cached = self.prefixes.match(row.runner.name, query.blocks)
        uncached = query.tokens - cached * TOKENS_PER_BLOCK
        waiting = tokens + row.tokens_in_flight
        queue = row.in_flight + others - row.runner.slots
        slot_seconds = rates.bulk
        if query.urgent:
            waiting = 0.0
            queue = min(
                queue, row.urgent_in_flight * query.node_count - row.runner.slots
            )
            slot_seconds = rates.urgent
        queue_wait = max(0.0, queue) * slot_seconds / row.runner.slots
        prefill = (waiting + max(1.0, uncached)) / rates.prefill
        busy_penalty = (
            (row.in_flight + others) / row.runner.slots * BUSY_PENALTY_SECONDS
        )
        network_delay = (
            0.0
            if row.runner.data_centre == self._data_centre
            else CROSS_DATA_CENTRE_SECONDS
        )
        return queue_wait + prefill + busy_penalty + network_delay


def _decay_report(now: float, row: UpstreamRow) -> tuple[float, float]:
    """Return the other nodes' requests and waiting tokens from the load report.

    Both decay exponentially with the age of the report.
    """
    report = row.report
    if report is None:
        return 0.0, 0.0
    age = max(0.0, now - row.reported_at)
    decay = 0.5 ** (age / LOAD_HALF_LIFE_SECONDS)
    others = max(0, report.running + report.waiting - row.in_flight)
    return decay * others, decay * report.waiting_tokens
