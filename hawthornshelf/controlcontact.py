"""Follow whether a node hears of the control group."""

from hawthornshelf.effects import LogLine, log

__all__ = ["ControlContact"]

LOST_SECONDS = 2.5
"""Age of what a node knows of shared state from which on that is logged."""


class ControlContact:
    """Note when a node no longer hears of the control group, and when it does again."""

    def __init__(self) -> None:
        self._has_heard = False
        self._lost_at: float | None = None

    def observe(self, now: float, staleness: float) -> list[LogLine]:
        """Return a line if the contact was lost or regained since the last call.

        `staleness` is that of what the node knows, in seconds; before it has known
        anything there is nothing to lose.
        """
        is_fresh = staleness <= LOST_SECONDS
        self._has_heard = self._has_heard or is_fresh
        if self._has_heard and not is_fresh and self._lost_at is None:
            self._lost_at = now - staleness
            return [log("control-lost", age=round(staleness, 2))]
        if is_fresh and self._lost_at is not None:
            seconds, self._lost_at = now - self._lost_at, None
            return [log("control-regained", seconds=round(seconds, 2))]
        return []
