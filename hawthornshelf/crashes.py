"""Distinguish crashed upstreams from lost connections, and find suspect requests."""

from collections.abc import Iterable
from typing import NamedTuple

from hawthornshelf.commands import ReportCrash
from hawthornshelf.events import LoadReported

__all__ = ["CrashDetector"]

CONFIRM_TIMEOUT_SECONDS = 2.0
LOCAL_SUSPECT_SECONDS = 30.0


class _UnconfirmedCrash(NamedTuple):
    """Store the requests in flight to an upstream that may have crashed.

    `boot` is its boot id before the connection broke, and `since` is when it broke,
    in monotonic seconds.
    """

    boot: str
    digests: tuple[str, ...]
    since: float


class CrashDetector:
    """Detect crashes of upstreams whose connections broke with requests in flight.

    Those requests wait for the upstream's next load report, which confirms or rules
    out a crash.
    """

    def __init__(self) -> None:
        self._unconfirmed: dict[str, _UnconfirmedCrash] = {}
        self._local_suspects: dict[str, float] = {}

    def record_broken_connection(
        self, now: float, upstream: str, boot: str, digests: Iterable[str]
    ) -> None:
        """Record that a connection broke with requests in flight to an upstream."""
        known = self._unconfirmed.get(upstream, _UnconfirmedCrash(boot, (), now))
        merged = dict.fromkeys((*known.digests, *digests))
        self._unconfirmed[upstream] = _UnconfirmedCrash(
            known.boot, tuple(merged), known.since
        )

    def is_held(self, digest: str) -> bool:
        """Return whether a request waits for a crash to be confirmed or ruled out."""
        return any(
            digest in unconfirmed.digests for unconfirmed in self._unconfirmed.values()
        )

    def is_suspect(self, now: float, digest: str) -> bool:
        """Return whether this node saw the request in flight at a crash."""
        return self._local_suspects.get(digest, float("-inf")) > now

    def clear(self, digest: str) -> None:
        """Stop suspecting a request that completed."""
        self._local_suspects.pop(digest, None)

    def on_load(self, now: float, event: LoadReported) -> ReportCrash | None:
        """Return a crash report if the boot id is new or the connection is refused.

        An unchanged boot id rules the crash out; a read that failed otherwise leaves
        it unconfirmed.
        """
        unconfirmed = self._unconfirmed.get(event.upstream)
        if unconfirmed is None:
            return None
        if event.report is not None and event.report.boot == unconfirmed.boot:
            del self._unconfirmed[event.upstream]
            return None
        if event.report is None and not event.refused:
            return None
        del self._unconfirmed[event.upstream]
        self._add_local_suspects(now, unconfirmed.digests)
        incident = f"{event.upstream}:{unconfirmed.boot}"
        return ReportCrash(event.upstream, incident, unconfirmed.digests)

    def tick(self, now: float) -> None:
        """Treat requests as suspects on this node if no crash was confirmed in time.

        Also removes the suspects whose time has expired.
        """
        for upstream, unconfirmed in list(self._unconfirmed.items()):
            if now >= unconfirmed.since + CONFIRM_TIMEOUT_SECONDS:
                del self._unconfirmed[upstream]
                self._add_local_suspects(now, unconfirmed.digests)
        for digest, until in list(self._local_suspects.items()):
            if now >= until:
                del self._local_suspects[digest]

    def _add_local_suspects(self, now: float, digests: Iterable[str]) -> None:
        for digest in digests:
            self._local_suspects[digest] = now + LOCAL_SUSPECT_SECONDS
