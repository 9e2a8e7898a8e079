"""Find the requests, or parts of prompts, that explain the crashes of runners."""

from collections.abc import Callable, Mapping, Set
from typing import NamedTuple

from hawthornshelf.crashrecords import CRASHES_TO_QUARANTINE

__all__ = ["Culprit", "find_culprits"]

CRASHES_AGAINST_PROOF = 8
"""Crashes that count against a suspect which completed shortly before them."""

CRASHES_OF_ITS_OWN = 1
"""Crashes that count against a suspect if the rest of them has other culprits."""


class Culprit(NamedTuple):
    """Represent suspects of which at least one explains some crashes.

    Several suspects were in flight at exactly the same crashes, so that these don't
    tell which of them is to blame.
    """

    suspects: frozenset[bytes]
    crashes: frozenset[str]


def find_culprits(
    suspected: Mapping[bytes, frozenset[str]], is_proven: Callable[[bytes], bool]
) -> tuple[Culprit, ...]:
    """Return culprits for crashes, by the crashes that count against each suspect.

    Each crash is explained by the suspect with the most crashes: the others in flight
    there are not to blame for it. Proven suspects go later. A suspect that is left with
    a crash which nothing explains was not only in flight beside culprits, so all of its
    crashes count: else two that crash the same runners would be freed in turn.
    """
    counted = {
        digest: crashes
        for digest, crashes in suspected.items()
        if len(crashes) >= CRASHES_TO_QUARANTINE
    }
    proven = {digest for digest in counted if is_proven(digest)}
    cover = _Cover(counted)
    cover.explain(counted.keys() - proven, CRASHES_TO_QUARANTINE)
    cover.explain(proven, CRASHES_AGAINST_PROOF)
    cover.explain(counted.keys() - proven, CRASHES_OF_ITS_OWN, shares_crashes=True)
    return tuple(cover.culprits)


class _Cover:
    """Cover crashes with the suspects that explain the most of them."""

    def __init__(self, counted: Mapping[bytes, frozenset[str]]) -> None:
        self.culprits: list[Culprit] = []
        self._counted = counted
        self._explained: set[str] = set()

    def explain(
        self, digests: Set[bytes], minimum: int, shares_crashes: bool = False
    ) -> None:
        """Add culprits while one explains at least `minimum` more crashes.

        With `shares_crashes`, those that others explain count against it as well.
        """
        while digests:
            left = {d: self._counted[d] - self._explained for d in digests}
            against = {d: self._counted[d] for d in digests} if shares_crashes else left
            ranks = {d: _rank(left[d], against[d]) for d in digests}
            most = max(digests, key=ranks.__getitem__)
            if len(left[most]) < minimum:
                break
            tied = frozenset(d for d in digests if ranks[d] == ranks[most])
            self.culprits.append(Culprit(tied, against[most]))
            self._explained |= left[most]
            digests = digests - tied


def _rank(
    left: frozenset[str], against: frozenset[str]
) -> tuple[int, int, list[str], list[str]]:
    """Return the order of a suspect, equal only for those of the same crashes."""
    return len(left), len(against), sorted(left), sorted(against)
