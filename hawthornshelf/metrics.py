"""Count outcomes and measure latencies per class of work."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector, CollectorRegistry

__all__ = ["RequestOutcome", "Metrics", "OutcomeBucket", "new_histogram"]

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
BUCKET_SECONDS = 60
KEPT_BUCKETS = 6 * 60
QUANTILES = (50.0, 95.0, 99.0)


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


class _Key(NamedTuple):
    work: str
    outcome: str


class RequestOutcome(NamedTuple):
    """Hold how a request ended; a caller's own mistake is not our fault."""

    work: str
    outcome: str
    seconds: float
    is_server_error: bool = False


class OutcomeBucket(NamedTuple):
    """Hold the outcomes of one class of work in one minute."""

    minute: int
    work: str
    failed: int
    latencies: str


class _Slot:
    """Collect one minute of one class of work."""

    def __init__(self) -> None:
        self.failed = 0
        self.latencies = new_histogram()


class Metrics:
    """Hold the counters and histograms of a node."""

    def __init__(self) -> None:
        self._outcomes: dict[_Key, int] = {}
        self._latencies: dict[str, HdrHistogram] = {}
        self._slots: dict[tuple[int, str], _Slot] = {}

    def record(self, wall: float, ended: RequestOutcome) -> None:
        """Count one request that has ended; only complete ones have a latency."""
        work, outcome, seconds = ended.work, ended.outcome, ended.seconds
        key = _Key(work, outcome)
        self._outcomes[key] = self._outcomes.get(key, 0) + 1
        slot = self._slot(wall, work)
        if outcome != "complete":
            slot.failed += ended.is_server_error
            return
        microseconds = min(max(int(seconds * 1e6), MIN_LATENCY_US), MAX_LATENCY_US)
        if work not in self._latencies:
            self._latencies[work] = new_histogram()
        self._latencies[work].record_value(microseconds)
        slot.latencies.record_value(microseconds)

    def buckets(self) -> list[OutcomeBucket]:
        """Return all minutes kept, with histograms in their portable encoding."""
        return [
            OutcomeBucket(number, work, slot.failed, slot.latencies.encode().decode())
            for (number, work), slot in self._slots.items()
        ]

    def export(self, gauges: Mapping[str, float]) -> bytes:
        """Return all metrics in the Prometheus text format."""
        registry = CollectorRegistry()
        registry.register(_Export(self._outcomes, self._latencies, gauges))
        return generate_latest(registry)

    def _slot(self, wall: float, work: str) -> _Slot:
        key = (int(wall) // BUCKET_SECONDS, work)
        if key not in self._slots:
            self._slots[key] = _Slot()
            oldest = key[0] - KEPT_BUCKETS
            for old in [k for k in self._slots if k[0] < oldest]:
                del self._slots[old]
        return self._slots[key]


class _Export(Collector):
    def __init__(
        self,
        outcomes: Mapping[_Key, int],
        latencies: Mapping[str, HdrHistogram],
        gauges: Mapping[str, float],
    ) -> None:
        self._outcomes = outcomes
        self._latencies = latencies
        self._gauges = gauges

    def collect(self) -> list[Any]:
        """Return the metric families for the collector library."""
        requests = CounterMetricFamily(
            "hawthornshelf_requests", "Requests ended", labels=["work", "outcome"]
        )
        for key, count in self._outcomes.items():
            requests.add_metric([key.work, key.outcome], count)
        return [requests, *self._collect_latencies(), *self._collect_gauges()]

    def _collect_latencies(self) -> list[Any]:
        family = GaugeMetricFamily(
            "hawthornshelf_latency_seconds",
            "Latency of complete requests",
            labels=["work", "quantile"],
        )
        for work, histogram in self._latencies.items():
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile) / 1e6
                family.add_metric([work, str(quantile / 100)], value)
        return [family]

    def _collect_gauges(self) -> list[Any]:
        families = []
        for name, value in self._gauges.items():
            family = GaugeMetricFamily(f"hawthornshelf_{name}", name.replace("_", " "))
            family.add_metric([], value)
            families.append(family)
        return families
