"""Run one control replica: the log, the replicated state and engine orders."""

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
from hawthornshelf.effects import Effect, Send, log
from hawthornshelf.engineorders import OrderReconciler
from hawthornshelf.errors import MalformedMessage
from hawthornshelf.events import (
    EngineStateRead,
    OrderEnded,
    Persisted,
    PlatformListed,
    StorageLost,
)
from hawthornshelf.log import EntryKind, LogEntry, Membership, Persist, RecoveredState
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
    PullView,
    ReplicaChanged,
    Submit,
    SubmitReply,
    ViewUpdate,
)
from hawthornshelf.raft import Raft, Timing
from hawthornshelf.raftmessages import RaftMessage, RaftSend
from hawthornshelf.replicas import ReplicaReconciler
from hawthornshelf.state import NodeRow, SharedState, SharedView

__all__ = ["ControlCore", "ControlSettings"]

HELLO_SECONDS = 0.5
RECONCILE_SECONDS = 0.2
WORD_SECONDS = 1.0
COMPACT_ENTRIES = 1000
COMPACT_BYTES = 4 * 1024 * 1024
MAX_PENDING = 20_000
PLATFORM_FRESH_SECONDS = 5.0
NEVER = float("inf")


class ControlSettings(NamedTuple):
    """Set up a control replica; times are in seconds."""

    node: str
    initial_nodes: tuple[str, ...]
    timing: Timing = Timing()
    order_timeout: float = 1.0
    clock_drift: float = 0.1
    uses_platform: bool = False
    compact_entries: int = COMPACT_ENTRIES
    voters: int = 0


class _TimestampedCommand(NamedTuple):
    """Hold a command as it stands in the log."""

    timestamp: float
    command: bytes


class _Waiting(NamedTuple):
    """Hold who waits for the result of a log entry."""

    term: int
    node: str
    request: str


@dataclass(frozen=True, slots=True)
class SendToNode:
    """Ask for a message to be sent to a node by name."""

    node: str
    message: Message


StatusOf = Callable[[str], MemberStatus | None]


class ControlCore:
    """Step one control replica; all I/O is left to the caller."""

    def __init__(
        self,
        settings: ControlSettings,
        recovered: RecoveredState,
        rng: random.Random,
        now: float,
        status_of: StatusOf = lambda node: None,
        control_nodes: Callable[[], Iterable[str]] = tuple,
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
        self._reconciler = OrderReconciler(self._propose_own, settings.order_timeout)
        self._status_of = status_of
        self._waiting: dict[int, _Waiting] = {}
        self._heard_from: dict[str, str] = {}
        self._relays: dict[str, str] = {}
        self._effects: list[Effect | SendToNode] = []
        self._hello_due = 0.0
        self._reconcile_due = 0.0
        self._was_leader = False
        self._noted = Membership()
        self._leading_from = now
        self._now = now
        self._wall = 0.0
        self._word_at = -NEVER
        self._word_due = 0.0
        self._listed_at = -NEVER
        self._listed: PlatformListed | None = None

    def receive(self, now: float, wall: float, sender: str, message: Message) -> None:
        """Take in one message from a node."""
        self._now, self._wall = now, wall
        if self.stopped:
            return
        match message:
            case Hello():
                self._on_hello(message)
            case Submit():
                self._on_submit(sender, message)
            case ChangeReplica():
                self._on_change_replica(sender, message)
            case AskControl():
                self._on_ask(now, sender, message)
            case PullView():
                if self.state.revision > message.revision:
                    self._reply(sender, ViewUpdate(self.state.view()))
            case _ if isinstance(message, RaftMessage):
                self._heard_from[message.sender] = sender
                self.raft.step(now, message)

    def handle(
        self,
        now: float,
        wall: float,
        event: Persisted | StorageLost | EngineStateRead | OrderEnded | PlatformListed,
    ) -> None:
        """Take in one event that concerns this replica."""
        self._now, self._wall = now, wall
        match event:
            case Persisted(sequence):
                self.raft.record_persisted(sequence)
            case StorageLost(reason):
                self.stopped = reason
                self._log("replica-stopped", reason=reason)
            case EngineStateRead():
                self._reconciler.on_engine_state(now, event)
            case OrderEnded():
                self._effects.append(self._reconciler.on_order_ended(now, event))
            case PlatformListed():
                self._listed, self._listed_at = event, now

    def tick(self, now: float, wall: float) -> list[Effect | SendToNode]:
        """Run what is due and return the effects gathered."""
        self._now, self._wall = now, wall
        if self.stopped:
            return self._take_effects()
        self._greet(now)
        self.raft.tick(now)
        self._run_raft(now)
        self._note_leadership(now)
        self._note_membership()
        if self.raft.is_ready and now >= self._reconcile_due:
            self._reconcile_due = now + RECONCILE_SECONDS
            self._reconcile(now)
            self._run_raft(now)
        return self._take_effects()

    def staleness(self, now: float) -> float:
        """Return how old this replica's knowledge may be, in seconds."""
        if self.stopped:
            return NEVER
        if self.raft.is_ready and now < self.raft.lease_until():
            return self._platform_age(now)
        return now - self._word_at

    def record_staleness(self, now: float, staleness: float) -> None:
        """Take in how old the leader's knowledge was when it sent word."""
        self._word_at = max(self._word_at, now - staleness)

    def leader_node(self) -> str:
        """Return the node believed to lead, or an empty name."""
        member = self.raft.membership.find(self.raft.leader)
        return member.node if member else ""

    def transfer_leadership(self, now: float) -> None:
        """Hand leadership to another voter before a planned stop."""
        if self.raft.is_leader and not self.stopped:
            self.raft.transfer_leadership(now)

    def unchecked_orders_from(self) -> float:
        """Return the second from which unchecked engines may get orders."""
        timing = self._settings.timing
        wait = timing.election + self._settings.clock_drift
        return self._leading_from + wait + self._settings.order_timeout

    def view(self) -> SharedView:
        """Return what is spread to every node."""
        return self.state.view()

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
        if not self.raft.is_leader or len(self._waiting) >= MAX_PENDING:
            self._reply(sender, NotLeader(message.request, self.leader_node()))
            return
        try:
            CODEC.decode(message.command, sender)
        except MalformedMessage as error:
            self._log("command-refused", peer=sender, reason=error.reason)
            return
        index = self._propose_bytes(message.command)
        if index is not None:
            waiting = _Waiting(self.raft.term, sender, message.request)
            self._waiting[index] = waiting

    def _relay(self, sender: str, message: Submit) -> bool:
        """Pass a command on for a node that can't reach the leader itself."""
        leader = self.leader_node()
        if leader in ("", sender, self._settings.node):
            return False
        self._relays[message.request] = sender
        while len(self._relays) > MAX_PENDING:
            del self._relays[next(iter(self._relays))]
        self._reply(leader, Submit(message.request, message.command))
        return True

    def relay_reply(self, reply: SubmitReply | NotLeader) -> None:
        """Pass the answer to a relayed command back to the node that asked."""
        asker = self._relays.pop(reply.request, "")
        if asker:
            self._reply(asker, reply)

    def _on_change_replica(self, sender: str, message: ChangeReplica) -> None:
        if not self.raft.is_ready:
            self._reply(sender, NotLeader(message.request, self.leader_node()))
            return
        reason = self._replicas.change(message.node, message.admit)
        reply = ReplicaChanged(message.request, not reason, reason)
        self._reply(sender, reply)

    def _on_ask(self, now: float, sender: str, message: AskControl) -> None:
        revision = self.state.revision
        joined = self.state.nodes.get(sender) == NodeRow(sender, message.incarnation)
        word = ControlWord(self.staleness(now), self.applied_index, revision, joined)
        if revision > message.revision:
            self._reply(sender, ViewUpdate(self.state.view()))
        self._reply(sender, word)

    # Log

    def _propose_own(self, command: Command) -> None:
        self._propose_bytes(CODEC.encode(command))

    def _propose_bytes(self, command: bytes) -> int | None:
        timestamped = _TimestampedCommand(self._wall, command)
        return self.raft.propose(msgspec.msgpack.encode(timestamped))

    def _run_raft(self, now: float) -> None:
        """Gather effects until the replica has nothing more to say to itself."""
        looped = True
        while looped:
            looped = False
            self._apply_committed()
            for effect in self.raft.take_effects(now):
                looped = self._route(now, effect) or looped
        self._apply_committed()

    def _route(self, now: float, effect: Persist | RaftSend) -> bool:
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
        node = member.node if member else self._heard_from.get(message.target)
        if node:
            self._effects.append(SendToNode(node, message))

    def _apply_committed(self) -> None:
        snapshot = self.raft.take_snapshot()
        if snapshot is not None:
            self.state = SharedState.load(snapshot.data)
            self.applied_index = snapshot.index
        for entry in self.raft.take_committed():
            self._apply(entry)
        kept = self.raft.applied_index - self.raft.snapshot.index
        is_long = kept >= self._settings.compact_entries
        if is_long or self._log_bytes >= COMPACT_BYTES:
            self._log_bytes = 0
            self.raft.compact(self.state.dump())

    def _apply(self, entry: LogEntry) -> None:
        self.applied_index = entry.index
        self._log_bytes += len(entry.data)
        waiting = self._waiting.pop(entry.index, None)
        if entry.kind != EntryKind.COMMAND:
            return
        timestamped = msgspec.msgpack.decode(entry.data, type=_TimestampedCommand)
        command = CODEC.decode(timestamped.command)
        result = self.state.apply(
            entry.term, entry.index, timestamped.timestamp, command
        )
        if waiting is not None:
            self._answer(entry, waiting, result)

    def _answer(self, entry: LogEntry, waiting: _Waiting, result: Result) -> None:
        if waiting.term == entry.term:
            reply: Message = SubmitReply(waiting.request, CODEC.encode(result))
        else:
            reply = NotLeader(waiting.request, self.leader_node())
        self._reply(waiting.node, reply)

    # Leadership

    def _greet(self, now: float) -> None:
        blank = not self.raft.membership.members
        if blank:
            first = self._bootstrap.decide()
            if first is not None:
                self.raft.bootstrap(first)
                self._log("group-formed", replicas=len(first.membership.members))
        if self._needs_hello(now):
            self._hello_due = now + HELLO_SECONDS
            others = self._control_nodes()
            for node, hello in self._bootstrap.hellos(blank, others):
                self._effects.append(SendToNode(node, hello))

    def _needs_hello(self, now: float) -> bool:
        own = self.raft.membership.find(self.raft.replica)
        settled = own is not None and own.voter and self.raft.leader != ""
        return not settled and now >= self._hello_due

    def _note_leadership(self, now: float) -> None:
        if self.raft.is_leader == self._was_leader:
            return
        self._was_leader = self.raft.is_leader
        if self.raft.is_leader:
            self._leading_from = now
            self._reconciler.reset()
        else:
            self._waiting.clear()
        self._log("leadership", leads=self.raft.is_leader, term=self.raft.term)

    def _note_membership(self) -> None:
        membership = self.raft.membership
        if membership == self._noted:
            return
        self._noted = membership
        voters = [m.node for m in membership.members if m.voter]
        learners = [m.node for m in membership.members if not m.voter]
        self._log(
            "voters-changed",
            voters=",".join(voters),
            learners=",".join(learners),
            leads=self.raft.is_leader,
        )

    def _reconcile(self, now: float) -> None:
        self._replicas.tick(now)
        self._note_platform(now)
        self._send_word(now)
        lease_until = self.raft.lease_until()
        effects = self._reconciler.tick(
            now, self.state, lease_until, self.unchecked_orders_from()
        )
        self._effects.extend(effects)

    def _note_platform(self, now: float) -> None:
        """Drain upstreams that leave, and strike off nodes whose VM is gone."""
        listed = self._listed
        if listed is None or now > self._listed_at + PLATFORM_FRESH_SECONDS:
            return
        runners = self.state.configuration.runners()
        leaving = DrainReason.LEAVING
        for name in sorted(listed.leaving):
            if name in runners and not self.state.find_drain(name, leaving):
                self._propose_own(DrainUpstream(name, leaving))
        for drain in list(self.state.drains.values()):
            if drain.reason is leaving and drain.upstream in listed.live:
                self._propose_own(ReleaseUpstream(drain.upstream, leaving))
        present = listed.live | listed.leaving
        for row in list(self.state.nodes.values()):
            dead = self._status_of(row.node) in (MemberStatus.DEAD, None)
            if dead and row.node not in present:
                self._propose_own(RemoveNode(row.node, row.incarnation))

    def _send_word(self, now: float) -> None:
        """Tell the other replicas how fresh this leader's knowledge is."""
        if now < self._word_due:
            return
        self._word_due = now + WORD_SECONDS
        word = LeaderWord(self.staleness(now))
        for member in self.raft.membership.members:
            if member.node != self._settings.node:
                self._reply(member.node, word)

    def _platform_age(self, now: float) -> float:
        if not self._settings.uses_platform:
            return 0.0
        return now - self._listed_at

    # Helpers

    def _is_leaving(self, node: str) -> bool:
        return self._status_of(node) is MemberStatus.LEAVING

    def _reply(self, node: str, message: Message) -> None:
        self._effects.append(SendToNode(node, message))

    def _log(self, event: str, **fields: str | int | float) -> None:
        self._effects.append(log(event, **fields))

    def _take_effects(self) -> list[Effect | SendToNode]:
        effects, self._effects = self._effects, []
        return effects


def resolve_addresses(
    effects: Sequence[Effect | SendToNode], address_of: Callable[[str], str]
) -> list[Effect]:
    """Turn messages to nodes into sends; drop those without a known address."""
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
