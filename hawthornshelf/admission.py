"""Decide which requests an entry node takes, and when others may come back."""

import math
from typing import NamedTuple

from hawthornshelf.rates import ServiceRates

__all__ = ["Admission", "Backlog", "AdmissionDecision", "bulk_limit", "late_allowance"]

MAX_QUEUED_PER_SERVICE = 256
BULK_SHARE = 0.85
CERTAINTY = 0.4
LATE_FROM = 0.3
EXTRA_PER_LATENESS = 20.0
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 30.0


class Backlog(NamedTuple):
    """Hold what a request would find: work ahead, and this node's slots."""

    urgent: bool
    ahead: int
    queued: int
    slots: int
    ttft: float


class AdmissionDecision(NamedTuple):
    """Hold the expected wait in seconds, and a reason if the request is refused."""

    wait: float
    refusal: str = ""


class Admission:
    """Refuse at once what can't start in time."""

    def decide(
        self, backlog: Backlog, rates: ServiceRates, seconds_left: float
    ) -> AdmissionDecision:
        """Refuse what can't start within the seconds left."""
        wait = max(self._wait(backlog, rates), backlog.ttft)
        if backlog.queued >= MAX_QUEUED_PER_SERVICE:
            return AdmissionDecision(wait, "queue is full")
        if wait * CERTAINTY > seconds_left:
            return AdmissionDecision(wait, "deadline can't be met")
        return AdmissionDecision(wait)

    def retry_after(
        self, backlog: Backlog, rates: ServiceRates, seconds_left: float
    ) -> float:
        """Return when to come back: once the excess is worked off, in seconds."""
        excess = max(self._wait(backlog, rates), backlog.ttft) - seconds_left
        return min(max(excess, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)

    def _wait(self, backlog: Backlog, rates: ServiceRates) -> float:
        if backlog.ahead <= 0:
            return 0.0
        seconds = rates.urgent if backlog.urgent else rates.bulk
        return backlog.ahead * seconds / max(1, backlog.slots)


def late_allowance(lateness: float) -> int:
    """Return how far bulk work may go beyond its share.

    Lateness is the part of its time that a request has waited. Nodes with more
    work wait longer, so this moves slots to them from nodes with less.
    """
    return int(max(0.0, lateness - LATE_FROM) * EXTRA_PER_LATENESS)


def bulk_limit(slots: int, nodes: int) -> int:
    """Return how much bulk work a node may have in flight on a service's slots.

    The rest of the slots stays free, so that an urgent request finds one.
    """
    return max(1, math.floor(BULK_SHARE * slots / max(1, nodes)))
