"""Define the clock interface and its implementation on the system clock."""

import time
from abc import ABC, abstractmethod
from datetime import UTC, datetime

__all__ = ["Clock", "SystemClock"]


class Clock(ABC):
    """Provide monotonic time and calendar time."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return monotonic time in seconds, including time spent suspended."""

    @abstractmethod
    def now(self) -> datetime:
        """Return the calendar time in UTC."""


class SystemClock(Clock):
    """Read the clocks of the operating system."""

    def monotonic(self) -> float:
        """Return the seconds since boot, including time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        """Return the calendar time in UTC."""
        return datetime.now(UTC)
