"""Check an entry and a control process end to end, over loopback sockets."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import msgspec
import pytest
from southernveil.program import ControlProcess, EntryProcess
from southernveil.runnerclient import HttpRunnerClient, make_session

from hawthornshelf.clock import SystemClock
from hawthornshelf.gateway.exchange import AttemptFailed, EngineLoad
from hawthornshelf.gateway.node import StopTiming
from hawthornshelf.gateway.runners import Runner
from tests.ports import free_ports
from tests.southernveil.fakes import (
    ENGINE_SERVICE,
    FakeRunner,
    FakeRunnerList,
    make_manifest,
    make_settings,
)

POLL_SECONDS = 0.02
HOST = "ficu95.example"
LONG = {"X-Token-Counts": "9000,2", "X-Prompt-Prefix": "5c1e:6000,91bd:3000"}
SHORT = {"X-Token-Counts": "200,20", "X-Prompt-Prefix": "5c1e:100,91bd:100"}


@dataclass
class Fleet:
    """Connect a client to one control node, one entry node and four fake runners."""

    client: aiohttp.ClientSession
    control: ControlProcess
    entry: EntryProcess
    runner_list: FakeRunnerList
    app: FakeRunner
    prefiller: FakeRunner
    decoders: tuple[FakeRunner, FakeRunner]
    caller_address: str
    ready_address: str
    operator_address: str
    directory_address: str

    async def replace(self, manifest: dict[str, object]) -> int:
        url = f"http://{self.operator_address}/hawthornshelf/Config.Replace"
        async with self.client.post(
            url, data=msgspec.json.encode(manifest)
        ) as response:
            await response.read()
            return response.status

    async def ask(
        self, path: str, body: bytes = b"in", **headers: str
    ) -> tuple[int, bytes, Mapping[str, str]]:
        all_headers = {
            "Host": HOST,
            "X-Request-Id": f"id-{path}",
            "X-Deadline-Ms": "3000",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        url = f"http://{self.caller_address}{path}"
        async with self.client.post(url, data=body, headers=all_headers) as response:
            return response.status, await response.read(), response.headers

    async def get(self, address: str, path: str) -> tuple[int, bytes]:
        async with self.client.get(f"http://{address}{path}") as response:
            return response.status, await response.read()

    async def wait_until(self, check: Callable[[], Awaitable[bool]]) -> None:
        while not await check():
            await asyncio.sleep(POLL_SECONDS)

    async def is_ready(self) -> bool:
        return (await self.get(self.ready_address, "/hawthornshelf/readyz"))[0] == 200


@contextlib.asynccontextmanager
async def run_fleet(folder: Path) -> AsyncIterator[Fleet]:
    clock = SystemClock()
    app = FakeRunner(name="i-app")
    prefiller = FakeRunner(name="i-p", service=ENGINE_SERVICE, stage="prefill")
    decoders = (
        FakeRunner(name="i-d1", service=ENGINE_SERVICE, stage="decode"),
        FakeRunner(name="i-d2", service=ENGINE_SERVICE, stage="decode"),
    )
    runner_list = FakeRunnerList()
    for server in (app, prefiller, *decoders, runner_list):
        await server.start()
    runner_list.entries = [
        app.entry(),
        "an entry of another writer",
        {"Id": 7},
        prefiller.entry(),
        *(decoder.entry() for decoder in decoders),
    ]
    ports = free_ports(5)
    ip = "127.0.0.1"
    control = ControlProcess(
        make_settings(folder, ip, "control", ports, runner_list.address), clock
    )
    entry = EntryProcess(
        make_settings(folder, ip, "entry", ports, runner_list.address), clock
    )
    await control.start()
    await entry.start()
    caller_address, ready_address, operator_address, directory_address = (
        f"{ip}:{port}" for port in ports[:4]
    )
    async with aiohttp.ClientSession() as client:
        try:
            yield Fleet(
                client,
                control,
                entry,
                runner_list,
                app,
                prefiller,
                decoders,
                caller_address,
                ready_address,
                operator_address,
                directory_address,
            )
        finally:
            await entry.stop(StopTiming(0.0, 1.0))
            await control.stop()
            for server in (app, prefiller, *decoders, runner_list):
                server.stop()


def run_scenario(
    folder: Path,
    scenario: Callable[[Fleet], Awaitable[None]],
    loop_factory: Callable[[], asyncio.AbstractEventLoop] | None = None,
) -> None:
    async def run() -> None:
        async with run_fleet(folder) as fleet:
            assert not await fleet.is_ready()
            assert (await fleet.ask("/safe/x"))[0] == 503
            while await fleet.replace(make_manifest(4)) != 200:
                await asyncio.sleep(POLL_SECONDS)
            await fleet.wait_until(fleet.is_ready)
            await scenario(fleet)

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(run())


def test_every_kind_of_request_is_served(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        status, body, headers = await fleet.ask("/safe/a%2Fb?q=1&r=%20")
        assert (status, body) == (200, b"whole in")
        assert headers["X-Answer-Stamp"] == "stamp.i-app"
        assert headers["X-Request-Id"] == "id-/safe/a%2Fb?q=1&r=%20"
        assert fleet.app.received[-1][":path"] == "/safe/a%2Fb?q=1&r=%20"
        assert (await fleet.ask("/unsafe/x", b"charge"))[1] == b"whole charge"
        status, body, headers = await fleet.ask("/read/x", **LONG)
        assert status == 200 and body.count(b"\n\n") == 3
        assert headers["X-Answer-Stamp"].startswith("stamp.i-d")
        assert (await fleet.ask("/t/x", **SHORT))[1].count(b"\n\n") == 3
        assert (await fleet.ask("/gone/x"))[0] == 404

    run_scenario(tmp_path, scenario)


def test_runners_get_the_gateways_headers_and_never_the_callers(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: Fleet) -> None:
        forged = {
            "X-Kv-Source": "10.0.0.1:1/ff",
            "X-Kv-Hold": "1",
            "X-Pin-Ms": "9",
            "X-Kv-Backup": "10.0.0.1:1",
            "Kv-Fetch": "10.0.0.1:1",
            "X-Stage": "prefill",
            "X-Expect-Instance": "i-other",
            "X-Own": "kept",
            "Connection": "keep-alive, X-Hop",
            "X-Hop": "dropped",
        }
        assert (await fleet.ask("/t/x", **SHORT, **forged))[0] == 200
        received = [
            headers for decoder in fleet.decoders for headers in decoder.received
        ][-1]
        forbidden = ("X-Kv-Source", "X-Kv-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-Fetch")
        assert not [
            name for name in (*forbidden, "X-Stage", "X-Hop") if name in received
        ]
        assert received["X-Expect-Instance"] in ("i-d1", "i-d2")
        assert received["X-Own"] == "kept"
        assert received["X-Token-Counts"] == SHORT["X-Token-Counts"]
        assert 0 < int(received["X-Deadline-Ms"]) <= 3000

    run_scenario(tmp_path, scenario)


def test_a_broken_stream_is_resumed_without_a_gap_or_a_duplicate(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: Fleet) -> None:
        status, body, _ = await fleet.ask("/t/breaks", **SHORT)
        assert status == 200
        assert body == b"".join(b"id: %d\ndata: x\n\n" % n for n in (1, 2, 3))

    run_scenario(tmp_path, scenario)


def test_a_broken_stream_that_may_not_resume_is_cut(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        with pytest.raises(aiohttp.ClientPayloadError):
            await fleet.ask("/read/breaks", **SHORT)

    run_scenario(tmp_path, scenario)


def test_a_broken_decode_resumes_on_the_engine_with_its_kv_cache_backup(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: Fleet) -> None:
        for decoder in fleet.decoders:
            decoder.copies.add(f"{decoder.address}/id-/read/breaks")
        status, body, headers = await fleet.ask("/read/breaks", **SHORT)
        assert status == 200
        assert body == b"".join(b"id: %d\ndata: x\n\n" % n for n in (1, 2, 3))
        first, second = (decoder.received[-1] for decoder in fleet.decoders)
        if "X-Kv-Source" in first:
            first, second = second, first
        assert second["X-Kv-Source"].startswith(first["X-Kv-Backup"] + "/")
        assert second["Last-Event-Id"] == "2"
        assert "X-Kv-Backup" not in second

    run_scenario(tmp_path, scenario)


def test_a_caller_that_disconnects_cancels_its_request_at_the_runner(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: Fleet) -> None:
        task = asyncio.create_task(fleet.ask("/unsafe/hang"))

        async def has_arrived() -> bool:
            return bool(fleet.app.received)

        await fleet.wait_until(has_arrived)
        task.cancel()
        await fleet.app.disconnected.wait()

    run_scenario(tmp_path, scenario)


def test_the_load_of_an_engine_is_read_from_its_report(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        engine = Runner("i-d1", ENGINE_SERVICE, fleet.decoders[0].address, "z", 6)
        session = make_session()
        runners = HttpRunnerClient(session)
        assert await runners.read_load(engine) == EngineLoad(3, 1)
        with pytest.raises(AttemptFailed):
            await runners.read_load(engine._replace(address=fleet.runner_list.address))
        await session.close()

    run_scenario(tmp_path, scenario)


def test_manifests_are_stored_byte_for_byte_and_invalid_ones_are_refused(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: Fleet) -> None:
        manifest = msgspec.json.encode(make_manifest(4))
        path = "/hawthornshelf/Config.Get"
        assert await fleet.get(fleet.operator_address, path) == (200, manifest)
        assert await fleet.replace(make_manifest(3)) == 200
        assert await fleet.replace(make_manifest(4, Routes=[])) == 200
        assert await fleet.get(fleet.operator_address, path) == (200, manifest)
        routes = make_manifest()["Routes"]
        assert isinstance(routes, list)
        for bad in (
            make_manifest(9, Services=[]),
            make_manifest(9, Routes=[*routes, routes[0]]),
            make_manifest(9, Routes=[{**routes[0], "TimeoutMs": 0}]),
            make_manifest(9, Routes=[{**routes[0], "Kind": "new"}]),
            make_manifest(9, Routes="none"),
        ):
            assert await fleet.replace(bad) == 400
        assert await fleet.get(fleet.operator_address, path) == (200, manifest)
        assert await fleet.replace(make_manifest(5, Routes=routes[:1])) == 200

        async def is_route_removed() -> bool:
            return (await fleet.ask("/unsafe/x"))[0] == 404

        await fleet.wait_until(is_route_removed)

    run_scenario(tmp_path, scenario)


def test_the_directory_lists_a_node_until_it_leaves(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: Fleet) -> None:
        path = f"/hawthornshelf/resolve?Name={HOST}&Region=z&Zone=z-a"

        async def is_listed() -> bool:
            return (await fleet.get(fleet.directory_address, path))[0] == 200

        await fleet.wait_until(is_listed)
        response = msgspec.json.decode(
            (await fleet.get(fleet.directory_address, path))[1]
        )
        assert response == {"Addresses": [fleet.caller_address], "TtlS": 2}
        drain = asyncio.create_task(fleet.entry.node.drain(StopTiming(0.2, 1.0)))
        await fleet.wait_until(lambda: _not(is_listed()))
        assert not await fleet.is_ready()
        status, _, headers = await fleet.ask("/safe/x")
        assert status == 200 and headers["Connection"] == "close"
        await drain

    run_scenario(tmp_path, scenario)


async def _not(check: Awaitable[bool]) -> bool:
    return not await check


def test_a_stopped_node_refuses_and_closes_kept_connections(tmp_path: Path) -> None:
    """Check a caller that retries on a kept connection after the linger.

    The stopped node must refuse the request and close the connection; otherwise the
    caller would stay with a node that takes no requests.
    """

    async def scenario(fleet: Fleet) -> None:
        assert (await fleet.ask("/safe/x"))[0] == 200
        await fleet.entry.node.drain(StopTiming(0.0, 1.0))
        count = len(fleet.app.received)
        status, _, headers = await fleet.ask("/safe/x")
        assert status == 503 and headers["Connection"] == "close"
        assert float(headers["Retry-After"]) > 0
        assert len(fleet.app.received) == count

    run_scenario(tmp_path, scenario)


def test_a_request_that_outlasts_a_planned_stop_gets_an_answer(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        task = asyncio.create_task(fleet.ask("/unsafe/hang"))

        async def has_arrived() -> bool:
            return bool(fleet.app.received)

        await fleet.wait_until(has_arrived)
        await fleet.entry.node.drain(StopTiming(0.0, 0.2))
        await fleet.entry.node.finish(0.2)
        assert fleet.entry.node.forwarder.open_requests == 0
        assert (await task)[0] == 504

    run_scenario(tmp_path, scenario)


def test_a_draining_runner_gets_no_new_requests(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.runner_list.entries = [fleet.app.entry("draining")]

        async def is_refused() -> bool:
            status, _, headers = await fleet.ask("/safe/x")
            return status == 503 and float(headers["Retry-After"]) > 0

        await fleet.wait_until(is_refused)

    run_scenario(tmp_path, scenario)
