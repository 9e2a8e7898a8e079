"""Issue permits for requests to rate-limited runners, one node for each runner."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from hawthornshelf.limitrecords import Permit
from hawthornshelf.rendezvous import order_nodes

__all__ = ["MIN_RATE", "IssuerStanding", "PermitIssuer", "order_issuers"]

MIN_RATE = 0.25
"""Lowest rate at which a runner is tried, in requests a second.

A runner that takes nothing could not say when it takes requests again.
"""

SETTLE_SECONDS = 2.0
"""Time for which a node must be first in the order before it issues the whole rate.

Until then other nodes may still ask the one before it.
"""

UNSETTLED_SHARE = 0.4
"""Share of a rate that a node issues beside the one that is first in the order.

Both together stay below one and a half times the rate.
"""

MINORITY_SHARE = 0.5
"""Share of a rate that the parts of a split fleet without a majority issue together."""

MAX_RUNNERS = 4096


class IssuerStanding(NamedTuple):
    """Describe how a node sees itself among those that may issue a runner's permits.

    `is_first` is set if it is the first in the order of the nodes that it sees alive;
    `alive` of the `known` nodes are those that it sees. `is_joining` is set while it
    still learns of nodes that it did not know.
    """

    is_first: bool
    alive: int
    known: int
    is_joining: bool = False

    @property
    def has_majority(self) -> bool:
        """Return whether no other part of the fleet can be as large."""
        return 2 * self.alive > self.known


class _Bucket:
    """Store when a runner's next permit is free, and since when this node is first."""

    __slots__ = ("first_since", "next_at", "rate")

    def __init__(self, now: float) -> None:
        self.next_at = now
        self.rate = MIN_RATE
        self.first_since = math.inf


class PermitIssuer:
    """Issue permits at the rate that a runner names, spaced evenly (GCRA).

    A node that issues beside another one, or in a part of a split fleet, issues less.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def issue(
        self,
        now: float,
        runner: str,
        rate: float,
        standing: IssuerStanding,
        max_wait: float,
    ) -> Permit:
        """Return a permit for a rate in requests a second, free within `max_wait`."""
        bucket = self._find(now, runner)
        rate = max(rate, MIN_RATE) * self._share(now, bucket, standing)
        interval = 1.0 / rate
        backlog = max(0.0, bucket.next_at - now) * bucket.rate / rate
        bucket.rate = rate
        next_at = now + backlog if backlog else max(bucket.next_at, now - interval)
        wait = max(0.0, next_at - now)
        if wait > max_wait:
            bucket.next_at = next_at
            return Permit(False, wait)
        bucket.next_at = next_at + interval
        return Permit(True, wait)

    def _share(self, now: float, bucket: _Bucket, standing: IssuerStanding) -> float:
        if not standing.is_first:
            bucket.first_since = math.inf
        elif bucket.first_since == math.inf:
            bucket.first_since = now
        if not standing.has_majority:
            return MINORITY_SHARE * standing.alive / standing.known
        is_settled = now >= bucket.first_since + SETTLE_SECONDS
        return 1.0 if is_settled and not standing.is_joining else UNSETTLED_SHARE

    def _find(self, now: float, runner: str) -> _Bucket:
        """Return a runner's bucket, the one used the longest ago making room."""
        bucket = self._buckets.pop(runner, None) or _Bucket(now)
        self._buckets[runner] = bucket
        if len(self._buckets) > MAX_RUNNERS:
            del self._buckets[next(iter(self._buckets))]
        return bucket


def order_issuers(runner: str, nodes: Iterable[str]) -> list[str]:
    """Return nodes in the order in which they issue a runner's permits.

    The order is by rendezvous hashing: a node that leaves changes it for those runners
    only whose permits it issued.
    """
    return order_nodes(runner, nodes)
