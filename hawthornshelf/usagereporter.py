"""Decide reports on requests by workspace, and choose the one to be sent.

The leader adds up what nodes tell, and commits the sums of a window before it reports
them, so that no later leader reports other ones.
"""

import math
from collections.abc import Callable, Collection
from dataclasses import replace
from typing import NamedTuple

from hawthornshelf.commands import (
    Command,
    DecideUsageReport,
    FinishUsageReport,
    StartUsageReports,
)
from hawthornshelf.duties import DutySettings, ReportUsage
from hawthornshelf.effects import LogLine, log
from hawthornshelf.messages import UsageCounts, UsageProgress
from hawthornshelf.permitexchange import Outgoing
from hawthornshelf.slewedclock import SlewedClock
from hawthornshelf.usage import UsageLedger, WindowStatus, check_window
from hawthornshelf.usagerecords import MAX_OPEN_WINDOWS, UsageRecords

__all__ = ["UsageReporter", "confirm_counts"]

PROPOSE_INTERVAL_SECONDS = 1.0
"""Time after which a command is proposed again that has not been applied."""

SETTLE_SECONDS = 5.0
"""Time after the start by which gossip has reported all nodes that are up."""

MAX_LOGGED_NODES = 5

Propose = Callable[[Command], None]


class _Proposal(NamedTuple):
    kind: type[Command]
    window: int


class UsageReporter:
    """Store nodes' totals at each replica, and decide windows at the leader."""

    def __init__(self, settings: DutySettings, propose: Propose, now: float) -> None:
        self._settings = settings
        self._propose = propose
        self._settled_at = now + SETTLE_SECONDS
        self._ledger = UsageLedger(settings.report_window)
        self._time = SlewedClock()
        self._proposed_at: dict[_Proposal, float] = {}

    def observe(self, now: float, wall: float) -> None:
        """Read both clocks."""
        self._time.observe(now, wall)

    def reset(self) -> None:
        """Forget what was proposed, as a new leader."""
        self._proposed_at.clear()

    def receive(
        self, now: float, records: UsageRecords, message: UsageCounts, leader: str
    ) -> list[Outgoing]:
        """Add a node's totals, and confirm them."""
        decided = records.next_window - 1
        self._ledger.forget(now, decided)
        version = self._ledger.merge(now, message)
        return confirm_counts(message, UsageProgress(decided, version, leader))

    def tick(
        self,
        now: float,
        records: UsageRecords,
        settled_at: float,
        has_workspaces: bool,
        entry_nodes: Collection[str],
    ) -> list[LogLine]:
        """Decide the next window if it can be; call it at the leader only.

        A leader knows what the nodes counted from `settled_at` on, a monotonic time.
        """
        seconds = self._settings.report_window
        time = self._ledger.correct(now, self._time.at(now))
        current = math.floor(time / seconds)
        if records.next_window == 0:
            if has_workspaces:
                return self._start(now, current, "first")
            return []
        if current - records.next_window > MAX_OPEN_WINDOWS:
            return self._start(now, current - MAX_OPEN_WINDOWS, "too many open")
        window = records.next_window
        status = check_window(
            (window + 1) * seconds,
            time,
            self._settings.usage_late,
            now >= max(settled_at, self._settled_at),
            entry_nodes,
            self._ledger,
        )
        if not status.is_due:
            return []
        return self._decide(now, time, records, entry_nodes, status)

    def find_call(self, now: float, records: UsageRecords) -> ReportUsage | None:
        """Return the report that is to be sent next, or None."""
        report = records.oldest()
        if report is None:
            return None
        proposal = _Proposal(FinishUsageReport, report.window)
        proposed_at = self._proposed_at.get(proposal, float("-inf"))
        if now < proposed_at + PROPOSE_INTERVAL_SECONDS:
            return None
        return ReportUsage(report.window, report.counts)

    def finish(self, now: float, window: int) -> None:
        """Commit that a report has arrived."""
        if self._may_propose(now, FinishUsageReport, window):
            self._propose(FinishUsageReport(window))

    def _start(self, now: float, window: int, reason: str) -> list[LogLine]:
        if not self._may_propose(now, StartUsageReports, window):
            return []
        self._propose(StartUsageReports(window))
        return [log("usage-reports-started", window=window, reason=reason)]

    def _decide(
        self,
        now: float,
        time: float,
        records: UsageRecords,
        entry_nodes: Collection[str],
        status: WindowStatus,
    ) -> list[LogLine]:
        window = records.next_window
        if not self._may_propose(now, DecideUsageReport, window):
            return []
        counts = self._ledger.total(window)
        self._propose(DecideUsageReport(window, counts))
        age = time - (window + 1) * self._settings.report_window
        lines = [
            log(
                "usage-window-closed",
                window=window,
                age_s=round(age, 2),
                nodes=len(entry_nodes),
                missing=len(status.missing),
                missing_names=",".join(status.missing[:MAX_LOGGED_NODES]),
                workspaces=len(counts),
                requests=sum(row.count for row in counts),
                unfinished=records.unfinished_count,
            )
        ]
        oldest = records.oldest()
        if records.unfinished_count >= MAX_OPEN_WINDOWS and oldest is not None:
            lines.append(log("usage-report-dropped", window=oldest.window))
        return lines

    def _may_propose(self, now: float, kind: type[Command], window: int) -> bool:
        """Return whether a command may be proposed (again), and note it if so."""
        since = now - PROPOSE_INTERVAL_SECONDS
        items = self._proposed_at.items()
        self._proposed_at = {proposal: at for proposal, at in items if at > since}
        proposal = _Proposal(kind, window)
        if proposal in self._proposed_at:
            return False
        self._proposed_at[proposal] = now
        return True


def confirm_counts(message: UsageCounts, progress: UsageProgress) -> list[Outgoing]:
    """Return the confirmation of a node's totals, and the relayed copy if it asks.

    Totals that the node can't send to the leader are forwarded to it.
    """
    outgoing = [Outgoing(message.node, progress)]
    if message.relay and progress.leader:
        relayed = replace(message, relay=False)
        outgoing.append(Outgoing(progress.leader, relayed))
    return outgoing
