"""Carry commands to the control leader until one result comes back."""

import itertools
from collections.abc import Sequence
from typing import NamedTuple

from hawthornshelf.commands import Command, Result
from hawthornshelf.messages import CODEC, NotLeader, Submit, SubmitReply

__all__ = ["Ended", "Submission", "Submitter"]

RESEND_SECONDS = 0.5
NO_LEADER_SECONDS = 0.1


class Submission(NamedTuple):
    """Hold a command on its way; times are monotonic seconds."""

    request: str
    command: bytes
    until: float
    resend_at: float = 0.0
    unanswered: bool = False


class Ended(NamedTuple):
    """Hold a submission's result, or None if its time ran out."""

    request: str
    result: Result | None


class Submitter:
    """Hold the commands a node has submitted; every command is idempotent."""

    def __init__(self, node: str, control: Sequence[str]) -> None:
        self._node = node
        self._control = list(control)
        self._leader = 0
        self._pending: dict[str, Submission] = {}
        self._numbers = itertools.count(1)
        self._due: list[Submission] = []

    def submit(self, now: float, command: Command, until: float) -> str:
        """Enter a command and return its request id."""
        request = f"{self._node}.{next(self._numbers)}"
        self.submit_as(request, command, until)
        return request

    def submit_as(self, request: str, command: Command, until: float) -> None:
        """Enter a command under a request id of the caller's."""
        self._pending[request] = Submission(request, CODEC.encode(command), until)

    def abandon(self, request: str) -> None:
        """Forget a command; it may still take effect."""
        self._pending.pop(request, None)

    def on_reply(self, reply: SubmitReply) -> Ended | None:
        """Return what ended, unless it had ended before."""
        if self._pending.pop(reply.request, None) is None:
            return None
        return Ended(reply.request, CODEC.decode(reply.result))

    def on_not_leader(self, now: float, sender: str, reply: NotLeader) -> None:
        """Turn to the leader named, or to the next control node."""
        pending = self._pending.get(reply.request)
        if pending is None:
            return
        if sender == self.target():
            self._follow(reply.leader)
        wait = 0.0 if reply.leader not in ("", sender) else NO_LEADER_SECONDS
        self._pending[reply.request] = pending._replace(
            resend_at=now + wait, unanswered=False
        )

    def target(self) -> str:
        """Return the control node believed to lead."""
        return self._control[self._leader % len(self._control)]

    def tick(self, now: float) -> tuple[list[tuple[str, Submit]], list[Ended]]:
        """Return the messages to send now, with their node, and what timed out."""
        sends = []
        ended = []
        timed_out = False
        for pending in list(self._pending.values()):
            if now >= pending.until:
                del self._pending[pending.request]
                ended.append(Ended(pending.request, None))
            elif now >= pending.resend_at:
                timed_out = timed_out or pending.unanswered
                self._pending[pending.request] = pending._replace(
                    resend_at=now + RESEND_SECONDS, unanswered=True
                )
                sends.append(pending)
        if timed_out:
            self._leader += 1
        target = self.target()
        messages = [(target, Submit(p.request, p.command)) for p in sends]
        return messages, ended

    def _follow(self, leader: str) -> None:
        if leader in self._control:
            self._leader = self._control.index(leader)
        else:
            self._leader += 1
