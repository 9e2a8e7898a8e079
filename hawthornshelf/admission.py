"""Decide which requests an entry node admits, and when refused callers may retry."""

import math
from typing import NamedTuple

from hawthornshelf.rates import ServiceRates

__all__ = ["Admission", "AdmissionDecision", "Backlog", "bulk_limit", "late_allowance"]

MAX_QUEUED_PER_SERVICE = 256
MAX_BULK_SHARE = 0.85
WAIT_CONFIDENCE = 0.4
LATENESS_THRESHOLD = 0.3
SLOTS_PER_LATENESS = 20.0
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 30.0


class Backlog(NamedTuple):
    """Represent the load that a new request would meet.

    `ahead` counts the queued requests that would be served before it, `queued` all
    queued ones of the service, and `slots` those that this node may use; `ttft` is
    the expected time to first token in seconds.
    """

    urgent: bool
    ahead: int
    queued: int
    slots: int
    ttft: float


class AdmissionDecision(NamedTuple):
    """Represent the expected wait in seconds, and the reason if it is a refusal."""

    wait: float
    refusal: str = ""


class Admission:
    """Decide whether a request can start before its deadline."""

    def decide(
        self, backlog: Backlog, rates: ServiceRates, seconds_left: float
    ) -> AdmissionDecision:
        """Return whether a request can start within the seconds left.

        The expected wait is an estimate, so only the part `WAIT_CONFIDENCE` of it is
        compared with the seconds left.
        """
        wait = max(self._estimate_wait(backlog, rates), backlog.ttft)
        if backlog.queued >= MAX_QUEUED_PER_SERVICE:
            return AdmissionDecision(wait, "queue is full")
        if wait * WAIT_CONFIDENCE > seconds_left:
            return AdmissionDecision(wait, "deadline can't be met")
        return AdmissionDecision(wait)

    def retry_after(
        self, backlog: Backlog, rates: ServiceRates, seconds_left: float
    ) -> float:
        """Return the seconds until a retry can succeed: when the excess is served."""
        excess = max(self._estimate_wait(backlog, rates), backlog.ttft) - seconds_left
        return min(max(excess, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)

    def _estimate_wait(self, backlog: Backlog, rates: ServiceRates) -> float:
        if backlog.ahead <= 0:
            return 0.0
        seconds = rates.urgent if backlog.urgent else rates.bulk
        return backlog.ahead * seconds / max(1, backlog.slots)


def late_allowance(lateness: float) -> int:
    """Return how many slots beyond its share a late bulk request may use.

    Lateness is the part of its time that a request has waited. Requests wait longer
    on nodes with more work, so this moves slots to those nodes from others.
    """
    return int(max(0.0, lateness - LATENESS_THRESHOLD) * SLOTS_PER_LATENESS)


def bulk_limit(slots: int, node_count: int) -> int:
    """Return how many bulk requests a node may have in flight to a service.

    It is the node's equal part of MAX_BULK_SHARE of the service's slots; the
    remaining slots stay free for urgent requests.
    """
    return max(1, math.floor(MAX_BULK_SHARE * slots / max(1, node_count)))
