"""Store which requests were in flight when runners crashed, merged among all nodes.

Every change is a union or a maximum, so that tables become equal in whatever order
nodes exchange their rows, without a leader. Times are monotonic seconds of the node;
rows carry ages instead.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from hawthornshelf.attribution import Culprit, find_culprits
from hawthornshelf.crashrecords import (
    CRASHES_TO_QUARANTINE,
    CrashRow,
    CrashStatus,
    Evidence,
    RowSummary,
    Standing,
    SuspectCounts,
    Transition,
    is_content,
    is_part,
)

__all__ = ["CrashTable"]

SILENT_SECONDS = 15.0
"""Time for which an unreachable runner counts as crashed without further evidence."""

REFUSED_CONFIRM_SECONDS = 20.0
"""Time after which a runner that only refused connections counts as surely crashed.

A link that is cut may refuse connections as well, and is usually healed by then.
"""

SUSPECT_SECONDS = 600.0
"""Time for which a request stays under suspicion after a crash."""

TOMBSTONE_SECONDS = 600.0
"""Time for which a cleared suspect of an expired crash is kept.

A node that was cut off for no longer does not bring the suspicion back.
"""

MAX_SUSPECTS_PER_CRASH = 1024
MAX_SUSPECTS = 8192
"""Suspects in the table, counted once for each crash."""

EXPIRE_INTERVAL_SECONDS = 1.0
PROOF_SECONDS = 60.0
"""Time for which a completed request speaks for what others share with it."""

MAX_PROOFS = 8192
CULPRITS_VALID_SECONDS = 0.5
"""Time after which passing time alone may change which suspects are to blame."""


@dataclass
class _Crash:
    """Store one crash; `at` is in monotonic seconds.

    `cleared` maps each cleared suspect to the time at which this node learnt of it.
    """

    at: float
    evidence: Evidence
    suspects: set[bytes] = field(default_factory=set)
    cleared: dict[bytes, float] = field(default_factory=dict)
    is_void: bool = False

    def is_confirmed(self, now: float) -> bool:
        """Return whether the crash is certain."""
        if self.evidence is Evidence.REFUSED:
            return now >= self.at + REFUSED_CONFIRM_SECONDS
        return self.evidence is Evidence.GONE

    def is_expired(self, now: float) -> bool:
        """Return whether the crash no longer says anything."""
        is_silent = self.evidence is Evidence.SILENT
        return now >= self.at + (SILENT_SECONDS if is_silent else SUSPECT_SECONDS)


class CrashTable:
    """Merge crashes reported by all nodes, and tell each request's standing."""

    def __init__(self) -> None:
        self._crashes: dict[str, _Crash] = {}
        self._by_suspect: dict[bytes, set[str]] = {}
        self._checksums: dict[str, int] = {}
        self._news: dict[str, CrashRow] = {}
        self._size = 0
        self._completed_at: dict[bytes, float] = {}
        self._culprits: tuple[Culprit, ...] = ()
        self._culprits_due = float("-inf")
        self._blocked: set[bytes] = set()
        self._transitions: list[Transition] = []
        self._expire_due = 0.0
        self.checksum = 0

    def __len__(self) -> int:
        return len(self._crashes)

    @property
    def has_suspects(self) -> bool:
        """Return whether any request is a suspect."""
        return bool(self._by_suspect)

    def status(self, crash: str) -> CrashStatus | None:
        """Return what is known of a crash, or None if it is unknown."""
        known = self._crashes.get(crash)
        return CrashStatus(known.evidence, known.is_void) if known else None

    def counts(self, now: float) -> SuspectCounts:
        """Return how many suspects there are, and how many are held or quarantined."""
        held = blocked = 0
        for culprit in self.culprits(now):
            if now < self.blocked_until(now, culprit):
                blocked += len(culprit.suspects)
            elif self.standing_of(now, culprit).is_held(now):
                held += len(culprit.suspects)
        suspects = sum(bool(self.standing(now, d).crashes) for d in self._by_suspect)
        return SuspectCounts(suspects, held, blocked)

    def suspects(self) -> tuple[bytes, ...]:
        """Return the digests of all suspects."""
        return tuple(self._by_suspect)

    def report(
        self,
        now: float,
        crash: str,
        at: float,
        evidence: Evidence,
        suspects: Iterable[bytes],
    ) -> bool:
        """Record a crash seen by this node; return whether anything of it is new."""
        return self.merge(now, CrashRow(crash, now - at, evidence, tuple(suspects)))

    def void(self, now: float, crash: str) -> bool:
        """Record that a runner did not crash; return whether that is new."""
        known = self._crashes.get(crash)
        if known is None:
            return False
        age = now - known.at
        return self.merge(now, CrashRow(crash, age, known.evidence, is_void=True))

    def clear(self, now: float, digest: bytes) -> bool:
        """Record that a suspect completed; return whether it was one."""
        crashes = tuple(self._by_suspect.get(digest, ()))
        for crash in crashes:
            known = self._crashes[crash]
            row = CrashRow(crash, now - known.at, known.evidence, (), (digest,))
            self.merge(now, row)
        return bool(crashes)

    def complete(self, now: float, digests: Iterable[bytes]) -> bool:
        """Record that a request completed, as proof for all that it consists of.

        Return whether any of the digests was a suspect.
        """
        cleared = False
        for digest in digests:
            self._completed_at.pop(digest, None)
            self._completed_at[digest] = now
            cleared |= self.clear(now, digest)
        while len(self._completed_at) > MAX_PROOFS:
            del self._completed_at[next(iter(self._completed_at))]
        return cleared

    def culprits(self, now: float) -> tuple[Culprit, ...]:
        """Return the suspects that explain crashes."""
        if now >= self._culprits_due:
            suspected = {
                digest: self._counted_crashes(digest)
                for digest, names in self._by_suspect.items()
                if len(names) >= CRASHES_TO_QUARANTINE
            }
            self._culprits = find_culprits(
                suspected, lambda digest: self._is_proven(now, digest)
            )
            self._culprits_due = now + CULPRITS_VALID_SECONDS
        return self._culprits

    def unexplained(self, now: float, *digests: bytes) -> Standing:
        """Return what counts against suspects, less what others are to blame for."""
        crashes: set[str] = set()
        for digest in digests:
            if digest in self._by_suspect:
                crashes |= self._find_unexplained(now, digest)
        return self._make_standing(now, frozenset(crashes))

    def _find_unexplained(self, now: float, digest: bytes) -> frozenset[str]:
        crashes = self._counted_crashes(digest)
        for culprit in self.culprits(now):
            if digest not in culprit.suspects:
                crashes -= culprit.crashes
        return crashes

    def standing_of(self, now: float, culprit: Culprit) -> Standing:
        """Return what counts against a culprit."""
        known = culprit.crashes & self._crashes.keys()
        return self._make_standing(now, frozenset(known))

    def blocked_until(self, now: float, culprit: Culprit) -> float:
        """Return until when all of a culprit's suspects together may not run."""
        standing = self.standing_of(now, culprit)
        if all(map(is_part, culprit.suspects)):
            return standing.part_blocked_until
        if any(map(is_content, culprit.suspects)):
            return standing.quarantined_until
        return standing.resource_blocked_until

    def standing(self, now: float, digest: bytes) -> Standing:
        """Return what counts against a suspect."""
        return self._make_standing(now, self._counted_crashes(digest))

    def _counted_crashes(self, digest: bytes) -> frozenset[str]:
        names = self._by_suspect.get(digest, ())
        return frozenset(name for name in names if not self._crashes[name].is_void)

    def _make_standing(self, now: float, names: frozenset[str]) -> Standing:
        if not names:
            return Standing()
        crashes = [self._crashes[name] for name in names]
        return Standing(
            tuple(sorted(names)),
            sum(crash.is_confirmed(now) for crash in crashes),
            max(crash.at for crash in crashes),
        )

    def _is_proven(self, now: float, digest: bytes) -> bool:
        return self._last_completed(digest) > now - PROOF_SECONDS

    def _last_completed(self, digest: bytes) -> float:
        return self._completed_at.get(digest, float("-inf"))

    def merge(self, now: float, row: CrashRow) -> bool:
        """Merge a row; return whether anything of it is new."""
        at = now - row.age
        known = self._crashes.get(row.crash)
        if known is None:
            known = _Crash(at, row.evidence)
            if known.is_expired(now) and not row.suspects:
                return False
            self._crashes[row.crash] = known
            is_new = True
        else:
            is_new = row.evidence > known.evidence or row.is_void > known.is_void
        known.at = min(known.at, at)
        known.evidence = max(known.evidence, row.evidence)
        known.is_void = known.is_void or row.is_void
        suspects = self._add_suspects(row.crash, known, row.suspects)
        proven = [d for d in suspects if self._last_completed(d) > known.at]
        cleared = [d for d in (*row.cleared, *proven) if d not in known.cleared]
        cleared = cleared[: MAX_SUSPECTS_PER_CRASH - len(known.cleared)]
        for digest in cleared:
            known.cleared[digest] = now
            self._drop_index(row.crash, digest)
        if not (is_new or suspects or cleared):
            return False
        self._culprits_due = float("-inf")
        self._update_checksum(row.crash)
        if cleared or not known.is_expired(now):
            self._add_news(
                row._replace(suspects=tuple(suspects), cleared=tuple(cleared))
            )
        self._shrink()
        return True

    def take_news(self, now: float) -> tuple[CrashRow, ...]:
        """Return and forget what is new since the last call, with current ages."""
        news, self._news = self._news, {}
        return tuple(
            row._replace(age=now - self._crashes[row.crash].at)
            for row in news.values()
            if row.crash in self._crashes
        )

    def summaries(self) -> tuple[RowSummary, ...]:
        """Return the checksum of each row."""
        return tuple(RowSummary(*item) for item in self._checksums.items())

    def rows(self, now: float, crashes: Iterable[str]) -> tuple[CrashRow, ...]:
        """Return the rows of some crashes, as far as they are known."""
        return tuple(self._make_row(now, c) for c in crashes if c in self._crashes)

    def rows_unlike(
        self, now: float, summaries: Iterable[RowSummary]
    ) -> tuple[CrashRow, ...]:
        """Return the rows that another table with these summaries does not hold.

        Expired rows are left out, or nodes that have just forgotten them would get
        them back from others over and over.
        """
        theirs = dict(summaries)
        rows = [
            self._make_row(now, crash)
            for crash, checksum in self._checksums.items()
            if theirs.get(crash) != checksum
        ]
        return tuple(
            row
            for row in rows
            if row.suspects
            or row.cleared
            or not self._crashes[row.crash].is_expired(now)
        )

    def expire(self, now: float) -> None:
        """Forget crashes that say nothing any more, except of serious suspects."""
        if now < self._expire_due:
            return
        self._expire_due = now + EXPIRE_INTERVAL_SECONDS
        self._note_transitions(now)
        expired = [c for c, known in self._crashes.items() if known.is_expired(now)]
        for crash in expired:
            self._expire_crash(now, crash)

    def take_transitions(self) -> tuple[Transition, ...]:
        """Return and forget the changes of requests' states since the last call."""
        transitions, self._transitions = self._transitions, []
        return tuple(transitions)

    def _note_transitions(self, now: float) -> None:
        """Compare the blocked suspects with those of the last look."""
        blocked: dict[bytes, Culprit] = {}
        for culprit in self.culprits(now):
            if now < self.blocked_until(now, culprit):
                blocked.update(dict.fromkeys(culprit.suspects, culprit))
        for digest in blocked.keys() - self._blocked:
            standing = self.standing_of(now, blocked[digest])
            until = self.blocked_until(now, blocked[digest])
            self._transitions.append(Transition(digest, True, standing, until))
        for digest in self._blocked - blocked.keys():
            standing = self.unexplained(now, digest)
            self._transitions.append(Transition(digest, False, standing))
        self._blocked = set(blocked)

    def _expire_crash(self, now: float, crash: str) -> None:
        known = self._crashes[crash]
        for digest, cleared_at in tuple(known.cleared.items()):
            if now >= cleared_at + TOMBSTONE_SECONDS:
                del known.cleared[digest]
        for digest in tuple(known.suspects):
            is_needed = digest in known.cleared or self._is_remembered(now, digest)
            if not is_needed:
                self._drop_suspect(crash, digest)
        if known.suspects:
            self._update_checksum(crash)
        else:
            self._drop_crash(crash)

    def _is_remembered(self, now: float, digest: bytes) -> bool:
        """Return whether a suspect was quarantined and may come back.

        It is remembered after the end of its quarantine for as long again.
        """
        standing = self.standing(now, digest)
        until = standing.quarantined_until
        return now < until + (until - standing.last_at)

    def _add_suspects(
        self, crash: str, known: _Crash, digests: Iterable[bytes]
    ) -> set[bytes]:
        """Add suspects to a crash up to its limit, and return the new ones.

        Requests that are suspects of another crash go first.
        """
        new = [d for d in dict.fromkeys(digests) if d not in known.suspects]
        new.sort(key=lambda digest: digest not in self._by_suspect)
        added = new[: max(0, MAX_SUSPECTS_PER_CRASH - len(known.suspects))]
        for digest in added:
            known.suspects.add(digest)
            self._size += 1
            if digest not in known.cleared:
                self._by_suspect.setdefault(digest, set()).add(crash)
        return set(added)

    def _shrink(self) -> None:
        """Keep the number of suspects within its limit.

        Requests in flight at the fewest crashes go first, and of these the oldest.
        """
        excess = self._size - MAX_SUSPECTS
        if excess <= 0:
            return
        by_age = sorted(self._crashes.items(), key=lambda item: item[1].at)
        pairs = [(crash, d) for crash, known in by_age for d in known.suspects]
        pairs.sort(key=lambda pair: len(self._by_suspect.get(pair[1], ())))
        for crash, digest in pairs[:excess]:
            self._drop_suspect(crash, digest)
        for crash in {crash for crash, _ in pairs[:excess]}:
            self._update_checksum(crash)

    def _drop_suspect(self, crash: str, digest: bytes) -> None:
        self._crashes[crash].suspects.discard(digest)
        self._size -= 1
        self._drop_index(crash, digest)

    def _drop_index(self, crash: str, digest: bytes) -> None:
        self._culprits_due = float("-inf")
        names = self._by_suspect.get(digest, set())
        names.discard(crash)
        if not names:
            self._by_suspect.pop(digest, None)

    def _drop_crash(self, crash: str) -> None:
        del self._crashes[crash]
        self.checksum ^= self._checksums.pop(crash, 0)

    def _update_checksum(self, crash: str) -> None:
        known = self._crashes[crash]
        content = (
            crash,
            int(known.evidence),
            known.is_void,
            sorted(known.suspects),
            sorted(known.cleared),
        )
        body = msgspec.msgpack.encode(content)
        checksum = int.from_bytes(hashlib.blake2b(body, digest_size=8).digest(), "big")
        self.checksum ^= self._checksums.get(crash, 0) ^ checksum
        self._checksums[crash] = checksum

    def _add_news(self, row: CrashRow) -> None:
        pending = self._news.get(row.crash)
        if pending is None:
            self._news[row.crash] = row
            return
        self._news[row.crash] = row._replace(
            evidence=max(pending.evidence, row.evidence),
            suspects=(*pending.suspects, *row.suspects),
            cleared=(*pending.cleared, *row.cleared),
            is_void=pending.is_void or row.is_void,
        )

    def _make_row(self, now: float, crash: str) -> CrashRow:
        known = self._crashes[crash]
        suspects = known.suspects
        if known.is_expired(now):
            suspects = {d for d in suspects if self._is_remembered(now, d)}
        return CrashRow(
            crash,
            now - known.at,
            known.evidence,
            tuple(suspects),
            tuple(known.cleared),
            known.is_void,
        )
