"""Tell a crashed upstream from a lost connection, and name what ran on it."""

from collections.abc import Iterable
from typing import NamedTuple

from hawthornshelf.commands import ReportCrash
from hawthornshelf.events import LoadReported

__all__ = ["CrashDetector"]

CONFIRM_SECONDS = 2.0
KEEP_LOCAL_SECONDS = 30.0


class _UnconfirmedCrash(NamedTuple):
    """Hold the requests of a broken upstream until its boot id is known."""

    boot: str
    digests: tuple[str, ...]
    since: float


class CrashDetector:
    """Hold back what ran on a broken upstream until a crash is ruled out."""

    def __init__(self) -> None:
        self._doubts: dict[str, _UnconfirmedCrash] = {}
        self._local: dict[str, float] = {}

    def record_broken_connection(
        self, now: float, upstream: str, boot: str, digests: Iterable[str]
    ) -> None:
        """Doubt an upstream whose connection broke with requests in flight."""
        known = self._doubts.get(upstream, _UnconfirmedCrash(boot, (), now))
        merged = dict.fromkeys((*known.digests, *digests))
        self._doubts[upstream] = _UnconfirmedCrash(
            known.boot, tuple(merged), known.since
        )

    def is_held(self, digest: str) -> bool:
        """Tell if a request waits for a doubt to be settled."""
        return any(digest in doubt.digests for doubt in self._doubts.values())

    def is_suspect(self, now: float, digest: str) -> bool:
        """Tell if this node saw the request in flight at a crash."""
        return self._local.get(digest, float("-inf")) > now

    def clear(self, digest: str) -> None:
        """Forget a request that completed."""
        self._local.pop(digest, None)

    def on_load(self, now: float, event: LoadReported) -> ReportCrash | None:
        """Settle a doubt: a new boot id or a refused connection is a crash."""
        doubt = self._doubts.get(event.upstream)
        if doubt is None:
            return None
        if event.report is not None and event.report.boot == doubt.boot:
            del self._doubts[event.upstream]
            return None
        if event.report is None and not event.refused:
            return None
        del self._doubts[event.upstream]
        self._suspect(now, doubt.digests)
        incident = f"{event.upstream}:{doubt.boot}"
        return ReportCrash(event.upstream, incident, doubt.digests)

    def tick(self, now: float) -> None:
        """Treat as suspects what could not be settled in time."""
        for upstream, doubt in list(self._doubts.items()):
            if now >= doubt.since + CONFIRM_SECONDS:
                del self._doubts[upstream]
                self._suspect(now, doubt.digests)
        for digest, until in list(self._local.items()):
            if now >= until:
                del self._local[digest]

    def _suspect(self, now: float, digests: Iterable[str]) -> None:
        for digest in digests:
            self._local[digest] = now + KEEP_LOCAL_SECONDS
