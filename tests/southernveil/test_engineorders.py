"""Order engines with an entry and a control process, over loopback sockets."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
from aiohttp import web
from southernveil.program import ControlProcess, EntryProcess

from hawthornshelf.clock import SystemClock
from hawthornshelf.duties import Duty, DutySettings
from hawthornshelf.gateway.node import StopTiming
from tests.ports import free_ports
from tests.southernveil.fakes import (
    ENGINE_SERVICE,
    FakeRunner,
    FakeRunnerList,
    make_manifest,
    make_settings,
)

DUTIES = DutySettings(frozenset({Duty.ENGINES}), "control-1", lease=0.5)
LIMITS = {"Min": 2, "Max": 2, "BootS": 1.0, "ZonePrices": {"z-a": 1.0}}
WAIT_SECONDS = 15.0
POLL_SECONDS = 0.1


@dataclass
class ScalingList(FakeRunnerList):
    """Serve the list of runners, and start engines as they are ordered."""

    orders: list[dict[str, object]] = field(default_factory=list)
    holders: set[tuple[str, str]] = field(default_factory=set)
    spot_status: int = 200

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != "/scale":
            return await super().handle(request)
        order = json.loads(await request.read())
        headers = request.headers
        self.holders.add((headers["X-Duty-Holder"], headers["X-Fence-Token"]))
        self.orders.append(order)
        if order.get("Spot") and self.spot_status != 200:
            return web.Response(status=self.spot_status)
        self._carry_out(order["Zone"], bool(order.get("Spot")), order["Desired"])
        return web.Response()

    def _carry_out(self, zone: str, is_spot: bool, desired: int) -> None:
        kept = [entry for entry in self.entries if not _is_of(entry, zone, is_spot)]
        number = len(self.orders)
        for index in range(desired):
            name = f"i-{zone}-{is_spot}-{number}-{index}"
            entry = FakeRunner(name=name, service=ENGINE_SERVICE).entry()
            kept.append({**entry, "Address": "127.0.0.1:1", "Spot": is_spot})
        self.entries = kept


def _is_of(entry: object, zone: str, is_spot: bool) -> bool:
    assert isinstance(entry, dict)
    return (entry["Service"], entry["Zone"], bool(entry.get("Spot"))) == (
        ENGINE_SERVICE,
        zone,
        is_spot,
    )


@dataclass
class ScalingFleet:
    """Hold the processes, the platform and a client."""

    control: ControlProcess
    entry: EntryProcess
    platform: ScalingList
    client: aiohttp.ClientSession
    operator_address: str

    async def replace(self, version: int, limits: dict[str, object] | None) -> None:
        service: dict[str, object] = {"Name": ENGINE_SERVICE, "Engine": {"Slots": 8}}
        if limits is not None:
            service["Autoscale"] = limits
        services = [{"Name": "huvo11a"}, service]
        body = json.dumps(make_manifest(version, Services=services)).encode()
        url = f"http://{self.operator_address}/hawthornshelf/Config.Replace"
        while True:
            async with self.client.post(url, data=body) as response:
                if response.status == 200:
                    return
            await asyncio.sleep(POLL_SECONDS)

    async def read_metrics(self) -> tuple[int, str]:
        url = f"http://{self.operator_address}/metrics"
        async with self.client.get(url) as response:
            return response.status, await response.text()

    async def wait_for_orders(self, count: int) -> None:
        async with asyncio.timeout(WAIT_SECONDS):
            while len(self.platform.orders) < count:
                await asyncio.sleep(POLL_SECONDS)


@contextlib.asynccontextmanager
async def run_fleet(folder: Path, duties: DutySettings) -> AsyncIterator[ScalingFleet]:
    clock, ip, ports = SystemClock(), "127.0.0.1", free_ports(5)
    platform = ScalingList(page_size=50)
    await platform.start()
    address = platform.address
    control = ControlProcess(
        make_settings(folder, ip, "control", ports, address)._replace(duties=duties),
        clock,
    )
    entry = EntryProcess(
        make_settings(folder, ip, "entry", ports, address)._replace(duties=duties),
        clock,
    )
    await control.start()
    await entry.start()
    async with aiohttp.ClientSession() as client:
        try:
            yield ScalingFleet(control, entry, platform, client, f"{ip}:{ports[2]}")
        finally:
            await entry.stop(StopTiming(0.0, 1.0))
            await control.stop()
            platform.stop()


def test_the_holder_orders_the_minimum_and_shows_it(tmp_path: Path) -> None:
    async def run() -> None:
        async with run_fleet(tmp_path, DUTIES) as fleet:
            await fleet.replace(4, LIMITS)
            await fleet.wait_for_orders(1)
            await asyncio.sleep(3.0)
            orders = fleet.platform.orders
            assert orders == [{"Service": ENGINE_SERVICE, "Zone": "z-a", "Desired": 2}]
            assert len(fleet.platform.holders) == 1
            status, text = await fleet.read_metrics()
            assert status == 200
            label = f'service="{ENGINE_SERVICE}"'
            rows = [line for line in text.splitlines() if label in line]
            other = [line for line in rows if 'kind="other"' in line]
            assert {line.split("{")[0]: line.split()[-1] for line in other} == {
                "hawthornshelf_engines_desired": "2.0",
                "hawthornshelf_engines_ordered": "2.0",
                "hawthornshelf_engines_present": "2.0",
            }

    asyncio.run(run())


def test_spot_engines_that_are_not_to_be_had_are_replaced(tmp_path: Path) -> None:
    limits = {**LIMITS, "Min": 3, "Max": 3}

    async def run() -> None:
        async with run_fleet(tmp_path, DUTIES) as fleet:
            fleet.platform.spot_status = 409
            await fleet.replace(4, limits)
            async with asyncio.timeout(WAIT_SECONDS):
                while len(fleet.platform.entries) < 3:
                    await asyncio.sleep(POLL_SECONDS)
            spot = [order for order in fleet.platform.orders if order.get("Spot")]
            assert spot[0]["Desired"] == 1
            assert not any(e.get("Spot") for e in fleet.platform.entries)

    asyncio.run(run())


def test_nothing_is_ordered_without_the_duty_or_limits(tmp_path: Path) -> None:
    async def run(duties: DutySettings, limits: dict[str, object] | None) -> int:
        folder = tmp_path / str(len(duties.duties))
        folder.mkdir()
        async with run_fleet(folder, duties) as fleet:
            await fleet.replace(4, limits)
            await asyncio.sleep(4.0)
            assert fleet.platform.orders == []
            return (await fleet.read_metrics())[0]

    assert asyncio.run(run(DutySettings(), LIMITS)) == 404
    assert asyncio.run(run(DUTIES, None)) == 200
