"""Perform the duties of the control group's leader towards the platform."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from hawthornshelf.duties import (
    CallOutcome,
    Duty,
    DutyCall,
    DutyHolder,
    DutySettings,
    HandoverWait,
    OrderEngines,
    ReportUsage,
)
from hawthornshelf.effects import CallPlatform, Effect, log
from hawthornshelf.events import PlatformCallEnded
from hawthornshelf.messages import UsageCounts, UsageProgress
from hawthornshelf.permitexchange import Outgoing
from hawthornshelf.state import SharedState
from hawthornshelf.usagereporter import Propose, UsageReporter, confirm_counts

__all__ = ["DutyFacts", "PlatformDuties"]


def _list_no_nodes() -> Iterable[str]:
    return ()


def _has_none() -> bool:
    return False


class DutyFacts(NamedTuple):
    """Tell what the duties depend on besides the shared state.

    `entry_nodes` returns the entry nodes that are not dead, `has_workspaces` whether
    the route document in force names workspaces.
    """

    entry_nodes: Callable[[], Iterable[str]] = _list_no_nodes
    has_workspaces: Callable[[], bool] = _has_none


class PlatformDuties:
    """Call the platform while this replica leads; the shell makes the calls."""

    def __init__(
        self,
        settings: DutySettings,
        wait: HandoverWait,
        facts: DutyFacts,
        propose: Propose,
        now: float,
    ) -> None:
        self._settings = settings
        self._facts = facts
        self._hands_over = False
        self.holder = DutyHolder(settings, wait)
        self._usage: UsageReporter | None = None
        if Duty.USAGE in settings.duties:
            self._usage = UsageReporter(settings, propose, now)

    @property
    def is_on(self) -> bool:
        """Return whether there are duties."""
        return bool(self._settings.duties)

    def observe(self, now: float, wall: float) -> None:
        """Note that the process runs; call it at each step."""
        self.holder.observe(now)
        if self._usage is not None:
            self._usage.observe(now, wall)

    def begin(self, now: float, term: int) -> list[Effect]:
        """Take the duties over as the leader of a term."""
        if not self.is_on:
            return []
        self.holder.begin(now, term)
        self._hands_over = False
        if self._usage is not None:
            self._usage.reset()
        wait = round(self.holder.starts_at - now, 2)
        return [
            log("duties-taken", fence=term, holder=self._settings.holder, in_s=wait)
        ]

    def end(self) -> list[Effect]:
        """Give the duties up."""
        if not self.is_on:
            return []
        self.holder.end()
        return [log("duties-ended", fence=self.holder.fence)]

    def check_handover(self, now: float) -> list[Effect]:
        """Return a line when this node begins to hand its leadership over."""
        if self._hands_over or not self.holder.wants_handover(now):
            return []
        self._hands_over = True
        return [log("duties-handed-over", fence=self.holder.fence, reason="no answer")]

    def receive(
        self, now: float, state: SharedState, message: UsageCounts, leader: str
    ) -> list[Outgoing]:
        """Add a node's totals of requests, and return the messages that follow.

        Without reports on usage, they tell the node who leads, and the leader its load.
        """
        if self._usage is not None:
            return self._usage.receive(now, state.usage, message, leader)
        if not self.is_on:
            return []
        return confirm_counts(message, UsageProgress(0, message.version, leader))

    def tick(self, now: float, state: SharedState, lease_until: float) -> list[Effect]:
        """Decide what is to be called, and call; only a leader may do so."""
        if self._usage is None:
            return []
        effects: list[Effect] = []
        lines = self._usage.tick(
            now,
            state.usage,
            self.holder.starts_at,
            self._facts.has_workspaces(),
            tuple(self._facts.entry_nodes()),
        )
        effects.extend(lines)
        report = self._usage.find_call(now, state.usage)
        if report is not None:
            effects.extend(self.call(now, lease_until, report))
        return effects

    def call(self, now: float, lease_until: float, call: DutyCall) -> list[Effect]:
        """Return the effect of a call if it may be made now.

        It must be written before the lease ends.
        """
        if not self.holder.start(now, lease_until, call):
            return []
        name, fence = self._settings.holder, self.holder.fence
        return [CallPlatform(call, name, fence, lease_until)]

    def on_call_ended(self, now: float, event: PlatformCallEnded) -> list[Effect]:
        """Record the end of a call."""
        self.holder.record_end(now, event.call, event.outcome)
        is_done = event.outcome is CallOutcome.DONE
        if self._usage is not None and is_done and isinstance(event.call, ReportUsage):
            self._usage.finish(now, event.call.window)
        return [
            log(
                "platform-call-ended",
                call=_describe(event.call),
                fence=self.holder.fence,
                outcome=event.outcome.value,
            )
        ]


def _describe(call: DutyCall) -> str:
    match call:
        case ReportUsage(window, counts):
            requests = sum(row.count for row in counts)
            return f"usage of window {window}, {requests} requests"
        case OrderEngines(service, data_centre, desired, is_spot):
            kind = "spot engines" if is_spot else "engines"
            return f"{desired} {kind} of {service} in {data_centre}"
