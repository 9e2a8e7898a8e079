"""Describe crashes of runners, and what they say of the requests in flight."""

from enum import IntEnum
from typing import NamedTuple

__all__ = [
    "CONTENT_DIGEST_BYTES",
    "CRASHES_TO_QUARANTINE",
    "PART_DIGEST_BYTES",
    "RESOURCE_DIGEST_BYTES",
    "MAX_QUARANTINE_SECONDS",
    "MIN_QUARANTINE_SECONDS",
    "PART_BLOCKED_SECONDS",
    "RESOURCE_BLOCKED_SECONDS",
    "CrashRow",
    "CrashStatus",
    "Evidence",
    "RowSummary",
    "Standing",
    "SuspectCounts",
    "Transition",
    "is_content",
    "is_part",
]

CRASHES_TO_QUARANTINE = 3
CONTENT_DIGEST_BYTES = 16
RESOURCE_DIGEST_BYTES = 14
PART_DIGEST_BYTES = 12
"""Length of the digest of a part of a prompt.

By the length of a digest, tables tell parts, resources and whole requests apart.
"""

MIN_QUARANTINE_SECONDS = 600.0
QUARANTINE_GROWTH = 4
"""Factor by which each further crash prolongs the quarantine."""

MAX_QUARANTINE_SECONDS = 86_400.0
RESOURCE_BLOCKED_SECONDS = 120.0
"""Time from the third crash under a resource until requests of it are tried.

Requests with other queries share it, so that is sooner than for a whole request.
"""

PART_BLOCKED_SECONDS = 30.0
"""Time from the third crash under a part until requests with it are tried.

Other requests share the part, so that is sooner than for a whole request.
"""


def is_part(digest: bytes) -> bool:
    """Return whether a suspect is a part of a prompt, not a whole request."""
    return len(digest) == PART_DIGEST_BYTES


def is_content(digest: bytes) -> bool:
    """Return whether a suspect is a whole request, which no other request shares."""
    return len(digest) == CONTENT_DIGEST_BYTES


class Evidence(IntEnum):
    """Rank what is known of a crash; the highest rank of all nodes counts.

    SILENT: the runner does not answer. REFUSED: it refuses connections. GONE: it left
    the platform's list without notice, or another boot took its place.
    """

    SILENT = 0
    REFUSED = 1
    GONE = 2


class CrashRow(NamedTuple):
    """Represent one crash between nodes; `age` is in seconds.

    `crash` names the runner and its boot. `cleared` are the suspects that completed
    at a runner since. `is_void` says that the runner did not crash after all.
    """

    crash: str
    age: float
    evidence: Evidence
    suspects: tuple[bytes, ...] = ()
    cleared: tuple[bytes, ...] = ()
    is_void: bool = False


class RowSummary(NamedTuple):
    """Name a row and the checksum of its content."""

    crash: str
    checksum: int


class CrashStatus(NamedTuple):
    """Tell what is known of one crash."""

    evidence: Evidence
    is_void: bool


class SuspectCounts(NamedTuple):
    """Count the requests under suspicion, and those of them that may not run now."""

    suspects: int
    held: int
    quarantined: int


class Standing(NamedTuple):
    """Tell what the table knows of one request.

    `crashes` are those that count against it, `confirmed` the number that is certain.
    `last_at` is when the last of them happened, in monotonic seconds.
    """

    crashes: tuple[str, ...] = ()
    confirmed: int = 0
    last_at: float = float("-inf")

    @property
    def quarantined_until(self) -> float:
        """Return when the quarantine ends, in monotonic seconds; -inf without one."""
        return self._blocked_until(MIN_QUARANTINE_SECONDS)

    @property
    def resource_blocked_until(self) -> float:
        """Return until when a resource is blocked, in monotonic seconds, or -inf."""
        return self._blocked_until(RESOURCE_BLOCKED_SECONDS)

    @property
    def part_blocked_until(self) -> float:
        """Return until when a part is blocked, in monotonic seconds, or -inf."""
        return self._blocked_until(PART_BLOCKED_SECONDS)

    def _blocked_until(self, seconds: float) -> float:
        """Return when a block ends that lasts `seconds` after the third crash."""
        excess = self.confirmed - CRASHES_TO_QUARANTINE
        if excess < 0:
            return float("-inf")
        seconds *= QUARANTINE_GROWTH**excess
        return self.last_at + min(seconds, MAX_QUARANTINE_SECONDS)

    def is_quarantined(self, now: float) -> bool:
        """Return whether the request may not run now."""
        return now < self.quarantined_until

    def is_held(self, now: float) -> bool:
        """Return whether it waits for evidence on as many crashes as quarantine needs.

        Once a quarantine has ended, the request may run again.
        """
        enough = len(self.crashes) >= CRASHES_TO_QUARANTINE
        return enough and self.confirmed < CRASHES_TO_QUARANTINE


class Transition(NamedTuple):
    """Represent the begin or the end of a quarantine, which lasts `until`.

    A quarantine that ends without a crash left in the standing was lifted because the
    request completed or the crashes were void; else its time is over.
    """

    digest: bytes
    begins: bool
    standing: Standing
    until: float = float("-inf")
