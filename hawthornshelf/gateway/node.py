"""Run nodes that forward callers' requests."""

import asyncio
import random
import zlib
from collections.abc import Set
from typing import NamedTuple

from hawthornshelf.clock import Clock
from hawthornshelf.duties import Duty
from hawthornshelf.events import (
    PermitRequested,
    StopRequested,
    ViewRequested,
)
from hawthornshelf.gateway.budget import RetryBudget, RetryLimits
from hawthornshelf.gateway.contract import RouteCodec, RunnerSource
from hawthornshelf.gateway.exchange import RunnerClient
from hawthornshelf.gateway.forwarder import Forwarder
from hawthornshelf.gateway.listreader import ListReader
from hawthornshelf.gateway.peerrelay import Peer, RelayClient
from hawthornshelf.gateway.polling import ListPace, poll_interval
from hawthornshelf.gateway.routes import find_scaling, is_newer
from hawthornshelf.gateway.runners import RunnerTable
from hawthornshelf.gateway.streamorigins import StreamOrigins
from hawthornshelf.limitrecords import Permit
from hawthornshelf.logs import write_log
from hawthornshelf.membership import MembershipTable
from hawthornshelf.metrics import Metrics
from hawthornshelf.node import NodeSettings
from hawthornshelf.nodeshell import NodeShell, PeerSettings, keep_running
from hawthornshelf.origins import BuildRow
from hawthornshelf.serviceloads import ServiceLoad

__all__ = [
    "REACHABILITY_INTERVAL_SECONDS",
    "GatewayNode",
    "StopTiming",
    "choose_peer",
]

LIST_RETRY_SHARE = 0.3
"""Share of the polling interval after which a failed read of the list is retried."""

BUDGET_SETTLE_SECONDS = 5.0
"""Time after the start by which gossip has reported all nodes that are up."""

DRAIN_POLL_SECONDS = 0.05
END_SECONDS = 0.15
"""Time for the answers to requests that are still open as the process ends."""

LAST_COUNTS_SECONDS = 0.1
"""Time for two steps of the core, which send the last counts of requests."""

REACHABILITY_INTERVAL_SECONDS = 0.25
MAX_AGE_SECONDS = 1e9
"""Age that the metrics show of what was never known."""


class StopTiming(NamedTuple):
    """Limit the phases of a graceful stop, in seconds from the request to stop.

    New requests that may complete by `grace` are accepted for `linger`, because callers
    cache an address for a while. At `grace` what is still open is answered, and the
    process ends.
    """

    linger: float = 2.8
    grace: float = 7.7


class GatewayNode(NodeShell):
    """Run an entry node: follow routes and runners, and forward requests."""

    def __init__(
        self,
        settings: NodeSettings,
        peer: PeerSettings,
        clock: Clock,
        rng: random.Random,
        codec: RouteCodec,
        source: RunnerSource,
        client: RunnerClient,
        limits: RetryLimits,
        poll_limits: ListPace,
        relay_client: RelayClient | None = None,
        hedge_share: float = 0.0,
    ) -> None:
        super().__init__(settings, peer, None, clock, rng)
        self._codec = codec
        self._list_reader = ListReader(source)
        self._poll_limits = poll_limits
        self._started_at = clock.monotonic()
        self._route_number: int | None = None
        self._builds: tuple[BuildRow, ...] = ()
        self.metrics = Metrics()
        self.runners = RunnerTable(settings.data_centre, rng, self._core.departures)
        self.origins = StreamOrigins(
            clock,
            rng,
            self.run_command,
            self._core.members.live_entry_count,
        )
        self.forwarder = Forwarder(
            client,
            self.runners,
            RetryBudget(limits),
            self.metrics,
            clock,
            rng,
            lambda: self.count_nodes(clock.monotonic()),
            self._estimate_interactive_requests,
            self._core.crashes,
            self._core.rate_limits,
            self._ask_permit,
            relay_client,
            self._choose_peer,
            lambda node: self.post(ViewRequested(node)),
            self.origins,
            hedge_share,
            self._core.usage if Duty.USAGE in settings.duties.duties else None,
        )
        self._core.members.count_streams = self.runners.count_interactive_requests
        self._scaled_services: frozenset[str] = frozenset()
        if self._core.usage is not None and Duty.ENGINES in settings.duties.duties:
            self._core.usage.measure_loads = self._measure_loads
        self.is_leaving = False

    async def start(self) -> None:
        """Connect to the other nodes and start polling the list of runners."""
        await self.start_peers()
        for run in (
            self._poll_runner_list,
            self._check_reachability,
            self.origins.run,
        ):
            self._tasks.append(asyncio.create_task(keep_running(run)))

    def gauges(self) -> dict[str, float]:
        """Return the current values for the metrics."""
        now = self._clock.monotonic()
        counts = self._core.crashes.counts(now)
        gauges = {
            "open_requests": float(self.forwarder.open_requests),
            "runner_crashes_known": float(len(self._core.crashes)),
            "suspect_requests": float(counts.suspects),
            "held_requests": float(counts.held),
            "quarantined_requests": float(counts.quarantined),
            "rate_limited_runners": float(self._core.rate_limits.count),
            "reaches_runners": float(self.forwarder.reaches_runners),
            "relayed_requests": float(self.forwarder.relayed_requests),
            "unknown_callers": float(self.forwarder.unknown_callers),
            "leaving_runners": float(len(self._core.departures)),
            "lost_peers": float(self.count_lost_peers()),
            "control_word_age_seconds": min(self._core.staleness(now), MAX_AGE_SECONDS),
            "streams_remembered": float(self.origins.stream_count),
        }
        if self._route_number is not None:
            gauges["routes_number"] = float(self._route_number)
        if self._core.usage is not None:
            gauges["usage_requests_too_late"] = float(self._core.usage.counter.late)
        return gauges

    def is_ready(self) -> bool:
        """Return whether this node should get new requests."""
        if self.is_leaving or not self.forwarder.has_routes:
            return False
        has_runners = self.runners.read_at > float("-inf")
        return has_runners and self.origins.has_settled()

    def addresses_near(self, data_centre: str) -> list[str]:
        """Return the callers' addresses of the serving nodes in a data centre.

        If none serves there, return those of all serving nodes. Nodes that reach no
        runner are left out, unless that leaves none.
        """
        serving = self._core.members.serving()
        rows = [row for row in serving if row.reaches_runners] or serving
        near = [row for row in rows if row.data_centre == data_centre]
        return [row.caller_address for row in near or rows]

    async def drain(self, timing: StopTiming) -> None:
        """Announce that this node leaves, and refuse requests after the linger time.

        By then no new callers are expected.
        """
        self.is_leaving = True
        self._core.is_serving = False
        self.post(StopRequested())
        self.forwarder.begin_stop(self._clock.monotonic() + timing.grace)
        await asyncio.sleep(timing.linger)
        self.forwarder.close()

    async def finish(self, seconds: float) -> None:
        """Wait until no request is open, and answer those open after the given time."""
        await self._wait_for_requests(seconds)
        self.forwarder.end_requests()
        await self._wait_for_requests(END_SECONDS)
        if self._core.usage is not None:
            self._core.usage.send_now()
            await asyncio.sleep(LAST_COUNTS_SECONDS)

    async def _wait_for_requests(self, seconds: float) -> None:
        deadline = self._clock.monotonic() + seconds
        while self.forwarder.open_requests and self._clock.monotonic() < deadline:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def stop_peers(self) -> None:
        """Stop what goes on besides requests, and all that other nodes need."""
        await self.forwarder.stop()
        await self.origins.stop()
        await super().stop_peers()

    def on_step(self) -> None:
        """Apply a newer route document from the shared view."""
        self._core.is_serving = self.is_ready()
        self._core.reaches_runners = self.forwarder.reaches_runners
        if self._core.view.builds != self._builds:
            self._builds = self._core.view.builds
            self.origins.load_builds(self._builds)
        routes = self._core.view.routes
        if routes is None or not is_newer(routes.number, self._route_number):
            return
        self._route_number = routes.number
        try:
            table = self._codec.decode(zlib.decompress(routes.body))
        except (ExceptionGroup, zlib.error) as error:
            write_log("routes-unreadable", level="error", reason=str(error))
            return
        self.forwarder.load(table)
        self._scaled_services = frozenset(find_scaling(table))
        write_log("routes-in-force", number=routes.number, routes=len(table.routes))

    def count_nodes(self, now: float) -> int:
        """Return the number of nodes that share a budget, or 0 while it is unknown.

        A node that has just started knows too few others: after a restart of all
        nodes each one would use the whole budget by itself.
        """
        if now < self._started_at + BUDGET_SETTLE_SECONDS:
            return 0
        return self._core.members.known_entry_count()

    async def _ask_permit(self, runner: str, max_wait: float) -> Permit:
        """Ask the node that issues a runner's permits for one."""
        request = f"permit-{self.new_request_id()}"
        event = PermitRequested(request, runner, max_wait)
        permit: Permit = await self._await_result(request, event)
        return permit

    def _measure_loads(self) -> tuple[ServiceLoad, ...]:
        """Return what this node counted of the services whose engines are ordered."""
        loads = self.forwarder.measure_load(self.node_settings.data_centre)
        return tuple(load for load in loads if load.service in self._scaled_services)

    def _estimate_interactive_requests(self) -> float:
        return self._core.members.estimate_streams(self._clock.monotonic())

    def _choose_peer(self, tried: Set[str]) -> Peer | None:
        return choose_peer(self._core.members, tried, self._rng)

    async def _check_reachability(self) -> None:
        while True:
            await asyncio.sleep(REACHABILITY_INTERVAL_SECONDS)
            await self.forwarder.check_reachability()

    async def _poll_runner_list(self) -> None:
        while True:
            nodes = self._core.members.live_entry_count()
            wait = poll_interval(self._poll_limits, nodes) * self._rng.uniform(0.9, 1.0)
            runner_list = await self._list_reader.read()
            if runner_list is None:
                wait *= LIST_RETRY_SHARE
            else:
                added, removed = self.runners.load(runner_list)
                self.forwarder.on_runner_list()
                self.origins.observe(runner_list.runners)
                if added or removed:
                    write_log(
                        "runners-changed", came=",".join(added), went=",".join(removed)
                    )
            await asyncio.sleep(wait)


def choose_peer(
    members: MembershipTable, tried: Set[str], rng: random.Random
) -> Peer | None:
    """Choose a random node that reaches runners, in this data centre first, or None.

    Nodes in `tried` are left out, and so is this one.
    """
    own = members.own
    rows = [
        row
        for row in members.serving()
        if row.reaches_runners and row.node not in tried and row.node != own.node
    ]
    near = [row for row in rows if row.data_centre == own.data_centre] or rows
    row = rng.choice(near) if near else None
    return Peer(row.node, row.caller_address) if row is not None else None
