"""Count requests by workspace in windows of time, and add up the counts of all nodes.

Each entry node counts what it runs; the leader of the control group reports the sums,
within a few percent, while nodes restart, freeze, or are cut off. Counts travel as
totals that only grow, so lost and repeated messages do no harm.
"""

import itertools
import math
from collections.abc import Collection
from typing import NamedTuple

from hawthornshelf.messages import UsageCounts
from hawthornshelf.usagerecords import WindowCounts, WorkspaceCount

__all__ = ["MAX_WINDOWS", "UsageCounter", "UsageLedger", "WindowStatus", "check_window"]

MAX_WINDOWS = 24
"""Windows that a node keeps while nobody decides them."""

HOLD_SECONDS = 2.0
"""Time after which a request at a silent runner counts as accepted.

A runner that refuses a request does so at once.
"""

CLOSE_SHARE = 0.6
"""Share of the time to the due report that is left to missing nodes.

The rest is for the decision, the call and its repetitions.
"""

FRESH_SECONDS = 3.0
"""Age up to which a node's message tells its time."""

MIN_CLOCKS = 3
"""Nodes of which the times are compared with the leader's own."""

MAX_CLOCK_LAG_SECONDS = 2.5
"""How far the nodes' median may be behind: held requests, the interval of messages."""


class _Row(NamedTuple):
    """Store a total and the number of the change that made it."""

    total: int
    version: int


class UsageCounter:
    """Count the requests of one node that began to run, by window and workspace.

    Times are seconds since 1970 that never run backwards. A request that a runner may
    still refuse is held: its window is not complete until that is known.
    """

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._windows: dict[int, dict[str, _Row]] = {}
        self._held: dict[int, tuple[float, str]] = {}
        self._numbers = itertools.count(1)
        self._decided = -1
        self.version = 0
        self.late = 0

    def record(self, at: float, workspace: str) -> None:
        """Count a request that began to run at a time."""
        window = math.floor(at / self._window_seconds)
        if window <= self._decided:
            self.late += 1
            return
        self.version += 1
        rows = self._windows.setdefault(window, {})
        total = rows[workspace].total + 1 if workspace in rows else 1
        rows[workspace] = _Row(total, self.version)
        while len(self._windows) > MAX_WINDOWS:
            del self._windows[min(self._windows)]

    def hold(self, at: float, workspace: str) -> int:
        """Note that a request went to a runner, which may refuse it.

        Return a number for it, from 1 on.
        """
        number = next(self._numbers)
        self._held[number] = (at, workspace)
        return number

    def accept(self, number: int) -> None:
        """Count a held request at the time when it went to the runner."""
        held = self._held.pop(number, None)
        if held is not None:
            self.record(*held)

    def withdraw(self, number: int) -> bool:
        """Forget a request that the runner refused; return whether it was held still.

        Otherwise it is counted.
        """
        return self._held.pop(number, None) is not None

    def complete_until(self, at: float) -> float:
        """Return up to when the counts are complete at a time, and count old holds."""
        for number, (held_at, _) in list(self._held.items()):
            if held_at > at - HOLD_SECONDS:
                break
            self.accept(number)
        return min([at, *(held_at for held_at, _ in self._held.values())])

    def totals(self, since: int) -> tuple[WindowCounts, ...]:
        """Return the totals that changed after a version."""
        windows = []
        for window, rows in sorted(self._windows.items()):
            counts = [
                WorkspaceCount(workspace, row.total)
                for workspace, row in sorted(rows.items())
                if row.version > since
            ]
            if counts:
                windows.append(WindowCounts(window, tuple(counts)))
        return tuple(windows)

    def forget(self, decided: int) -> None:
        """Drop the windows up to one that the control group has decided."""
        self._decided = max(self._decided, decided)
        for window in [w for w in self._windows if w <= self._decided]:
            del self._windows[window]


class _Process:
    """Store what one process of a node has reported; it is complete up to `version`."""

    def __init__(self) -> None:
        self.version = 0
        self.as_of = 0.0
        self.clock_offset = 0.0
        self.received_at = 0.0
        self.windows: dict[int, dict[str, int]] = {}


class UsageLedger:
    """Store the totals of all nodes for the windows that are not decided yet.

    All processes share one text for each name of a workspace.
    """

    def __init__(self, window_seconds: float) -> None:
        self._forget_seconds = MAX_WINDOWS * window_seconds
        self._processes: dict[tuple[str, str], _Process] = {}
        self._names: dict[str, str] = {}
        self._decided = -1

    def merge(self, now: float, message: UsageCounts) -> int:
        """Add a node's totals; return up to which version they are known here.

        Totals that follow on ones unknown here count, but don't complete a window.
        """
        key = (message.node, message.incarnation)
        process = self._processes.setdefault(key, _Process())
        process.received_at = now
        for window, counts in message.windows:
            if window <= self._decided:
                continue
            known = process.windows.setdefault(window, {})
            for workspace, count in counts:
                name = self._names.setdefault(workspace, workspace)
                known[name] = max(known.get(name, 0), count)
        while len(process.windows) > MAX_WINDOWS:
            del process.windows[min(process.windows)]
        if message.since <= process.version:
            process.version = max(process.version, message.version)
            process.as_of = max(process.as_of, message.as_of)
            process.clock_offset = message.as_of - now
        return process.version

    def complete_until(self) -> dict[str, float]:
        """Return up to when the counts of each known node are complete here."""
        times: dict[str, float] = {}
        for (node, _), process in self._processes.items():
            times[node] = max(process.as_of, times.get(node, 0.0))
        return times

    def total(self, window: int) -> tuple[WorkspaceCount, ...]:
        """Return the sums of all nodes for a window."""
        sums: dict[str, int] = {}
        for process in self._processes.values():
            for workspace, count in process.windows.get(window, {}).items():
                sums[workspace] = sums.get(workspace, 0) + count
        return tuple(WorkspaceCount(*item) for item in sorted(sums.items()))

    def correct(self, now: float, own_time: float) -> float:
        """Return the time by this node's clock, bounded by the median of the nodes'.

        A leader whose clock was wrong when its process started would otherwise decide
        windows before they end, or too late.
        """
        fresh = [
            process.clock_offset
            for process in self._processes.values()
            if now - process.received_at <= FRESH_SECONDS and process.as_of > 0
        ]
        if len(fresh) < MIN_CLOCKS:
            return own_time
        median = now + sorted(fresh)[len(fresh) // 2]
        return max(median, min(own_time, median + MAX_CLOCK_LAG_SECONDS))

    def forget(self, now: float, decided: int) -> None:
        """Drop decided windows, and processes that have not reported for long."""
        if decided > self._decided:
            self._decided = decided
            self._names.clear()
            for process in self._processes.values():
                for window in [w for w in process.windows if w <= decided]:
                    del process.windows[window]
        received_after = now - self._forget_seconds
        for key, process in list(self._processes.items()):
            if process.received_at < received_after:
                del self._processes[key]


class WindowStatus(NamedTuple):
    """Tell whether a window may be decided, and which live nodes are missing."""

    is_due: bool
    missing: tuple[str, ...] = ()


def check_window(
    ends_at: float,
    time: float,
    usage_late: float,
    is_settled: bool,
    live_nodes: Collection[str],
    ledger: UsageLedger,
) -> WindowStatus:
    """Decide whether a window that ends at a time is complete, or must be closed.

    Missing nodes are left out some time after its end. `is_settled` means that this
    leader has had time to learn of all nodes and what they counted.
    """
    if time < ends_at or not is_settled:
        return WindowStatus(False)
    times = ledger.complete_until()
    missing = tuple(n for n in sorted(live_nodes) if times.get(n, 0.0) < ends_at)
    is_overdue = time >= ends_at + CLOSE_SHARE * usage_late
    return WindowStatus(not missing or is_overdue, missing)
