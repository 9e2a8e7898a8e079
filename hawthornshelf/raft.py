"""Replicate a log among the voters of a control group (Raft, free of I/O)."""

import random
from enum import Enum
from typing import NamedTuple

import msgspec

from hawthornshelf.log import (
    EntryKind,
    LogEntry,
    Membership,
    Persist,
    RecoveredState,
    Snapshot,
)
from hawthornshelf.progress import ProgressTable
from hawthornshelf.raftmessages import (
    Append,
    AppendReply,
    InstallSnapshot,
    RaftMessage,
    RaftSend,
    TakeOver,
    VoteReply,
    VoteRequest,
)

__all__ = ["Raft", "Role", "Timing"]

MAX_APPEND_ENTRIES = 256
MAX_APPEND_BYTES = 1024 * 1024
LEASE_SHARE = 0.9


class Timing(NamedTuple):
    """Set the pace of elections, in seconds."""

    heartbeat: float = 0.15
    election: float = 1.0


class Role(Enum):
    """Name the part a replica plays in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Raft:
    """Hold the state of one replica; effects collect until `take` is called."""

    def __init__(
        self, recovered: RecoveredState, timing: Timing, rng: random.Random, now: float
    ) -> None:
        self.replica = recovered.replica
        self.term = recovered.term
        self.voted_for = recovered.voted_for
        self.snapshot = recovered.snapshot
        self.entries: list[LogEntry] = list(recovered.entries)
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = recovered.snapshot.index
        self.applied_index = recovered.snapshot.index
        self.persisted_index = self.last_index
        self.membership = self._find_membership()
        self._timing = timing
        self._rng = rng
        self._progress = ProgressTable()
        self._votes: set[str] = set()
        self._contact = now
        self._deadline = 0.0
        self._heartbeat_due = 0.0
        self._leading_since = now
        self._lease_revoked = False
        self._sequence = 0
        self._persisted_sequence = 0
        self._covers: dict[int, int] = {}
        self._vote_dirty = False
        self._dirty_from: int | None = None
        self._dirty_snapshot: Snapshot | None = None
        self._sends: list[RaftSend] = []
        self._waiting: list[tuple[int, RaftSend]] = []
        self._after_sync: list[RaftSend] = []
        self._arm_election(now)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry held."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    @property
    def last_term(self) -> int:
        """Return the term of the last entry held."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    @property
    def is_leader(self) -> bool:
        """Tell if this replica leads its term."""
        return self.role is Role.LEADER

    @property
    def is_ready(self) -> bool:
        """Tell if this leader has committed an entry of its own term."""
        return self.is_leader and self._term_at(self.commit_index) == self.term

    def lease_until(self) -> float:
        """Return the monotonic second up to which no other leader can exist."""
        if not self.is_leader or self._lease_revoked:
            return float("-inf")
        return self._quorum_contact() + self._timing.election * LEASE_SHARE

    def step(self, now: float, message: RaftMessage) -> None:
        """Take in one message from another replica."""
        if message.target != self.replica:
            return
        match message:
            case VoteRequest():
                self._on_vote_request(now, message)
            case VoteReply():
                self._on_vote_reply(now, message)
            case Append():
                self._on_append(now, message)
            case InstallSnapshot():
                self._on_snapshot(now, message)
            case AppendReply():
                self._on_append_reply(now, message)
            case TakeOver():
                self._on_take_over(now, message)

    def tick(self, now: float) -> None:
        """Send due heartbeats, step down without a quorum, or start an election."""
        if self.is_leader:
            self._check_quorum(now)
        if self.is_leader and now >= self._heartbeat_due:
            self._heartbeat_due = now + self._timing.heartbeat
            self._broadcast(now)
        if not self.is_leader and now >= self._deadline:
            self._start_pre_vote(now)

    def propose(self, data: bytes) -> int | None:
        """Append a command and return its index, or None if not the leader."""
        if not self.is_leader:
            return None
        return self._append_own(EntryKind.COMMAND, data)

    def change_membership(self, membership: Membership) -> int | None:
        """Append a membership that differs in one voter; None if not allowed now."""
        if not self.is_ready or self._membership_pending():
            return None
        changed = set(membership.voters()) ^ set(self.membership.voters())
        if len(changed) > 1 or not membership.voters():
            return None
        index = self._append_own(
            EntryKind.MEMBERSHIP, msgspec.msgpack.encode(membership)
        )
        self.membership = membership
        self._track_members()
        return index

    def transfer_leadership(self, now: float) -> bool:
        """Give up the lease and ask the most caught-up voter to take over."""
        peers = [v for v in self.membership.voters() if v != self.replica]
        caught_up = self._progress.caught_up(peers, self.last_index)
        if not self.is_leader or not caught_up:
            return False
        self._lease_revoked = True
        self._send(TakeOver(self.replica, caught_up[0], self.term))
        return True

    def match_index_of(self, replica: str) -> int:
        """Return the last index a replica is known to hold durably."""
        if replica == self.replica:
            return self.persisted_index
        return self._progress.find(replica).match_index

    def last_contact(self, replica: str) -> float:
        """Return the second of the last heartbeat that a replica answered.

        For one that has not answered this leader: when the leader took over.
        """
        return max(self._progress.find(replica).acked_sent, self._leading_since)

    def record_persisted(self, sequence: int) -> None:
        """Note that a Persist effect was synced and release what waited for it."""
        self._persisted_sequence = max(self._persisted_sequence, sequence)
        done = [at for at in self._covers if at <= sequence]
        for at in done:
            self.persisted_index = max(self.persisted_index, self._covers.pop(at))
        ready = [send for at, send in self._waiting if at <= sequence]
        self._waiting = [(at, send) for at, send in self._waiting if at > sequence]
        self._sends.extend(ready)
        if self.is_leader:
            self._advance_commit()

    def compact(self, data: bytes) -> None:
        """Replace all applied entries by a snapshot that holds the given state."""
        index = self.applied_index
        if index <= self.snapshot.index:
            return
        membership = self._find_membership(index)
        snapshot = Snapshot(self._term_at(index), index, membership, data)
        self._adopt_snapshot(snapshot, self.entries[index - self.snapshot.index :])

    def bootstrap(self, snapshot: Snapshot) -> None:
        """Start a group whose first members are in the snapshot."""
        self._set_term(snapshot.term, "")
        self._adopt_snapshot(snapshot, [])
        self.commit_index = self.applied_index = snapshot.index
        self.membership = snapshot.membership

    def take_snapshot(self) -> Snapshot | None:
        """Return the snapshot that replaces the applied state, if one came in."""
        if self.snapshot.index <= self.applied_index:
            return None
        self.applied_index = self.snapshot.index
        return self.snapshot

    def take_committed(self) -> list[LogEntry]:
        """Return the entries committed since the last call, in order."""
        start = self.applied_index - self.snapshot.index
        stop = self.commit_index - self.snapshot.index
        self.applied_index = self.commit_index
        return self.entries[start:stop]

    def take_effects(self, now: float) -> list[Persist | RaftSend]:
        """Return the effects gathered since the last call."""
        if self.is_leader:
            self._send_new_entries(now)
        effects: list[Persist | RaftSend] = []
        if self._vote_dirty or self._dirty_from or self._dirty_snapshot is not None:
            effects.append(self._take_persist())
        for send in self._after_sync:
            if self._sequence > self._persisted_sequence:
                self._waiting.append((self._sequence, send))
            else:
                self._sends.append(send)
        effects.extend(self._sends)
        self._after_sync, self._sends = [], []
        return effects

    # Elections

    def _start_pre_vote(self, now: float) -> None:
        self._arm_election(now)
        if self.replica not in self.membership.voters():
            return
        self.role = Role.PRE_CANDIDATE
        self.leader = ""
        self._votes = {self.replica}
        self._request_votes(self.term + 1, pre=True)
        if self._has_quorum(self._votes):
            self._start_election(now)

    def _start_election(self, now: float, transfer: bool = False) -> None:
        self.role = Role.CANDIDATE
        self.leader = ""
        self._set_term(self.term + 1, self.replica)
        self._arm_election(now)
        self._votes = set()
        self._request_votes(self.term, transfer=transfer)
        self_vote = VoteReply(self.replica, self.replica, self.term, True)
        self._after_sync.append(RaftSend(self_vote))

    def _request_votes(
        self, term: int, pre: bool = False, transfer: bool = False
    ) -> None:
        for voter in self.membership.voters():
            if voter != self.replica:
                request = VoteRequest(
                    self.replica,
                    voter,
                    term,
                    self.last_index,
                    self.last_term,
                    pre,
                    transfer,
                )
                self._after_sync.append(RaftSend(request))

    def _on_vote_request(self, now: float, request: VoteRequest) -> None:
        in_lease = now < self._contact + self._timing.election or self.is_leader
        if in_lease and not request.transfer:
            self._reply_vote(request, False)
            return
        if request.pre:
            granted = request.term > self.term and self._is_current(request)
            self._reply_vote(request, granted)
            return
        if request.term > self.term:
            self._become_follower(request.term, "")
        free = self.voted_for in ("", request.sender)
        granted = request.term == self.term and free and self._is_current(request)
        if granted:
            self._set_term(self.term, request.sender)
            self._arm_election(now)
        self._reply_vote(request, granted)

    def _is_current(self, request: VoteRequest) -> bool:
        theirs = (request.last_term, request.last_index)
        return theirs >= (self.last_term, self.last_index)

    def _reply_vote(self, request: VoteRequest, granted: bool) -> None:
        term = request.term if request.pre and granted else self.term
        reply = VoteReply(self.replica, request.sender, term, granted, request.pre)
        self._after_sync.append(RaftSend(reply))

    def _on_vote_reply(self, now: float, reply: VoteReply) -> None:
        if not reply.granted:
            if reply.term > self.term:
                self._become_follower(reply.term, "")
            return
        wanted = Role.PRE_CANDIDATE if reply.pre else Role.CANDIDATE
        term = self.term + 1 if reply.pre else self.term
        if self.role is not wanted or reply.term != term:
            return
        self._votes.add(reply.sender)
        if not self._has_quorum(self._votes):
            return
        if reply.pre:
            self._start_election(now)
        else:
            self._become_leader(now)

    def _on_take_over(self, now: float, message: TakeOver) -> None:
        is_voter = self.replica in self.membership.voters()
        if message.term == self.term and is_voter and not self.is_leader:
            self._start_election(now, transfer=True)

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.replica
        self._leading_since = now
        self._lease_revoked = False
        self._progress.clear()
        self._track_members()
        self._heartbeat_due = now
        self._append_own(EntryKind.NOOP, b"")

    def _become_follower(self, term: int, leader: str) -> None:
        if term > self.term:
            self._set_term(term, "")
        self.role = Role.FOLLOWER
        self.leader = leader

    def _set_term(self, term: int, voted_for: str) -> None:
        if (term, voted_for) != (self.term, self.voted_for):
            self.term, self.voted_for = term, voted_for
            self._vote_dirty = True

    def _arm_election(self, now: float) -> None:
        spread = self._rng.uniform(1.0, 2.0)
        self._deadline = now + self._timing.election * spread

    def _has_quorum(self, replicas: set[str]) -> bool:
        voters = self.membership.voters()
        return len(replicas.intersection(voters)) > len(voters) // 2

    # Replication, leader's side

    def _track_members(self) -> None:
        self._progress.track(self.membership.replicas(), self.last_index + 1)

    def _append_own(self, kind: EntryKind, data: bytes) -> int:
        entry = LogEntry(self.term, self.last_index + 1, kind, data)
        self._store((entry,))
        return entry.index

    def _broadcast(self, now: float) -> None:
        for replica, _ in self._progress:
            if replica != self.replica:
                self._send_append(now, replica)

    def _send_new_entries(self, now: float) -> None:
        for replica, progress in self._progress:
            if replica != self.replica and progress.next_index <= self.last_index:
                self._send_append(now, replica)

    def _send_append(self, now: float, replica: str) -> None:
        progress = self._progress.find(replica)
        if progress.next_index <= self.snapshot.index:
            self._send_snapshot(now, replica)
            return
        prev = progress.next_index - 1
        entries = self._slice(progress.next_index)
        message = Append(
            self.replica,
            replica,
            self.term,
            prev,
            self._term_at(prev),
            entries,
            self.commit_index,
            now,
        )
        self._send(message)
        following = progress.next_index + len(entries)
        self._progress.note_sent(replica, following)

    def _send_snapshot(self, now: float, replica: str) -> None:
        if not self._progress.may_send_snapshot(now, replica):
            return
        snapshot = self.snapshot
        self._send(InstallSnapshot(self.replica, replica, self.term, snapshot, now))

    def _slice(self, start: int) -> tuple[LogEntry, ...]:
        offset = start - self.snapshot.index - 1
        chosen: list[LogEntry] = []
        size = 0
        for entry in self.entries[offset : offset + MAX_APPEND_ENTRIES]:
            size += len(entry.data)
            if chosen and size > MAX_APPEND_BYTES:
                break
            chosen.append(entry)
        return tuple(chosen)

    def _on_append_reply(self, now: float, reply: AppendReply) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, "")
            self._arm_election(now)
        if not self.is_leader or reply.term != self.term:
            return
        self._progress.note_reply(reply)
        self._advance_commit()

    def _advance_commit(self) -> None:
        voters = self.membership.voters()
        agreed = self._progress.agreed_index(voters, self.replica, self.persisted_index)
        if agreed > self.commit_index and self._term_at(agreed) == self.term:
            self.commit_index = agreed
            self._heartbeat_due = 0.0
            if self.replica not in self.membership.voters():
                self._become_follower(self.term, "")

    def _quorum_contact(self) -> float:
        voters = self.membership.voters()
        return self._progress.quorum_contact(voters, self.replica)

    def _check_quorum(self, now: float) -> None:
        contact = max(self._quorum_contact(), self._leading_since)
        if now > contact + self._timing.election:
            self._become_follower(self.term, "")
            self._arm_election(now)

    def _membership_pending(self) -> bool:
        return any(
            e.kind is EntryKind.MEMBERSHIP and e.index > self.commit_index
            for e in self.entries
        )

    # Replication, follower's side

    def _accept_leader(self, now: float, term: int, leader: str) -> bool:
        if term < self.term:
            return False
        self._become_follower(term, leader)
        self._contact = now
        self._arm_election(now)
        return True

    def _on_append(self, now: float, message: Append) -> None:
        if not self._accept_leader(now, message.term, message.sender):
            self._reply_append(message, False, 0)
            return
        if not self._holds(message.prev_index, message.prev_term):
            hint = min(self.last_index, message.prev_index - 1)
            self._reply_append(message, False, max(hint, self.commit_index))
            return
        self._store_missing(message.entries)
        match = message.prev_index + len(message.entries)
        self.commit_index = max(self.commit_index, min(message.commit, match))
        self._reply_append(message, True, match)

    def _reply_append(self, message: Append, success: bool, match: int) -> None:
        reply = AppendReply(
            self.replica, message.sender, self.term, success, match, message.sent
        )
        self._after_sync.append(RaftSend(reply))

    def _on_snapshot(self, now: float, message: InstallSnapshot) -> None:
        if not self._accept_leader(now, message.term, message.sender):
            return
        snapshot = message.snapshot
        if snapshot.index > self.commit_index:
            kept: list[LogEntry] = []
            if self._holds(snapshot.index, snapshot.term):
                kept = [e for e in self.entries if e.index > snapshot.index]
            self._adopt_snapshot(snapshot, kept)
            self.commit_index = snapshot.index
            self.membership = self._find_membership()
        reply = AppendReply(
            self.replica,
            message.sender,
            self.term,
            True,
            snapshot.index,
            message.sent,
        )
        self._after_sync.append(RaftSend(reply))

    def _holds(self, index: int, term: int) -> bool:
        if index <= self.commit_index:
            return True
        return index <= self.last_index and self._term_at(index) == term

    def _store_missing(self, entries: tuple[LogEntry, ...]) -> None:
        for position, entry in enumerate(entries):
            if entry.index <= self.snapshot.index:
                continue
            if not self._holds(entry.index, entry.term):
                self._store(entries[position:])
                return

    def _store(self, entries: tuple[LogEntry, ...]) -> None:
        first = entries[0].index
        truncates = first <= self.last_index
        offset = first - self.snapshot.index - 1
        del self.entries[offset:]
        self.entries.extend(entries)
        self._forget_persisted(first - 1)
        dirty = self._dirty_from
        self._dirty_from = first if dirty is None else min(dirty, first)
        if truncates or any(e.kind is EntryKind.MEMBERSHIP for e in entries):
            self.membership = self._find_membership()

    def _forget_persisted(self, index: int) -> None:
        self.persisted_index = min(self.persisted_index, index)
        for sequence, covered in self._covers.items():
            self._covers[sequence] = min(covered, index)

    def _adopt_snapshot(self, snapshot: Snapshot, entries: list[LogEntry]) -> None:
        self.entries = entries
        self.snapshot = snapshot
        self._dirty_snapshot = snapshot
        self._forget_persisted(self.last_index)

    # Shared helpers

    def _send(self, message: RaftMessage) -> None:
        self._sends.append(RaftSend(message))

    def _term_at(self, index: int) -> int:
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.snapshot.index - 1
        if 0 <= offset < len(self.entries):
            return self.entries[offset].term
        return 0

    def _find_membership(self, upto: int | None = None) -> Membership:
        for entry in reversed(self.entries):
            in_range = upto is None or entry.index <= upto
            if entry.kind == EntryKind.MEMBERSHIP and in_range:
                return msgspec.msgpack.decode(entry.data, type=Membership)
        return self.snapshot.membership

    def _take_persist(self) -> Persist:
        self._sequence += 1
        self._covers[self._sequence] = self.last_index
        entries: tuple[LogEntry, ...] = ()
        if self._dirty_snapshot is not None:
            entries = tuple(self.entries)
        elif self._dirty_from is not None:
            entries = tuple(self.entries[self._dirty_from - self.snapshot.index - 1 :])
        persist = Persist(
            self._sequence, self.term, self.voted_for, entries, self._dirty_snapshot
        )
        self._vote_dirty = False
        self._dirty_from = None
        self._dirty_snapshot = None
        return persist
