"""Decide which requests a node still takes while it stops."""

from hawthornshelf.gateway.durations import MARGIN

__all__ = ["may_end_in_time"]


def may_end_in_time(
    now: float, ends_at: float, deadline: float, duration: float
) -> bool:
    """Return whether a request that comes now ends before its node does.

    `duration` is what requests of its route take at most, as far as is known. All
    parameters are in seconds, all but the last one on the same clock.
    """
    return min(deadline, now + MARGIN * duration) <= ends_at
