"""Test the founding of a control group in all orders of events, up to a depth.

Deeper: python -m tests.foundingexplorer --depth N
"""

import pytest

from tests.foundingexplorer import Rules, explore

ONE_WIPE = Rules(timers=2, wipes=1, losses=0, restarts=0, cuts=0, proposals=0)
ALL_FAULTS = Rules()


@pytest.mark.parametrize(
    ("rules", "depth", "min_states"),
    [(ALL_FAULTS, 4, 1500), (ONE_WIPE, 7, 10_000)],
)
def test_an_order_of_events_forms_a_second_group(
    rules: Rules, depth: int, min_states: int
) -> None:
    exploration = explore(depth, rules)
    print(f"depth {depth}: {exploration.states} states, {exploration.actions} actions")
    assert exploration.violation == ""
    assert exploration.path == ()
    assert exploration.states >= min_states


def test_the_explorer_misses_a_disk_that_votes_twice() -> None:
    """Without the rule, a wiped disk takes its founder's place again."""
    rules = ONE_WIPE._replace(wiped_disk_is_no_first_start=False)
    exploration = explore(7, rules)
    assert exploration.violation == "term 2 has two leaders"
    assert any(action[0] == "wipe" for action in exploration.path)


def test_the_explorer_never_reaches_a_group() -> None:
    """Else it could find no second one."""
    rules = Rules(timers=1, wipes=0, losses=0, restarts=0, cuts=0)
    exploration = explore(8, rules)
    assert exploration.by_kind["propose"] > 0
    assert exploration.violation == ""
