"""Acknowledge drains once this node has no requests in flight to the upstream."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from hawthornshelf.commands import AckDrain, Result
from hawthornshelf.state import DrainRow
from hawthornshelf.submission import Submitter

__all__ = ["DrainAcks"]

ACK_TIMEOUT_SECONDS = 30.0


class _Ack(NamedTuple):
    upstream: str
    drain: int


class DrainAcks:
    """Track the acks that this node has sent for the drains in force."""

    def __init__(self, node: str, incarnation: str, submitter: Submitter) -> None:
        self._node = node
        self._incarnation = incarnation
        self._submitter = submitter
        self._sent: dict[_Ack, str] = {}

    def tick(
        self, now: float, drains: Iterable[DrainRow], is_idle: Callable[[str], bool]
    ) -> None:
        """Acknowledge each drain whose upstream has no requests of this node."""
        open_drains = {_Ack(drain.upstream, drain.index) for drain in drains}
        self._sent = {a: s for a, s in self._sent.items() if a in open_drains}
        for ack in sorted(open_drains - set(self._sent)):
            if is_idle(ack.upstream):
                command = AckDrain(*ack, self._node, self._incarnation)
                deadline = now + ACK_TIMEOUT_SECONDS
                self._sent[ack] = self._submitter.submit(now, command, deadline)

    def on_result(self, submission: str, result: Result | None) -> None:
        """Discard an ack that timed out, so that the next tick sends it again."""
        if result is None:
            self._sent = {a: s for a, s in self._sent.items() if s != submission}
