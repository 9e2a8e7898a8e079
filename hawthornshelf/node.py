"""Join the parts of one process: membership, control replica and entry node."""

import random
from collections.abc import Sequence
from typing import NamedTuple

from hawthornshelf.commands import Result
from hawthornshelf.control import (
    ControlCore,
    ControlSettings,
    SendToNode,
    resolve_addresses,
)
from hawthornshelf.effects import (
    CommandEnded,
    Effect,
    ReplicaChangeEnded,
    StopProcess,
    log,
)
from hawthornshelf.entry import EntryCore, EntryEvent
from hawthornshelf.events import (
    CommandRequested,
    EngineStateRead,
    Event,
    MessageReceived,
    OrderEnded,
    Persisted,
    PlatformListed,
    ReplicaChangeRequested,
    RequestArrived,
    StopRequested,
    StorageLost,
)
from hawthornshelf.lifecycle import Lifecycle
from hawthornshelf.log import RecoveredState
from hawthornshelf.membership import Gossip, MembershipTable, OutgoingGossip
from hawthornshelf.messages import (
    AskControl,
    ChangeReplica,
    ControlWord,
    Hello,
    LeaderWord,
    MemberRow,
    MemberStatus,
    Message,
    NotLeader,
    Ping,
    PingReply,
    PingRequest,
    PullView,
    ReplicaChanged,
    Submit,
    SubmitReply,
    ViewNews,
    ViewUpdate,
)
from hawthornshelf.raft import Timing
from hawthornshelf.raftmessages import RaftMessage
from hawthornshelf.state import SharedView
from hawthornshelf.submission import Submitter

__all__ = ["NodeCore", "NodeSettings"]

ASK_SECONDS = 1.0
SWEEP_SECONDS = 0.04
OPERATOR_WAIT_SECONDS = 10.0
PUSH_TO_NODES = 3
PULL_AGAIN_SECONDS = 0.5
LARGE_VIEW_BYTES = 4096


class NodeSettings(NamedTuple):
    """Set up a node; `control` maps the control nodes to their peer addresses.

    Without `bootstrap` the control nodes are only whom to ask first. With `voters`
    the group replaces lost voters by itself. A `gateway` takes requests in a shell
    of its own, and needs nothing but the shared view and the list of nodes. With
    `named_by_address` a node's name is its peer address, so that no name has to be
    looked up before the first message.
    """

    node: str
    incarnation: str
    data_centre: str
    peer_address: str
    caller_address: str
    entry: bool
    control: dict[str, str]
    peers: dict[str, str] = {}
    timing: Timing = Timing()
    uses_platform: bool = False
    linger: float = 10.0
    started_ms: int = 1
    compact_entries: int = 1000
    bootstrap: bool = True
    voters: int = 0
    gateway: bool = False
    named_by_address: bool = False


class NodeCore:
    """Step one process; the shell does all I/O and owns the clock."""

    def __init__(
        self,
        settings: NodeSettings,
        recovered: RecoveredState | None,
        rng: random.Random,
        now: float,
    ) -> None:
        self.settings = settings
        self._rng = rng
        self.members = MembershipTable(
            _own_row(settings, recovered is not None), _seeds(settings), rng
        )
        self.submitter = Submitter(settings.node, sorted(settings.control))
        self.lifecycle = Lifecycle(
            settings.node, settings.incarnation, settings.linger, self.submitter
        )
        self.control: ControlCore | None = None
        self.entry: EntryCore | None = None
        self.view = SharedView()
        if recovered is not None:
            self.control = self._make_control(recovered, rng, now)
        if settings.entry:
            self.entry = EntryCore(
                settings.node,
                settings.incarnation,
                settings.data_centre,
                self.submitter,
                rng,
            )
        self.is_serving = False
        self._pulled = 0
        self._pull_again_at = 0.0
        self._effects: list[Effect | SendToNode] = []
        self._ask_due = 0.0
        self._sweep_due = 0.0
        self._operator: set[str] = set()
        self._replica_changes: dict[str, tuple[ChangeReplica, float, float]] = {}

    def step(self, now: float, wall: float, events: Sequence[Event]) -> list[Effect]:
        """Take in events, run what is due and return the effects."""
        for event in events:
            self._handle(now, wall, event)
        self._react(now, wall)
        if now >= self._sweep_due:
            self._sweep_due = now + SWEEP_SECONDS
            self._sweep(now)
        effects, self._effects = self._effects, []
        return self._deliver_local(now, wall, effects)

    def staleness(self, now: float) -> float:
        """Return how old this node's word from control may be, in seconds."""
        return self.lifecycle.staleness(now)

    def refusal(self, now: float) -> str:
        """Return why this node takes no new work, or nothing if it does."""
        return self.lifecycle.refusal(now)

    # Events

    def _handle(self, now: float, wall: float, event: Event) -> None:
        match event:
            case MessageReceived(sender, message):
                self._receive(now, wall, sender, message)
            case RequestArrived():
                self._on_request(now, event)
            case Persisted() | StorageLost() | EngineStateRead() | OrderEnded():
                if self.control:
                    self.control.handle(now, wall, event)
            case PlatformListed():
                self._on_platform(now, wall, event)
            case CommandRequested(request, command):
                self._operator.add(request)
                until = now + OPERATOR_WAIT_SECONDS
                self.submitter.submit_as(request, command, until)
            case ReplicaChangeRequested(request, node, admit):
                change = ChangeReplica(request, node, admit)
                until = now + OPERATOR_WAIT_SECONDS
                self._replica_changes[request] = (change, until, now)
            case StopRequested():
                self._on_stop(now)
            case _ if isinstance(event, EntryEvent):
                if self.entry:
                    self.entry.handle(now, event)

    def _receive(self, now: float, wall: float, sender: str, message: Message) -> None:
        match message:
            case Ping() | PingReply() | PingRequest():
                self._on_gossip(now, sender, message)
            case SubmitReply():
                ended = self.submitter.on_reply(message)
                if ended is not None:
                    self._on_result(now, ended.request, ended.result)
                elif self.control:
                    self.control.relay_reply(message)
            case NotLeader():
                self.submitter.on_not_leader(now, sender, message)
                if self.control:
                    self.control.relay_reply(message)
            case ReplicaChanged():
                if self._replica_changes.pop(message.request, None):
                    ended_change = ReplicaChangeEnded(
                        message.request, message.accepted, message.reason
                    )
                    self._effects.append(ended_change)
            case ViewNews(revision):
                self._pull_view(now, sender, revision)
            case ViewUpdate(view):
                self._load_view(now, view)
            case LeaderWord(age):
                self.lifecycle.record_staleness(now, age)
                if self.control:
                    self.control.record_staleness(now, age)
            case ControlWord():
                self._on_word(now, message)
            case PullView(revision) if self.view.revision > revision:
                self._send(sender, ViewUpdate(self.view))
            case Hello() | Submit() | ChangeReplica() | AskControl():
                if self.control:
                    self.control.receive(now, wall, sender, message)
            case _ if isinstance(message, RaftMessage) and self.control:
                self.control.receive(now, wall, sender, message)

    def _on_request(self, now: float, event: RequestArrived) -> None:
        if self.entry is None:
            return
        reason = self.refusal(now)
        if reason:
            self.entry.refuse(event.request, reason, 1.0)
        else:
            self.entry.handle(now, event)

    def _on_gossip(self, now: float, sender: str, message: Gossip) -> None:
        if isinstance(message, Ping | PingReply):
            self.lifecycle.record_staleness(now, message.age)
            self._pull_view(now, sender, message.revision)
        for outgoing in self.members.receive(now, sender, message):
            self._gossip(outgoing)

    def _on_platform(self, now: float, wall: float, event: PlatformListed) -> None:
        self.lifecycle.record_platform_list(now)
        if self.entry:
            self.entry.record_leaving(event.leaving)
        if self.control:
            self.control.handle(now, wall, event)
        if self.settings.node in event.leaving:
            self._on_stop(now)

    def _on_word(self, now: float, message: ControlWord) -> None:
        self.lifecycle.record_staleness(now, message.age)
        if self.lifecycle.on_freshness_report(message, self.view.revision):
            incarnation = self.settings.incarnation
            self._effects.append(log("struck-off", incarnation=incarnation))

    def _on_result(self, now: float, request: str, result: Result | None) -> None:
        if request in self._operator:
            self._operator.discard(request)
            self._effects.append(CommandEnded(request, result))
        elif not self.lifecycle.on_result(request, result) and self.entry:
            self.entry.on_result(now, request, result)

    # Shared view

    def _load_view(self, now: float, view: SharedView) -> None:
        """Take a view if it is newer, and pass it on to a few nodes.

        They get a small one whole, and word of a large one: it would come to each
        of them three times over.
        """
        if view.revision <= self.view.revision:
            return
        self.view = view
        self.members.revision = view.revision
        if self.entry:
            self.entry.load_view(view)
        is_large = len(view.routes.body) > LARGE_VIEW_BYTES
        news = ViewNews(view.revision) if is_large else ViewUpdate(view)
        for member in self.members.sample(PUSH_TO_NODES):
            self._send(member.node, news)
        self._effects.append(
            log("view-in-force", revision=view.revision, version=view.version)
        )

    def _pull_view(self, now: float, sender: str, revision: int) -> None:
        """Ask for a newer view, once: a large one takes its time on a small link."""
        if revision <= self.view.revision:
            return
        if revision <= self._pulled and now < self._pull_again_at:
            return
        self._pulled, self._pull_again_at = revision, now + PULL_AGAIN_SECONDS
        self._send(sender, PullView(self.view.revision))

    # What is due

    def _react(self, now: float, wall: float) -> None:
        """Run what must follow an event at once; its cost depends on that alone."""
        if self.control:
            self._effects.extend(self.control.tick(now, wall))
            if self.control.state.revision > self.view.revision:
                self._load_view(now, self.control.view())
        if self.entry:
            self._effects.extend(self.entry.take_effects())
        for node, message in self.submitter.take_unsent(now):
            self._send(node, message)

    def _sweep(self, now: float) -> None:
        """Run what may wait a little; its cost grows with the tables."""
        if self.control:
            self.lifecycle.record_staleness(now, self.control.staleness(now))
        self.members.staleness = self.staleness(now)
        self._update_own(now)
        for outgoing in self.members.tick(now):
            self._gossip(outgoing)
        self.submitter.update_control(self.control_nodes())
        if self.entry:
            self._tick_entry(now)
        if self.entry or self.settings.gateway:
            self._ask_control(now)
        self._tick_submissions(now)
        self._tick_replica_changes(now)
        self._tick_stop(now)

    def _tick_entry(self, now: float) -> None:
        assert self.entry is not None
        self.entry.node_count = self.members.live_entry_count()
        self._effects.extend(self.entry.tick(now))
        self.lifecycle.tick(now)

    def _ask_control(self, now: float) -> None:
        if now >= self._ask_due:
            has_view = self.settings.gateway and self.view.revision > 0
            settled = self.lifecycle.joined or has_view
            wait = ASK_SECONDS if settled else ASK_SECONDS / 4
            self._ask_due = now + wait
            target = self._rng.choice(self.control_nodes())
            ask = AskControl(self.view.revision, self.settings.incarnation)
            self._send(target, ask)

    def _tick_submissions(self, now: float) -> None:
        messages, ended = self.submitter.tick(now)
        for item in ended:
            self._on_result(now, item.request, None)
        for node, message in (*messages, *self.submitter.take_unsent(now)):
            self._send(node, message)
        if self.entry:
            self._effects.extend(self.entry.take_effects())

    def _tick_replica_changes(self, now: float) -> None:
        for request, (change, until, due) in list(self._replica_changes.items()):
            if now >= until:
                del self._replica_changes[request]
                reason = "no control leader answered"
                self._effects.append(ReplicaChangeEnded(request, False, reason))
            elif now >= due:
                self._replica_changes[request] = (change, until, now + 1.0)
                for node in sorted(self.settings.control):
                    self._send(node, change)

    def _update_own(self, now: float) -> None:
        leaving = self.lifecycle.is_leaving
        status = MemberStatus.LEAVING if leaving else MemberStatus.ALIVE
        own = self.members.own._replace(
            status=status,
            serving=self._is_serving(now),
            version=self.view.version,
        )
        self.members.update_own(now, own)

    def _is_serving(self, now: float) -> bool:
        if self.settings.gateway:
            return self.is_serving
        return self.entry is not None and not self.refusal(now)

    def control_nodes(self) -> list[str]:
        """Return the control nodes known: the given ones, the members, the replicas."""
        nodes = set(self.settings.control)
        if self.settings.named_by_address:
            dead = MemberStatus.DEAD
            rows = self.members.rows()
            nodes.update(r.node for r in rows if r.control and r.status is not dead)
        if self.control:
            nodes.update(m.node for m in self.control.membership().members)
        return sorted(nodes)

    def update_seeds(self, control: dict[str, str]) -> None:
        """Take other control nodes to turn to first."""
        self.settings = self.settings._replace(control=control)
        self.members.update_seeds(_seeds(self.settings))

    def restart_control(self, now: float, recovered: RecoveredState) -> None:
        """Run the control replica anew from what its storage holds."""
        self.control = self._make_control(recovered, self._rng, now)

    # Stop

    def _on_stop(self, now: float) -> None:
        if not self.lifecycle.stop(now):
            return
        self._effects.append(log("stop-begins", linger=self.settings.linger))
        if self.control:
            self.control.transfer_leadership(now)

    def _tick_stop(self, now: float) -> None:
        """End the process once nothing is owed; control alone owes nothing."""
        if not self.lifecycle.is_leaving or self.settings.gateway:
            return
        if not self.entry or self.lifecycle.may_end(now, len(self.entry.requests)):
            self._effects.append(StopProcess())

    # Sending

    def _send(self, node: str, message: Message) -> None:
        self._effects.append(SendToNode(node, message))

    def _gossip(self, outgoing: OutgoingGossip) -> None:
        self._effects.append(SendToNode(outgoing.member.node, outgoing.message))

    def _address_of(self, node: str) -> str:
        member = self.members.find(node)
        if member is not None and member.peer_address:
            return member.peer_address
        default = node if self.settings.named_by_address else ""
        return self.settings.control.get(node, default)

    def _deliver_local(
        self, now: float, wall: float, effects: Sequence[Effect | SendToNode]
    ) -> list[Effect]:
        """Hand messages to this node straight back to it."""
        done: list[Effect | SendToNode] = []
        pending = list(effects)
        while pending:
            effect = pending.pop(0)
            if isinstance(effect, SendToNode) and effect.node == self.settings.node:
                self._receive(now, wall, self.settings.node, effect.message)
                if self.control:
                    self._effects.extend(self.control.tick(now, wall))
                pending.extend(self._effects)
                self._effects = []
            else:
                done.append(effect)
        return resolve_addresses(done, self._address_of)

    def _make_control(
        self, recovered: RecoveredState, rng: random.Random, now: float
    ) -> ControlCore:
        settings = ControlSettings(
            node=self.settings.node,
            initial_nodes=tuple(sorted(self.settings.control))
            if self.settings.bootstrap
            else (),
            voters=self.settings.voters,
            timing=self.settings.timing,
            uses_platform=self.settings.uses_platform,
            compact_entries=self.settings.compact_entries,
        )
        return ControlCore(
            settings, recovered, rng, now, self.members.status, self.control_nodes
        )


def _own_row(settings: NodeSettings, control: bool) -> MemberRow:
    return MemberRow(
        settings.node,
        settings.started_ms,
        MemberStatus.ALIVE,
        settings.peer_address,
        settings.caller_address,
        settings.data_centre,
        settings.entry or settings.gateway,
        control,
    )


def _seeds(settings: NodeSettings) -> list[MemberRow]:
    known = {**settings.peers, **settings.control}
    alive = MemberStatus.ALIVE
    return [
        MemberRow(node, 0, alive, address, "", "", entry=False, control=False)
        for node, address in sorted(known.items())
    ]
