"""Replicate the log of a control group with Raft, without doing any I/O."""

import random
from enum import Enum
from typing import NamedTuple

from hawthornshelf.log import (
    EntryKind,
    LogEntry,
    Membership,
    Persist,
    RecoveredState,
    Replacement,
    Snapshot,
    VoterSet,
)
from hawthornshelf.progress import NEVER, ProgressTable
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
LEASE_FRACTION = 0.9
"""Length of the leader lease, relative to the minimum election timeout."""


class Timing(NamedTuple):
    """Store the heartbeat interval and the minimum election timeout, in seconds."""

    heartbeat: float = 0.15
    election: float = 1.0


class Role(Enum):
    """Enumerate the roles of a replica within a term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Raft:
    """Implement the Raft state machine of one replica.

    Messages to send and state to persist are collected until `take_effects` returns
    them. Messages that rely on durable state are held back until the persist effect
    they depend on is synced.

    `_sends` holds messages that may leave at the next `take_effects`, and
    `_sends_after_sync` those collected since the last one that rely on durable state.
    If a persist effect is unsynced at the next call, the latter move to
    `_awaiting_sync`, with the sequence number of the latest persist effect;
    `record_persisted` moves them on to `_sends`.

    What the next persist effect must contain is in `_vote_dirty` (the term or the vote
    changed), `_dirty_from` (index of the first entry that changed) and
    `_dirty_snapshot` (a new snapshot, persisted with all entries after it).
    """

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
        self.voter_set = self._find_voter_set()
        self._has_confirmed_commit = False
        self._timing = timing
        self._rng = rng
        self._progress = ProgressTable()
        self._votes: set[str] = set()
        self._leader_heard_at = now
        self._election_deadline = 0.0
        self._heartbeat_due = 0.0
        self._leader_since = now
        self._lease_revoked = False
        self._sequence = 0
        self._persisted_sequence = 0
        self._last_index_by_sequence: dict[int, int] = {}
        self._vote_dirty = False
        self._dirty_from: int | None = None
        self._dirty_snapshot: Snapshot | None = None
        self._sends: list[RaftSend] = []
        self._awaiting_sync: list[tuple[int, RaftSend]] = []
        self._sends_after_sync: list[RaftSend] = []
        self._reset_election_timer(now)

    @property
    def last_index(self) -> int:
        """Return the index of the last log entry, or else of the snapshot."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    @property
    def last_term(self) -> int:
        """Return the term of the last log entry, or else of the snapshot."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    @property
    def membership(self) -> Membership:
        """Return the replicas of the group, as of the last log entry."""
        return self.voter_set.membership

    @property
    def replacement(self) -> Replacement | None:
        """Return the replacement of a voter that is under way, or None."""
        return self.voter_set.replacement

    @property
    def is_leader(self) -> bool:
        """Return whether this replica is the leader of its term."""
        return self.role is Role.LEADER

    @property
    def is_ready(self) -> bool:
        """Return whether this leader has committed an entry of its own term."""
        return self.is_leader and self._term_at(self.commit_index) == self.term

    @property
    def has_confirmed_commit(self) -> bool:
        """Return whether the commit index was current at some time since the start.

        It was once it covered an entry of the leader's term. Until then entries that
        were committed before the start may be missing from the applied state.
        """
        self._has_confirmed_commit = self._has_confirmed_commit or self.is_ready
        return self._has_confirmed_commit

    def lease_until(self) -> float:
        """Return the end of the leader lease in monotonic seconds, -inf without one.

        No other replica can become leader before then.
        """
        if not self.is_leader or self._lease_revoked:
            return float("-inf")
        return self._quorum_contact() + self._timing.election * LEASE_FRACTION

    def step(self, now: float, message: RaftMessage) -> None:
        """Process a message from another replica; ignore one for another replica id."""
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
        """Step down without a quorum, send due heartbeats, or start an election."""
        if self.is_leader:
            self._check_quorum(now)
        if self.is_leader and now >= self._heartbeat_due:
            self._heartbeat_due = now + self._timing.heartbeat
            self._broadcast(now)
        if not self.is_leader and now >= self._election_deadline:
            self._start_pre_vote(now)

    def propose(self, data: bytes) -> int | None:
        """Append a command and return its index, or None if this is not the leader."""
        if not self.is_leader:
            return None
        return self._append_as_leader(EntryKind.COMMAND, data)

    def change_membership(self, membership: Membership) -> int | None:
        """Append a membership change and return its index, or None if it is refused.

        A change is refused if it adds or removes more than one voter, if it leaves
        no voter, or while the leader is not ready or another change is under way.
        """
        changed = set(membership.voters()) ^ set(self.membership.voters())
        if len(changed) > 1 or not membership.voters() or self.replacement:
            return None
        return self._change_voter_set(VoterSet(membership))

    def replace_voter(self, old: str, new: str) -> int | None:
        """Start to replace a voter by a learner; return the entry's index.

        Return None if that is refused: as `change_membership`, or if the two are no
        voter and no learner.
        """
        learner = self.membership.find(new)
        if learner is None or learner.voter or old not in self.membership.voters():
            return None
        if self.replacement:
            return None
        membership = self.membership.with_member(learner._replace(voter=True))
        return self._change_voter_set(VoterSet(membership, Replacement(old, new)))

    def finish_replacement(self) -> int | None:
        """Remove the voter that is replaced; return the entry's index, or None."""
        if self.replacement is None:
            return None
        membership = self.membership.without(self.replacement.old)
        return self._change_voter_set(VoterSet(membership))

    def has_heard(self, replica: str) -> bool:
        """Return whether a replica has acknowledged anything to this leader."""
        is_own = replica == self.replica
        return is_own or self._progress.find(replica).acked_sent_at > NEVER

    def may_read_replacement(self, replica: str) -> bool:
        """Return whether nothing shows that a replica's build knows no replacements."""
        is_known = self._progress.find(replica).reads_replacements
        return is_known or replica == self.replica or not self.has_heard(replica)

    def _change_voter_set(self, voter_set: VoterSet) -> int | None:
        if not self.is_ready or self._membership_pending():
            return None
        index = self._append_as_leader(EntryKind.MEMBERSHIP, voter_set.encode())
        self.voter_set = voter_set
        self._track_members()
        return index

    def transfer_leadership(self, now: float) -> bool:
        """Revoke the lease and ask the voter with the longest log to start an election.

        Return False if this is not the leader or no other voter has all that is
        committed. Others that have more of the log may refuse the vote.
        """
        staying = self.voter_set.quorum_groups()[-1]
        peers = [v for v in staying if v != self.replica]
        caught_up = self._progress.find_caught_up(peers, self.commit_index)
        if not self.is_leader or not caught_up:
            return False
        self._lease_revoked = True
        self._send(TakeOver(self.replica, caught_up[0], self.term))
        return True

    def match_index_of(self, replica: str) -> int:
        """Return the last log index that a replica is known to have synced."""
        if replica == self.replica:
            return self.persisted_index
        return self._progress.find(replica).match_index

    def last_contact(self, replica: str) -> float:
        """Return when the last append that a replica acknowledged was sent.

        Without an acknowledgement to this leader: when the leader was elected.
        """
        return max(self._progress.find(replica).acked_sent_at, self._leader_since)

    def record_persisted(self, sequence: int) -> None:
        """Record a synced Persist effect and release the sends that wait for it."""
        self._persisted_sequence = max(self._persisted_sequence, sequence)
        synced = [n for n in self._last_index_by_sequence if n <= sequence]
        for number in synced:
            self.persisted_index = max(
                self.persisted_index, self._last_index_by_sequence.pop(number)
            )
        ready = [send for number, send in self._awaiting_sync if number <= sequence]
        self._awaiting_sync = [
            (number, send) for number, send in self._awaiting_sync if number > sequence
        ]
        self._sends.extend(ready)
        if self.is_leader:
            self._advance_commit()

    def compact(self, data: bytes) -> None:
        """Replace all applied entries by a snapshot with the serialized state.

        Nothing is replaced during the replacement of a voter: snapshots hold none.
        """
        index = self.applied_index
        voter_set = self._find_voter_set(index)
        if index <= self.snapshot.index or voter_set.replacement:
            return
        membership = voter_set.membership
        snapshot = Snapshot(self._term_at(index), index, membership, data)
        self._install_snapshot(snapshot, self.entries[index - self.snapshot.index :])

    def bootstrap(self, snapshot: Snapshot) -> None:
        """Form a new group with the members in the snapshot."""
        self._set_term(snapshot.term, "")
        self._install_snapshot(snapshot, [])
        self.commit_index = self.applied_index = snapshot.index
        self.voter_set = VoterSet(snapshot.membership)

    def take_snapshot(self) -> Snapshot | None:
        """Return a received snapshot that is newer than the applied state, if any."""
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
        """Return the effects collected since the last call.

        Sends that rely on durable state are held back until all that was to be
        persisted by this call is synced.
        """
        if self.is_leader:
            self._send_new_entries(now)
        effects: list[Persist | RaftSend] = []
        if self._vote_dirty or self._dirty_from or self._dirty_snapshot is not None:
            effects.append(self._take_persist())
        for send in self._sends_after_sync:
            if self._sequence > self._persisted_sequence:
                self._awaiting_sync.append((self._sequence, send))
            else:
                self._sends.append(send)
        effects.extend(self._sends)
        self._sends_after_sync, self._sends = [], []
        return effects

    # Elections

    def _start_pre_vote(self, now: float) -> None:
        self._reset_election_timer(now)
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
        self._reset_election_timer(now)
        self._votes = set()
        self._request_votes(self.term, transfer=transfer)
        self_vote = VoteReply(self.replica, self.replica, self.term, True)
        self._sends_after_sync.append(RaftSend(self_vote))

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
                self._sends_after_sync.append(RaftSend(request))

    def _on_vote_request(self, now: float, request: VoteRequest) -> None:
        """Reply to a vote request.

        Refuse while a leader was heard within the election timeout, since its lease
        may still hold; a leadership transfer is exempt.
        """
        in_lease = now < self._leader_heard_at + self._timing.election or self.is_leader
        if in_lease and not request.transfer:
            self._reply_vote(request, False)
            return
        if request.pre:
            granted = request.term > self.term and self._is_log_up_to_date(request)
            self._reply_vote(request, granted)
            return
        if request.term > self.term:
            self._become_follower(request.term, "")
        vote_available = self.voted_for in ("", request.sender)
        granted = (
            request.term == self.term
            and vote_available
            and self._is_log_up_to_date(request)
        )
        if granted:
            self._set_term(self.term, request.sender)
            self._reset_election_timer(now)
        self._reply_vote(request, granted)

    def _is_log_up_to_date(self, request: VoteRequest) -> bool:
        """Return whether the candidate's log is at least as up to date as this one."""
        candidate_last = (request.last_term, request.last_index)
        return candidate_last >= (self.last_term, self.last_index)

    def _reply_vote(self, request: VoteRequest, granted: bool) -> None:
        term = request.term if request.pre and granted else self.term
        reply = VoteReply(self.replica, request.sender, term, granted, request.pre)
        self._sends_after_sync.append(RaftSend(reply))

    def _on_vote_reply(self, now: float, reply: VoteReply) -> None:
        if not reply.granted:
            if reply.term > self.term:
                self._become_follower(reply.term, "")
            return
        expected_role = Role.PRE_CANDIDATE if reply.pre else Role.CANDIDATE
        term = self.term + 1 if reply.pre else self.term
        if self.role is not expected_role or reply.term != term:
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
        self._leader_since = now
        self._lease_revoked = False
        self._progress.clear()
        self._track_members()
        self._heartbeat_due = now
        self._append_as_leader(EntryKind.NOOP, b"")

    def _become_follower(self, term: int, leader: str) -> None:
        if term > self.term:
            self._set_term(term, "")
        self.role = Role.FOLLOWER
        self.leader = leader

    def _set_term(self, term: int, voted_for: str) -> None:
        if (term, voted_for) != (self.term, self.voted_for):
            self.term, self.voted_for = term, voted_for
            self._vote_dirty = True

    def _reset_election_timer(self, now: float) -> None:
        jitter = self._rng.uniform(1.0, 2.0)
        self._election_deadline = now + self._timing.election * jitter

    def _has_quorum(self, replicas: set[str]) -> bool:
        return all(
            len(replicas.intersection(voters)) > len(voters) // 2
            for voters in self.voter_set.quorum_groups()
        )

    # Replication: leader

    def _track_members(self) -> None:
        self._progress.track(self.membership.replicas(), self.last_index + 1)

    def _append_as_leader(self, kind: EntryKind, data: bytes) -> int:
        entry = LogEntry(self.term, self.last_index + 1, kind, data)
        self._write_entries((entry,))
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
        entries = self._collect_entries(progress.next_index)
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
        next_index = progress.next_index + len(entries)
        self._progress.record_sent(replica, next_index)

    def _send_snapshot(self, now: float, replica: str) -> None:
        if not self._progress.begin_snapshot_send(now, replica):
            return
        snapshot = self.snapshot
        self._send(InstallSnapshot(self.replica, replica, self.term, snapshot, now))

    def _collect_entries(self, start: int) -> tuple[LogEntry, ...]:
        offset = start - self.snapshot.index - 1
        batch: list[LogEntry] = []
        size = 0
        for entry in self.entries[offset : offset + MAX_APPEND_ENTRIES]:
            size += len(entry.data)
            if batch and size > MAX_APPEND_BYTES:
                break
            batch.append(entry)
        return tuple(batch)

    def _on_append_reply(self, now: float, reply: AppendReply) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, "")
            self._reset_election_timer(now)
        if not self.is_leader or reply.term != self.term:
            return
        self._progress.record_reply(reply)
        self._advance_commit()

    def _advance_commit(self) -> None:
        """Commit up to the quorum index if that entry is of the current term.

        The next tick reports it to the followers. A leader that is no longer a voter
        steps down.
        """
        quorum_index = min(
            self._progress.quorum_match_index(
                voters, self.replica, self.persisted_index
            )
            for voters in self.voter_set.quorum_groups()
        )
        if (
            quorum_index > self.commit_index
            and self._term_at(quorum_index) == self.term
        ):
            self.commit_index = quorum_index
            self._heartbeat_due = 0.0
            if self.replica not in self.membership.voters():
                self._become_follower(self.term, "")

    def _quorum_contact(self) -> float:
        return min(
            self._progress.quorum_contact(voters, self.replica)
            for voters in self.voter_set.quorum_groups()
        )

    def _check_quorum(self, now: float) -> None:
        """Step down if no quorum has acknowledged a recent message.

        Recent means sent within the minimum election timeout. A new leader has that
        long from its election.
        """
        contact = max(self._quorum_contact(), self._leader_since)
        if now > contact + self._timing.election:
            self._become_follower(self.term, "")
            self._reset_election_timer(now)

    def _membership_pending(self) -> bool:
        return any(
            e.kind is EntryKind.MEMBERSHIP and e.index > self.commit_index
            for e in self.entries
        )

    # Replication: follower

    def _accept_leader(self, now: float, term: int, leader: str) -> bool:
        """Follow the sender of a leader's message, unless its term is out of date.

        Return whether the message is to be processed: False if its term is older than
        this replica's.
        """
        if term < self.term:
            return False
        self._become_follower(term, leader)
        self._leader_heard_at = now
        self._reset_election_timer(now)
        return True

    def _on_append(self, now: float, message: Append) -> None:
        """Write the entries that are missing and reply with the last matching index.

        If the previous entry is missing or has another term, the append is refused. The
        match index is then the last index at which the logs may match, and the leader
        continues after it. For an outdated leader it is 0 and unused: the higher
        term in the reply makes that leader step down.
        """
        if not self._accept_leader(now, message.term, message.sender):
            self._reply_append(message, False, 0)
            return
        if not self._has_entry(message.prev_index, message.prev_term):
            hint = min(self.last_index, message.prev_index - 1)
            self._reply_append(message, False, max(hint, self.commit_index))
            return
        self._write_missing(message.entries)
        match = message.prev_index + len(message.entries)
        self.commit_index = max(self.commit_index, min(message.commit, match))
        if message.commit <= match and self._term_at(message.commit) == message.term:
            self._has_confirmed_commit = True
        self._reply_append(message, True, match)

    def _reply_append(
        self, message: Append | InstallSnapshot, success: bool, match: int
    ) -> None:
        reply = AppendReply(
            self.replica, message.sender, self.term, success, match, message.sent, True
        )
        self._sends_after_sync.append(RaftSend(reply))

    def _on_snapshot(self, now: float, message: InstallSnapshot) -> None:
        if not self._accept_leader(now, message.term, message.sender):
            return
        snapshot = message.snapshot
        if snapshot.index > self.commit_index:
            kept: list[LogEntry] = []
            if self._has_entry(snapshot.index, snapshot.term):
                kept = [e for e in self.entries if e.index > snapshot.index]
            self._install_snapshot(snapshot, kept)
            self.commit_index = snapshot.index
            self.voter_set = self._find_voter_set()
        self._reply_append(message, True, snapshot.index)

    def _has_entry(self, index: int, term: int) -> bool:
        """Return whether the log has the entry with this index and term.

        A committed index counts whatever its term: committed entries are the same in
        the log of every later leader, and the term of a compacted one is not known.
        """
        if index <= self.commit_index:
            return True
        return index <= self.last_index and self._term_at(index) == term

    def _write_missing(self, entries: tuple[LogEntry, ...]) -> None:
        for position, entry in enumerate(entries):
            if entry.index <= self.snapshot.index:
                continue
            if not self._has_entry(entry.index, entry.term):
                self._write_entries(entries[position:])
                return

    def _write_entries(self, entries: tuple[LogEntry, ...]) -> None:
        first = entries[0].index
        truncates = first <= self.last_index
        offset = first - self.snapshot.index - 1
        del self.entries[offset:]
        self.entries.extend(entries)
        self._lower_persisted(first - 1)
        dirty = self._dirty_from
        self._dirty_from = first if dirty is None else min(dirty, first)
        if truncates or any(e.kind is EntryKind.MEMBERSHIP for e in entries):
            self.voter_set = self._find_voter_set()

    def _lower_persisted(self, index: int) -> None:
        """Limit what counts as synced, because entries after the index changed."""
        self.persisted_index = min(self.persisted_index, index)
        for sequence, last_index in self._last_index_by_sequence.items():
            self._last_index_by_sequence[sequence] = min(last_index, index)

    def _install_snapshot(self, snapshot: Snapshot, entries: list[LogEntry]) -> None:
        self.entries = entries
        self.snapshot = snapshot
        self._dirty_snapshot = snapshot
        self._lower_persisted(self.last_index)

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

    def _find_voter_set(self, upto: int | None = None) -> VoterSet:
        for entry in reversed(self.entries):
            in_range = upto is None or entry.index <= upto
            if entry.kind == EntryKind.MEMBERSHIP and in_range:
                return VoterSet.decode(entry.data)
        return VoterSet(self.snapshot.membership)

    def _take_persist(self) -> Persist:
        self._sequence += 1
        self._last_index_by_sequence[self._sequence] = self.last_index
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
