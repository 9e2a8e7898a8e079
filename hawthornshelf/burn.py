"""Compute how fast objectives burn their error budgets."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from hawthornshelf.configuration import Configuration, Objective
from hawthornshelf.metrics import BUCKET_SECONDS, OutcomeBucket, new_histogram
from hawthornshelf.texttable import format_table

__all__ = [
    "BurnReport",
    "BurnRow",
    "WINDOWS",
    "describe_burn",
    "plot_burn",
    "compute_burn",
]

WINDOWS = (("5m", 5), ("1h", 60), ("6h", 360))
PLOT_WIDTH = 60
PLOT_HEIGHT = 12


class BurnRow(NamedTuple):
    """Represent the burn rate of one objective in one window; p99 is in seconds.

    A burn rate of 1 uses up the error budget exactly by the end of its period; 14
    uses up a month's budget in two days.
    """

    deployment: str
    work: str
    window: str
    requests: int
    bad: int
    p99: float
    burn: float


class BurnReport(NamedTuple):
    """Represent the burn rates, with the nodes that did and did not report."""

    rows: tuple[BurnRow, ...]
    reached: tuple[str, ...]
    unreached: tuple[str, ...]


def compute_burn(
    configuration: Configuration,
    buckets: Iterable[OutcomeBucket],
    wall_time: float,
    reached: Sequence[str],
    unreached: Sequence[str],
) -> BurnReport:
    """Return the burn rates of all objectives over the outcomes of several nodes.

    `wall_time` is in seconds since the epoch.
    """
    outcomes = list(buckets)
    rows = []
    for deployment in configuration.deployments:
        for objective in deployment.objectives:
            for name, length in WINDOWS:
                first = int(wall_time) // BUCKET_SECONDS - length + 1
                selected = [
                    row
                    for row in outcomes
                    if row.work == objective.work and row.minute >= first
                ]
                rows.append(_compute_row(deployment.name, objective, name, selected))
    return BurnReport(tuple(rows), tuple(reached), tuple(unreached))


def describe_burn(report: BurnReport) -> str:
    """Return the report as a table."""
    headers = ("deployment", "work", "window", "requests", "bad", "p99", "burn")
    rows = [
        (
            row.deployment,
            row.work,
            row.window,
            row.requests,
            row.bad,
            f"{row.p99:.3f} s",
            f"{row.burn:.2f}",
        )
        for row in report.rows
    ]
    reached = ", ".join(report.reached) or "none"
    unreached = ", ".join(report.unreached) or "none"
    return (
        f"{format_table(headers, rows)}\n\n"
        f"nodes reached: {reached}\nnodes not reached: {unreached}"
    )


def plot_burn(report: BurnReport) -> str:
    """Return the burn rates as a text bar chart."""
    import plotext

    if not report.rows:
        return "no objectives are declared"
    names = [f"{row.work} {row.window}" for row in report.rows]
    plotext.clear_figure()
    plotext.theme("clear")
    plotext.plot_size(PLOT_WIDTH, max(PLOT_HEIGHT, len(names) + 4))
    plotext.bar(names, [row.burn for row in report.rows], orientation="horizontal")
    plotext.title("burn rate")
    plotext.xlim(0, max(1.0, *(row.burn for row in report.rows)))
    return plotext.uncolorize(plotext.build())


def _compute_row(
    deployment: str, objective: Objective, window: str, rows: Sequence[OutcomeBucket]
) -> BurnRow:
    merged = new_histogram()
    for row in rows:
        merged.add(HdrHistogram.decode(row.latencies.encode()))
    failed = sum(row.failed for row in rows)
    slow = _count_above(merged, objective.latency.total_seconds())
    total = merged.get_total_count() + failed
    bad = failed + slow
    error_rate = bad / total if total else 0.0
    return BurnRow(
        deployment,
        objective.work,
        window,
        total,
        bad,
        merged.get_value_at_percentile(99.0) / 1e6,
        error_rate / (1.0 - objective.target),
    )


def _count_above(histogram: HdrHistogram, seconds: float) -> int:
    limit = int(seconds * 1e6)
    return sum(
        item.count_added_in_this_iter_step
        for item in histogram.get_recorded_iterator()
        if item.value_iterated_to > limit
    )
