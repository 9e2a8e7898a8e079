"""Decide which requests a node still takes while it stops."""

__all__ = ["RouteDurations", "may_end_in_time"]

WINDOW_SECONDS = 30.0
"""Time after which the longest duration of a route starts to be forgotten."""

MARGIN = 1.25
"""Longest duration seen, times this, is what the next request may take."""


def may_end_in_time(
    now: float, ends_at: float, deadline: float, duration: float
) -> bool:
    """Return whether a request that comes now ends before its node does.

    `duration` is what requests of its route take at most, as far as is known. All
    parameters are in seconds, all but the last one on the same clock.
    """
    return min(deadline, now + MARGIN * duration) <= ends_at


class RouteDurations:
    """Track the longest recent duration of each route's complete responses."""

    def __init__(self) -> None:
        self._windows: dict[str, tuple[float, float, float]] = {}

    def record(self, now: float, route: str, seconds: float) -> None:
        """Record a response that is complete; `now` and its duration in seconds."""
        started_at, before, longest = self._roll(now, route)
        self._windows[route] = started_at, before, max(longest, seconds)

    def longest(self, now: float, route: str) -> float:
        """Return the longest duration in seconds, 0 if none was recorded."""
        _, before, longest = self._roll(now, route)
        return max(before, longest)

    def retain(self, routes: set[str]) -> None:
        """Forget all other routes."""
        windows = self._windows.items()
        self._windows = {name: window for name, window in windows if name in routes}

    def _roll(self, now: float, route: str) -> tuple[float, float, float]:
        """Return the start of a route's window, the longest before it, and in it."""
        started_at, before, longest = self._windows.get(route, (now, 0.0, 0.0))
        if now >= started_at + 2 * WINDOW_SECONDS:
            return now, 0.0, 0.0
        if now >= started_at + WINDOW_SECONDS:
            return started_at + WINDOW_SECONDS, longest, 0.0
        return started_at, before, longest
