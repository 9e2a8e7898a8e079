"""Detect retried requests by the time that their callers have left."""

import statistics
from collections import deque

__all__ = ["RetryDetector"]

MAX_SAMPLES = 64
"""Samples kept for a route: some seconds of requests at one node."""

MIN_SAMPLES = 8
"""With fewer samples every request counts as a first attempt."""


class RetryDetector:
    """Track the time budgets, in seconds, that the callers of one route allow.

    Under load refused callers retry. A retry has less time left than any first
    attempt and can no longer meet its target. Callers differ in the time that they
    allow, so a budget below most others is not enough evidence. At least half of the
    requests are taken to be first attempts, with budgets that spread evenly: their
    smallest budget is then as far below the median as the largest is above it, and a
    still smaller one is that of a retry.
    """

    def __init__(self) -> None:
        self._budgets: deque[float] = deque(maxlen=MAX_SAMPLES)

    def record(self, budget: float) -> None:
        """Record the time budget of a request, in seconds."""
        self._budgets.append(budget)

    def elapsed(self, budget: float) -> float:
        """Return the seconds since a request's first attempt, or 0 if it is the first.

        `budget` is the time that its caller has left, in seconds.
        """
        if len(self._budgets) < MIN_SAMPLES:
            return 0.0
        median = statistics.median(self._budgets)
        smallest_first = 2 * median - max(self._budgets)
        return median - budget if budget < smallest_first else 0.0
