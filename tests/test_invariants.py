"""Show that the checkers reject bad histories."""

import pytest

from hawthornshelf.commands import (
    ConfigurationAccepted,
    ConfigurationConflict,
    ProposeConfiguration,
)
from hawthornshelf.configuration import Configuration
from tests.chaos import booking, make_world
from tests.invariants import check_at_most_once, check_orders, is_linearizable
from tests.upstreams import OrderRecord, RunRecord
from tests.world import Call


def _call(change: str, base: int, began: float, ended: float, result) -> Call:
    command = ProposeConfiguration(change, base, "op", Configuration())
    return Call("n", command, began, ended, result)


def test_a_good_history_is_accepted() -> None:
    calls = [
        _call("a", 0, 0, 1, ConfigurationAccepted(1)),
        _call("b", 0, 0, 2, ConfigurationConflict(0, 1)),
        _call("a", 0, 3, 4, ConfigurationAccepted(1)),
    ]
    assert is_linearizable(calls)


def test_two_winners_on_one_base_are_rejected() -> None:
    calls = [
        _call("a", 0, 0, 1, ConfigurationAccepted(1)),
        _call("b", 0, 0, 1, ConfigurationAccepted(1)),
    ]
    assert not is_linearizable(calls)


def test_a_version_that_reverts_is_rejected() -> None:
    calls = [
        _call("a", 0, 0, 1, ConfigurationAccepted(1)),
        _call("b", 1, 2, 3, ConfigurationAccepted(2)),
        _call("c", 5, 4, 5, ConfigurationConflict(5, 1)),
    ]
    assert not is_linearizable(calls)


def test_a_call_without_result_may_or_may_not_count() -> None:
    lost = _call("a", 0, 0, 10, None)
    assert is_linearizable([lost, _call("b", 1, 11, 12, ConfigurationAccepted(2))])
    assert is_linearizable([lost, _call("b", 0, 11, 12, ConfigurationAccepted(1))])


def test_orders_out_of_turn_are_rejected() -> None:
    world = make_world(0)
    late = [OrderRecord(1, "c0", 5, 5, 0, False), OrderRecord(2, "c1", 4, 4, 0, False)]
    world.engines["g1"].orders = late
    with pytest.raises(AssertionError):
        check_orders(world)


def test_an_order_that_cuts_a_request_is_rejected() -> None:
    world = make_world(0)
    world.engines["g1"].orders = [OrderRecord(1, "c0", 5, 5, 1, False)]
    with pytest.raises(AssertionError):
        check_orders(world)


def test_a_key_that_ran_twice_is_rejected() -> None:
    world = make_world(0)
    event = booking("r", "k")
    runs = [RunRecord(1, event.request, f"r.{n}", "k") for n in range(2)]
    world.services["a0"].runs = runs
    with pytest.raises(AssertionError):
        check_at_most_once(world)
