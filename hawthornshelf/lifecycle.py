"""Follow one node from joining to leaving, and tell if it may take new work."""

from hawthornshelf.commands import Done, JoinNode, RemoveNode, Result
from hawthornshelf.messages import ControlWord
from hawthornshelf.submission import Submitter

__all__ = ["Lifecycle"]

STALE_SECONDS = 5.0
JOIN_WAIT_SECONDS = 5.0
LEAVE_WAIT_SECONDS = 10.0
NEVER = float("inf")


class Lifecycle:
    """Hold if a node has joined, how fresh its knowledge is, and if it leaves.

    A node takes work only while drains wait for it, and while it has fresh word
    from control or the platform's list: otherwise it can't know who is leaving.
    """

    def __init__(
        self, node: str, incarnation: str, linger: float, submitter: Submitter
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._linger = linger
        self._submitter = submitter
        self._word_at = -NEVER
        self._listed_at = -NEVER
        self._join = ""
        self._joined_index = 0
        self.joined = False
        self._stopping_at = NEVER
        self._leave = ""
        self._leave_until = NEVER
        self._left = False

    @property
    def is_leaving(self) -> bool:
        """Tell if the node was asked to stop."""
        return self._stopping_at < NEVER

    def staleness(self, now: float) -> float:
        """Return how old this node's word from control may be, in seconds."""
        return now - self._word_at

    def record_staleness(self, now: float, staleness: float) -> None:
        """Take in word from control that was so old when it came."""
        self._word_at = max(self._word_at, now - staleness)

    def record_platform_list(self, now: float) -> None:
        """Note that the platform's list came."""
        self._listed_at = now

    def refusal(self, now: float) -> str:
        """Return why this node takes no new work, or nothing if it does."""
        if now >= self._stopping_at + self._linger:
            return "this node is leaving"
        if not self.joined:
            return "this node has not joined yet"
        if min(self.staleness(now), now - self._listed_at) > STALE_SECONDS:
            return "this node is cut off from the control group"
        return ""

    def on_freshness_report(self, word: ControlWord, revision: int) -> bool:
        """Take in an answer about this node; return if it was struck off."""
        if not self._joined_index or word.applied < self._joined_index:
            return False
        struck_off = self.joined and not word.joined
        if struck_off:
            self.joined = False
            self._joined_index = 0
        self.joined = self.joined or (word.joined and revision >= word.revision)
        return struck_off

    def on_result(self, request: str, result: Result | None) -> bool:
        """Take in the result of a join or leave; return if it was one."""
        if request == self._join:
            self._join = ""
            if isinstance(result, Done):
                self._joined_index = result.index
            return True
        if request == self._leave:
            self._left = True
            return True
        return False

    def tick(self, now: float) -> None:
        """Ask to join unless that is done, under way or no longer wanted."""
        if self.joined or self._join or self._joined_index or self.is_leaving:
            return
        command = JoinNode(self._node, self._incarnation)
        self._join = self._submitter.submit(now, command, now + JOIN_WAIT_SECONDS)

    def stop(self, now: float) -> bool:
        """Begin to leave; return if this is news."""
        if self.is_leaving:
            return False
        self._stopping_at = now
        return True

    def may_end(self, now: float, open_requests: int) -> bool:
        """Tell if the node has lingered, ended its requests and signed off."""
        if now < self._stopping_at + self._linger or open_requests:
            return False
        if not self._leave:
            command = RemoveNode(self._node, self._incarnation)
            self._leave_until = now + LEAVE_WAIT_SECONDS
            self._leave = self._submitter.submit(now, command, self._leave_until)
        return self._left or now >= self._leave_until
