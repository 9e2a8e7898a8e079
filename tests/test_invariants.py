"""Show that the checkers reject bad histories."""

import pytest

from hawthornshelf.commands import (
    ConfigurationAccepted,
    ConfigurationConflict,
    ProposeConfiguration,
)
from hawthornshelf.configuration import Configuration
from tests.chaos import make_booking, make_simulation
from tests.invariants import check_at_most_once, check_orders, is_linearizable
from tests.simulation import Operation
from tests.upstreams import OrderRecord, RunRecord


def _operation(change: str, base: int, began: float, ended: float, result) -> Operation:
    command = ProposeConfiguration(change, base, "op", Configuration())
    return Operation("n", command, began, ended, result)


def test_a_good_history_is_accepted() -> None:
    operations = [
        _operation("a", 0, 0, 1, ConfigurationAccepted(1)),
        _operation("b", 0, 0, 2, ConfigurationConflict(0, 1)),
        _operation("a", 0, 3, 4, ConfigurationAccepted(1)),
    ]
    assert is_linearizable(operations)


def test_two_winners_on_one_base_are_rejected() -> None:
    operations = [
        _operation("a", 0, 0, 1, ConfigurationAccepted(1)),
        _operation("b", 0, 0, 1, ConfigurationAccepted(1)),
    ]
    assert not is_linearizable(operations)


def test_a_version_that_reverts_is_rejected() -> None:
    operations = [
        _operation("a", 0, 0, 1, ConfigurationAccepted(1)),
        _operation("b", 1, 2, 3, ConfigurationAccepted(2)),
        _operation("c", 5, 4, 5, ConfigurationConflict(5, 1)),
    ]
    assert not is_linearizable(operations)


def test_a_call_without_result_may_or_may_not_count() -> None:
    lost = _operation("a", 0, 0, 10, None)
    assert is_linearizable([lost, _operation("b", 1, 11, 12, ConfigurationAccepted(2))])
    assert is_linearizable([lost, _operation("b", 0, 11, 12, ConfigurationAccepted(1))])


def test_orders_out_of_turn_are_rejected() -> None:
    simulation = make_simulation(0)
    late = [OrderRecord(1, "c0", 5, 5, 0, False), OrderRecord(2, "c1", 4, 4, 0, False)]
    simulation.engines["g1"].orders = late
    with pytest.raises(AssertionError):
        check_orders(simulation)


def test_an_order_that_cuts_a_request_is_rejected() -> None:
    simulation = make_simulation(0)
    simulation.engines["g1"].orders = [OrderRecord(1, "c0", 5, 5, 1, False)]
    with pytest.raises(AssertionError):
        check_orders(simulation)


def test_a_key_that_ran_twice_is_rejected() -> None:
    simulation = make_simulation(0)
    event = make_booking("r", "k")
    runs = [RunRecord(1, event.request, f"r.{n}", "k") for n in range(2)]
    simulation.services["a0"].runs = runs
    with pytest.raises(AssertionError):
        check_at_most_once(simulation)
