"""Admit, promote and remove the replicas of a control group, one at a time."""

from collections.abc import Callable

from hawthornshelf.log import Member
from hawthornshelf.messages import Hello
from hawthornshelf.raft import Raft

__all__ = ["ReplicaReconciler"]

SILENT_SECONDS = 1.5
"""A voter silent for so long gives way to a learner that has caught up."""

DROP_LEARNER_SECONDS = 6.0
"""A learner silent for so long is dropped; it is admitted again when it returns."""


class ReplicaReconciler:
    """Bring replicas with a new id from learner to voter while this one leads.

    A wiped disk comes back under a new id on a node that has a member. It is
    admitted as a learner, and takes the place of the old id once it holds all
    that was committed when it was admitted. With `voters` above 0, replicas on
    new nodes are admitted too: they fill the group up to that many voters, and
    take the place of voters that are silent or leaving.
    """

    def __init__(
        self,
        raft: Raft,
        voters: int = 0,
        is_leaving: Callable[[str], bool] = lambda node: False,
    ) -> None:
        self._raft = raft
        self._voters = voters
        self._is_leaving = is_leaving
        self._candidates: dict[str, str] = {}
        self._admitted: set[str] = set()
        self._removed: set[str] = set()
        self._admitted_at: dict[str, float] = {}
        self._goal = 0

    def receive(self, hello: Hello) -> None:
        """Note a replica that introduces itself."""
        joins = hello.blank or self._voters > 0
        if joins and self._raft.membership.find(hello.replica) is None:
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
        steps = (self._remove_one, self._promote_one, self._drop_learner)
        if not any(step(now) for step in steps):
            self._admit_one(now)
        self._goal = self._raft.commit_index

    def _remove_one(self, now: float) -> bool:
        for node in sorted(self._removed):
            members = self._raft.membership.on_node(node)
            if not members:
                self._removed.discard(node)
                continue
            return self._propose_without(members[0].replica)
        return False

    def _admit_one(self, now: float) -> bool:
        for node, replica in sorted(self._candidates.items()):
            known = self._raft.membership.find(replica)
            if known is not None:
                continue
            expected = node in self._admitted or self._raft.membership.on_node(node)
            if not (expected or self._voters) or node in self._removed:
                continue
            del self._candidates[node]
            self._admitted_at[replica] = now
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

    def _promote_one(self, now: float) -> bool:
        """Promote a learner that has caught up, after removing the old id."""
        for member in self._raft.membership.members:
            if member.voter or not self._has_caught_up(member):
                continue
            old = [m for m in self._raft.membership.on_node(member.node) if m.voter]
            if old:
                return self._propose_without(old[0].replica)
            if self._is_full():
                lost = self._find_lost_voter(now)
                if lost is None or self._is_silent(now, member.replica):
                    continue
                return self._propose_without(lost)
            voter = member._replace(voter=True)
            membership = self._raft.membership.with_member(voter)
            return self._raft.change_membership(membership) is not None
        return False

    def _is_full(self) -> bool:
        count = len(self._raft.membership.voters())
        return 0 < self._voters <= count

    def _find_lost_voter(self, now: float) -> str | None:
        """Return a voter that is silent or leaving, the silent ones first."""
        others = [
            member
            for member in self._raft.membership.members
            if member.voter and member.replica != self._raft.replica
        ]
        silent = [m for m in others if self._is_silent(now, m.replica)]
        leaving = [m for m in others if self._is_leaving(m.node)]
        lost = [*silent, *leaving]
        return lost[0].replica if lost else None

    def _is_silent(self, now: float, replica: str) -> bool:
        return now - self._raft.last_contact(replica) > SILENT_SECONDS

    def _drop_learner(self, now: float) -> bool:
        """Drop a learner that has fallen silent, so that its place is free."""
        for member in self._raft.membership.members:
            admitted = self._admitted_at.get(member.replica, 0.0)
            silent = now - max(admitted, self._raft.last_contact(member.replica))
            if self._voters and not member.voter and silent > DROP_LEARNER_SECONDS:
                return self._propose_without(member.replica)
        return False

    def _has_caught_up(self, member: Member) -> bool:
        """Tell if a learner holds all that was committed at the last tick."""
        return self._raft.match_index_of(member.replica) >= self._goal > 0

    def _propose_without(self, replica: str) -> bool:
        membership = self._raft.membership.without(replica)
        return self._raft.change_membership(membership) is not None
