"""Combine the cores of one node: membership, control replica and entry node."""

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
from hawthornshelf.controlcontact import ControlContact
from hawthornshelf.crashgossip import CrashGossip
from hawthornshelf.departures import DepartureTable
from hawthornshelf.duties import DutySettings
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
    EnginesListed,
    EngineStateRead,
    Event,
    MessageReceived,
    OrderEnded,
    PermitRequested,
    Persisted,
    PlatformCallEnded,
    PlatformListed,
    ReplicaChangeRequested,
    RequestArrived,
    ScalingLoaded,
    StopRequested,
    StorageLost,
    ViewRequested,
)
from hawthornshelf.lifecycle import Lifecycle
from hawthornshelf.log import RecoveredState
from hawthornshelf.membership import Gossip, MembershipTable, OutgoingGossip
from hawthornshelf.messages import (
    AskControl,
    AskPermit,
    ChangeReplica,
    ControlWord,
    CrashNews,
    DepartureNews,
    Hello,
    LeaderWord,
    MemberRow,
    MemberStatus,
    Message,
    NotLeader,
    PermitReply,
    Ping,
    PingReply,
    PingRequest,
    PullCrashes,
    PullView,
    RateLimitNews,
    ReplicaChanged,
    Submit,
    SubmitReply,
    UsageCounts,
    UsageProgress,
    ViewNews,
    ViewUpdate,
)
from hawthornshelf.permitexchange import Outgoing, PermitExchange
from hawthornshelf.platformduties import DutyFacts
from hawthornshelf.raft import Timing
from hawthornshelf.raftmessages import RaftMessage
from hawthornshelf.rendezvous import order_nodes
from hawthornshelf.state import SharedView
from hawthornshelf.submission import Submitter
from hawthornshelf.usagesender import UsageSender

__all__ = ["NodeCore", "NodeSettings"]

CONTROL_POLL_SECONDS = 1.0
PERIODIC_INTERVAL_SECONDS = 0.04
OPERATOR_TIMEOUT_SECONDS = 10.0
RECORD_TIMEOUT_SECONDS = 10.0
VIEW_FANOUT = 3
CRASH_NEWS_FANOUT = 3
DEPARTURE_NEWS_FANOUT = 3
PULL_RETRY_SECONDS = 0.5
MAX_PUSHED_VIEW_BYTES = 4096


class NodeSettings(NamedTuple):
    """Configure a node core; `control` maps the control nodes to peer addresses.

    Without `bootstrap` the control nodes only serve as first contacts. With `voters`
    the group keeps that many voters and replaces lost ones by itself. A `gateway`
    handles requests in its own shell, and needs only the shared view and the list of
    nodes. With `named_by_address` a node's name is its peer address, so that no name
    has to be looked up before the first message.
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
    duties: DutySettings = DutySettings()


class NodeCore:
    """Decide what one node does with each event; the shell owns I/O and the clock."""

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
        self._crash_gossip = CrashGossip(self._rank_self)
        self.crashes = self._crash_gossip.table
        self._permits = PermitExchange(self.members)
        self.rate_limits = self._permits.limits
        self.departures = DepartureTable()
        self.has_workspaces = False
        self.usage: UsageSender | None = None
        takes_requests = settings.entry or settings.gateway
        if takes_requests and settings.duties.duties:
            self.usage = UsageSender(
                settings.node, settings.incarnation, settings.duties, rng
            )
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
        self.reaches_runners = True
        self._wall = 0.0
        self._pulled_revision = 0
        self._pull_retry_at = 0.0
        self._search_retry_at = 0.0
        self._effects: list[Effect | SendToNode] = []
        self._control_contact = ControlContact()
        self._control_poll_due = 0.0
        self._periodic_due = 0.0
        self._operator_requests: set[str] = set()
        self._replica_changes: dict[str, tuple[ChangeReplica, float, float]] = {}

    def step(self, now: float, wall: float, events: Sequence[Event]) -> list[Effect]:
        """Process events, run the work that is due and return the effects."""
        self._wall = wall
        if self.usage is not None:
            self.usage.time.observe(now, wall)
        for event in events:
            self._handle(now, wall, event)
        self._run_immediate(now, wall)
        if now >= self._periodic_due:
            self._periodic_due = now + PERIODIC_INTERVAL_SECONDS
            self._run_periodic(now)
        effects, self._effects = self._effects, []
        return self._deliver_local(now, wall, effects)

    def staleness(self, now: float) -> float:
        """Return the staleness of this node's knowledge of shared state in seconds."""
        return self.lifecycle.staleness(now)

    def refusal(self, now: float) -> str:
        """Return why this node refuses new requests, or an empty string."""
        return self.lifecycle.refusal(now)

    # Events

    def _handle(self, now: float, wall: float, event: Event) -> None:
        match event:
            case MessageReceived(sender, message):
                self._receive(now, wall, sender, message)
            case RequestArrived():
                self._on_request(now, event)
            case (
                Persisted()
                | StorageLost()
                | EngineStateRead()
                | OrderEnded()
                | PlatformCallEnded()
                | ScalingLoaded()
                | EnginesListed()
            ):
                if self.control:
                    self.control.handle(now, wall, event)
            case PlatformListed():
                self._on_platform(now, wall, event)
            case CommandRequested(request, command):
                self._operator_requests.add(request)
                deadline = now + OPERATOR_TIMEOUT_SECONDS
                self.submitter.submit_as(request, command, deadline)
            case ReplicaChangeRequested(request, node, admit):
                change = ChangeReplica(request, node, admit)
                deadline = now + OPERATOR_TIMEOUT_SECONDS
                self._replica_changes[request] = (change, deadline, now)
            case PermitRequested(request, runner, max_wait):
                self._exchange(self._permits.ask(now, request, runner, max_wait))
            case ViewRequested(node):
                self._request_view(now, node)
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
                self._apply_view(now, view, sender)
            case LeaderWord(age):
                self.lifecycle.record_staleness(now, age)
                if self.control:
                    self.control.record_staleness(now, age)
            case ControlWord():
                self._on_freshness_report(now, message)
            case CrashNews(rows):
                lines = self._crash_gossip.receive(now, sender, rows)
                self._effects.extend(lines)
            case PullCrashes():
                news = self._crash_gossip.answer(now, message)
                if news is not None:
                    self._send(sender, news)
            case AskPermit() | PermitReply() | RateLimitNews():
                self._exchange(self._permits.receive(now, sender, message))
            case DepartureNews(departures):
                self.departures.merge(now, departures)
            case PullView(revision) if self.view.revision > revision:
                self._send(sender, ViewUpdate(self.view))
            case UsageProgress():
                if self.usage is not None:
                    self.usage.on_progress(now, sender, message)
            case Hello() | Submit() | ChangeReplica() | AskControl() | UsageCounts():
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
            self._pull_crashes(now, sender, message.crashes)
            self._exchange(self._permits.compare(now, sender, message.limits))
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

    def _on_freshness_report(self, now: float, message: ControlWord) -> None:
        self.lifecycle.record_staleness(now, message.age)
        if self.lifecycle.on_freshness_report(message, self.view.revision):
            incarnation = self.settings.incarnation
            self._effects.append(log("struck-off", incarnation=incarnation))

    def _on_result(self, now: float, request: str, result: Result | None) -> None:
        if request in self._operator_requests:
            self._operator_requests.discard(request)
            self._effects.append(CommandEnded(request, result))
        elif not self.lifecycle.on_result(request, result) and self.entry:
            self.entry.on_result(now, request, result)

    # Shared view

    def _apply_view(self, now: float, view: SharedView, source: str) -> None:
        """Apply a view if it is newer, and forward it to VIEW_FANOUT nodes.

        `source` is the node that it came from, this one for its own replica.
        A small view is sent whole. Of a large one only the revision is announced,
        since each node would receive it about three times.
        """
        if view.revision <= self.view.revision:
            return
        self.view = view
        recorder = self._crash_gossip.recorder
        self._effects.extend(recorder.load(now, self._wall, view.quarantines))
        self.members.revision = view.revision
        if self.entry:
            self.entry.load_view(view)
        is_large = len(view.stored_routes.body) > MAX_PUSHED_VIEW_BYTES
        announcement = ViewNews(view.revision) if is_large else ViewUpdate(view)
        for member in self.members.sample(VIEW_FANOUT):
            self._send(member.node, announcement)
        self._effects.append(
            log(
                "view-in-force",
                revision=view.revision,
                version=view.version,
                routes="none" if view.routes is None else view.routes.number,
                source=source,
            )
        )

    def _pull_view(self, now: float, sender: str, revision: int) -> None:
        """Request a newer view, at most once per PULL_RETRY_SECONDS.

        A large view takes a while over a slow link.
        """
        if revision <= self.view.revision:
            return
        if revision <= self._pulled_revision and now < self._pull_retry_at:
            return
        self._pulled_revision, self._pull_retry_at = revision, now + PULL_RETRY_SECONDS
        self._send(sender, PullView(self.view.revision))

    def _request_view(self, now: float, node: str) -> None:
        """Request a newer view of a node, or of a few if none is named.

        The latter at most once per PULL_RETRY_SECONDS.
        """
        pull = PullView(self.view.revision)
        if node:
            self._send(node, pull)
        elif now >= self._search_retry_at:
            self._search_retry_at = now + PULL_RETRY_SECONDS
            for member in self.members.sample(VIEW_FANOUT):
                self._send(member.node, pull)

    # Crashes of runners

    def _rank_self(self, digest: bytes) -> int:
        """Return this node's place in the order of the nodes for a digest."""
        dead = MemberStatus.DEAD
        nodes = [row.node for row in self.members.rows() if row.status is not dead]
        return order_nodes(digest.hex(), nodes).index(self.settings.node)

    def _pull_crashes(self, now: float, sender: str, checksum: int) -> None:
        request = self._crash_gossip.request_missing(now, checksum)
        if request is not None:
            self._send(sender, request)

    def _spread_crashes(self, now: float) -> None:
        self._effects.extend(self._crash_gossip.expire(now))
        self.members.crashes = self.crashes.checksum
        recorder = self._crash_gossip.recorder
        for command in recorder.take_due(now):
            self.submitter.submit(now, command, now + RECORD_TIMEOUT_SECONDS)
        self._effects.extend(recorder.take_lines())
        news = self._crash_gossip.take_news(now)
        if news is not None:
            for member in self.members.sample(CRASH_NEWS_FANOUT):
                self._send(member.node, news)

    # Runners that leave

    def _spread_departures(self, now: float) -> None:
        self._effects.extend(self.departures.take_lines())
        departures = self.departures.take_news(now)
        if departures:
            news = DepartureNews(departures)
            for member in self.members.sample(DEPARTURE_NEWS_FANOUT):
                self._send(member.node, news)

    # Rate limits of runners

    def _exchange(self, effects: Sequence[Outgoing | Effect]) -> None:
        for effect in effects:
            match effect:
                case Outgoing(node, message):
                    self._send(node, message)
                case _:
                    self._effects.append(effect)

    # Scheduled work

    def _run_immediate(self, now: float, wall: float) -> None:
        """Run the work that follows each event; its cost depends on the event alone."""
        if self.control:
            self._effects.extend(self.control.tick(now, wall))
            if self.control.view_revision > self.view.revision:
                self._apply_view(now, self.control.view(), self.settings.node)
        if self.entry:
            self._effects.extend(self.entry.take_effects())
        for node, message in self.submitter.take_unsent(now):
            self._send(node, message)

    def _run_periodic(self, now: float) -> None:
        """Run the work that may be delayed; its cost grows with the tables."""
        if self.control:
            self.lifecycle.record_staleness(now, self.control.staleness(now))
        self.members.staleness = self.staleness(now)
        self._effects.extend(self._control_contact.observe(now, self.staleness(now)))
        self._update_own_member(now)
        self._spread_crashes(now)
        self._exchange(self._permits.tick(now))
        self._spread_departures(now)
        for outgoing in self.members.tick(now):
            self._gossip(outgoing)
        self.submitter.update_control(self.control_nodes())
        if self.entry:
            self._tick_entry(now)
        if self.entry or self.settings.gateway:
            self._poll_control(now)
        if self.usage is not None:
            self._exchange(self.usage.tick(now, self.control_nodes()))
        self._tick_submissions(now)
        self._tick_replica_changes(now)
        self._tick_stop(now)

    def _tick_entry(self, now: float) -> None:
        assert self.entry is not None
        self.entry.node_count = self.members.live_entry_count()
        self._effects.extend(self.entry.tick(now))
        self.lifecycle.tick(now)

    def _poll_control(self, now: float) -> None:
        if now >= self._control_poll_due:
            has_view = self.settings.gateway and self.view.revision > 0
            is_settled = self.lifecycle.joined or has_view
            wait = CONTROL_POLL_SECONDS if is_settled else CONTROL_POLL_SECONDS / 4
            self._control_poll_due = now + wait
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
        for request, (change, deadline, resend_at) in list(
            self._replica_changes.items()
        ):
            if now >= deadline:
                del self._replica_changes[request]
                reason = "no control leader answered"
                self._effects.append(ReplicaChangeEnded(request, False, reason))
            elif now >= resend_at:
                self._replica_changes[request] = (change, deadline, now + 1.0)
                for node in sorted(self.settings.control):
                    self._send(node, change)

    def _update_own_member(self, now: float) -> None:
        is_leaving = self.lifecycle.is_leaving
        status = MemberStatus.LEAVING if is_leaving else MemberStatus.ALIVE
        own = self.members.own._replace(
            status=status,
            serving=self._is_serving(now),
            reaches_runners=self.reaches_runners,
            version=self.view.version,
        )
        self.members.update_own(now, own)

    def _is_serving(self, now: float) -> bool:
        if self.settings.gateway:
            return self.is_serving
        return self.entry is not None and not self.refusal(now)

    def control_nodes(self) -> list[str]:
        """Return the known control nodes: from settings, membership and replicas."""
        nodes = set(self.settings.control)
        if self.settings.named_by_address:
            dead = MemberStatus.DEAD
            rows = self.members.rows()
            nodes.update(r.node for r in rows if r.control and r.status is not dead)
        if self.control:
            nodes.update(m.node for m in self.control.membership().members)
        return sorted(nodes)

    def update_seeds(self, control: dict[str, str]) -> None:
        """Replace the control nodes to contact first."""
        self.settings = self.settings._replace(control=control)
        self.members.update_seeds(_seeds(self.settings))

    def restart_control(self, now: float, recovered: RecoveredState) -> None:
        """Restart the control replica from what its storage holds."""
        self.control = self._make_control(recovered, self._rng, now)
        self.members.update_own(now, self.members.own._replace(control=True))

    # Stop

    def _on_stop(self, now: float) -> None:
        if not self.lifecycle.stop(now):
            return
        self._effects.append(log("stop-begins", linger=self.settings.linger))
        if self.control:
            self.control.begin_leaving(now)

    def has_left(self, now: float) -> bool:
        """Return whether the control group bears as much without this node."""
        return self.control is None or self.control.has_left(now)

    def _tick_stop(self, now: float) -> None:
        """Stop the process once its requests have ended and it has deregistered.

        A node without the entry role has neither. A voter hands its vote over before.
        """
        if not self.lifecycle.is_leaving or self.settings.gateway:
            return
        if not self.has_left(now):
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
        """Process messages addressed to this node, and resolve the other effects."""
        outgoing: list[Effect | SendToNode] = []
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
                outgoing.append(effect)
        return resolve_addresses(outgoing, self._address_of)

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
            duties=self.settings.duties,
        )
        return ControlCore(
            settings,
            recovered,
            rng,
            now,
            self.members.status,
            self.control_nodes,
            DutyFacts(self.members.live_entries, lambda: self.has_workspaces),
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
