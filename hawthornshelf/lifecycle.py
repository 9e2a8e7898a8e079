"""Track a node from joining to leaving, and decide if it accepts new requests."""

from hawthornshelf.commands import Done, JoinNode, RemoveNode, Result
from hawthornshelf.messages import ControlWord
from hawthornshelf.submission import Submitter

__all__ = ["Lifecycle"]

STALE_SECONDS = 5.0
JOIN_TIMEOUT_SECONDS = 5.0
LEAVE_TIMEOUT_SECONDS = 10.0
NEVER = float("inf")


class Lifecycle:
    """Track whether a node has joined, how stale its knowledge is and if it leaves.

    A node accepts requests only while it has joined, so that drains wait for it, and
    while it has a fresh report from control or a fresh list from the platform:
    otherwise it can't know which upstreams are leaving. A leaving node still accepts
    requests for `linger` seconds, while callers may use its address.
    """

    def __init__(
        self, node: str, incarnation: str, linger: float, submitter: Submitter
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._linger = linger
        self._submitter = submitter
        self._fresh_at = -NEVER
        self._listed_at = -NEVER
        self._join_request = ""
        self._joined_index = 0
        self.joined = False
        self._stopping_at = NEVER
        self._leave_request = ""
        self._leave_until = NEVER
        self._deregistered = False

    @property
    def is_leaving(self) -> bool:
        """Return whether the node was asked to stop."""
        return self._stopping_at < NEVER

    def staleness(self, now: float) -> float:
        """Return the staleness of this node's knowledge of shared state in seconds."""
        return now - self._fresh_at

    def record_staleness(self, now: float, staleness: float) -> None:
        """Record a freshness report with its staleness on arrival in seconds."""
        self._fresh_at = max(self._fresh_at, now - staleness)

    def record_platform_list(self, now: float) -> None:
        """Record that the platform's list arrived."""
        self._listed_at = now

    def refusal(self, now: float) -> str:
        """Return why this node refuses new requests, or an empty string."""
        if now >= self._stopping_at + self._linger:
            return "this node is leaving"
        if not self.joined:
            return "this node has not joined yet"
        if min(self.staleness(now), now - self._listed_at) > STALE_SECONDS:
            return "this node is cut off from the control group"
        return ""

    def on_freshness_report(self, report: ControlWord, revision: int) -> bool:
        """Apply control's report on this node; return whether it has been removed.

        Reports from before the node's own join was applied are ignored. The node
        counts as joined once its view is as new as the report.
        """
        if not self._joined_index or report.applied < self._joined_index:
            return False
        removed = self.joined and not report.joined
        if removed:
            self.joined = False
            self._joined_index = 0
        self.joined = self.joined or (report.joined and revision >= report.revision)
        return removed

    def on_result(self, request: str, result: Result | None) -> bool:
        """Process the result of a join or leave; return whether it was one of these."""
        if request == self._join_request:
            self._join_request = ""
            if isinstance(result, Done):
                self._joined_index = result.index
            return True
        if request == self._leave_request:
            self._deregistered = True
            return True
        return False

    def tick(self, now: float) -> None:
        """Submit a join unless the node has joined, is joining or is leaving."""
        if self.joined or self._join_request or self._joined_index or self.is_leaving:
            return
        command = JoinNode(self._node, self._incarnation)
        self._join_request = self._submitter.submit(
            now, command, now + JOIN_TIMEOUT_SECONDS
        )

    def stop(self, now: float) -> bool:
        """Start to leave; return whether the node was not leaving yet."""
        if self.is_leaving:
            return False
        self._stopping_at = now
        return True

    def may_end(self, now: float, open_requests: int) -> bool:
        """Return whether the process may end.

        It ends after the linger time, when no request is open and the node has
        deregistered or its attempt to deregister has timed out.
        """
        if now < self._stopping_at + self._linger or open_requests:
            return False
        if not self._leave_request:
            command = RemoveNode(self._node, self._incarnation)
            self._leave_until = now + LEAVE_TIMEOUT_SECONDS
            self._leave_request = self._submitter.submit(
                now, command, self._leave_until
            )
        return self._deregistered or now >= self._leave_until
