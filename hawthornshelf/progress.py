"""Track what a leader knows of the other replicas' logs."""

from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from hawthornshelf.raftmessages import AppendReply

__all__ = ["Progress", "ProgressTable"]

SNAPSHOT_RESEND_SECONDS = 2.0
NEVER = float("-inf")


class Progress(NamedTuple):
    """Hold what the leader knows of one replica; times are the leader's seconds."""

    next_index: int
    match_index: int = 0
    acked_sent: float = NEVER
    snapshot_sent: float = NEVER


class ProgressTable:
    """Hold a row for each replica that the leader replicates to."""

    def __init__(self) -> None:
        self._rows: dict[str, Progress] = {}

    def __iter__(self) -> Iterator[tuple[str, Progress]]:
        return iter(list(self._rows.items()))

    def clear(self) -> None:
        """Forget all replicas."""
        self._rows.clear()

    def track(self, replicas: Iterable[str], next_index: int) -> None:
        """Add rows for new replicas and drop those of removed ones."""
        self._rows = {
            replica: self._rows.get(replica, Progress(next_index))
            for replica in replicas
        }

    def find(self, replica: str) -> Progress:
        """Return a replica's row, or an empty one."""
        return self._rows.get(replica, Progress(0))

    def note_sent(self, replica: str, next_index: int) -> None:
        """Note up to where entries were sent."""
        row = self._rows[replica]
        self._rows[replica] = row._replace(next_index=next_index)

    def may_send_snapshot(self, now: float, replica: str) -> bool:
        """Tell if a snapshot is due, and note that it is sent."""
        row = self._rows[replica]
        if now < row.snapshot_sent + SNAPSHOT_RESEND_SECONDS:
            return False
        self._rows[replica] = row._replace(snapshot_sent=now)
        return True

    def note_reply(self, reply: AppendReply) -> None:
        """Take in an answer: move forward on success, back on a mismatch."""
        row = self._rows.get(reply.sender)
        if row is None:
            return
        row = row._replace(acked_sent=max(row.acked_sent, reply.sent))
        if reply.success:
            match = max(row.match_index, reply.match_index)
            following = max(row.next_index, match + 1)
            row = row._replace(match_index=match, next_index=following)
        else:
            back = min(reply.match_index, row.next_index - 1)
            row = row._replace(next_index=max(back, row.match_index) + 1)
        self._rows[reply.sender] = row

    def caught_up(self, peers: Iterable[str], last_index: int) -> list[str]:
        """Return the peers that hold the whole log, last heard first."""
        held = [p for p in peers if self.find(p).match_index == last_index]
        return sorted(held, key=lambda p: (-self.find(p).acked_sent, p))

    def quorum_contact(self, voters: Sequence[str], own: str) -> float:
        """Return when the latest heartbeat was sent that a quorum has answered."""
        contacts = [
            float("inf") if voter == own else self.find(voter).acked_sent
            for voter in voters
        ]
        return _find_quorum(contacts, NEVER)

    def agreed_index(self, voters: Sequence[str], own: str, own_match: int) -> int:
        """Return the highest index that a quorum holds."""
        matches = [
            own_match if voter == own else self.find(voter).match_index
            for voter in voters
        ]
        return int(_find_quorum(matches, 0))


def _find_quorum(values: Sequence[float], default: float) -> float:
    """Return the greatest value that a majority reaches."""
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 2] if ordered else default
