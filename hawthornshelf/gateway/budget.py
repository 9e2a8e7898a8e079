"""Limit retries and other extra sends over a sliding window."""

import contextlib
from collections import deque
from typing import NamedTuple

__all__ = ["RetryBudget", "RetryLimits", "SlidingWindow"]

SAFETY_FACTOR = 0.6
"""Share of the fleet's allowance that nodes use, as their count may be wrong."""

SLACK_WITHOUT_NODE_COUNT = 1.0
"""Extra sends of a node that does not know the others yet; far below any share."""


class RetryLimits(NamedTuple):
    """Limit a service's extra sends by all nodes in any window of `window` seconds.

    The fleet may send `ratio` times the requests of the window plus `slack`.
    """

    ratio: float = 0.1
    slack: float = 10.0
    window: float = 10.0


class SlidingWindow:
    """Count the events of the last `seconds`."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count an event; `now` in monotonic seconds."""
        self._times.append(now)

    def remove(self, at: float) -> None:
        """Take back an event that was counted at a time."""
        with contextlib.suppress(ValueError):
            self._times.remove(at)

    def count(self, now: float) -> int:
        """Return the number of events in the window that ends now."""
        while self._times and self._times[0] <= now - self._seconds:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """Track one node's share of the retry budget of each service.

    A node may spend the ratio of its own requests and an equal share of the slack,
    so the sum stays within the fleet's limit while the count of nodes is right.
    """

    def __init__(self, limits: RetryLimits = RetryLimits()) -> None:
        self._limits = limits
        self._requests: dict[str, SlidingWindow] = {}
        self._extra_sends: dict[str, SlidingWindow] = {}

    def record_request(self, now: float, service: str) -> None:
        """Count a caller's request to a service."""
        self._find(self._requests, service).add(now)

    def may_spend(self, now: float, service: str, nodes: int) -> bool:
        """Return whether the budget allows an extra send, in a fleet of `nodes`.

        While their number is unknown (0), the node has one send of the slack instead
        of a share.
        """
        limits = self._limits
        requests = self._find(self._requests, service).count(now)
        slack = (
            SAFETY_FACTOR * limits.slack / nodes if nodes else SLACK_WITHOUT_NODE_COUNT
        )
        allowed = SAFETY_FACTOR * limits.ratio * requests + min(slack, limits.slack)
        return self._find(self._extra_sends, service).count(now) + 1 <= allowed

    def spend(self, now: float, service: str) -> None:
        """Count an extra send to a service."""
        self._find(self._extra_sends, service).add(now)

    def give_back(self, service: str, at: float) -> None:
        """Take back an extra send that was counted at a time and did not take place."""
        self._find(self._extra_sends, service).remove(at)

    def _find(self, windows: dict[str, SlidingWindow], service: str) -> SlidingWindow:
        if service not in windows:
            windows[service] = SlidingWindow(self._limits.window)
        return windows[service]
