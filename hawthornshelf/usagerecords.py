"""Keep the decided reports on requests by workspace in the replicated state.

A report may be sent several times, by several holders of the duty, while VMs and links
fail; whatever happens, all reports for one window must have the same counts.
"""

from typing import NamedTuple

__all__ = [
    "MAX_OPEN_WINDOWS",
    "UsageRecords",
    "UsageReport",
    "UsageSnapshot",
    "WindowCounts",
    "WorkspaceCount",
]

MAX_OPEN_WINDOWS = 256
"""Most windows that wait for their decision, or for the end of their report.

With windows of 5 s this is over 20 minutes without a platform or a leader.
"""


class WorkspaceCount(NamedTuple):
    """Represent how many requests of a workspace began to run."""

    workspace: str
    count: int  # type: ignore[assignment]


class WindowCounts(NamedTuple):
    """Represent the requests that began to run in one window."""

    window: int
    counts: tuple[WorkspaceCount, ...]


UsageReport = WindowCounts
"""The counts of a window as the group decided them."""


class UsageSnapshot(NamedTuple):
    """Represent the records in a snapshot."""

    next_window: int = 0
    reports: tuple[UsageReport, ...] = ()


class UsageRecords:
    """Store which window is decided next, and the reports that are not finished.

    Windows are decided in order. `next_window` is 0 until the reports have started.
    """

    def __init__(self, snapshot: UsageSnapshot = UsageSnapshot()) -> None:
        self.next_window = snapshot.next_window
        self._reports = {report.window: report for report in snapshot.reports}

    @property
    def unfinished_count(self) -> int:
        """Return the number of decided reports that are not finished."""
        return len(self._reports)

    def oldest(self) -> UsageReport | None:
        """Return the report to be sent next, or None."""
        return self._reports[min(self._reports)] if self._reports else None

    def start(self, window: int) -> None:
        """Begin with a window, or leave out those before it."""
        self.next_window = max(self.next_window, window)

    def decide(
        self, window: int, counts: tuple[WorkspaceCount, ...]
    ) -> UsageReport | None:
        """Return the first decision for a window, which is this one if none was made.

        Return None for a window that is not the next one, or is finished already.
        """
        if window == self.next_window:
            self._reports[window] = UsageReport(window, counts)
            self.next_window += 1
            while len(self._reports) > MAX_OPEN_WINDOWS:
                del self._reports[min(self._reports)]
        return self._reports.get(window)

    def finish(self, window: int) -> bool:
        """Forget a report that has arrived; return whether it was known."""
        return self._reports.pop(window, None) is not None

    def snapshot(self) -> UsageSnapshot:
        """Return the records for a snapshot."""
        reports = sorted(self._reports.values())
        return UsageSnapshot(self.next_window, tuple(reports))
