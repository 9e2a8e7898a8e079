"""Count request outcomes and measure latencies per work class."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector, CollectorRegistry

__all__ = [
    "LabelledGauge",
    "Metrics",
    "OutcomeBucket",
    "RequestOutcome",
    "new_histogram",
]

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
BUCKET_SECONDS = 60
KEPT_BUCKETS = 6 * 60
QUANTILES = (50.0, 95.0, 99.0)


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


class _OutcomeKey(NamedTuple):
    work: str
    outcome: str


class _PermitKey(NamedTuple):
    service: str
    is_granted: bool


class RequestOutcome(NamedTuple):
    """Represent how a request ended; `seconds` is its latency.

    `is_server_error` is false for a failure that the caller caused, which does not
    count against the error budget.
    """

    work: str
    outcome: str
    seconds: float
    is_server_error: bool = False


class LabelledGauge(NamedTuple):
    """Store the current value of a metric for some labels."""

    name: str
    labels: Mapping[str, str]
    value: float


class OutcomeBucket(NamedTuple):
    """Represent the outcomes of one work class in one minute since the epoch.

    `latencies` is an encoded histogram, in microseconds.
    """

    minute: int
    work: str
    failed: int
    latencies: str


class _Bucket:
    """Collect the outcomes of one work class in one minute."""

    def __init__(self) -> None:
        self.failed = 0
        self.latencies = new_histogram()


class Metrics:
    """Store the outcome counters and latency histograms of a node."""

    def __init__(self) -> None:
        self._outcomes: dict[_OutcomeKey, int] = {}
        self._latencies: dict[str, HdrHistogram] = {}
        self._buckets: dict[tuple[int, str], _Bucket] = {}
        self._permits: dict[_PermitKey, int] = {}
        self._run_ends: dict[str, HdrHistogram] = {}
        self._hedges: dict[str, int] = {}
        self._hedge_refusals: dict[str, int] = {}

    def record(self, wall_time: float, request: RequestOutcome) -> None:
        """Count a request that ended at `wall_time`, in seconds since the epoch.

        Only complete requests have a latency.
        """
        work, outcome, seconds = request.work, request.outcome, request.seconds
        key = _OutcomeKey(work, outcome)
        self._outcomes[key] = self._outcomes.get(key, 0) + 1
        bucket = self._find_bucket(wall_time, work)
        if outcome != "complete":
            bucket.failed += request.is_server_error
            return
        microseconds = _to_microseconds(seconds)
        if work not in self._latencies:
            self._latencies[work] = new_histogram()
        self._latencies[work].record_value(microseconds)
        bucket.latencies.record_value(microseconds)

    def count_permit(self, service: str, is_granted: bool) -> None:
        """Count the answer to a question for a permit for a rate-limited runner."""
        key = _PermitKey(service, is_granted)
        self._permits[key] = self._permits.get(key, 0) + 1

    def show_hedges(self, limits: Iterable[str]) -> None:
        """Export the counters of hedges from now on, also while they are 0."""
        self._hedges = {"sent": 0, "won": 0}
        self._hedge_refusals = dict.fromkeys(limits, 0)

    def count_hedge(self, outcome: str) -> None:
        """Count a second send of a request that was still open; `sent` or `won`."""
        self._hedges[outcome] += 1

    def count_hedge_refusal(self, limit: str) -> None:
        """Count a hedge that a limit forbade."""
        self._hedge_refusals[limit] += 1

    def record_run_end(self, outcome: str, seconds: float) -> None:
        """Count what was found on the end of a run, and the seconds that it took."""
        if outcome not in self._run_ends:
            self._run_ends[outcome] = new_histogram()
        self._run_ends[outcome].record_value(_to_microseconds(seconds))

    def buckets(self) -> list[OutcomeBucket]:
        """Return the buckets of the last six hours, with encoded histograms."""
        return [
            OutcomeBucket(
                minute, work, bucket.failed, bucket.latencies.encode().decode()
            )
            for (minute, work), bucket in self._buckets.items()
        ]

    def export(
        self, gauges: Mapping[str, float], labelled: Iterable[LabelledGauge] = ()
    ) -> bytes:
        """Return all metrics in the Prometheus text format."""
        registry = CollectorRegistry()
        registry.register(
            _MetricsCollector(
                self._outcomes,
                self._permits,
                self._run_ends,
                self._hedges,
                self._hedge_refusals,
                self._latencies,
                gauges,
                tuple(labelled),
            )
        )
        return generate_latest(registry)

    def _find_bucket(self, wall_time: float, work: str) -> _Bucket:
        key = (int(wall_time) // BUCKET_SECONDS, work)
        if key not in self._buckets:
            self._buckets[key] = _Bucket()
            oldest = key[0] - KEPT_BUCKETS
            for expired in [k for k in self._buckets if k[0] < oldest]:
                del self._buckets[expired]
        return self._buckets[key]


def _to_microseconds(seconds: float) -> int:
    return min(max(int(seconds * 1e6), MIN_LATENCY_US), MAX_LATENCY_US)


class _MetricsCollector(Collector):
    def __init__(
        self,
        outcomes: Mapping[_OutcomeKey, int],
        permits: Mapping[_PermitKey, int],
        run_ends: Mapping[str, HdrHistogram],
        hedges: Mapping[str, int],
        hedge_refusals: Mapping[str, int],
        latencies: Mapping[str, HdrHistogram],
        gauges: Mapping[str, float],
        labelled: tuple[LabelledGauge, ...] = (),
    ) -> None:
        self._outcomes = outcomes
        self._permits = permits
        self._run_ends = run_ends
        self._hedges = hedges
        self._hedge_refusals = hedge_refusals
        self._latencies = latencies
        self._gauges = gauges
        self._labelled = labelled

    def collect(self) -> list[Any]:
        """Return the metric families for the Prometheus client library."""
        requests = CounterMetricFamily(
            "hawthornshelf_requests", "Requests ended", labels=["work", "outcome"]
        )
        for key, count in self._outcomes.items():
            requests.add_metric([key.work, key.outcome], count)
        families = [requests, self._collect_permits(), *self._collect_run_ends()]
        families += self._collect_hedges()
        gauges = [*self._collect_gauges(), *self._collect_labelled()]
        return [*families, *self._collect_latencies(), *gauges]

    def _collect_permits(self) -> CounterMetricFamily:
        family = CounterMetricFamily(
            "hawthornshelf_permits",
            "Answers to questions for permits for rate-limited runners",
            labels=["service", "answer"],
        )
        for key, count in self._permits.items():
            answer = "granted" if key.is_granted else "refused"
            family.add_metric([key.service, answer], count)
        return family

    def _collect_run_ends(self) -> list[Any]:
        counts = CounterMetricFamily(
            "hawthornshelf_run_ends",
            "What engines were found to do with runs whose connections broke",
            labels=["outcome"],
        )
        waits = GaugeMetricFamily(
            "hawthornshelf_run_end_seconds",
            "Time until that was known",
            labels=["outcome", "quantile"],
        )
        for outcome, histogram in self._run_ends.items():
            counts.add_metric([outcome], histogram.get_total_count())
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile) / 1e6
                waits.add_metric([outcome, str(quantile / 100)], value)
        return [counts, waits]

    def _collect_hedges(self) -> list[Any]:
        """Return the counters of hedges, none where no hedge may be sent."""
        if not self._hedges:
            return []
        hedges = CounterMetricFamily(
            "hawthornshelf_hedges",
            "Second sends of requests that were still open, and those that won",
            labels=["outcome"],
        )
        refusals = CounterMetricFamily(
            "hawthornshelf_hedges_refused",
            "Hedges that a limit forbade",
            labels=["limit"],
        )
        for outcome, count in self._hedges.items():
            hedges.add_metric([outcome], count)
        for limit, count in self._hedge_refusals.items():
            refusals.add_metric([limit], count)
        return [hedges, refusals]

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

    def _collect_labelled(self) -> list[Any]:
        families: dict[str, GaugeMetricFamily] = {}
        for name, labels, value in self._labelled:
            if name not in families:
                families[name] = GaugeMetricFamily(
                    f"hawthornshelf_{name}", name.replace("_", " "), labels=[*labels]
                )
            families[name].add_metric([*labels.values()], value)
        return [*families.values()]
