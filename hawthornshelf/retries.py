"""Bound the retries of a node by a share of the requests it serves."""

__all__ = ["RetryBudget"]

RETRIES_PER_REQUEST = 0.2
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Earn a share of a retry with each request and spend a whole one on each."""

    def __init__(self) -> None:
        self._saved = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Count a new request."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + RETRIES_PER_REQUEST)

    def spend(self) -> bool:
        """Take one retry if there is one left."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
