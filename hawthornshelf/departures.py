"""Store which runners have said that they leave, and tell other nodes of it."""

from collections.abc import Iterable

from hawthornshelf.effects import LogLine, log
from hawthornshelf.messages import Departure

__all__ = ["DepartureTable"]

MAX_DEPARTURES = 4096
"""Runners that are stored; the one heard of the longest ago goes first."""

KEPT_SECONDS = 120.0
"""Time for which a runner that is no longer listed is kept: old news may still come."""

UNKNOWN_BOOT_SECONDS = 60.0
"""Time for which the word of a runner holds that does not tell its boot.

It may start again under its name, and would never be used again.
"""

TELL_ROUNDS = 3
"""Times that a node tells what it has learnt, each time to a few others.

Told only once, one node in twenty would not hear of it.
"""

UNKNOWN_BOOT_SUFFIX = "/0"


class DepartureTable:
    """Store the boots of runners that said that they leave; times are monotonic.

    A boot that leaves never stays, so that nodes need not agree on an order.
    """

    def __init__(self) -> None:
        self._said_at: dict[str, float] = {}
        self._rounds_left: dict[str, int] = {}
        self._lines: list[LogLine] = []

    def __contains__(self, runner: object) -> bool:
        return runner in self._said_at

    def __len__(self) -> int:
        return len(self._said_at)

    def learn(self, now: float, runner: str, at: float) -> None:
        """Record that a boot of a runner said so in an answer to this node."""
        self._add(now, Departure(runner, now - at), "answer")

    def merge(self, now: float, departures: Iterable[Departure]) -> None:
        """Record what another node has told."""
        for departure in departures:
            self._add(now, departure, "node")

    def take_news(self, now: float) -> tuple[Departure, ...]:
        """Return what a few other nodes are to be told now."""
        news = [runner for runner in self._rounds_left if runner in self._said_at]
        rounds = self._rounds_left.items()
        self._rounds_left = {runner: left - 1 for runner, left in rounds if left > 1}
        return tuple(Departure(r, now - self._said_at[r]) for r in news)

    def take_lines(self) -> list[LogLine]:
        """Return and forget the lines on what has been learnt."""
        lines, self._lines = self._lines, []
        return lines

    def retain(self, now: float, listed: Iterable[str]) -> None:
        """Forget boots that are gone, and old words of runners without a boot."""
        known = frozenset(listed)
        for runner, at in list(self._said_at.items()):
            is_gone = runner not in known and now > at + KEPT_SECONDS
            is_unknown_boot = runner.endswith(UNKNOWN_BOOT_SUFFIX)
            if is_gone or (is_unknown_boot and now > at + UNKNOWN_BOOT_SECONDS):
                del self._said_at[runner]

    def _add(self, now: float, departure: Departure, source: str) -> None:
        runner, age = departure
        is_new = runner not in self._said_at
        self._said_at[runner] = max(now - age, self._said_at.get(runner, now - age))
        if not is_new:
            return
        self._rounds_left[runner] = TELL_ROUNDS
        self._lines.append(
            log("runner-leaves", runner=runner, age=round(age, 3), source=source)
        )
        while len(self._said_at) > MAX_DEPARTURES:
            del self._said_at[next(iter(self._said_at))]
