"""Replicate which builds serve, and which of them began the streams of callers."""

import hashlib
from collections.abc import Iterable, Set
from enum import Enum
from typing import NamedTuple

__all__ = [
    "NEVER",
    "BuildRow",
    "Continuation",
    "Origin",
    "OriginRow",
    "OriginTable",
    "decide_continuation",
    "digest_request_id",
    "is_kept",
]

REQUEST_DIGEST_BYTES = 10
KEPT_SECONDS = 60.0
"""Time for which origins and retired builds are kept; no stream lasts as long."""

MAX_ORIGINS = 100_000
MAX_BUILDS = 256
NEVER = float("inf")


class Origin(NamedTuple):
    """Name the service and the build that began a stream."""

    service: str
    build: str


class BuildRow(NamedTuple):
    """Represent a build that may begin streams; times are in epoch seconds.

    A retired one may have begun streams that still run somewhere.
    """

    service: str
    build: str
    retired_at: float = NEVER


class OriginRow(NamedTuple):
    """Represent the origin of the stream that a request began, None if disputed."""

    request: bytes
    origin: Origin | None
    recorded_at: float = 0.0


def digest_request_id(request_id: str) -> bytes:
    """Return the key of a request id, which may be any text of a caller."""
    data = request_id.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=REQUEST_DIGEST_BYTES).digest()


def is_kept(now: float, row: BuildRow) -> bool:
    """Return whether a stream that a build began may still be taken up."""
    return now < row.retired_at + KEPT_SECONDS


class Continuation(Enum):
    """Name what becomes of a stream that is to go on."""

    GO_ON = "go on"
    UNKNOWN = "it is not known which build began the stream"
    MOVED = "the route no longer leads to the service that began the stream"
    GONE = "no runner of the build that began the stream is left"


def decide_continuation(
    origin: Origin | None, services: Iterable[str], staying: Set[Origin]
) -> Continuation:
    """Decide whether a stream can go on.

    `services` are those of its route, `staying` the builds of runners that stay.
    """
    if origin is None:
        return Continuation.UNKNOWN
    if origin.service not in services:
        return Continuation.MOVED
    return Continuation.GO_ON if origin in staying else Continuation.GONE


class OriginTable:
    """Store builds and origins; the caller passes the time in epoch seconds."""

    def __init__(
        self, builds: Iterable[BuildRow] = (), origins: Iterable[OriginRow] = ()
    ) -> None:
        self._builds = {(row.service, row.build): row for row in builds}
        self._origins = {row.request: row for row in origins}

    def builds(self) -> tuple[BuildRow, ...]:
        """Return all builds, in the order in which they were admitted."""
        return tuple(self._builds.values())

    def origins(self) -> tuple[OriginRow, ...]:
        """Return all origins, the oldest first."""
        return tuple(self._origins.values())

    def admit(self, now: float, service: str, build: str) -> bool:
        """Let a build begin streams; return whether that is new."""
        row = BuildRow(service, build)
        if self._builds.get((service, build)) == row:
            return False
        rows = self._builds.items()
        self._builds = {key: row for key, row in rows if is_kept(now, row)}
        self._builds[service, build] = row
        while len(self._builds) > MAX_BUILDS:
            oldest = min(self._builds.values(), key=lambda row: row.retired_at)
            del self._builds[oldest.service, oldest.build]
        return True

    def retire(self, now: float, service: str, build: str) -> bool:
        """Let a build begin no more streams; return whether that is new."""
        row = self._builds.get((service, build))
        if row is None or row.retired_at < NEVER:
            return False
        self._builds[service, build] = row._replace(retired_at=now)
        return True

    def record(self, now: float, rows: Iterable[OriginRow]) -> None:
        """Store origins; a request that is said to have two has none that is known."""
        self._expire(now)
        for row in rows:
            known = self._origins.pop(row.request, None)
            is_disputed = known is not None and known.origin != row.origin
            origin = None if is_disputed else row.origin
            self._origins[row.request] = OriginRow(row.request, origin, now)
        while len(self._origins) > MAX_ORIGINS:
            del self._origins[next(iter(self._origins))]

    def find(
        self, now: float, request: bytes, services: Iterable[str], listed: Set[Origin]
    ) -> Origin | None:
        """Return the origin of a stream, or None if more than one is possible.

        Without a record it is known if only one build may have begun it: of those
        admitted to the services, those retired lately, and those `listed` now.
        """
        row = self._origins.get(request)
        if row is not None:
            return row.origin
        wanted = set(services)
        candidates = {origin for origin in listed if origin.service in wanted}
        candidates |= {
            Origin(row.service, row.build)
            for row in self._builds.values()
            if row.service in wanted and is_kept(now, row)
        }
        return candidates.pop() if len(candidates) == 1 else None

    def _expire(self, now: float) -> None:
        while self._origins:
            oldest = next(iter(self._origins.values()))
            if oldest.recorded_at + KEPT_SECONDS > now:
                break
            del self._origins[oldest.request]
