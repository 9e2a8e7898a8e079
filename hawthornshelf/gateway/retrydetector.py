"""Tell callers that ask for the first time from those that come back."""

import statistics
from collections import deque

__all__ = ["RetryDetector"]

MAX_SAMPLES = 64
"""Requests of a route that are remembered: some seconds of one node's share."""

MIN_SAMPLES = 8
"""With fewer samples every request is taken for a first one."""


class RetryDetector:
    """Learn how much time the callers of one route allow, in seconds.

    Answers refusals under load: a caller that comes back has less time left than
    all first ones, and can't have its answer by its target any more. Callers differ
    in the time they allow, so that less than most have is no sign yet. At least half
    of the requests being first ones, their least is as far below the median as
    their most is above.
    """

    def __init__(self) -> None:
        self._budgets: deque[float] = deque(maxlen=MAX_SAMPLES)

    def record(self, budget: float) -> None:
        """Learn from a request with so much time left."""
        self._budgets.append(budget)

    def elapsed(self, budget: float) -> float:
        """Return for how long a caller with so much time left has been asking."""
        if len(self._budgets) < MIN_SAMPLES:
            return 0.0
        median = statistics.median(self._budgets)
        least = 2 * median - max(self._budgets)
        return median - budget if budget < least else 0.0
