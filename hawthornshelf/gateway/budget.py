"""Bound what is sent beyond each request's first send, over a sliding window."""

from collections import deque
from typing import NamedTuple

__all__ = ["RetryBudget", "RetryLimits"]

SAFETY_FACTOR = 0.6
"""Part of the fleet's allowance that is spent: the count of nodes may be wrong."""

SLACK_WITHOUT_NODE_COUNT = 1.0
"""Extra sends of a node that does not know the others: far below any share."""


class RetryLimits(NamedTuple):
    """Bound a service's extra sends, over all nodes, in any window.

    The fleet may send `ratio` times the requests of the window plus `slack`.
    """

    ratio: float = 0.1
    slack: float = 10.0
    window: float = 10.0


class _SlidingWindow:
    """Count events of the last window."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        self._times.append(now)

    def count(self, now: float) -> int:
        while self._times and self._times[0] <= now - self._seconds:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """Hold one node's part of the budget, by service.

    A node spends its own requests' ratio and an equal share of the slack, so that
    the sum stays within the fleet's bound as long as the nodes are counted right.
    """

    def __init__(self, limits: RetryLimits = RetryLimits()) -> None:
        self._limits = limits
        self._requests: dict[str, _SlidingWindow] = {}
        self._extra_sends: dict[str, _SlidingWindow] = {}

    def record_request(self, now: float, service: str) -> None:
        """Count a request that came for a service."""
        self._find(self._requests, service).add(now)

    def may_spend(self, now: float, service: str, nodes: int) -> bool:
        """Tell if one more extra send to a service fits, for a fleet of `nodes`.

        While their number is unknown (0) a node has one of the slack, not a share.
        """
        limits = self._limits
        requests = self._find(self._requests, service).count(now)
        slack = (
            SAFETY_FACTOR * limits.slack / nodes if nodes else SLACK_WITHOUT_NODE_COUNT
        )
        allowed = SAFETY_FACTOR * limits.ratio * requests + min(slack, limits.slack)
        return self._find(self._extra_sends, service).count(now) + 1 <= allowed

    def spend(self, now: float, service: str) -> None:
        """Count an extra send."""
        self._find(self._extra_sends, service).add(now)

    def _find(self, windows: dict[str, _SlidingWindow], service: str) -> _SlidingWindow:
        if service not in windows:
            windows[service] = _SlidingWindow(self._limits.window)
        return windows[service]
