"""Admit, promote and remove the replicas of a control group, one at a time."""

from hawthornshelf.log import Member
from hawthornshelf.messages import Hello
from hawthornshelf.raft import Raft

__all__ = ["ReplicaKeeper"]


class ReplicaKeeper:
    """Bring replicas with a new id from learner to voter while this one leads.

    A wiped disk comes back under a new id on a node that has a member. It is
    admitted as a learner, and takes the place of the old id once it holds all
    that was committed when it was admitted.
    """

    def __init__(self, raft: Raft) -> None:
        self._raft = raft
        self._candidates: dict[str, str] = {}
        self._admitted: set[str] = set()
        self._removed: set[str] = set()
        self._goal = 0

    def receive(self, hello: Hello) -> None:
        """Note a replica that introduces itself."""
        if hello.blank and self._raft.membership.find(hello.replica) is None:
            self._candidates[hello.node] = hello.replica

    def change(self, node: str, admit: bool) -> str:
        """Admit a node's replica, or remove it; return why not, or nothing."""
        members = self._raft.membership.on_node(node)
        if admit:
            self._admitted.add(node)
            self._removed.discard(node)
            return ""
        voters = self._raft.membership.voters()
        if not members:
            return "no replica runs on that node"
        if len(voters) == 1 and any(m.voter for m in members):
            return "it is the last voter"
        self._removed.add(node)
        self._admitted.discard(node)
        return ""

    def tick(self, now: float) -> None:
        """Take at most one step towards the wanted membership."""
        if not self._remove_one() and not self._promote_one():
            self._admit_one()
        self._goal = self._raft.commit_index

    def _remove_one(self) -> bool:
        for node in sorted(self._removed):
            members = self._raft.membership.on_node(node)
            if not members:
                self._removed.discard(node)
                continue
            return self._propose_without(members[0].replica)
        return False

    def _admit_one(self) -> bool:
        for node, replica in sorted(self._candidates.items()):
            known = self._raft.membership.find(replica)
            if known is not None:
                continue
            expected = node in self._admitted or self._raft.membership.on_node(node)
            if not expected or node in self._removed:
                continue
            learner = Member(replica, node, voter=False)
            membership = self._raft.membership.with_member(learner)
            stale = [
                m
                for m in self._raft.membership.on_node(node)
                if not m.voter and m.replica != replica
            ]
            for member in stale:
                membership = membership.without(member.replica)
            return self._raft.change_membership(membership) is not None
        return False

    def _promote_one(self) -> bool:
        """Promote a learner that has caught up, after removing the old id."""
        for member in self._raft.membership.members:
            if member.voter or not self._has_caught_up(member):
                continue
            old = [m for m in self._raft.membership.on_node(member.node) if m.voter]
            if old:
                return self._propose_without(old[0].replica)
            voter = member._replace(voter=True)
            membership = self._raft.membership.with_member(voter)
            return self._raft.change_membership(membership) is not None
        return False

    def _has_caught_up(self, member: Member) -> bool:
        """Tell if a learner holds all that was committed at the last tick."""
        return self._raft.matched(member.replica) >= self._goal > 0

    def _propose_without(self, replica: str) -> bool:
        membership = self._raft.membership.without(replica)
        return self._raft.change_membership(membership) is not None
