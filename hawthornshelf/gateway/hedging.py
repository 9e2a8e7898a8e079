"""Decide when a request that waits for its answer goes to a second runner as well.

Answers the load of runners that are slow for some tenths of a second at a time.
"""

import bisect
import math
from collections import deque
from enum import StrEnum
from typing import NamedTuple

from hawthornshelf.gateway.budget import SlidingWindow

__all__ = ["HedgeCase", "HedgeLimit", "HedgePolicy", "RaceEnd", "decide"]

DELAY_QUANTILE = 0.95
"""Share of a route's recent requests that had their answer within the delay."""

MIN_SAMPLES = 40
"""Answers without which the delay of a route is unknown: two of them are above it."""

MAX_SAMPLES = 400
SAMPLE_SECONDS = 30.0
"""Time for which an answer counts for the delay of its route."""

SHARE_SECONDS = 10.0
"""Window over which the share of hedges is limited and the load is averaged."""

FAILURE_COOLDOWN_SECONDS = 1.0
"""Time after a refused or failed request in which its service gets no hedge."""

LOADED_SHARE = 0.5
"""Share of a service's slots in use from which on it gets no hedge."""


class HedgeLimit(StrEnum):
    """Name the limit that forbids a hedge."""

    ATTEMPTS = "attempts"
    STANDING = "standing"
    RATE = "rate"
    TIME = "time"
    LOAD = "load"
    FAILURES = "failures"
    RUNNER = "runner"
    SHARE = "share"
    BUDGET = "budget"


class RaceEnd(StrEnum):
    """Name the send that a hedged request has its answer from."""

    FIRST = "first"
    HEDGE = "hedge"
    NONE = "none"


class HedgeCase(NamedTuple):
    """Describe a request that has waited for the delay of its route.

    `typical_seconds` is the median wait of the route. `attempts_left` counts the sends
    that its route allows beside the open one. `is_clear` means that the request is
    under no suspicion, `is_limited` that its runner names a rate limit, `has_runner`
    that another runner is fit for the hedge. `load` is the share of the service's slots
    in use, `seconds_since_failure` the time since the service last refused or failed a
    request; `hedges` and `requests` are those of the service in the last SHARE_SECONDS.
    """

    seconds_left: float
    typical_seconds: float
    attempts_left: int
    is_clear: bool
    is_limited: bool
    has_runner: bool
    load: float
    seconds_since_failure: float
    hedges: int
    requests: int


def decide(case: HedgeCase, share: float) -> HedgeLimit | None:
    """Return the first limit that forbids a hedge, or None.

    The retry budget is asked last, by the caller, as it reserves the send.
    """
    match case:
        case HedgeCase(attempts_left=left) if left < 1:
            return HedgeLimit.ATTEMPTS
        case HedgeCase(is_clear=False):
            return HedgeLimit.STANDING
        case HedgeCase(is_limited=True):
            return HedgeLimit.RATE
        case HedgeCase(seconds_left=left, typical_seconds=typical) if left <= typical:
            return HedgeLimit.TIME
        case HedgeCase(load=load) if load >= LOADED_SHARE:
            return HedgeLimit.LOAD
        case HedgeCase(seconds_since_failure=age) if age < FAILURE_COOLDOWN_SECONDS:
            return HedgeLimit.FAILURES
        case HedgeCase(has_runner=False):
            return HedgeLimit.RUNNER
        case HedgeCase(hedges=hedges, requests=count) if hedges + 1 > share * count:
            return HedgeLimit.SHARE
    return None


class _Sample(NamedTuple):
    at: float
    seconds: float


class _RouteWaits:
    """Keep the recent waits of one route for their first byte, sorted."""

    def __init__(self) -> None:
        self._samples: deque[_Sample] = deque()
        self._sorted: list[float] = []

    def add(self, now: float, seconds: float) -> None:
        self._forget(now, MAX_SAMPLES - 1)
        self._samples.append(_Sample(now, seconds))
        bisect.insort(self._sorted, seconds)

    def quantile(self, now: float, share: float) -> float | None:
        """Return the wait that a share of the requests did not exceed, in seconds.

        None while there are too few.
        """
        self._forget(now, MAX_SAMPLES)
        count = len(self._sorted)
        if count < MIN_SAMPLES:
            return None
        return self._sorted[math.ceil(share * count) - 1]

    def _forget(self, now: float, count: int) -> None:
        """Forget samples that are too old, and the oldest ones beyond a count."""
        samples, oldest = self._samples, now - SAMPLE_SECONDS
        while samples and (len(samples) > count or samples[0].at <= oldest):
            del self._sorted[bisect.bisect_left(self._sorted, samples[0].seconds)]
            samples.popleft()


class _BusyTime:
    """Add up the time that sends have held a slot, over the last SHARE_SECONDS."""

    def __init__(self) -> None:
        self._samples: deque[_Sample] = deque()
        self._seconds = 0.0

    def add(self, now: float, seconds: float) -> None:
        self._samples.append(_Sample(now, seconds))
        self._seconds += seconds

    def mean_in_use(self, now: float) -> float:
        """Return how many slots were in use on average (Little's law)."""
        while self._samples and self._samples[0].at <= now - SHARE_SECONDS:
            self._seconds -= self._samples.popleft().seconds
        return self._seconds / SHARE_SECONDS if self._samples else 0.0


class _ServiceHistory:
    """Keep what a service's recent requests at this node say of its state."""

    def __init__(self) -> None:
        self.requests = SlidingWindow(SHARE_SECONDS)
        self.hedges = SlidingWindow(SHARE_SECONDS)
        self.busy = _BusyTime()
        self.failed_at = float("-inf")


class HedgePolicy:
    """Learn the waits of routes and the state of services, and limit the hedges.

    `share` is the highest number of hedges as a share of a service's requests of the
    last SHARE_SECONDS at this node; 0 means none. Times are monotonic seconds.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self._waits: dict[str, _RouteWaits] = {}
        self._services: dict[str, _ServiceHistory] = {}

    @property
    def is_enabled(self) -> bool:
        """Return whether hedges may be sent at all; else nothing is recorded."""
        return self.share > 0.0

    def record_request(self, now: float, service: str) -> None:
        """Count a caller's request to a service."""
        if self.is_enabled:
            self._find(service).requests.add(now)

    def record_failure(self, now: float, service: str) -> None:
        """Record that a service refused or failed a request."""
        if self.is_enabled:
            self._find(service).failed_at = now

    def record_wait(self, now: float, route: str, seconds: float) -> None:
        """Record how long a request waited for its answer, from its first send on."""
        self._waits.setdefault(route, _RouteWaits()).add(now, seconds)

    def record_busy(self, now: float, service: str, seconds: float) -> None:
        """Record for how long a send that has ended was open at a runner."""
        self._find(service).busy.add(now, seconds)

    def record_hedge(self, now: float, service: str) -> None:
        """Count a hedge against the share."""
        self._find(service).hedges.add(now)

    def find_delay(self, now: float, route: str) -> float | None:
        """Return after how many seconds a request may be hedged, None if unknown."""
        return self._quantile(now, route, DELAY_QUANTILE)

    def typical_wait(self, now: float, route: str) -> float:
        """Return the median wait of a route in seconds, infinite if it is unknown."""
        median = self._quantile(now, route, 0.5)
        return float("inf") if median is None else median

    def mean_in_use(self, now: float, service: str) -> float:
        """Return how many slots this node held on average in the last SHARE_SECONDS."""
        return self._find(service).busy.mean_in_use(now)

    def seconds_since_failure(self, now: float, service: str) -> float:
        """Return the seconds since a service last refused or failed a request."""
        return now - self._find(service).failed_at

    def count_hedges(self, now: float, service: str) -> int:
        """Return the number of hedges in the last SHARE_SECONDS."""
        return self._find(service).hedges.count(now)

    def count_requests(self, now: float, service: str) -> int:
        """Return the number of requests in the last SHARE_SECONDS."""
        return self._find(service).requests.count(now)

    def retain(self, routes: set[str], services: set[str]) -> None:
        """Forget all other routes and services."""
        self._waits = {k: w for k, w in self._waits.items() if k in routes}
        self._services = {k: s for k, s in self._services.items() if k in services}

    def _quantile(self, now: float, route: str, share: float) -> float | None:
        waits = self._waits.get(route)
        return waits.quantile(now, share) if waits is not None else None

    def _find(self, service: str) -> _ServiceHistory:
        if service not in self._services:
            self._services[service] = _ServiceHistory()
        return self._services[service]
