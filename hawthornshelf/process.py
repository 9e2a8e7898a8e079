"""Run one node: turn sockets, files and time into events, and effects into I/O."""

import asyncio
import contextlib
import random
import secrets
import signal
from typing import Any

import uvloop

from hawthornshelf.callerapi import CallerRequest
from hawthornshelf.callers import CallerServer, Reply, make_app
from hawthornshelf.clock import Clock, SystemClock
from hawthornshelf.effects import (
    CancelAttempt,
    Dispatch,
    Effect,
    Finish,
    ReadEngineState,
    ReadLoad,
    Refuse,
    SendChunk,
    SendOrder,
    StopProcess,
)
from hawthornshelf.events import (
    AttemptRefused,
    CallerDisconnected,
    StopRequested,
)
from hawthornshelf.logs import start_logging, write_log
from hawthornshelf.messages import MemberStatus
from hawthornshelf.metrics import Metrics, OutcomeBucket, RequestOutcome
from hawthornshelf.node import NodeSettings
from hawthornshelf.nodeshell import FLUSH_SECONDS, NodeShell, PeerSettings
from hawthornshelf.operatorapi import AddressAnswer
from hawthornshelf.operators import OperatorServer
from hawthornshelf.raft import Timing
from hawthornshelf.settings import Settings
from hawthornshelf.state import NodeRow
from hawthornshelf.status import (
    ConfigurationReport,
    NodeReport,
    report_configuration,
    report_node,
)
from hawthornshelf.storage import DiskStorage
from hawthornshelf.upstreamclient import UpstreamClient

__all__ = ["Process", "run_process"]

PLATFORM_SECONDS = 1.0
HEARTBEATS_PER_ELECTION = 6
MAX_ADDRESSES = 4


class _OpenRequest:
    """Hold one open request of a caller."""

    def __init__(self, request: CallerRequest, started: float) -> None:
        self.request = request
        self.started = started
        self.replies: asyncio.Queue[Reply] = asyncio.Queue()


class Process(NodeShell):
    """Serve callers and operators beside a node core."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._exchanges: dict[str, _OpenRequest] = {}
        self._incarnation = secrets.token_hex(6)
        self._metrics = Metrics()
        storage = None
        if "control" in settings.roles and settings.data is not None:
            storage = DiskStorage(settings.data / "control", secrets.token_hex(8))
        own = settings.peer_advertise or settings.peer_listen
        super().__init__(
            self._node_settings(clock),
            PeerSettings(settings.group, settings.peer_listen, own),
            storage,
            clock,
            random.Random(settings.seed or None),
        )
        self._upstreams = UpstreamClient(clock, self.post)
        self._http: Any = None

    async def run(self) -> None:
        """Serve until a graceful stop has ended."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.post, StopRequested())
        await self.start_peers()
        await self._start_http()
        write_log("started", incarnation=self._incarnation)
        poller = None
        if self._settings.platform:
            poller = asyncio.create_task(self._poll_platform())
        try:
            await self.wait_stopped()
        finally:
            await self._close(poller)

    # What callers and operators need

    def open(self, request: CallerRequest) -> "asyncio.Queue[Reply]":
        """Hand a request to the core and return where its replies arrive."""
        exchange = _OpenRequest(request, self._clock.monotonic())
        self._exchanges[request.event.request] = exchange
        self.post(request.event)
        return exchange.replies

    def close(self, request: str, finished: bool) -> None:
        """Forget a request; one that is not finished has lost its caller."""
        if not finished:
            self._exchanges.pop(request, None)
            self.post(CallerDisconnected(request))

    def addresses(self) -> list[str]:
        """Return the addresses that callers may use."""
        return self.addresses_near("").addresses

    def addresses_near(self, data_centre: str) -> AddressAnswer:
        """Return where callers of a data centre should connect."""
        rows = list(self._core.members.serving())
        self._rng.shuffle(rows)
        rows.sort(key=lambda row: row.data_centre != data_centre)
        found = [row.caller_address for row in rows[:MAX_ADDRESSES]]
        return AddressAnswer(found, self._settings.linger.total_seconds())

    def report(self) -> NodeReport:
        """Return what this node knows."""
        return report_node(self._core, self._clock.monotonic())

    def report_configuration(self) -> ConfigurationReport:
        """Return the configuration in force here and its history."""
        return report_configuration(self._core)

    def outcome_buckets(self) -> list[OutcomeBucket]:
        """Return the minutes of outcomes that this node keeps."""
        return self._metrics.buckets()

    def export_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        now = self._clock.monotonic()
        core = self._core
        gauges = {
            "configuration_version": float(core.view.version),
            "control_word_age_seconds": min(core.staleness(now), 1e9),
            "open_requests": float(len(core.entry.requests) if core.entry else 0),
            "leads_control_group": float(
                core.control is not None and core.control.raft.is_leader
            ),
        }
        return self._metrics.export(gauges)

    def find_entry_node(self, node: str) -> NodeRow | None:
        """Return the entry node that drains wait for, if it is known here."""
        control = self._core.control
        return control.state.nodes.get(node) if control else None

    def is_dead(self, node: str) -> bool:
        """Tell if a node is believed dead, or not heard of at all."""
        return self._core.members.status(node) in (None, MemberStatus.DEAD)

    def refusal(self) -> str:
        """Return why this node takes no work, or nothing."""
        return self._core.refusal(self._clock.monotonic()) if self._core.entry else ""

    def perform_effect(self, effect: Effect) -> None:
        """Carry out what an entry node or a control leader asks for."""
        match effect:
            case SendChunk(request, _) | Finish(request=request):
                self._reply(request, effect)
            case Refuse(request=request):
                self._reply(request, effect)
            case Dispatch():
                self._dispatch(effect)
            case CancelAttempt(attempt):
                self._upstreams.cancel(attempt)
            case ReadLoad():
                self._upstreams.read_load(effect)
            case ReadEngineState():
                self._upstreams.read_engine_state(effect)
            case SendOrder():
                self._upstreams.send_order(effect)
            case StopProcess():
                self._stopped.set()

    def _reply(self, request: str, effect: Reply) -> None:
        exchange = self._exchanges.get(request)
        if exchange is None:
            return
        exchange.replies.put_nowait(effect)
        if not isinstance(effect, SendChunk):
            del self._exchanges[request]
            self._record(exchange, effect)

    def _record(self, exchange: _OpenRequest, end: Finish | Refuse) -> None:
        outcome = end.outcome.value if isinstance(end, Refuse) else "complete"
        seconds = self._clock.monotonic() - exchange.started
        work = exchange.request.event.work or "default"
        wall = self._clock.now().timestamp()
        is_server_error = isinstance(end, Refuse) and end.status >= 500
        self._metrics.record(
            wall, RequestOutcome(work, outcome, seconds, is_server_error)
        )
        if isinstance(end, Refuse):
            write_log(
                "request-refused",
                request=end.request,
                outcome=outcome,
                status=end.status,
                reason=end.reason,
            )

    def _dispatch(self, effect: Dispatch) -> None:
        exchange = self._exchanges.get(effect.request)
        if exchange is None:
            self.post(AttemptRefused(effect.attempt, "the caller is gone"))
            return
        self._upstreams.dispatch(effect, exchange.request.outbound)

    # Start and stop

    def _node_settings(self, clock: Clock) -> NodeSettings:
        settings = self._settings
        election = settings.election.total_seconds()
        return NodeSettings(
            node=settings.node,
            incarnation=self._incarnation,
            data_centre=settings.data_centre,
            peer_address=settings.peer_advertise or settings.peer_listen,
            caller_address=settings.advertise or settings.listen,
            entry="entry" in settings.roles,
            control=settings.control,
            peers=settings.peers,
            timing=Timing(election / HEARTBEATS_PER_ELECTION, election),
            uses_platform=bool(settings.platform),
            linger=settings.linger.total_seconds(),
            started_ms=int(clock.now().timestamp() * 1000),
        )

    async def _start_http(self) -> None:
        app = make_app(self._settings.node)
        OperatorServer(app, self, self._settings.operator_token)
        if "entry" in self._settings.roles:
            CallerServer(app, self)
        host, _, port = self._settings.listen.rpartition(":")
        server = await app.create_server(
            host=host.strip("[]"),
            port=int(port),
            access_log=False,
            return_asyncio_server=True,
        )
        await server.startup()
        await server.start_serving()
        self._http = server

    async def _poll_platform(self) -> None:
        while True:
            self._upstreams.read_platform(self._settings.platform)
            await asyncio.sleep(PLATFORM_SECONDS)

    async def _close(self, poller: "asyncio.Task[None] | None") -> None:
        if poller is not None:
            poller.cancel()
        self._http.close()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._http.wait_closed(), FLUSH_SECONDS)
        await self._upstreams.close()
        await self.stop_peers()
        write_log("stopped")


def run_process(settings: Settings) -> None:
    """Run a node until it has stopped gracefully."""
    start_logging(settings.node, settings.log_level)

    async def main() -> None:
        await Process(settings, SystemClock()).run()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())
