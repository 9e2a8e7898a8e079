"""Ask control nodes what is new, and follow whether any of them answers."""

import random
from collections.abc import Sequence

from hawthornshelf.effects import LogLine, log

__all__ = ["POLL_SECONDS", "ControlContact"]

POLL_SECONDS = 1.0
ANSWER_SECONDS = 0.4
"""Time for an answer, after which the next control node is asked."""

FRESH_SECONDS = 1.5
"""Age of what an answer tells up to which it counts; followers hear each second."""

LOST_SECONDS = 2.5
"""Age of what a node knows of shared state from which on that is logged."""


class ControlContact:
    """Choose whom to ask, and note when nothing is heard of the control group.

    Control nodes are asked in a random order, each once before any is asked again. One
    that does not answer, or has not heard of the leader lately, costs ANSWER_SECONDS.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._due = 0.0
        self._asked_at = 0.0
        self._wait = POLL_SECONDS
        self._order: list[str] = []
        self._unanswered = 0
        self._has_heard = False
        self._lost_at: float | None = None

    def choose(self, now: float, nodes: Sequence[str], wait: float) -> str:
        """Return the control node to ask now, or an empty string.

        `wait` is the time from one question that is answered to the next, in seconds.
        """
        if now < self._due or not nodes:
            return ""
        self._order = [node for node in self._order if node in nodes]
        if not self._order:
            self._order = self._rng.sample(list(nodes), len(nodes))
        self._asked_at, self._wait = now, wait
        self._unanswered += 1
        has_asked_all = self._unanswered >= len(nodes)
        self._due = now + (wait if has_asked_all else min(wait, ANSWER_SECONDS))
        return self._order.pop()

    def record_answer(self, staleness: float) -> None:
        """Record an answer, with the staleness of what it tells in seconds."""
        if staleness <= FRESH_SECONDS:
            self._unanswered = 0
            self._due = max(self._due, self._asked_at + self._wait)

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
