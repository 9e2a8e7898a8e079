"""Provide the clock interface that is passed to everything that needs time."""

import time
from abc import ABC, abstractmethod
from datetime import UTC, datetime

__all__ = ["Clock", "SystemClock"]


class Clock(ABC):
    """Tell monotonic seconds and the calendar time."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never run backwards and include suspended time."""

    @abstractmethod
    def now(self) -> datetime:
        """Return the calendar time in UTC."""


class SystemClock(Clock):
    """Read the clocks of the operating system."""

    def monotonic(self) -> float:
        """Return seconds since boot, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        """Return the calendar time in UTC."""
        return datetime.now(UTC)
