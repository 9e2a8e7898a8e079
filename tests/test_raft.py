"""Test the Raft rules of a single replica."""

import random

import msgspec
import pytest

from hawthornshelf.log import (
    LogEntry,
    Member,
    Membership,
    Persist,
    RecoveredState,
    Replacement,
    Snapshot,
    VoterSet,
)
from hawthornshelf.raft import Raft, Role, Timing
from hawthornshelf.raftmessages import (
    Append,
    AppendReply,
    InstallSnapshot,
    RaftSend,
    VoteReply,
    VoteRequest,
)

MEMBERS = Membership(tuple(Member(name, name, voter=True) for name in "abc"))
START = Snapshot(1, 1, MEMBERS)


def make(name: str = "a", term: int = 1, voted_for: str = "") -> Raft:
    recovered = RecoveredState(name, term, voted_for, START)
    return Raft(recovered, Timing(0.1, 1.0), random.Random(1), 0.0)


def sent(raft: Raft, now: float) -> list:
    return [e.message for e in raft.take_effects(now) if isinstance(e, RaftSend)]


def sync(raft: Raft, now: float) -> list:
    """Sync the pending state and return the messages that waited for it."""
    effects = raft.take_effects(now)
    for effect in effects:
        if isinstance(effect, Persist):
            raft.record_persisted(effect.sequence)
    messages = [e.message for e in effects if isinstance(e, RaftSend)]
    return messages + sent(raft, now)


def elect(raft: Raft, now: float = 3.0) -> None:
    raft.tick(now)
    sync(raft, now)
    raft.step(now, VoteReply("b", raft.replica, raft.term + 1, True, pre=True))
    for message in sync(raft, now):
        if message.target == raft.replica:
            raft.step(now, message)
    raft.step(now, VoteReply("b", raft.replica, raft.term, True))
    assert raft.role is Role.LEADER


def test_a_vote_is_sent_only_after_it_is_synced() -> None:
    raft = make()
    raft.step(5.0, VoteRequest("b", "a", 2, 1, 1))
    effects = raft.take_effects(5.0)
    assert [type(effect) for effect in effects] == [Persist]
    raft.record_persisted(effects[0].sequence)
    assert sent(raft, 5.0) == [VoteReply("a", "b", 2, True)]


def test_one_vote_per_term() -> None:
    raft = make()
    raft.step(5.0, VoteRequest("b", "a", 2, 1, 1))
    raft.step(5.0, VoteRequest("c", "a", 2, 1, 1))
    replies = {message.target: message.granted for message in sync(raft, 5.0)}
    assert replies == {"b": True, "c": False}


def test_no_vote_for_a_shorter_log() -> None:
    raft = make()
    raft.step(5.0, VoteRequest("b", "a", 2, 0, 0))
    assert [m.granted for m in sync(raft, 5.0)] == [False]


def test_no_vote_while_a_leader_is_active() -> None:
    raft = make(term=2)
    raft.step(5.0, Append("c", "a", 2, 1, 1, (), 1, 4.9))
    raft.step(5.5, VoteRequest("b", "a", 9, 5, 5))
    assert raft.term == 2
    assert [m.granted for m in sync(raft, 5.5) if isinstance(m, VoteReply)] == [False]


def test_no_vote_right_after_a_restart() -> None:
    raft = make()
    raft.step(0.5, VoteRequest("b", "a", 2, 1, 1))
    assert [m.granted for m in sync(raft, 0.5)] == [False]


def test_a_message_for_a_former_replica_id_is_ignored() -> None:
    raft = make()
    raft.step(5.0, VoteRequest("b", "old-a", 2, 1, 1))
    assert raft.take_effects(5.0) == []


def test_the_lease_starts_when_the_acknowledged_heartbeat_was_sent() -> None:
    raft = make()
    elect(raft, 3.0)
    assert raft.lease_until() < 3.0
    raft.step(3.8, AppendReply("b", "a", raft.term, True, 2, sent=3.0))
    assert raft.lease_until() == 3.9


def test_a_leader_without_a_quorum_steps_down() -> None:
    raft = make()
    elect(raft, 3.0)
    raft.tick(4.5)
    assert raft.role is Role.FOLLOWER


def test_an_entry_of_an_older_term_is_not_committed_by_counting_replicas() -> None:
    recovered = RecoveredState("a", 1, "", START, (LogEntry(1, 2, 1, b"x"),))
    raft = Raft(recovered, Timing(0.1, 1.0), random.Random(1), 0.0)
    elect(raft, 3.0)
    raft.step(3.1, AppendReply("b", "a", raft.term, True, 2, 3.0))
    assert raft.commit_index == 1
    sync(raft, 3.1)
    raft.step(3.1, AppendReply("b", "a", raft.term, True, 3, 3.0))
    assert raft.commit_index == 3


def test_a_conflicting_tail_is_replaced() -> None:
    recovered = RecoveredState(
        "a", 2, "", START, (LogEntry(1, 2, 1), LogEntry(1, 3, 1))
    )
    raft = Raft(recovered, Timing(0.1, 1.0), random.Random(1), 0.0)
    entry = LogEntry(2, 2, 1, b"new")
    raft.step(1.0, Append("b", "a", 2, 1, 1, (entry,), 2, 0.9))
    assert raft.entries == [entry]
    assert raft.commit_index == 2


def test_an_append_is_acknowledged_only_after_it_is_synced() -> None:
    raft = make(term=2)
    entry = LogEntry(2, 2, 1, b"new")
    raft.step(1.0, Append("b", "a", 2, 1, 1, (entry,), 1, 0.9))
    assert sent(raft, 1.0) == []


def test_membership_changes_one_voter_at_a_time() -> None:
    raft = make()
    elect(raft, 3.0)
    sync(raft, 3.0)
    raft.step(3.1, AppendReply("b", "a", raft.term, True, raft.last_index, 3.0))
    only_one_voter = Membership((Member("a", "a", voter=True),))
    assert raft.change_membership(only_one_voter) is None
    assert raft.change_membership(MEMBERS.without("c")) is not None
    assert raft.change_membership(MEMBERS.without("b")) is None


def test_an_installed_snapshot_replaces_the_log() -> None:
    raft = make(term=2)
    snapshot = Snapshot(2, 50, MEMBERS, b"state")
    raft.step(1.0, InstallSnapshot("b", "a", 2, snapshot, 0.9))
    assert raft.take_snapshot() == snapshot
    assert raft.last_index == 50
    assert sync(raft, 1.0) == [AppendReply("a", "b", 2, True, 50, 0.9, True)]


def make_joint_leader() -> Raft:
    """Return a leader of a, b and c that replaces c by d."""
    raft = make()
    elect(raft)
    sync(raft, 3.0)
    raft.step(3.0, AppendReply("b", "a", raft.term, True, raft.last_index, 3.0, True))
    learner = Member("d", "d", voter=False)
    raft.change_membership(raft.membership.with_member(learner))
    sync(raft, 3.0)
    for replica in ("b", "c", "d"):
        reply = AppendReply(
            replica, "a", raft.term, True, raft.last_index, 3.0, replica != "c"
        )
        raft.step(3.1, reply)
    assert raft.replace_voter("c", "d") is not None
    sync(raft, 3.2)
    return raft


@pytest.mark.parametrize(
    ("replicas", "commits"), [("b", True), ("c", False), ("d", False), ("cd", True)]
)
def test_one_group_alone_commits_a_replacement(replicas: str, commits: bool) -> None:
    raft = make_joint_leader()
    for replica in replicas:
        raft.step(
            3.3, AppendReply(replica, "a", raft.term, True, raft.last_index, 3.2, True)
        )
    assert (raft.commit_index == raft.last_index) is commits


def test_a_build_that_knows_no_replacement_gets_one() -> None:
    raft = make_joint_leader()
    readers = {r: raft.may_read_replacement(r) for r in "abcd"}
    assert readers == {"a": True, "b": True, "c": False, "d": True}


def test_a_snapshot_holds_half_a_replacement() -> None:
    raft = make_joint_leader()
    raft.step(3.3, AppendReply("b", "a", raft.term, True, raft.last_index, 3.2, True))
    raft.take_committed()
    raft.compact(b"state")
    assert raft.snapshot == START
    raft.finish_replacement()
    sync(raft, 3.3)
    raft.step(3.4, AppendReply("b", "a", raft.term, True, raft.last_index, 3.3, True))
    raft.take_committed()
    raft.compact(b"state")
    assert raft.snapshot.membership.voters() == ("a", "b", "d")


def test_an_older_build_reads_an_entry_without_a_replacement() -> None:
    data = VoterSet(MEMBERS).encode()
    assert msgspec.msgpack.decode(data, type=Membership) == MEMBERS
    assert VoterSet.decode(data) == VoterSet(MEMBERS)
    joint = VoterSet(MEMBERS, Replacement("a", "b"))
    assert VoterSet.decode(joint.encode()) == joint
