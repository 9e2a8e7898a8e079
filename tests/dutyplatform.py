"""Simulate the platform's end of duty calls, and check what arrives there."""

from collections.abc import Iterable
from enum import Enum
from itertools import combinations, pairwise
from typing import TYPE_CHECKING, NamedTuple

from hawthornshelf.duties import CallOutcome, DutyCall, ReportUsage
from hawthornshelf.effects import CallPlatform
from hawthornshelf.events import PlatformCallEnded

if TYPE_CHECKING:
    from tests.simulation import Simulation

__all__ = ["PLATFORM", "Arrival", "DutyPlatform", "Mood"]

PLATFORM = "platform"
"""The name of the platform's end of a link that may be cut."""

MAX_HOP_SECONDS = 0.004
CALL_TIMEOUT_SECONDS = 1.0
LATE_SECONDS = 4.0
SLOW_SECONDS = 0.8


class Mood(Enum):
    """Enumerate how the platform answers calls.

    A SILENT one never answers what it carries out, a LATE one neither, and carries it
    out seconds later. A LIMITED and a BROKEN one carry nothing out.
    """

    SOUND = "sound"
    SLOW = "slow"
    SILENT = "silent"
    LATE = "late"
    DOWN = "down"
    LIMITED = "limited"
    BROKEN = "broken"
    CONFLICT = "conflict"


class Arrival(NamedTuple):
    """Record a call that the platform got."""

    at: float
    node: str
    fence: int
    call: DutyCall


class Execution(NamedTuple):
    """Record when a call was carried out."""

    at: float
    call: DutyCall


class DutyPlatform:
    """Take calls of nodes in a simulation; check numbers only with `is_fencing`."""

    def __init__(self, simulation: "Simulation") -> None:
        self._simulation = simulation
        self.is_fencing = False
        self.mood = Mood.SOUND
        self.arrivals: list[Arrival] = []
        self.executions: list[Execution] = []
        self.highest_fence = 0

    def call(self, node: str, effect: CallPlatform) -> None:
        """Connect for a call, and write it while the lease lasts."""
        simulation = self._simulation
        epoch = simulation.nodes[node].epoch
        delay = simulation.rng.uniform(0.001, MAX_HOP_SECONDS)
        write = lambda: self._write(node, epoch, effect)  # noqa: E731
        simulation.schedule(delay, lambda: simulation.run_on_node(node, epoch, write))

    def _write(self, node: str, epoch: int, effect: CallPlatform) -> None:
        simulation = self._simulation
        is_cut = frozenset((node, PLATFORM)) in simulation.cut_links
        if simulation.now >= effect.valid_until or is_cut or self.mood is Mood.DOWN:
            self._end(node, epoch, effect, CallOutcome.UNREACHED, CALL_TIMEOUT_SECONDS)
            return
        hop = simulation.rng.uniform(0.001, MAX_HOP_SECONDS)
        simulation.schedule(hop, lambda: self._arrive(node, epoch, effect))

    def _arrive(self, node: str, epoch: int, effect: CallPlatform) -> None:
        now, mood = self._simulation.now, self.mood
        self.arrivals.append(Arrival(now, node, effect.fence, effect.call))
        if mood is Mood.LATE:
            self._end(node, epoch, effect, CallOutcome.UNREACHED, CALL_TIMEOUT_SECONDS)
            self._simulation.schedule(
                LATE_SECONDS, lambda: self._carry_out(node, epoch, effect, mood)
            )
        else:
            self._carry_out(node, epoch, effect, mood)

    def _carry_out(
        self, node: str, epoch: int, effect: CallPlatform, mood: Mood
    ) -> None:
        outcome, seconds = CallOutcome.DONE, 0.002
        match mood:
            case Mood.SLOW:
                seconds = SLOW_SECONDS
            case Mood.SILENT:
                outcome, seconds = CallOutcome.UNREACHED, CALL_TIMEOUT_SECONDS
            case Mood.LIMITED:
                outcome = CallOutcome.LIMITED
            case Mood.BROKEN:
                outcome = CallOutcome.FAILED
            case Mood.CONFLICT:
                outcome = CallOutcome.OUTDATED
        is_outdated = self.is_fencing and effect.fence < self.highest_fence
        if is_outdated:
            outcome = CallOutcome.OUTDATED
        self.highest_fence = max(self.highest_fence, effect.fence)
        refusing = (Mood.LIMITED, Mood.BROKEN, Mood.CONFLICT)
        if mood not in refusing and not is_outdated:
            self.executions.append(Execution(self._simulation.now, effect.call))
        if mood is not Mood.LATE:
            self._end(node, epoch, effect, outcome, seconds)

    def _end(
        self,
        node: str,
        epoch: int,
        effect: CallPlatform,
        outcome: CallOutcome,
        seconds: float,
    ) -> None:
        event = PlatformCallEnded(effect.call, outcome)
        self._simulation.post_later(node, epoch, event, seconds)

    def reports(self) -> dict[int, list[dict[str, int]]]:
        """Return the counts of all reports that were carried out, by window."""
        reports: dict[int, list[dict[str, int]]] = {}
        for _, call in self.executions:
            if isinstance(call, ReportUsage):
                counts = {row.workspace: row.count for row in call.counts}
                reports.setdefault(call.window, []).append(counts)
        return reports

    def first_report_at(self, window: int) -> float:
        """Return when the first report for a window was carried out."""
        return min(
            at
            for at, call in self.executions
            if isinstance(call, ReportUsage) and call.window == window
        )

    def find_conflicts(self) -> list[int]:
        """Return the windows for which two reports differ, refused ones included."""
        calls = [a.call for a in self.arrivals if isinstance(a.call, ReportUsage)]
        seen: dict[int, ReportUsage] = {}
        return [c.window for c in calls if seen.setdefault(c.window, c) != c]

    def find_swings(self, lease: float) -> list[tuple[Arrival, Arrival, Arrival]]:
        """Return calls of three holders A, B, A that lie within the lease."""
        changes = _without_repeats(self.arrivals)
        return [
            (one, other, again)
            for one, other, again in combinations(changes, 3)
            if one.node == again.node != other.node and again.at - one.at < lease
        ]

    def find_falling_numbers(self) -> list[tuple[Arrival, Arrival]]:
        """Return pairs of calls of which the later one has the lower number."""
        return [(a, b) for a, b in pairwise(self.arrivals) if b.fence < a.fence]


def _without_repeats(arrivals: Iterable[Arrival]) -> list[Arrival]:
    """Return the first and the last of each run of calls of one node."""
    kept: list[Arrival] = []
    for arrival in arrivals:
        if len(kept) > 1 and kept[-1].node == kept[-2].node == arrival.node:
            kept[-1] = arrival
        else:
            kept.append(arrival)
    return kept
