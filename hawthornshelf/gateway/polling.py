"""Decide how often a node reads the platform's list of runners."""

from typing import NamedTuple

__all__ = ["PollLimits", "poll_interval"]

MIN_INTERVAL_SECONDS = 1.0
RATE_SHARE = 0.6
"""Part of the platform's rate that is used: the count of nodes may be wrong."""

MAX_CALLS_PER_SECOND = 25.0
"""Calls of all nodes together, however many more the platform would take."""

DRAIN_SHARE = 0.7
"""Part of the time after which a leaving runner must get no more work.

The rest is for one read that fails.
"""


class PollLimits(NamedTuple):
    """Bound the reads: calls a second of all nodes, and seconds until a drain holds."""

    rate: float = 10.0
    drain_seconds: float = 3.0


def poll_interval(limits: PollLimits, nodes: int) -> float:
    """Return the seconds between two reads of one node.

    Every node reads by itself, so that none depends on another's word about a
    runner that leaves; with more nodes each reads more rarely.
    """
    calls = min(MAX_CALLS_PER_SECOND, RATE_SHARE * limits.rate)
    wanted = max(MIN_INTERVAL_SECONDS, nodes / calls)
    return min(wanted, max(MIN_INTERVAL_SECONDS, DRAIN_SHARE * limits.drain_seconds))
