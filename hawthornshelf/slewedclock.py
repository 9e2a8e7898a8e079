"""Compute calendar time that is slewed, not stepped, towards the system clock."""

__all__ = ["SlewedClock"]

MAX_SLEW = 0.001
"""Seconds by which the time is corrected in a second.

Oscillators are off by up to 0.0005, and a step of a few seconds must not move a request
to another window.
"""


class SlewedClock:
    """Add monotonic time to one reading of the wall clock, slewed towards later ones.

    The monotonic clock counts suspensions. The time never runs backwards.
    """

    def __init__(self) -> None:
        self._offset = 0.0
        self._observed_at: float | None = None

    def observe(self, now: float, wall: float) -> None:
        """Take a reading of both clocks, in seconds."""
        if self._observed_at is None:
            self._offset = wall - now
        else:
            limit = MAX_SLEW * max(0.0, now - self._observed_at)
            error = wall - now - self._offset
            self._offset += max(-limit, min(limit, error))
        self._observed_at = now

    def at(self, now: float) -> float:
        """Return the seconds since 1970 at a monotonic time."""
        return now + self._offset
