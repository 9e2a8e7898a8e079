"""Track how long requests of each route take."""

from typing import NamedTuple

__all__ = ["MARGIN", "WINDOW_SECONDS", "RouteDurations"]

WINDOW_SECONDS = 30.0
"""Time after which the longest duration of a route starts to be forgotten."""

MARGIN = 1.25
"""Longest duration seen, times this, is what the next request may take."""


class _Window(NamedTuple):
    """Count the durations since a time, and those of the window before."""

    started_at: float
    responses: int = 0
    total: float = 0.0
    longest: float = 0.0
    before: "_Window | None" = None


class RouteDurations:
    """Track the durations of each route's recent responses."""

    def __init__(self) -> None:
        self._windows: dict[str, _Window] = {}
        self._first_at: dict[str, float] = {}

    def record(self, now: float, route: str, seconds: float) -> None:
        """Record a response; `now` and its duration in seconds."""
        window = self._roll(now, route)
        self._first_at.setdefault(route, now)
        self._windows[route] = window._replace(
            responses=window.responses + 1,
            total=window.total + seconds,
            longest=max(window.longest, seconds),
        )

    def longest(self, now: float, route: str) -> float:
        """Return the longest duration in seconds, 0 if none was recorded."""
        return max(window.longest for window in self._recent(now, route))

    def mean(self, now: float, route: str) -> float:
        """Return the mean duration in seconds, 0 if none was recorded."""
        windows = self._recent(now, route)
        count = sum(window.responses for window in windows)
        return sum(window.total for window in windows) / max(count, 1)

    def seconds_observed(self, now: float, route: str) -> float:
        """Return for how many seconds responses were recorded, 0 if for none."""
        return now - self._first_at.get(route, now)

    def retain(self, routes: set[str]) -> None:
        """Forget all other routes."""
        windows = self._windows.items()
        self._windows = {name: window for name, window in windows if name in routes}
        self._first_at = {n: at for n, at in self._first_at.items() if n in routes}

    def _recent(self, now: float, route: str) -> tuple[_Window, ...]:
        window = self._roll(now, route)
        return (window,) if window.before is None else (window, window.before)

    def _roll(self, now: float, route: str) -> _Window:
        """Return a route's window, a new one after WINDOW_SECONDS."""
        window = self._windows.get(route, _Window(now))
        if now >= window.started_at + 2 * WINDOW_SECONDS:
            return _Window(now)
        if now >= window.started_at + WINDOW_SECONDS:
            before = window._replace(before=None)
            return _Window(window.started_at + WINDOW_SECONDS, before=before)
        return window
