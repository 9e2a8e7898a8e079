"""Carry commands to the control leader until one result comes back."""

import itertools
from collections.abc import Sequence
from typing import NamedTuple

from hawthornshelf.commands import Command, Result
from hawthornshelf.messages import CODEC, NotLeader, Submit, SubmitReply

__all__ = ["SubmissionResult", "Submission", "Submitter"]

RESEND_SECONDS = 0.5
NO_LEADER_SECONDS = 0.1


class Submission(NamedTuple):
    """Hold a command on its way; times are monotonic seconds."""

    request: str
    command: bytes
    until: float
    resend_at: float = 0.0
    unanswered: bool = False


class SubmissionResult(NamedTuple):
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
        self._fresh: list[str] = []

    def update_control(self, control: Sequence[str]) -> None:
        """Take the control nodes known now, keeping the one believed to lead."""
        target = self.target()
        if control and list(control) != self._control:
            self._control = list(control)
            self._leader = control.index(target) if target in control else 0

    def submit(self, now: float, command: Command, until: float) -> str:
        """Enter a command and return its request id."""
        request = f"{self._node}.{next(self._numbers)}"
        self.submit_as(request, command, until)
        return request

    def submit_as(self, request: str, command: Command, until: float) -> None:
        """Enter a command under a request id of the caller's."""
        self._pending[request] = Submission(request, CODEC.encode(command), until)
        self._fresh.append(request)

    def abandon(self, request: str) -> None:
        """Forget a command; it may still take effect."""
        self._pending.pop(request, None)

    def on_reply(self, reply: SubmitReply) -> SubmissionResult | None:
        """Return what ended, unless it had ended before."""
        if self._pending.pop(reply.request, None) is None:
            return None
        return SubmissionResult(reply.request, CODEC.decode(reply.result))

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
        if not wait:
            self._fresh.append(reply.request)

    def target(self) -> str:
        """Return the control node believed to lead."""
        return self._control[self._leader % len(self._control)]

    def take_unsent(self, now: float) -> list[tuple[str, Submit]]:
        """Return the messages that are to go out at once, with their node."""
        fresh, self._fresh = self._fresh, []
        found = [self._pending[r] for r in fresh if r in self._pending]
        return [self._send(now, pending, relay=False) for pending in found]

    def tick(
        self, now: float
    ) -> tuple[list[tuple[str, Submit]], list[SubmissionResult]]:
        """Return the messages to send again, with their node, and what timed out."""
        ended = [p for p in self._pending.values() if now >= p.until]
        for pending in ended:
            del self._pending[pending.request]
        due = [p for p in self._pending.values() if now >= p.resend_at]
        if any(pending.unanswered for pending in due):
            self._leader += 1
        messages = [self._send(now, p, relay=p.unanswered) for p in due]
        return messages, [SubmissionResult(pending.request, None) for pending in ended]

    def _send(self, now: float, pending: Submission, relay: bool) -> tuple[str, Submit]:
        """Send a command; one that got no answer may go through a follower."""
        self._pending[pending.request] = pending._replace(
            resend_at=now + RESEND_SECONDS, unanswered=True
        )
        return self.target(), Submit(pending.request, pending.command, relay)

    def _follow(self, leader: str) -> None:
        if leader in self._control:
            self._leader = self._control.index(leader)
        else:
            self._leader += 1
