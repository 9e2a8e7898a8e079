"""Start the initial nodes of a control group as its voters.

Any majority of them then elects a leader, and none has to be heard of first. That needs
a flag that tells a first start from a start with a wiped disk; without one, `bootstrap`
forms the group. This module is imported before all that is slow to import.
"""

from collections.abc import Sequence

from hawthornshelf.log import Member, Membership, Snapshot

__all__ = ["make_founding_snapshot", "make_replica_id"]

FOUNDING_TERM = 1
FOUNDING_INDEX = 1
FOUNDER_PREFIX = "founder-"


def make_founding_snapshot(node: str, initial: Sequence[str]) -> Snapshot:
    """Return the snapshot with which a node's replica starts on an empty disk.

    All initial nodes start with the same one: each of them is a voter under an id that
    follows from its name. Call it at the first start only: a second empty disk with
    the same id would vote twice. The snapshot is empty for a node that is not an
    initial one.
    """
    if node not in initial:
        return Snapshot()
    members = [Member(FOUNDER_PREFIX + n, n, voter=True) for n in initial]
    membership = Membership(tuple(sorted(members)))
    return Snapshot(FOUNDING_TERM, FOUNDING_INDEX, membership)


def make_replica_id(founding: Snapshot, node: str, random_id: str) -> str:
    """Return the id for a replica on an empty disk: a founder's, or the random one."""
    founders = founding.membership.on_node(node)
    return founders[0].replica if founders else random_id
