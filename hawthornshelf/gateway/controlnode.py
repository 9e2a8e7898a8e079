"""Run nodes that store route documents and perform the duties of the group."""

import asyncio
import contextlib
import random
import zlib

from hawthornshelf.clock import Clock
from hawthornshelf.commands import ReadRoutes, ReplaceRoutes, RoutesInForce
from hawthornshelf.duties import Duty
from hawthornshelf.effects import CallPlatform, Effect
from hawthornshelf.events import ScalingLoaded, ServiceScaling, StopRequested
from hawthornshelf.gateway.contract import DutyClient, RouteCodec, RunnerSource
from hawthornshelf.gateway.dutycalls import DutyCaller
from hawthornshelf.gateway.enginelister import EngineLister
from hawthornshelf.gateway.fleetgauges import make_fleet_gauges
from hawthornshelf.gateway.routes import find_scaling, is_newer
from hawthornshelf.logs import write_log
from hawthornshelf.metrics import LabelledGauge, Metrics
from hawthornshelf.node import NodeSettings
from hawthornshelf.nodeshell import NodeShell, PeerSettings, keep_running
from hawthornshelf.peertransport import Transport
from hawthornshelf.storage import DiskStorage

__all__ = ["ControlNode"]

COMMAND_TIMEOUT_SECONDS = 3.0
"""Time limit of an operator's call, after which the operator is told to retry."""

LEAVING_POLL_SECONDS = 0.05


class ControlNode(NodeShell):
    """Run a control node: a replica of the group that serves operators' calls."""

    def __init__(
        self,
        settings: NodeSettings,
        peer: PeerSettings,
        storage: DiskStorage | None,
        clock: Clock,
        rng: random.Random,
        codec: RouteCodec,
        transport: Transport | None = None,
        duty_client: DutyClient | None = None,
        source: RunnerSource | None = None,
    ) -> None:
        super().__init__(
            settings,
            peer,
            storage,
            clock,
            rng,
            recovers_storage=True,
            transport=transport,
        )
        self._codec = codec
        self._duty_caller = DutyCaller(duty_client, self.post)
        self._route_number: int | None = None
        self._source = source
        self.metrics = Metrics()

    def perform_effect(self, effect: Effect) -> None:
        """Start a call to the platform."""
        if isinstance(effect, CallPlatform):
            self._duty_caller.start(effect)

    @property
    def orders_engines(self) -> bool:
        """Return whether this node may hold the duty to order engines."""
        return Duty.ENGINES in self.node_settings.duties.duties

    def fleet_gauges(self) -> list[LabelledGauge]:
        """Return what this node knows of the fleets, none unless it holds the duty."""
        control = self._core.control
        if control is None or not self._holds_engine_duty():
            return []
        return list(make_fleet_gauges(control.fleet.gauges(control.state)))

    async def start_peers(self) -> None:
        """Start what all nodes do, and to read the list of engines if that is due."""
        await super().start_peers()
        if self.orders_engines and self._source is not None:
            lister = EngineLister(self._source, self._holds_engine_duty, self.post)
            self._tasks.append(asyncio.create_task(keep_running(lister.run)))

    def on_step(self) -> None:
        """Apply what the duties need of a newer route document."""
        routes, control = self._core.view.routes, self._core.control
        if routes is None or not self.node_settings.duties.duties:
            return
        lacks_scaling = (
            control is not None
            and control.fleet.is_on
            and is_newer(routes.number, control.fleet.scaling_number)
        )
        if not is_newer(routes.number, self._route_number) and not lacks_scaling:
            return
        self._route_number = routes.number
        services: tuple[ServiceScaling, ...] = ()
        try:
            table = self._codec.decode(zlib.decompress(routes.body))
        except (ExceptionGroup, zlib.error) as error:
            write_log("routes-unreadable", level="error", reason=str(error))
        else:
            self._core.has_workspaces = table.workspaces is not None
            limits = find_scaling(table)
            services = tuple(ServiceScaling(*item) for item in sorted(limits.items()))
        if lacks_scaling:
            self.post(ScalingLoaded(routes.number, services))

    def _holds_engine_duty(self) -> bool:
        control = self._core.control
        return control is not None and control.orders_engines(self._clock.monotonic())

    async def stop_peers(self) -> None:
        """Stop the calls to the platform, and all that other nodes need."""
        await self._duty_caller.stop()
        await super().stop_peers()

    async def replace_routes(self, body: bytes) -> RoutesInForce | None:
        """Commit a route document; return None if it may or may not be committed.

        Raises an ExceptionGroup of DeclarationError if the document is invalid.
        """
        number = self._codec.decode(body).number
        assert number is not None, "a document has a number"
        result = await self._run(ReplaceRoutes(number, zlib.compress(body)))
        write_log(
            "routes-replaced",
            number=number,
            in_force="unknown" if result is None else result.number,
            known=bool(result),
            bytes=len(body),
        )
        return result

    async def read_routes(self) -> RoutesInForce | None:
        """Return the newest route document, None if there is none or it isn't known."""
        result = await self._run(ReadRoutes())
        if result is None:
            return None
        return RoutesInForce(result.number, zlib.decompress(result.body))

    async def leave(self) -> None:
        """Announce that this node leaves, and hand over its leadership and vote."""
        self.post(StopRequested())
        await asyncio.sleep(LEAVING_POLL_SECONDS)
        while not self._core.has_left(self._clock.monotonic()):
            await asyncio.sleep(LEAVING_POLL_SECONDS)

    async def _run(self, command: ReplaceRoutes | ReadRoutes) -> RoutesInForce | None:
        with contextlib.suppress(TimeoutError):
            result = await asyncio.wait_for(
                self.run_command(command), COMMAND_TIMEOUT_SECONDS
            )
            if isinstance(result, RoutesInForce) and not result.is_absent:
                return result
        write_log("command-unanswered", command=type(command).__name__)
        return None
