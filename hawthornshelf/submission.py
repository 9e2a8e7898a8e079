"""Submit commands to the control leader, and resend them until a result arrives."""

import itertools
from collections.abc import Sequence
from typing import NamedTuple

from hawthornshelf.commands import Command, Result
from hawthornshelf.messages import CODEC, NotLeader, Submit, SubmitReply

__all__ = ["Submission", "SubmissionResult", "Submitter"]

RESEND_SECONDS = 0.5
NO_LEADER_RETRY_SECONDS = 0.1


class Submission(NamedTuple):
    """Represent a command in flight; times are monotonic seconds.

    `unanswered` is set once it was sent to a node that has not replied yet.
    """

    request: str
    command: bytes
    deadline: float
    resend_at: float = 0.0
    unanswered: bool = False


class SubmissionResult(NamedTuple):
    """Represent a submission's result, which is None if it timed out."""

    request: str
    result: Result | None


class Submitter:
    """Track a node's submitted commands.

    Commands are sent again until a result arrives, since every command is idempotent.
    """

    def __init__(self, node: str, control: Sequence[str]) -> None:
        self._node = node
        self._control = list(control)
        self._leader_index = 0
        self._pending: dict[str, Submission] = {}
        self._numbers = itertools.count(1)
        self._unsent: list[str] = []

    def update_control(self, control: Sequence[str]) -> None:
        """Update the known control nodes, keeping the presumed leader."""
        target = self.target()
        if control and list(control) != self._control:
            self._control = list(control)
            self._leader_index = control.index(target) if target in control else 0

    def submit(self, now: float, command: Command, deadline: float) -> str:
        """Queue a command and return its request id."""
        request = f"{self._node}.{next(self._numbers)}"
        self.submit_as(request, command, deadline)
        return request

    def submit_as(self, request: str, command: Command, deadline: float) -> None:
        """Queue a command under a given request id."""
        self._pending[request] = Submission(request, CODEC.encode(command), deadline)
        self._unsent.append(request)

    def abandon(self, request: str) -> None:
        """Stop waiting for a command; it may still be applied."""
        self._pending.pop(request, None)

    def on_reply(self, reply: SubmitReply) -> SubmissionResult | None:
        """Return a command's result, or None if the command has already ended."""
        if self._pending.pop(reply.request, None) is None:
            return None
        return SubmissionResult(reply.request, CODEC.decode(reply.result))

    def on_not_leader(self, now: float, sender: str, reply: NotLeader) -> None:
        """Redirect a command to the named leader, or to the next control node."""
        pending = self._pending.get(reply.request)
        if pending is None:
            return
        if sender == self.target():
            self._switch_leader(reply.leader)
        wait = 0.0 if reply.leader not in ("", sender) else NO_LEADER_RETRY_SECONDS
        self._pending[reply.request] = pending._replace(
            resend_at=now + wait, unanswered=False
        )
        if not wait:
            self._unsent.append(reply.request)

    def target(self) -> str:
        """Return the presumed leader, to which commands are sent."""
        return self._control[self._leader_index % len(self._control)]

    def take_unsent(self, now: float) -> list[tuple[str, Submit]]:
        """Return the messages to send at once, with their target nodes."""
        unsent, self._unsent = self._unsent, []
        found = [self._pending[r] for r in unsent if r in self._pending]
        return [self._send(now, pending, relay=False) for pending in found]

    def tick(
        self, now: float
    ) -> tuple[list[tuple[str, Submit]], list[SubmissionResult]]:
        """Return the messages to send again with their targets, and what timed out.

        If a message got no reply, all move on to the next control node.
        """
        ended = [p for p in self._pending.values() if now >= p.deadline]
        for pending in ended:
            del self._pending[pending.request]
        due = [p for p in self._pending.values() if now >= p.resend_at]
        if any(pending.unanswered for pending in due):
            self._leader_index += 1
        messages = [self._send(now, p, relay=p.unanswered) for p in due]
        return messages, [SubmissionResult(pending.request, None) for pending in ended]

    def _send(self, now: float, pending: Submission, relay: bool) -> tuple[str, Submit]:
        """Return a command's message with its target.

        With `relay` a follower passes it on, if this node can't reach the leader.
        """
        self._pending[pending.request] = pending._replace(
            resend_at=now + RESEND_SECONDS, unanswered=True
        )
        return self.target(), Submit(pending.request, pending.command, relay)

    def _switch_leader(self, leader: str) -> None:
        if leader in self._control:
            self._leader_index = self._control.index(leader)
        else:
            self._leader_index += 1
