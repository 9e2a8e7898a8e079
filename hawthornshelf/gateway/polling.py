"""Compute how often a node polls the platform's list of runners."""

from typing import NamedTuple

__all__ = ["ListPace", "poll_interval"]

MIN_INTERVAL_SECONDS = 1.0
RATE_SHARE = 0.6
"""Share of the platform's rate limit that nodes use, as their count may be wrong."""

MAX_CALLS_PER_SECOND = 25.0
"""Limit on the calls of all nodes together, even if the platform allows more."""

DRAIN_SHARE = 0.7
"""Longest interval, as a share of the time until a leaving runner must get no work.

The rest leaves time for one failed read.
"""


class ListPace(NamedTuple):
    """Store the limits on polling the list of runners.

    `rate` is in calls per second of all nodes; `drain_seconds` is the time until a
    runner that starts to drain must get no more work.
    """

    rate: float = 10.0
    drain_seconds: float = 3.0


def poll_interval(limits: ListPace, nodes: int) -> float:
    """Return the seconds between two polls of one node.

    Every node polls by itself, so that none depends on others to learn of a runner
    that leaves; with more nodes each one polls less often.
    """
    calls = min(MAX_CALLS_PER_SECOND, RATE_SHARE * limits.rate)
    interval = max(MIN_INTERVAL_SECONDS, nodes / calls)
    return min(interval, max(MIN_INTERVAL_SECONDS, DRAIN_SHARE * limits.drain_seconds))
