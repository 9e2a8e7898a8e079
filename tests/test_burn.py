from datetime import timedelta

from hawthornshelf.burn import compute_burn, describe_burn, plot_burn
from hawthornshelf.configuration import Configuration, Deployment, Objective
from hawthornshelf.metrics import Metrics, RequestOutcome

OBJECTIVE = Objective("urgent", 0.99, timedelta(seconds=2))
CONFIGURATION = Configuration(
    (Deployment("veil", "region", (), objectives=(OBJECTIVE,)),)
)
WALL_TIME = 1_000_000.0


def record(metrics: Metrics, count: int, seconds: float, outcome: str = "complete"):
    for _ in range(count):
        is_server_error = outcome != "complete"
        metrics.record(
            WALL_TIME, RequestOutcome("urgent", outcome, seconds, is_server_error)
        )


def report(*nodes: Metrics):
    buckets = [row for node in nodes for row in node.buckets()]
    return compute_burn(CONFIGURATION, buckets, WALL_TIME, ["a"], ["b"])


def test_failed_and_slow_requests_burn_the_budget() -> None:
    metrics = Metrics()
    record(metrics, 97, 0.5)
    record(metrics, 2, 3.0)
    record(metrics, 1, 0.1, "not-run")
    row = report(metrics).rows[0]
    assert (row.requests, row.bad) == (100, 3)
    assert abs(row.burn - 3.0) < 1e-6


def test_the_histograms_of_nodes_are_merged() -> None:
    first, second = Metrics(), Metrics()
    record(first, 99, 0.1)
    record(second, 1, 1.9)
    row = report(first, second).rows[0]
    assert row.requests == 100
    assert row.p99 < 1.0


def test_a_callers_own_error_does_not_burn_the_budget() -> None:
    metrics = Metrics()
    metrics.record(
        WALL_TIME, RequestOutcome("urgent", "not-run", 0.0, is_server_error=False)
    )
    assert report(metrics).rows[0].requests == 0


def test_old_outcomes_count_in_long_windows_only() -> None:
    metrics = Metrics()
    metrics.record(WALL_TIME - 1800, RequestOutcome("urgent", "complete", 0.1))
    record(metrics, 1, 0.1)
    assert [row.requests for row in report(metrics).rows] == [1, 2, 2]


def test_the_report_names_the_nodes_that_it_did_not_reach() -> None:
    assert "nodes not reached: b" in describe_burn(report(Metrics()))


def test_the_plot_has_a_bar_for_each_row() -> None:
    metrics = Metrics()
    record(metrics, 1, 5.0)
    assert "urgent 6h" in plot_burn(report(metrics))
