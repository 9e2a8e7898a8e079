"""Test the replacement of voters in all orders of events, up to a depth.

Deeper: python -m tests.replacementexplorer --depth N
"""

import pytest

from tests.replacementexplorer import AddsFirst, RemovesFirst, Rules, explore

SILENT = Rules(restarts=0)
RESTARTS = Rules(timers=0, restarts=1, proposals=0)
WIPED_AGAIN = Rules(
    begins_wiped=True, wipes=1, silences=0, timers=0, proposals=0, restarts=0
)
FIVE_VOTERS = Rules(losses=2, timers=0, proposals=0, restarts=0, silences=2)


@pytest.mark.parametrize(
    ("rules", "depth", "min_states"),
    [
        (SILENT, 5, 4000),
        (RESTARTS, 6, 1000),
        (WIPED_AGAIN, 5, 900),
        (FIVE_VOTERS, 5, 1500),
    ],
)
def test_a_replacement_reaches_a_state_that_bears_fewer_lost_disks(
    rules: Rules, depth: int, min_states: int
) -> None:
    exploration = explore(depth, rules)
    print(f"depth {depth}: {exploration.states} states, {exploration.actions} actions")
    assert exploration.violation == ""
    assert exploration.path == ()
    assert exploration.states >= min_states


def test_the_explorer_misses_a_voter_that_is_removed_too_early() -> None:
    exploration = explore(4, SILENT._replace(reconciler=RemovesFirst))
    assert exploration.violation.startswith("no leader after the loss of ")


def test_the_explorer_misses_a_machine_whose_disk_is_lost_twice() -> None:
    """With one voter more, the dead replicas of one machine outweigh the others."""
    exploration = explore(4, WIPED_AGAIN._replace(reconciler=AddsFirst))
    assert exploration.violation == "no leader after the loss of b"
