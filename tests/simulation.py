"""Simulate a fleet: node cores on a virtual clock, network and disk.

All events run in one thread, in the order of their virtual times. Delays, losses
and other random choices come from one seeded generator. The upstreams are fakes.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from hawthornshelf.commands import (
    Command,
    ConfigurationAccepted,
    ProposeConfiguration,
    Result,
)
from hawthornshelf.configuration import Configuration
from hawthornshelf.duties import DutySettings
from hawthornshelf.effects import (
    CallPlatform,
    CancelAttempt,
    CommandEnded,
    Dispatch,
    Effect,
    Finish,
    LogLine,
    ReadEngineState,
    ReadLoad,
    Refuse,
    Send,
    SendChunk,
    SendOrder,
    StopProcess,
)
from hawthornshelf.events import (
    AttemptBroken,
    AttemptRefused,
    CommandRequested,
    EngineStateRead,
    Event,
    LoadReported,
    MessageReceived,
    OrderEnded,
    Persisted,
    PlatformListed,
    RequestArrived,
    StopRequested,
)
from hawthornshelf.founding import make_founding_snapshot, make_replica_id
from hawthornshelf.log import Persist, RecoveredState, Snapshot
from hawthornshelf.messages import CODEC
from hawthornshelf.node import NodeCore, NodeSettings
from hawthornshelf.storage import MemoryStorage
from tests.dutyplatform import DutyPlatform
from tests.upstreams import FakeEngine, FakeService

__all__ = ["Operation", "CallerRequest", "SimNode", "Simulation"]

TICK_SECONDS = 0.05
MAX_SYNC_SECONDS = 0.01
MAX_DELAY_SECONDS = 0.005
MAX_ORDER_DELAY_SECONDS = 0.9
PLATFORM_LIST_SECONDS = 1.0


@dataclass
class SimNode:
    """Represent a node process: its core, its disk and whether it runs.

    Each start and each kill increments `epoch`, so that events for an earlier process
    are dropped. `backlog` has the actions of a frozen node; `versions` are the
    configuration versions that the running process has had. `wall_offset` is the error
    of the wall clock.
    """

    name: str
    entry: bool
    control: bool
    disk: MemoryStorage | None = None
    core: NodeCore | None = None
    epoch: int = 0
    frozen: bool = False
    backlog: list[Callable[[], None]] = field(default_factory=list)
    stopped: bool = False
    versions: list[int] = field(default_factory=list)
    synced_at: float = 0.0
    log_lines: list[LogLine] = field(default_factory=list)
    wall_offset: float = 0.0


class Operation(NamedTuple):
    """Record an operator's command, its result and the times of call and return."""

    node: str
    command: Command
    invoked_at: float
    returned_at: float
    result: Result | None


@dataclass
class CallerRequest:
    """Record a caller's request, the chunks it received and its result."""

    event: RequestArrived
    node: str
    sent_at: float
    chunks: list[str] = field(default_factory=list)
    ended_at: float | None = None
    result: Finish | Refuse | None = None


class Simulation:
    """Simulate nodes, upstreams and callers with a single event queue.

    With `voters` the control group keeps that many voters and replaces lost ones by
    itself; with 0 the initial control nodes stay its voters. `compact_entries` is the
    number of log entries after which a replica takes a snapshot.
    """

    def __init__(
        self,
        seed: int,
        control: int = 3,
        entries: int = 1,
        compact_entries: int = 1000,
        voters: int = 0,
    ) -> None:
        self.voters = voters
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.compact_entries = compact_entries
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.counter = itertools.count()
        self.nodes: dict[str, SimNode] = {}
        self.cut_links: set[frozenset[str]] = set()
        self.drop_rate = 0.0
        self.max_sync_seconds = MAX_SYNC_SECONDS
        self.engines: dict[str, FakeEngine] = {}
        self.services: dict[str, FakeService] = {}
        self.operations: list[Operation] = []
        self.pending_operations: dict[str, tuple[str, Command, float]] = {}
        self.requests: dict[str, CallerRequest] = {}
        self.platform_states: dict[str, str] = {}
        self.uses_platform = False
        self.duties = DutySettings()
        self.has_workspaces = False
        self.platform = DutyPlatform(self)
        self.control = {f"c{n}": f"sim:c{n}" for n in range(control)}
        for name in self.control:
            self.nodes[name] = SimNode(name, entry=True, control=True)
        for number in range(entries):
            self.nodes[f"e{number}"] = SimNode(f"e{number}", True, False)

    # Processes

    def start_all(self) -> None:
        """Start all nodes."""
        for name in self.nodes:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a node with the state that its disk holds."""
        node = self.nodes[name]
        node.epoch += 1
        node.frozen, node.backlog, node.stopped = False, [], False
        recovered: RecoveredState | None = None
        is_first = bool(self.voters) and name in self.control and node.epoch == 1
        if node.control:
            if node.disk is None:
                founding = Snapshot()
                if is_first:
                    founding = make_founding_snapshot(name, sorted(self.control))
                random_id = f"{name}-{self.rng.randrange(10**9)}"
                replica = make_replica_id(founding, name, random_id)
                node.disk = MemoryStorage(replica, founding)
            recovered = node.disk.load()
        settings = NodeSettings(
            node=name,
            incarnation=f"{name}.{node.epoch}",
            data_centre="dc",
            peer_address=f"sim:{name}",
            caller_address=f"call:{name}",
            entry=node.entry,
            control=self.control,
            peers={n: f"sim:{n}" for n in self.nodes},
            uses_platform=self.uses_platform,
            started_ms=int(self.now * 1000),
            compact_entries=self.compact_entries,
            bootstrap=not self.voters or is_first,
            voters=self.voters,
            named_by_address=self.voters > 0,
            duties=self.duties._replace(holder=name),
        )
        rng = random.Random(self.rng.random())
        node.core = NodeCore(settings, recovered, rng, self.now)
        node.core.has_workspaces = self.has_workspaces
        node.versions = []
        self._tick(name, node.epoch)

    def add_control_node(self, name: str) -> None:
        """Start a control node with an empty disk.

        It knows the addresses of the initial control nodes only.
        """
        self.nodes[name] = SimNode(name, entry=False, control=True)
        self.start(name)

    def voters_of(self, name: str) -> set[str]:
        """Return the names of the voters in a replica's membership."""
        core = self.nodes[name].core
        assert core is not None and core.control is not None
        members = core.control.membership().members
        return {member.node for member in members if member.voter}

    def kill(self, name: str) -> None:
        """Kill a node; writes that were not synced are lost."""
        node = self.nodes[name]
        node.core = None
        node.epoch += 1
        for request in self.requests.values():
            if request.node == name and request.result is None:
                request.ended_at = self.now
        for engine in self.engines.values():
            engine.drop_node(name)

    def wipe(self, name: str) -> None:
        """Kill a node and lose its disk."""
        self.kill(name)
        self.nodes[name].disk = None

    def freeze(self, name: str) -> None:
        """Suspend a node; its events are queued until it resumes."""
        self.nodes[name].frozen = True

    def resume(self, name: str) -> None:
        """Resume a frozen node and run the events queued meanwhile."""
        node = self.nodes[name]
        node.frozen = False
        backlog, node.backlog = node.backlog, []
        for action in backlog:
            action()

    def cut(self, one: str, other: str) -> None:
        """Cut the link between two nodes, or between a node and an upstream."""
        self.cut_links.add(frozenset((one, other)))

    def isolate(self, name: str, names: Iterable[str] | None = None) -> None:
        """Cut the links of a node to all others, or to the given ones."""
        for other in names or self.nodes:
            if other != name:
                self.cut(name, other)

    def heal(self) -> None:
        """Restore all links."""
        self.cut_links.clear()

    def stop(self, name: str) -> None:
        """Ask a node to stop gracefully."""
        self._post(name, StopRequested())

    # Virtual time

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in seconds."""
        entry = (self.now + seconds, next(self.counter), action)
        heapq.heappush(self.queue, entry)

    def run(self, seconds: float) -> None:
        """Run the events of the next seconds."""
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = until

    def run_until(
        self,
        condition: Callable[[], Any],
        seconds: float,
        description: str,
        interval: float = 0.02,
    ) -> float:
        """Run until a condition holds and return the seconds it took.

        Fails if it does not hold within the given seconds.
        """
        started_at = self.now
        while not condition():
            assert self.now < started_at + seconds, (
                f"no {description} within {seconds} s"
            )
            self.run(interval)
        return self.now - started_at

    def leader(self) -> str:
        """Return the leader of the highest term, or an empty string.

        Only a leader that has committed an entry of its term counts.
        """
        leading = [
            (node.core.control.raft.term, name)
            for name, node in self.nodes.items()
            if node.core and node.core.control and not node.frozen
            if node.core.control.raft.is_ready
        ]
        return max(leading)[1] if leading else ""

    # Operators and callers

    def submit(self, node: str, command: Command) -> str:
        """Submit an operator's command to a node and return its request id."""
        request = f"op-{next(self.counter)}"
        self.pending_operations[request] = (node, command, self.now)
        self._post(node, CommandRequested(request, command))
        return request

    def run_command(self, node: str, command: Command) -> Result | None:
        """Submit a command to a node and wait for its result."""
        count = len(self.operations)
        self.submit(node, command)
        self.run_until(lambda: len(self.operations) > count, 15, "result", 0.001)
        return self.operations[-1].result

    def configure(self, configuration: Configuration, change: str = "first") -> None:
        """Propose a configuration and wait until all running nodes apply it."""
        self.run_until(self.leader, 20, "leader")
        base = self.nodes[self.leader()].core.view.version
        command = ProposeConfiguration(change, base, "op", configuration)
        result = self.run_command(self.leader(), command)
        assert isinstance(result, ConfigurationAccepted), result
        running = [n for n in self.nodes.values() if n.core and not n.frozen]
        self.run_until(
            lambda: all(n.core.view.version >= result.version for n in running),
            10,
            "configuration on all nodes",
        )

    def send_request(self, node: str, event: RequestArrived) -> CallerRequest:
        """Send a caller's request to a node."""
        request = CallerRequest(event, node, self.now)
        self.requests[event.request] = request
        self._post(node, event)
        return request

    # Effects

    def _tick(self, name: str, epoch: int) -> None:
        node = self.nodes[name]
        if node.epoch != epoch or node.core is None:
            return
        self.run_on_node(name, epoch, lambda: self._step(name, []))
        seconds = TICK_SECONDS * self.rng.uniform(0.9, 1.1)
        self.schedule(seconds, lambda: self._tick(name, epoch))
        if (
            self.uses_platform
            and self.rng.random() < TICK_SECONDS / PLATFORM_LIST_SECONDS
        ):
            self._report_platform_list(name)

    def _report_platform_list(self, name: str) -> None:
        if frozenset((name, "platform")) in self.cut_links:
            return
        live = frozenset(n for n, s in self.platform_states.items() if s == "live")
        leaving = frozenset(
            n for n, s in self.platform_states.items() if s == "leaving"
        )
        self._post(name, PlatformListed(live, leaving))

    def _post(self, name: str, event: Event) -> None:
        epoch = self.nodes[name].epoch
        self.run_on_node(name, epoch, lambda: self._step(name, [event]))

    def post_later(self, name: str, epoch: int, event: Event, seconds: float) -> None:
        """Pass an event to a node later, unless it is killed before that."""
        action = lambda: self._step(name, [event])  # noqa: E731
        self.schedule(seconds, lambda: self.run_on_node(name, epoch, action))

    def run_on_node(self, name: str, epoch: int, action: Callable[[], None]) -> None:
        node = self.nodes[name]
        if node.epoch != epoch or node.core is None:
            return
        if node.frozen:
            node.backlog.append(lambda: self.run_on_node(name, epoch, action))
            return
        action()

    def _step(self, name: str, events: list[Event]) -> None:
        node = self.nodes[name]
        assert node.core is not None
        wall = self.now + node.wall_offset
        effects = node.core.step(self.now, wall, events)
        version = node.core.view.version
        if not node.versions or node.versions[-1] != version:
            node.versions.append(version)
        for effect in effects:
            self._apply_effect(node, effect)

    def _apply_effect(self, node: SimNode, effect: Effect) -> None:
        match effect:
            case Send(target, _, message):
                self._send(node.name, target, message)
            case Persist():
                self._persist(node, effect)
            case Dispatch():
                self._dispatch(node, effect)
            case CancelAttempt(attempt):
                for engine in self.engines.values():
                    engine.cancel(attempt)
            case ReadLoad(upstream=upstream):
                self._read_load(node, upstream)
            case ReadEngineState(upstream, _):
                self._read_engine(node, upstream)
            case SendOrder():
                self._send_order(node, effect)
            case CallPlatform():
                self.platform.call(node.name, effect)
            case CommandEnded(request, result):
                node_name, command, invoked_at = self.pending_operations.pop(request)
                self.operations.append(
                    Operation(node_name, command, invoked_at, self.now, result)
                )
            case SendChunk(request, text):
                self.requests[request].chunks.append(text)
            case Finish(request=request) | Refuse(request=request):
                caller = self.requests[request]
                if caller.result is None:
                    caller.result, caller.ended_at = effect, self.now
            case LogLine():
                node.log_lines.append(effect)
            case StopProcess():
                self.kill(node.name)
                node.stopped = True

    def _send(self, sender: str, target: str, message: Any) -> None:
        lost = self.rng.random() < self.drop_rate
        delay = self.rng.uniform(0.0005, MAX_DELAY_SECONDS)
        if lost or target not in self.nodes:
            return
        data = CODEC.encode(message)
        epoch = self.nodes[target].epoch

        def deliver() -> None:
            if frozenset((sender, target)) not in self.cut_links:
                event = MessageReceived(sender, CODEC.decode(data))
                self.run_on_node(target, epoch, lambda: self._step(target, [event]))

        self.schedule(delay, deliver)

    def _persist(self, node: SimNode, batch: Persist) -> None:
        epoch = node.epoch

        def sync() -> None:
            if node.epoch == epoch and node.disk is not None:
                node.disk.write([batch])
                self._post(node.name, Persisted(batch.sequence))

        at = self.now + self.rng.uniform(0.0005, self.max_sync_seconds)
        node.synced_at = max(node.synced_at, at)
        self.schedule(node.synced_at - self.now, sync)

    def _dispatch(self, node: SimNode, effect: Dispatch) -> None:
        epoch = node.epoch
        upstream = self.engines.get(effect.upstream) or self.services[effect.upstream]
        event = self.requests[effect.request].event

        def write() -> None:
            if self.now >= effect.not_after:
                refused = AttemptRefused(effect.attempt, "too late")
                self._step(node.name, [refused])
                return
            cut = frozenset((node.name, effect.upstream)) in self.cut_links
            if cut or not upstream.up:
                broken = AttemptBroken(effect.attempt, False, "no connection")
                self._step(node.name, [broken])
                return
            upstream.start_attempt(self, node.name, epoch, effect, event)

        delay = self.rng.uniform(0.0005, 0.003)
        self.schedule(delay, lambda: self.run_on_node(node.name, epoch, write))

    def _read_load(self, node: SimNode, upstream: str) -> None:
        engine = self.engines.get(upstream)
        cut = frozenset((node.name, upstream)) in self.cut_links
        if engine is None or cut:
            event = LoadReported(upstream, None)
        elif not engine.up:
            event = LoadReported(upstream, None, refused=True)
        else:
            event = LoadReported(upstream, engine.load())
        self.post_later(node.name, node.epoch, event, 0.003)

    def _read_engine(self, node: SimNode, upstream: str) -> None:
        engine = self.engines.get(upstream)
        cut = frozenset((node.name, upstream)) in self.cut_links
        reachable = engine is not None and engine.up and not cut
        reading = engine.read_state(self.now) if engine and reachable else None
        self.post_later(
            node.name, node.epoch, EngineStateRead(upstream, reading), 0.003
        )

    def _deliver_order(
        self, node: SimNode, epoch: int, engine: FakeEngine, effect: SendOrder
    ) -> None:
        """Deliver an order; 30% of the calls end before the order arrives.

        Those end without a response, as if it were lost or late.
        """
        delay = self.rng.uniform(0.001, MAX_ORDER_DELAY_SECONDS)
        acknowledged = self.rng.random() < 0.7
        wait = delay + 0.002 if acknowledged else self.rng.uniform(0.001, delay)
        self.schedule(delay, lambda: engine.receive_order(self, node.name, effect))
        ended = OrderEnded(effect.upstream, effect.order, acknowledged, "")
        self.post_later(node.name, epoch, ended, wait)

    def _send_order(self, node: SimNode, effect: SendOrder) -> None:
        epoch = node.epoch
        engine = self.engines.get(effect.upstream)

        def write() -> None:
            cut = frozenset((node.name, effect.upstream)) in self.cut_links
            if self.now < effect.not_after and engine and engine.up and not cut:
                self._deliver_order(node, epoch, engine, effect)
            else:
                ended = OrderEnded(effect.upstream, effect.order, False, "not sent")
                self.post_later(node.name, epoch, ended, 0.002)

        delay = self.rng.uniform(0.001, 0.003)
        self.schedule(delay, lambda: self.run_on_node(node.name, epoch, write))
