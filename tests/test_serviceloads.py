"""Test what is measured of the totals that entry nodes send."""

import pytest

from hawthornshelf.serviceloads import LoadLedger, ServiceLoad

FIRST = ServiceLoad("chat", "a", offered=100, prompt_tokens=1000, streams=3)
SECOND = FIRST._replace(offered=106, refused=3, prompt_tokens=1600, streams=5)


def record_both(ledger: LoadLedger, node: str = "n1", run: str = "i1") -> None:
    ledger.record(10.0, node, run, 500.0, [FIRST])
    ledger.record(13.0, node, run, 503.0, [SECOND])


def test_rates_are_differences_of_totals_by_the_nodes_own_time() -> None:
    ledger = LoadLedger()
    record_both(ledger)
    demand = ledger.measure(13.0, "chat")
    assert (demand.offered, demand.refused, demand.prompt_tokens) == (2, 1, 200)
    assert (demand.streams, demand.fresh_share) == (5, 1.0)
    assert demand.data_centres == ("a",)


def test_the_first_totals_of_a_node_give_no_rate() -> None:
    """Guards against a burst where a node's totals are first seen."""
    ledger = LoadLedger()
    ledger.record(10.0, "n1", "i1", 500.0, [SECOND])
    demand = ledger.measure(10.0, "chat")
    assert demand.offered == 0 and demand.streams == 5


def test_a_restarted_node_counts_from_its_new_totals() -> None:
    ledger = LoadLedger()
    record_both(ledger)
    ledger.record(14.0, "n1", "i2", 504.0, [FIRST._replace(offered=0)])
    ledger.record(15.0, "n1", "i2", 505.0, [FIRST._replace(offered=4)])
    assert ledger.measure(15.0, "chat").offered == 4


@pytest.mark.parametrize("as_of", [499.0, 503.0])
def test_repeated_and_overtaken_totals_have_no_effect(as_of: float) -> None:
    ledger = LoadLedger()
    record_both(ledger)
    before = ledger.measure(13.0, "chat")
    ledger.record(13.0, "n1", "i1", as_of, [FIRST._replace(streams=40)])
    assert ledger.measure(13.0, "chat") == before


def test_totals_older_than_3_s_are_left_out_and_lower_the_fresh_share() -> None:
    ledger = LoadLedger()
    record_both(ledger)
    ledger.record(17.0, "n2", "i1", 600.0, [FIRST])
    demand = ledger.measure(17.0, "chat")
    assert demand.fresh_share == 0.5 and demand.streams == 3
    assert ledger.measure(24.0, "chat").fresh_share == 0.0
    ledger.record(24.0, "n2", "i1", 607.0, [FIRST])
    assert ledger.measure(24.0, "chat").fresh_share == 1.0


def test_a_service_that_appears_later_counts_from_zero() -> None:
    ledger = LoadLedger()
    ledger.record(10.0, "n1", "i1", 500.0, [])
    ledger.record(12.0, "n1", "i1", 502.0, [ServiceLoad("chat", "a", offered=8)])
    assert ledger.measure(12.0, "chat").offered == 4


def test_reports_kept_of_a_node_are_bounded() -> None:
    ledger = LoadLedger()
    for step in range(1000):
        load = FIRST._replace(offered=2 * step)
        ledger.record(step / 10, "n1", "i1", step / 10, [load])
    demand = ledger.measure(99.9, "chat")
    assert demand.offered == pytest.approx(20)
