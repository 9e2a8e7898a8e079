"""Track the replication progress of each replica on the leader."""

from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from hawthornshelf.raftmessages import AppendReply

__all__ = ["NEVER", "Progress", "ProgressTable"]

SNAPSHOT_RESEND_SECONDS = 2.0
NEVER = float("-inf")


class Progress(NamedTuple):
    """Represent the progress of one replica.

    Times are monotonic seconds of the leader's clock. `acked_sent_at` is when the
    latest acknowledged message was sent. `reads_replacements` is what the replica's
    build says of itself.
    """

    next_index: int
    match_index: int = 0
    acked_sent_at: float = NEVER
    snapshot_sent_at: float = NEVER
    reads_replacements: bool = False


class ProgressTable:
    """Store the progress of each replica that the leader replicates to."""

    def __init__(self) -> None:
        self._rows: dict[str, Progress] = {}

    def __iter__(self) -> Iterator[tuple[str, Progress]]:
        return iter(list(self._rows.items()))

    def clear(self) -> None:
        """Remove all replicas."""
        self._rows.clear()

    def track(self, replicas: Iterable[str], next_index: int) -> None:
        """Add new replicas at the given next index and remove those not listed."""
        self._rows = {
            replica: self._rows.get(replica, Progress(next_index))
            for replica in replicas
        }

    def find(self, replica: str) -> Progress:
        """Return a replica's progress, or an empty one if it is not tracked."""
        return self._rows.get(replica, Progress(0))

    def record_sent(self, replica: str, next_index: int) -> None:
        """Record the index of the next entry to send."""
        row = self._rows[replica]
        self._rows[replica] = row._replace(next_index=next_index)

    def begin_snapshot_send(self, now: float, replica: str) -> bool:
        """Return whether a snapshot may be sent now, and record the send if so.

        A snapshot is sent again only after SNAPSHOT_RESEND_SECONDS.
        """
        row = self._rows[replica]
        if now < row.snapshot_sent_at + SNAPSHOT_RESEND_SECONDS:
            return False
        self._rows[replica] = row._replace(snapshot_sent_at=now)
        return True

    def record_reply(self, reply: AppendReply) -> None:
        """Advance the next index on success, or move it back on a log mismatch."""
        row = self._rows.get(reply.sender)
        if row is None:
            return
        row = row._replace(
            acked_sent_at=max(row.acked_sent_at, reply.sent),
            reads_replacements=reply.reads_replacements,
        )
        if reply.success:
            match = max(row.match_index, reply.match_index)
            next_index = max(row.next_index, match + 1)
            row = row._replace(match_index=match, next_index=next_index)
        else:
            hint = min(reply.match_index, row.next_index - 1)
            row = row._replace(next_index=max(hint, row.match_index) + 1)
        self._rows[reply.sender] = row

    def find_caught_up(self, peers: Iterable[str], index: int) -> list[str]:
        """Return the peers that have the log up to an index, the longest log first."""
        rows = {peer: self.find(peer) for peer in peers}
        complete = [peer for peer, row in rows.items() if row.match_index >= index]
        return sorted(
            complete,
            key=lambda p: (-rows[p].match_index, -rows[p].acked_sent_at, p),
        )

    def quorum_contact(self, voters: Sequence[str], own: str) -> float:
        """Return the send time of the latest message that a quorum acknowledged."""
        contacts = [
            float("inf") if voter == own else self.find(voter).acked_sent_at
            for voter in voters
        ]
        return _find_quorum(contacts, NEVER)

    def quorum_match_index(
        self, voters: Sequence[str], own: str, own_match: int
    ) -> int:
        """Return the highest index that is replicated on a quorum."""
        matches = [
            own_match if voter == own else self.find(voter).match_index
            for voter in voters
        ]
        return int(_find_quorum(matches, 0))


def _find_quorum(values: Sequence[float], default: float) -> float:
    """Return the greatest value that a majority reaches or exceeds."""
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 2] if ordered else default
