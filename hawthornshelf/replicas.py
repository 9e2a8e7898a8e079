"""Admit, promote and remove the replicas of a control group, one at a time."""

from collections.abc import Callable

from hawthornshelf.log import Member
from hawthornshelf.messages import Hello
from hawthornshelf.raft import Raft

__all__ = ["ReplicaReconciler"]

VOTER_SILENT_SECONDS = 1.5
"""A voter silent for longer is replaced by a learner that has caught up."""

FIRST_REPLY_SECONDS = 0.5
"""Time in which a new leader hears of each replica that is up, by its heartbeats."""

LEARNER_SILENT_SECONDS = 6.0
"""A learner silent for longer is removed; it is admitted again when it returns."""


class ReplicaReconciler:
    """Drive the group's membership towards the desired one while this replica leads.

    After a disk is wiped, its node starts a replica with a new id. That replica is
    admitted as a learner and replaces the old id once it has replicated everything
    that was committed at the last tick. With `voters` above 0, replicas on new
    nodes are admitted too: they fill the group up to that many voters, and replace
    voters that are silent or leaving.

    A voter is replaced by one change of the quorum: whether its disk is lost or it
    will be back is not known, and neither it nor its successor may be counted on.
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
        self._requested_admissions: set[str] = set()
        self._requested_removals: set[str] = set()
        self._admitted_at: dict[str, float] = {}
        self._catch_up_index = 0

    def receive(self, hello: Hello) -> None:
        """Record a replica that may join as a candidate for admission."""
        may_join = hello.blank or self._voters > 0
        if may_join and self._raft.membership.find(hello.replica) is None:
            self._candidates[hello.node] = hello.replica

    def change(self, node: str, admit: bool) -> str:
        """Request that a node's replica be admitted or removed.

        Return the reason for a refusal, or an empty string.
        """
        members = self._raft.membership.on_node(node)
        if admit:
            self._requested_admissions.add(node)
            self._requested_removals.discard(node)
            return ""
        voters = self._raft.membership.voters()
        if not members:
            return "no replica runs on that node"
        if len(voters) == 1 and any(m.voter for m in members):
            return "it is the last voter"
        self._requested_removals.add(node)
        self._requested_admissions.discard(node)
        return ""

    def tick(self, now: float) -> None:
        """Propose at most one change towards the desired membership."""
        if self._raft.replacement is not None:
            self._raft.finish_replacement()
        else:
            self._take_step(now)
        self._catch_up_index = self._raft.commit_index

    def _take_step(self, now: float) -> None:
        steps = (self._remove_one, self._promote_one, self._remove_silent_learner)
        if not any(step(now) for step in steps):
            self._admit_one(now)

    def _remove_one(self, now: float) -> bool:
        for node in sorted(self._requested_removals):
            members = self._raft.membership.on_node(node)
            if not members:
                self._requested_removals.discard(node)
                continue
            return self._propose_removal(members[0].replica)
        return False

    def _admit_one(self, now: float) -> bool:
        for node, replica in sorted(self._candidates.items()):
            existing = self._raft.membership.find(replica)
            if existing is not None:
                continue
            is_expected = (
                node in self._requested_admissions
                or self._raft.membership.on_node(node)
            )
            if not (is_expected or self._voters) or node in self._requested_removals:
                continue
            del self._candidates[node]
            self._admitted_at[replica] = now
            learner = Member(replica, node, voter=False)
            membership = self._raft.membership.with_member(learner)
            replaced_learners = [
                m
                for m in self._raft.membership.on_node(node)
                if not m.voter and m.replica != replica
            ]
            for member in replaced_learners:
                membership = membership.without(member.replica)
            return self._raft.change_membership(membership) is not None
        return False

    def _promote_one(self, now: float) -> bool:
        """Promote a caught-up learner, in place of the voter that it replaces."""
        for member in self._raft.membership.members:
            if member.voter or not self._has_caught_up(member):
                continue
            old = [m for m in self._raft.membership.on_node(member.node) if m.voter]
            if old:
                return self._replace(now, old[0].replica, member.replica)
            if self._is_full():
                replaceable = self._find_replaceable_voter(now)
                if replaceable is None or self._is_silent(now, member.replica):
                    continue
                return self._replace(now, replaceable, member.replica)
            voter = member._replace(voter=True)
            membership = self._raft.membership.with_member(voter)
            return self._raft.change_membership(membership) is not None
        return False

    def _replace(self, now: float, old: str, new: str) -> bool:
        """Replace a voter, in two changes if another build knows no replacement.

        A replica that a new leader has not heard of is waited for, for a short time.
        """
        others = [r for r in self._raft.membership.replicas() if r != old]
        if not all(self._raft.may_read_replacement(r) for r in others):
            return self._propose_removal(old)
        if any(
            not self._raft.has_heard(r)
            and now < self._raft.last_contact(r) + FIRST_REPLY_SECONDS
            for r in others
        ):
            return False
        return self._raft.replace_voter(old, new) is not None

    def _is_full(self) -> bool:
        count = len(self._raft.membership.voters())
        return 0 < self._voters <= count

    def _find_replaceable_voter(self, now: float) -> str | None:
        """Return a voter to replace: a silent one first, then a leaving one."""
        other_voters = [
            member
            for member in self._raft.membership.members
            if member.voter and member.replica != self._raft.replica
        ]
        silent = [m for m in other_voters if self._is_silent(now, m.replica)]
        leaving = [m for m in other_voters if self._is_leaving(m.node)]
        replaceable = [*silent, *leaving]
        return replaceable[0].replica if replaceable else None

    def _is_silent(self, now: float, replica: str) -> bool:
        return now - self._raft.last_contact(replica) > VOTER_SILENT_SECONDS

    def _remove_silent_learner(self, now: float) -> bool:
        """Remove a silent learner, so that another replica can take its place."""
        for member in self._raft.membership.members:
            admitted = self._admitted_at.get(member.replica, 0.0)
            silent_seconds = now - max(
                admitted, self._raft.last_contact(member.replica)
            )
            if (
                self._voters
                and not member.voter
                and silent_seconds > LEARNER_SILENT_SECONDS
            ):
                return self._propose_removal(member.replica)
        return False

    def _has_caught_up(self, member: Member) -> bool:
        """Return whether a learner has all entries committed at the last tick."""
        return self._raft.match_index_of(member.replica) >= self._catch_up_index > 0

    def _propose_removal(self, replica: str) -> bool:
        membership = self._raft.membership.without(replica)
        return self._raft.change_membership(membership) is not None
