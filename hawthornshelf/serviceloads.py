"""Measure the load offered to a service from the totals that entry nodes send.

Answers changing load that no single node sees: each node counts what its callers
offered and what became of it, and the holder of the duty adds the rates up.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["LoadLedger", "ServiceDemand", "ServiceLoad"]

RATE_WINDOW_SECONDS = 3.0
"""Time over which rates are measured; shorter ones vary too much at few prompts."""

MAX_AGE_SECONDS = 3.0
"""Totals that came longer ago are stale and left out."""

KNOWN_SECONDS = 10.0
"""A node that sent totals within this time counts as one whose totals are missing."""

MAX_REPORTS_PER_NODE = 16
"""Reports kept of a node; at one a second a window needs four."""


class ServiceLoad(NamedTuple):
    """Store what one node counted for a service since it started.

    Requests that come again after a refusal are left out of the totals. `offered`,
    `on_time`, `late` and `refused` count long prompts; a prompt is late if its first
    token came after its target or not at all. `prompt_tokens` are those of offered
    prompts that no cache held. `prefill_seconds` is the time to first token of
    `prefill_tokens` of them. `interactive_offered` counts interactive requests,
    `interactive_missed` those that were refused or late. `streams` of those and
    `long_streams` of long prompts are at engines now; `waiting` long prompts have no
    engine yet.
    """

    service: str
    data_centre: str
    offered: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    prompt_tokens: int = 0
    prefill_tokens: int = 0
    prefill_seconds: float = 0.0
    interactive_offered: int = 0
    interactive_missed: int = 0
    streams: int = 0
    long_streams: int = 0
    waiting: int = 0


class ServiceDemand(NamedTuple):
    """Store the load of a service over all nodes; rates are per second.

    `fresh_share` is the share of the known nodes whose totals are fresh.
    `data_centres` are those of the nodes. The other fields add up `ServiceLoad`.
    """

    fresh_share: float = 0.0
    data_centres: tuple[str, ...] = ()
    offered: float = 0.0
    on_time: float = 0.0
    late: float = 0.0
    refused: float = 0.0
    prompt_tokens: float = 0.0
    prefill_tokens: float = 0.0
    prefill_seconds: float = 0.0
    interactive_offered: float = 0.0
    interactive_missed: float = 0.0
    streams: int = 0
    long_streams: int = 0
    waiting: int = 0


class _Report(NamedTuple):
    """Store the totals of a node as of its own time, in seconds."""

    as_of: float
    loads: dict[str, ServiceLoad]


class _NodeReports:
    """Store the recent reports of one run of a node."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.received_at = 0.0
        self.reports: deque[_Report] = deque(maxlen=MAX_REPORTS_PER_NODE)

    def add(self, now: float, report: _Report) -> None:
        if self.reports and report.as_of <= self.reports[-1].as_of:
            return
        self.received_at = now
        self.reports.append(report)
        first_needed = report.as_of - RATE_WINDOW_SECONDS
        while len(self.reports) > 2 and self.reports[1].as_of <= first_needed:
            self.reports.popleft()


class LoadLedger:
    """Keep the newest totals of each entry node and compute rates from them."""

    def __init__(self) -> None:
        self._nodes: dict[str, _NodeReports] = {}

    def record(
        self,
        now: float,
        node: str,
        incarnation: str,
        as_of: float,
        loads: Iterable[ServiceLoad],
    ) -> None:
        """Record a node's totals as of a time of its own clock, in seconds.

        Totals that are older than the newest ones, or repeated, have no effect.
        """
        reports = self._nodes.get(node)
        if reports is None or reports.incarnation != incarnation:
            reports = self._nodes[node] = _NodeReports(incarnation)
        reports.add(now, _Report(as_of, {load.service: load for load in loads}))

    def measure(self, now: float, service: str) -> ServiceDemand:
        """Return the load of a service by the fresh totals of all nodes."""
        for node, reports in list(self._nodes.items()):
            if now > reports.received_at + KNOWN_SECONDS:
                del self._nodes[node]
        fresh = [
            reports
            for reports in self._nodes.values()
            if now <= reports.received_at + MAX_AGE_SECONDS
        ]
        if not fresh:
            return ServiceDemand()
        rates = [0.0] * len(_totals(ServiceLoad(service, "")))
        streams = long_streams = waiting = 0
        data_centres: set[str] = set()
        for reports in fresh:
            load = reports.reports[-1].loads.get(service)
            if load is not None:
                data_centres.add(load.data_centre)
                _add_rates(rates, reports.reports, load)
                streams += load.streams
                long_streams += load.long_streams
                waiting += load.waiting
        fresh_share = len(fresh) / len(self._nodes)
        names = tuple(sorted(data_centres))
        return ServiceDemand._make(
            (fresh_share, names, *rates, streams, long_streams, waiting)
        )


def _totals(load: ServiceLoad) -> tuple[float, ...]:
    """Return the totals of a row, in the order of the rates of a demand."""
    return (
        load.offered,
        load.on_time,
        load.late,
        load.refused,
        load.prompt_tokens,
        load.prefill_tokens,
        load.prefill_seconds,
        load.interactive_offered,
        load.interactive_missed,
    )


def _add_rates(rates: list[float], reports: deque[_Report], last: ServiceLoad) -> None:
    """Add what a node's totals grew by each second."""
    seconds = reports[-1].as_of - reports[0].as_of
    if seconds <= 0:
        return
    first = reports[0].loads.get(last.service, ServiceLoad(last.service, ""))
    totals = zip(_totals(last), _totals(first), strict=True)
    for index, (newer, older) in enumerate(totals):
        rates[index] += max(0.0, newer - older) / seconds
