"""Run one control replica: the Raft log, the replicated state and engine orders."""

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from hawthornshelf.bootstrap import GroupBootstrap
from hawthornshelf.commands import (
    Command,
    DrainReason,
    DrainUpstream,
    ReleaseUpstream,
    RemoveNode,
    Result,
)
from hawthornshelf.duties import DutySettings, HandoverWait
from hawthornshelf.effects import Effect, Send, log
from hawthornshelf.engineorders import OrderReconciler
from hawthornshelf.errors import MalformedMessage
from hawthornshelf.events import (
    EnginesListed,
    EngineStateRead,
    OrderEnded,
    Persisted,
    PlatformCallEnded,
    PlatformListed,
    ScalingLoaded,
    StorageLost,
)
from hawthornshelf.fleetorders import FleetReconciler
from hawthornshelf.log import (
    EntryKind,
    LogEntry,
    Membership,
    Persist,
    RecoveredState,
    VoterSet,
)
from hawthornshelf.messages import (
    CODEC,
    AskControl,
    ChangeReplica,
    ControlWord,
    Hello,
    LeaderWord,
    MemberStatus,
    Message,
    NotLeader,
    ReplicaChanged,
    Submit,
    SubmitReply,
    UsageCounts,
    ViewUpdate,
)
from hawthornshelf.platformduties import DutyFacts, PlatformDuties
from hawthornshelf.raft import Raft, Timing
from hawthornshelf.raftmessages import RaftMessage, RaftSend
from hawthornshelf.replicas import ReplicaReconciler
from hawthornshelf.state import NodeRow, SharedState, SharedView

__all__ = ["ControlCore", "ControlSettings"]

HELLO_INTERVAL_SECONDS = 0.5
RECONCILE_INTERVAL_SECONDS = 0.2
FRESHNESS_REPORT_INTERVAL_SECONDS = 1.0
COMPACT_ENTRIES = 1000
COMPACT_BYTES = 4 * 1024 * 1024
AWAITED_AFTER_SECONDS = 2.5
"""A replica that has known no leader for longer logs which nodes it waits for."""

AWAITED_INTERVAL_SECONDS = 5.0
HANDOVER_SECONDS = 3.0
"""Longest wait of a replica that leaves for another one to take its vote."""

MAX_PENDING_REPLIES = 20_000
PLATFORM_LIST_VALID_SECONDS = 5.0
NEVER = float("inf")


class ControlSettings(NamedTuple):
    """Store the settings of a control replica; times are in seconds.

    `initial_nodes` may form a new group. `voters` is the size that the group is kept
    at; with 0, replicas on new nodes are admitted only on request.
    """

    node: str
    initial_nodes: tuple[str, ...]
    timing: Timing = Timing()
    order_timeout: float = 1.0
    clock_drift: float = 0.1
    uses_platform: bool = False
    compact_entries: int = COMPACT_ENTRIES
    voters: int = 0
    duties: DutySettings = DutySettings()


class _TimestampedCommand(NamedTuple):
    """Represent an encoded command in the log with the leader's wall-clock time."""

    timestamp: float
    command: bytes


class _PendingReply(NamedTuple):
    """Represent a node that is to receive the result of a log entry."""

    term: int
    node: str
    request: str


@dataclass(frozen=True, slots=True)
class SendToNode:
    """Request that a message be sent to a named node."""

    node: str
    message: Message


StatusOf = Callable[[str], MemberStatus | None]


class ControlCore:
    """Step one control replica; the caller does all I/O."""

    def __init__(
        self,
        settings: ControlSettings,
        recovered: RecoveredState,
        rng: random.Random,
        now: float,
        status_of: StatusOf = lambda node: None,
        control_nodes: Callable[[], Iterable[str]] = tuple,
        duty_facts: DutyFacts = DutyFacts(),
    ) -> None:
        self._settings = settings
        self.raft = Raft(recovered, settings.timing, rng, now)
        self.state = SharedState.load(recovered.snapshot.data)
        self.applied_index = recovered.snapshot.index
        self.stopped = ""
        self._bootstrap = GroupBootstrap(
            settings.node, recovered.replica, settings.initial_nodes
        )
        self._replicas = ReplicaReconciler(self.raft, settings.voters, self._is_leaving)
        self._control_nodes = control_nodes
        self._log_bytes = 0
        self._orders = OrderReconciler(self._propose_own, settings.order_timeout)
        self._handover_wait = HandoverWait(
            settings.timing.election, settings.clock_drift, settings.order_timeout
        )
        self._duties = PlatformDuties(
            settings.duties, self._handover_wait, duty_facts, self._propose_own, now
        )
        self.fleet = FleetReconciler(settings.duties, self._propose_own)
        self._status_of = status_of
        self._pending: dict[int, _PendingReply] = {}
        self._replica_nodes: dict[str, str] = {}
        self._relayed_from: dict[str, str] = {}
        self._effects: list[Effect | SendToNode] = []
        self._hello_due = 0.0
        self._heard: dict[str, tuple[str, float]] = {}
        self._awaited_due = now + AWAITED_AFTER_SECONDS
        self._reconcile_due = 0.0
        self._led_term = 0
        self._logged_voters = VoterSet(Membership())
        self._leader_since = now
        self._leaving_at = NEVER
        self._now = now
        self._wall = 0.0
        self._current_at = -NEVER
        self._freshness_report_due = 0.0
        self._platform_listed_at = -NEVER
        self._platform_list: PlatformListed | None = None

    def receive(self, now: float, wall: float, sender: str, message: Message) -> None:
        """Process a message from a node."""
        self._now, self._wall = now, wall
        if self.stopped:
            return
        match message:
            case Hello():
                self._heard[message.replica] = sender, now
                self._on_hello(message)
            case Submit():
                self._on_submit(sender, message)
            case ChangeReplica():
                self._on_change_replica(sender, message)
            case AskControl():
                self._on_ask_control(now, sender, message)
            case UsageCounts():
                leader = self.leader_node()
                self.fleet.receive(now, message)
                for node, reply in self._duties.receive(
                    now, self.state, message, leader
                ):
                    self._send(node, reply)
            case _ if isinstance(message, RaftMessage):
                self._replica_nodes[message.sender] = sender
                self._heard[message.sender] = sender, now
                self.raft.step(now, message)

    def handle(
        self,
        now: float,
        wall: float,
        event: Persisted
        | StorageLost
        | EngineStateRead
        | OrderEnded
        | PlatformCallEnded
        | ScalingLoaded
        | EnginesListed
        | PlatformListed,
    ) -> None:
        """Process an event that concerns this replica."""
        self._now, self._wall = now, wall
        match event:
            case Persisted(sequence):
                self.raft.record_persisted(sequence)
            case StorageLost(reason):
                self.stopped = reason
                self._log("replica-stopped", reason=reason)
            case EngineStateRead():
                self._orders.on_engine_state(now, event)
            case OrderEnded():
                self._effects.append(self._orders.on_order_ended(now, event))
            case PlatformCallEnded():
                self._effects.extend(self._duties.on_call_ended(now, event))
                ended = self.fleet.on_call_ended(now, self.state, event)
                self._effects.extend(ended)
            case ScalingLoaded() | EnginesListed():
                self.fleet.load(event)
            case PlatformListed():
                self._platform_list, self._platform_listed_at = event, now

    def tick(self, now: float, wall: float) -> list[Effect | SendToNode]:
        """Run the steps that are due and return the effects collected."""
        self._now, self._wall = now, wall
        if self.stopped:
            return self._take_effects()
        self._run_bootstrap(now)
        self.raft.tick(now)
        self._run_raft(now)
        self._handle_leadership_change(now)
        self._duties.observe(now, wall)
        self._log_membership_change()
        self._log_awaited(now)
        if self.raft.is_ready and now >= self._reconcile_due:
            self._reconcile_due = now + RECONCILE_INTERVAL_SECONDS
            self._reconcile(now)
            self._run_raft(now)
        return self._take_effects()

    def staleness(self, now: float) -> float:
        """Return the upper bound of the staleness of this replica's state in seconds.

        A leader with a lease is as current as its platform list; any other replica
        is as current as the latest freshness report it received.
        """
        if self.stopped:
            return NEVER
        if self.raft.is_ready and now < self.raft.lease_until():
            return self._platform_staleness(now)
        return now - self._current_at

    def record_staleness(self, now: float, staleness: float) -> None:
        """Record the staleness given in a freshness report, in seconds."""
        self._current_at = max(self._current_at, now - staleness)

    def leader_node(self) -> str:
        """Return the node believed to be the leader, or an empty string."""
        member = self.raft.membership.find(self.raft.leader)
        return member.node if member else ""

    def transfer_leadership(self, now: float) -> None:
        """Transfer leadership to another voter before a planned stop."""
        if self.raft.is_leader and not self.stopped:
            self.raft.transfer_leadership(now)

    def begin_leaving(self, now: float) -> None:
        """Hand over the leadership and the vote before a planned stop."""
        self._leaving_at = now
        self.transfer_leadership(now)

    def has_left(self, now: float) -> bool:
        """Return whether this replica may stop for good.

        While it is a voter that another replica could replace, the group would bear one
        lost disk less without it.
        """
        if self.stopped or now >= self._leaving_at + HANDOVER_SECONDS:
            return True
        members = self.raft.membership.members
        own = self.raft.membership.find(self.raft.replica)
        has_successor = self._settings.voters > 0 and any(not m.voter for m in members)
        is_replaced = self.raft.replacement is not None
        votes = own is not None and own.voter
        return not (votes and (has_successor or is_replaced) and self.raft.leader)

    def unfenced_orders_from(self) -> float:
        """Return when orders may first be sent to engines that don't check fencing.

        By then the last order of the previous leader has arrived or timed out. In
        monotonic seconds.
        """
        return self._handover_wait.ends_at(self._leader_since)

    def orders_engines(self, now: float) -> bool:
        """Return whether this replica holds the duty to order engines."""
        if not self.fleet.is_on or self.stopped or not self.raft.is_ready:
            return False
        return self._duties.holder.starts_at <= now < self.raft.lease_until()

    @property
    def view_revision(self) -> int:
        """Return the revision of the view, 0 while the state may be an old one.

        A replica that starts has what its snapshot holds, until a leader tells it what
        was committed since.
        """
        return self.state.revision if self.raft.has_confirmed_commit else 0

    def view(self) -> SharedView:
        """Return the part of the state that is distributed to every node."""
        return self.state.view() if self.raft.has_confirmed_commit else SharedView()

    def membership(self) -> Membership:
        """Return the replicas of the control group."""
        return self.raft.membership

    # Messages

    def _on_hello(self, hello: Hello) -> None:
        self._bootstrap.receive(hello)
        self._replicas.receive(hello)

    def _on_submit(self, sender: str, message: Submit) -> None:
        if not self.raft.is_leader and message.relay and self._relay(sender, message):
            return
        if not self.raft.is_leader or len(self._pending) >= MAX_PENDING_REPLIES:
            self._send(sender, NotLeader(message.request, self.leader_node()))
            return
        try:
            CODEC.decode(message.command, sender)
        except MalformedMessage as error:
            self._log("command-refused", peer=sender, reason=error.reason)
            return
        index = self._propose_bytes(message.command)
        if index is not None:
            pending = _PendingReply(self.raft.term, sender, message.request)
            self._pending[index] = pending

    def _relay(self, sender: str, message: Submit) -> bool:
        """Forward a command for a node that can't reach the leader itself."""
        leader = self.leader_node()
        if leader in ("", sender, self._settings.node):
            return False
        self._relayed_from[message.request] = sender
        while len(self._relayed_from) > MAX_PENDING_REPLIES:
            del self._relayed_from[next(iter(self._relayed_from))]
        self._send(leader, Submit(message.request, message.command))
        return True

    def relay_reply(self, reply: SubmitReply | NotLeader) -> None:
        """Return the reply to a forwarded command to the node that submitted it."""
        requester = self._relayed_from.pop(reply.request, "")
        if requester:
            self._send(requester, reply)

    def _on_change_replica(self, sender: str, message: ChangeReplica) -> None:
        if not self.raft.is_ready:
            self._send(sender, NotLeader(message.request, self.leader_node()))
            return
        reason = self._replicas.change(message.node, message.admit)
        reply = ReplicaChanged(message.request, not reason, reason)
        self._send(sender, reply)

    def _on_ask_control(self, now: float, sender: str, message: AskControl) -> None:
        revision = self.state.revision
        joined = self.state.nodes.get(sender) == NodeRow(sender, message.incarnation)
        report = ControlWord(self.staleness(now), self.applied_index, revision, joined)
        if self.view_revision > message.revision:
            self._send(sender, ViewUpdate(self.view()))
        self._send(sender, report)

    # Log

    def _propose_own(self, command: Command) -> None:
        self._propose_bytes(CODEC.encode(command))

    def _propose_bytes(self, command: bytes) -> int | None:
        timestamped = _TimestampedCommand(self._wall, command)
        return self.raft.propose(msgspec.msgpack.encode(timestamped))

    def _run_raft(self, now: float) -> None:
        """Collect effects until the replica sends no more messages to itself."""
        stepped = True
        while stepped:
            stepped = False
            self._apply_committed()
            for effect in self.raft.take_effects(now):
                stepped = self._handle_raft_effect(now, effect) or stepped
        self._apply_committed()

    def _handle_raft_effect(self, now: float, effect: Persist | RaftSend) -> bool:
        """Collect an effect, or process a message that the replica sends to itself.

        Return whether it was such a message.
        """
        match effect:
            case Persist():
                self._effects.append(effect)
                return False
            case RaftSend(message):
                if message.target == self.raft.replica:
                    self.raft.step(now, message)
                    return True
                self._send_to_replica(message)
                return False

    def _send_to_replica(self, message: RaftMessage) -> None:
        member = self.raft.membership.find(message.target)
        node = member.node if member else self._replica_nodes.get(message.target)
        if node:
            self._effects.append(SendToNode(node, message))

    def _apply_committed(self) -> None:
        snapshot = self.raft.take_snapshot()
        if snapshot is not None:
            self.state = SharedState.load(snapshot.data)
            self.applied_index = snapshot.index
        for entry in self.raft.take_committed():
            self._apply(entry)
        log_entries = self.raft.applied_index - self.raft.snapshot.index
        is_long = log_entries >= self._settings.compact_entries
        if is_long or self._log_bytes >= COMPACT_BYTES:
            self._log_bytes = 0
            self.raft.compact(self.state.dump())

    def _apply(self, entry: LogEntry) -> None:
        self.applied_index = entry.index
        self._log_bytes += len(entry.data)
        pending = self._pending.pop(entry.index, None)
        if entry.kind != EntryKind.COMMAND:
            return
        timestamped = msgspec.msgpack.decode(entry.data, type=_TimestampedCommand)
        command = CODEC.decode(timestamped.command)
        result = self.state.apply(
            entry.term, entry.index, timestamped.timestamp, command
        )
        if pending is not None:
            self._reply_result(entry, pending, result)

    def _reply_result(
        self, entry: LogEntry, pending: _PendingReply, result: Result
    ) -> None:
        if pending.term == entry.term:
            reply: Message = SubmitReply(pending.request, CODEC.encode(result))
        else:
            reply = NotLeader(pending.request, self.leader_node())
        self._send(pending.node, reply)

    # Leadership

    def _run_bootstrap(self, now: float) -> None:
        is_blank = not self.raft.membership.members
        if is_blank:
            initial_snapshot = self._bootstrap.make_initial_snapshot()
            if initial_snapshot is not None:
                self.raft.bootstrap(initial_snapshot)
                self._log(
                    "group-formed", replicas=len(initial_snapshot.membership.members)
                )
        if self._should_send_hello(now):
            self._hello_due = now + HELLO_INTERVAL_SECONDS
            others = self._control_nodes()
            for node, hello in self._bootstrap.hellos(is_blank, others):
                self._effects.append(SendToNode(node, hello))

    def _should_send_hello(self, now: float) -> bool:
        own_member = self.raft.membership.find(self.raft.replica)
        is_settled = (
            own_member is not None and own_member.voter and self.raft.leader != ""
        )
        return not is_settled and now >= self._hello_due

    def _handle_leadership_change(self, now: float) -> None:
        term = self.raft.term if self.raft.is_leader else 0
        if term == self._led_term:
            return
        self._led_term = term
        if self.raft.is_leader:
            self._leader_since = now
            self._orders.reset()
            self._effects.extend(self._duties.begin(now, term))
            self.fleet.reset()
        else:
            self._pending.clear()
            self._effects.extend(self._duties.end())
        self._log("leadership", leads=self.raft.is_leader, term=self.raft.term)

    def _log_membership_change(self) -> None:
        membership, replacement = self.raft.voter_set
        if self.raft.voter_set == self._logged_voters:
            return
        self._logged_voters = self.raft.voter_set
        replaced = membership.find(replacement.old) if replacement else None
        voters = [m.node for m in membership.members if m.voter]
        learners = [m.node for m in membership.members if not m.voter]
        self._log(
            "voters-changed",
            voters=",".join(voters),
            learners=",".join(learners),
            replaces=replaced.node if replaced else "",
            leads=self.raft.is_leader,
        )

    def _log_awaited(self, now: float) -> None:
        """Log the nodes that this replica hears nothing of while it knows no leader."""
        if self.raft.leader != "":
            self._awaited_due = now + AWAITED_AFTER_SECONDS
        if now < self._awaited_due:
            return
        self._awaited_due = now + AWAITED_INTERVAL_SECONDS
        heard_after = now - AWAITED_AFTER_SECONDS
        heard = {r: node for r, (node, at) in self._heard.items() if at > heard_after}
        heard[self.raft.replica] = self._settings.node
        voters = [m for m in self.raft.membership.members if m.voter]
        awaited = {m.node for m in voters if m.replica not in heard}
        if not voters:
            known = {*self._settings.initial_nodes, *self._control_nodes()}
            awaited = known - set(heard.values())
        self._log(
            "leader-awaited",
            voter=self.raft.replica in self.raft.membership.voters(),
            voters=",".join(member.node for member in voters),
            awaited=",".join(sorted(awaited)),
            heard=",".join(sorted({*heard.values()} - {self._settings.node})),
        )

    def _reconcile(self, now: float) -> None:
        self._effects.extend(self._duties.check_handover(now))
        if now > self._leaving_at or self._duties.holder.wants_handover(now):
            self.transfer_leadership(now)
        self._replicas.tick(now)
        self._apply_platform_list(now)
        self._send_freshness_report(now)
        lease_until = self.raft.lease_until()
        effects = self._orders.tick(
            now, self.state, lease_until, self.unfenced_orders_from()
        )
        self._effects.extend(effects)
        self._effects.extend(self._duties.tick(now, self.state, lease_until))
        if self.orders_engines(now):
            self._effects.extend(
                self.fleet.tick(
                    now,
                    self.state,
                    lambda call: self._duties.call(now, lease_until, call),
                )
            )

    def _apply_platform_list(self, now: float) -> None:
        """Drain leaving upstreams, and remove dead nodes whose VM is not listed."""
        platform_list = self._platform_list
        if (
            platform_list is None
            or now > self._platform_listed_at + PLATFORM_LIST_VALID_SECONDS
        ):
            return
        runners = self.state.configuration.runners()
        leaving = DrainReason.LEAVING
        for name in sorted(platform_list.leaving):
            if name in runners and not self.state.find_drain(name, leaving):
                self._propose_own(DrainUpstream(name, leaving))
        for drain in list(self.state.drains.values()):
            if drain.reason is leaving and drain.upstream in platform_list.live:
                self._propose_own(ReleaseUpstream(drain.upstream, leaving))
        present = platform_list.live | platform_list.leaving
        for row in list(self.state.nodes.values()):
            is_dead = self._status_of(row.node) in (MemberStatus.DEAD, None)
            if is_dead and row.node not in present:
                self._propose_own(RemoveNode(row.node, row.incarnation))

    def _send_freshness_report(self, now: float) -> None:
        """Send the staleness of this leader's state to the other replicas."""
        if now < self._freshness_report_due:
            return
        self._freshness_report_due = now + FRESHNESS_REPORT_INTERVAL_SECONDS
        report = LeaderWord(self.staleness(now))
        for member in self.raft.membership.members:
            if member.node != self._settings.node:
                self._send(member.node, report)

    def _platform_staleness(self, now: float) -> float:
        if not self._settings.uses_platform:
            return 0.0
        return now - self._platform_listed_at

    # Helpers

    def _is_leaving(self, node: str) -> bool:
        return self._status_of(node) is MemberStatus.LEAVING

    def _send(self, node: str, message: Message) -> None:
        self._effects.append(SendToNode(node, message))

    def _log(self, event: str, **fields: str | int | float) -> None:
        self._effects.append(log(event, **fields))

    def _take_effects(self) -> list[Effect | SendToNode]:
        effects, self._effects = self._effects, []
        return effects


def resolve_addresses(
    effects: Sequence[Effect | SendToNode], address_of: Callable[[str], str]
) -> list[Effect]:
    """Replace messages to nodes by sends; drop those without a known address."""
    resolved: list[Effect] = []
    for effect in effects:
        match effect:
            case SendToNode(node, message):
                address = address_of(node)
                if address:
                    resolved.append(Send(node, address, message))
            case _:
                resolved.append(effect)
    return resolved
