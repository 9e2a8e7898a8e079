"""Send a node's counts of requests to the control group once a second.

The leader may change or be out of reach, and a replica may have lost what it was told,
so each message goes to the leader and to one more replica, and replicas confirm what
they know.
"""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from hawthornshelf.duties import DutySettings
from hawthornshelf.messages import UsageCounts, UsageProgress
from hawthornshelf.permitexchange import Outgoing
from hawthornshelf.serviceloads import ServiceLoad
from hawthornshelf.slewedclock import SlewedClock
from hawthornshelf.usage import UsageCounter

__all__ = ["UsageSender"]

SEND_INTERVAL_SECONDS = 1.0
SILENCE_SECONDS = 2.5
"""Time without an answer of the leader after which a replica forwards to it."""


class _Loads(NamedTuple):
    """Store totals of load and the monotonic time of their measurement."""

    rows: tuple[ServiceLoad, ...] = ()
    at: float = 0.0


class UsageSender:
    """Hold a node's counter and clock, and send what replicas don't know yet.

    `measure_loads` returns the node's totals of the services whose engines are ordered.
    """

    def __init__(
        self, node: str, incarnation: str, settings: DutySettings, rng: random.Random
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._turn = rng.randrange(1000)
        self._due = float("-inf")
        self._leader = ""
        self._leader_heard_at = float("-inf")
        self._confirmed: dict[str, int] = {}
        self.measure_loads: Callable[[], tuple[ServiceLoad, ...]] | None = None
        self.time = SlewedClock()
        self.counter = UsageCounter(settings.report_window)

    def on_progress(self, now: float, sender: str, progress: UsageProgress) -> None:
        """Record what a replica knows, drop decided windows and follow the leader."""
        self._confirmed[sender] = progress.version
        self.counter.forget(progress.decided)
        if sender == self._leader:
            self._leader_heard_at = now
        if progress.leader and progress.leader != self._leader:
            self._leader, self._leader_heard_at = progress.leader, now

    def send_now(self) -> None:
        """Let the next tick send, as the process is about to end."""
        self._due = float("-inf")

    def tick(self, now: float, control_nodes: Sequence[str]) -> list[Outgoing]:
        """Return the messages that are due."""
        if now < self._due or not control_nodes:
            return []
        self._due = now + SEND_INTERVAL_SECONDS
        as_of = self.counter.complete_until(self.time.at(now))
        others = [node for node in control_nodes if node != self._leader]
        self._turn += 1
        loads = _Loads()
        if self.measure_loads is not None:
            loads = _Loads(self.measure_loads(), now)
        outgoing = []
        if self._leader in control_nodes:
            outgoing.append(self._make(self._leader, self._leader, as_of, loads))
        if others:
            other = others[self._turn % len(others)]
            is_silent = now > self._leader_heard_at + SILENCE_SECONDS
            relays = bool(outgoing) and is_silent
            reader = self._leader if relays else other
            outgoing.append(self._make(other, reader, as_of, loads, relays))
        return outgoing

    def _make(
        self,
        target: str,
        reader: str,
        as_of: float,
        loads: _Loads,
        relays: bool = False,
    ) -> Outgoing:
        """Return a message with the totals that `reader` may lack, sent to `target`."""
        since = self._confirmed.get(reader, 0)
        message = UsageCounts(
            self._node,
            self._incarnation,
            as_of,
            self.counter.totals(since),
            self.counter.version,
            since,
            relays,
            *loads,
        )
        return Outgoing(target, message)
