"""Form a control group once, from replicas that all start blank."""

from collections.abc import Iterable, Sequence

from hawthornshelf.log import Member, Membership, Snapshot
from hawthornshelf.messages import Hello

__all__ = ["GroupBootstrap"]

BOOTSTRAP_TERM = 1
BOOTSTRAP_INDEX = 1


class GroupBootstrap:
    """Collect the hellos of the initial nodes; the first node by name decides.

    A replica counts only if it is blank and echoes this replica's id, so that
    a hello from before a lost disk can't form a second group.
    """

    def __init__(self, node: str, replica: str, initial: Sequence[str]) -> None:
        self._node = node
        self._replica = replica
        self._initial = sorted(initial)
        self._heard: dict[str, str] = {}
        self._blank: dict[str, str] = {node: replica}

    def hellos(
        self, blank: bool, others: Iterable[str] = ()
    ) -> list[tuple[str, Hello]]:
        """Return the hello for each other initial node and each other one known."""
        nodes = sorted({*self._initial, *others} - {self._node})
        return [
            (node, Hello(self._replica, self._node, blank, self._heard.get(node, "")))
            for node in nodes
        ]

    def receive(self, hello: Hello) -> None:
        """Take in a hello from another control node."""
        self._heard[hello.node] = hello.replica
        echoes = hello.heard == self._replica
        if hello.blank and echoes and hello.node in self._initial:
            self._blank[hello.node] = hello.replica
        else:
            self._blank.pop(hello.node, None)

    def decide(self) -> Snapshot | None:
        """Return the first snapshot if this node is to form the group now."""
        if self._initial[:1] != [self._node]:
            return None
        if sorted(self._blank) != self._initial:
            return None
        members = [Member(self._blank[n], n, voter=True) for n in self._initial]
        return Snapshot(
            BOOTSTRAP_TERM, BOOTSTRAP_INDEX, Membership(tuple(sorted(members)))
        )
