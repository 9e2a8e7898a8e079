"""Limit a node's retries to a fraction of its requests."""

__all__ = ["RetryBudget"]

RETRIES_PER_REQUEST = 0.2
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Track the retries that requests have earned, up to a maximum."""

    def __init__(self) -> None:
        self._saved = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Count a new request."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + RETRIES_PER_REQUEST)

    def spend(self) -> bool:
        """Spend one retry; return False if none is left."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
