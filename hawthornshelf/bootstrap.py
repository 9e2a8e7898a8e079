"""Form a control group once, from replicas that all start blank."""

from collections.abc import Iterable, Sequence

from hawthornshelf.log import Member, Membership, Snapshot
from hawthornshelf.messages import Hello

__all__ = ["GroupBootstrap"]

BOOTSTRAP_TERM = 1
BOOTSTRAP_INDEX = 1


class GroupBootstrap:
    """Track the hellos of the initial nodes; the first node by name forms the group.

    A replica is confirmed only if it is blank and echoes this replica's id, so that
    a hello from before a disk was lost can't form a second group.
    """

    def __init__(self, node: str, replica: str, initial: Sequence[str]) -> None:
        self._node = node
        self._replica = replica
        self._initial = sorted(initial)
        self._heard_ids: dict[str, str] = {}
        self._confirmed: dict[str, str] = {node: replica}

    def hellos(
        self, blank: bool, others: Iterable[str] = ()
    ) -> list[tuple[str, Hello]]:
        """Return a hello for each other initial node and each of the `others`."""
        nodes = sorted({*self._initial, *others} - {self._node})
        return [
            (
                node,
                Hello(self._replica, self._node, blank, self._heard_ids.get(node, "")),
            )
            for node in nodes
        ]

    def receive(self, hello: Hello) -> None:
        """Process a hello from another control node."""
        self._heard_ids[hello.node] = hello.replica
        echoes = hello.heard == self._replica
        if hello.blank and echoes and hello.node in self._initial:
            self._confirmed[hello.node] = hello.replica
        else:
            self._confirmed.pop(hello.node, None)

    def make_initial_snapshot(self) -> Snapshot | None:
        """Return the initial snapshot if this node may form the group, or None."""
        if self._initial[:1] != [self._node]:
            return None
        if sorted(self._confirmed) != self._initial:
            return None
        members = [Member(self._confirmed[n], n, voter=True) for n in self._initial]
        return Snapshot(
            BOOTSTRAP_TERM, BOOTSTRAP_INDEX, Membership(tuple(sorted(members)))
        )
