"""Check the whole path through the adapter, over real sockets on loopback."""

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
from tests.southernveil.fakes import (
    ENGINE_SERVICE,
    FakeRunner,
    FakeRunnerList,
    free_ports,
    make_manifest,
    make_settings,
)

TURN_SECONDS = 0.02
HOST = "ficu95.example"
LONG = {"X-Token-Counts": "9000,2", "X-Prompt-Prefix": "5c1e:6000,91bd:3000"}
SHORT = {"X-Token-Counts": "200,20", "X-Prompt-Prefix": "5c1e:100,91bd:100"}


@dataclass
class Fleet:
    """Hold one control node, one entry node and three runners."""

    client: aiohttp.ClientSession
    control: ControlProcess
    entry: EntryProcess
    cloud: FakeRunnerList
    app: FakeRunner
    reader: FakeRunner
    decoders: tuple[FakeRunner, FakeRunner]
    front: str
    ready: str
    operator: str
    directory: str

    async def replace(self, manifest: dict[str, object]) -> int:
        url = f"http://{self.operator}/hawthornshelf/Config.Replace"
        async with self.client.post(url, data=msgspec.json.encode(manifest)) as answer:
            await answer.read()
            return answer.status

    async def ask(
        self, path: str, body: bytes = b"in", **headers: str
    ) -> tuple[int, bytes, Mapping[str, str]]:
        all_headers = {
            "Host": HOST,
            "X-Request-Id": f"id-{path}",
            "X-Deadline-Ms": "3000",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        url = f"http://{self.front}{path}"
        async with self.client.post(url, data=body, headers=all_headers) as answer:
            return answer.status, await answer.read(), answer.headers

    async def get(self, address: str, path: str) -> tuple[int, bytes]:
        async with self.client.get(f"http://{address}{path}") as answer:
            return answer.status, await answer.read()

    async def until(self, check: Callable[[], Awaitable[bool]]) -> None:
        while not await check():
            await asyncio.sleep(TURN_SECONDS)

    async def is_ready(self) -> bool:
        return (await self.get(self.ready, "/hawthornshelf/readyz"))[0] == 200


@contextlib.asynccontextmanager
async def running(folder: Path) -> AsyncIterator[Fleet]:
    clock = SystemClock()
    app = FakeRunner(name="i-app")
    reader = FakeRunner(name="i-p", service=ENGINE_SERVICE, stage="prefill")
    decoders = (
        FakeRunner(name="i-d1", service=ENGINE_SERVICE, stage="decode"),
        FakeRunner(name="i-d2", service=ENGINE_SERVICE, stage="decode"),
    )
    cloud = FakeRunnerList()
    for server in (app, reader, *decoders, cloud):
        await server.start()
    cloud.entries = [
        app.entry(),
        "an entry of another writer",
        {"Id": 7},
        reader.entry(),
        *(decoder.entry() for decoder in decoders),
    ]
    ports = free_ports(5)
    ip = "127.0.0.1"
    control = ControlProcess(
        make_settings(folder, ip, "control", ports, cloud.address), clock
    )
    entry = EntryProcess(
        make_settings(folder, ip, "entry", ports, cloud.address), clock
    )
    await control.start()
    await entry.start()
    front, ready, operator, directory = (f"{ip}:{port}" for port in ports[:4])
    async with aiohttp.ClientSession() as client:
        yield Fleet(
            client,
            control,
            entry,
            cloud,
            app,
            reader,
            decoders,
            front,
            ready,
            operator,
            directory,
        )
        await entry.stop(StopTiming(0.0, 1.0))
        await control.stop()
    for server in (app, reader, *decoders, cloud):
        server.stop()


def play(folder: Path, story: Callable[[Fleet], Awaitable[None]]) -> None:
    async def run() -> None:
        async with running(folder) as fleet:
            assert not await fleet.is_ready()
            assert (await fleet.ask("/safe/x"))[0] == 503
            while await fleet.replace(make_manifest(4)) != 200:
                await asyncio.sleep(TURN_SECONDS)
            await fleet.until(fleet.is_ready)
            await story(fleet)

    asyncio.run(run())


def test_every_kind_of_request_is_served(tmp_path: Path) -> None:
    async def story(fleet: Fleet) -> None:
        status, body, headers = await fleet.ask("/safe/a%2Fb?q=1&r=%20")
        assert (status, body) == (200, b"whole in")
        assert headers["X-Answer-Stamp"] == "stamp.i-app"
        assert headers["X-Request-Id"] == "id-/safe/a%2Fb?q=1&r=%20"
        assert fleet.app.seen[-1][":path"] == "/safe/a%2Fb?q=1&r=%20"
        assert (await fleet.ask("/unsafe/x", b"charge"))[1] == b"whole charge"
        status, body, headers = await fleet.ask("/read/x", **LONG)
        assert status == 200 and body.count(b"\n\n") == 3
        assert headers["X-Answer-Stamp"].startswith("stamp.i-d")
        assert (await fleet.ask("/t/x", **SHORT))[1].count(b"\n\n") == 3
        assert (await fleet.ask("/gone/x"))[0] == 404

    play(tmp_path, story)


def test_runners_get_the_systems_headers_and_never_the_consumers(
    tmp_path: Path,
) -> None:
    async def story(fleet: Fleet) -> None:
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
        seen = [seen for decoder in fleet.decoders for seen in decoder.seen][-1]
        dropped = ("X-Kv-Source", "X-Kv-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-Fetch")
        assert not [name for name in (*dropped, "X-Stage", "X-Hop") if name in seen]
        assert seen["X-Expect-Instance"] in ("i-d1", "i-d2")
        assert seen["X-Own"] == "kept"
        assert seen["X-Token-Counts"] == SHORT["X-Token-Counts"]
        assert 0 < int(seen["X-Deadline-Ms"]) <= 3000

    play(tmp_path, story)


def test_a_broken_stream_is_resumed_without_gap_or_repeat(tmp_path: Path) -> None:
    async def story(fleet: Fleet) -> None:
        status, body, _ = await fleet.ask("/t/breaks", **SHORT)
        assert status == 200
        assert body == b"".join(b"id: %d\ndata: x\n\n" % n for n in (1, 2, 3))

    play(tmp_path, story)


def test_a_broken_stream_that_may_not_resume_is_cut(tmp_path: Path) -> None:
    async def story(fleet: Fleet) -> None:
        with pytest.raises(aiohttp.ClientPayloadError):
            await fleet.ask("/read/breaks", **SHORT)

    play(tmp_path, story)


def test_a_run_that_broke_goes_on_where_a_copy_of_its_memory_is(
    tmp_path: Path,
) -> None:
    async def story(fleet: Fleet) -> None:
        for decoder in fleet.decoders:
            decoder.copies.add(f"{decoder.address}/id-/read/breaks")
        status, body, headers = await fleet.ask("/read/breaks", **SHORT)
        assert status == 200
        assert body == b"".join(b"id: %d\ndata: x\n\n" % n for n in (1, 2, 3))
        first, second = (decoder.seen[-1] for decoder in fleet.decoders)
        if "X-Kv-Source" in first:
            first, second = second, first
        assert second["X-Kv-Source"].startswith(first["X-Kv-Backup"] + "/")
        assert second["Last-Event-Id"] == "2"
        assert "X-Kv-Backup" not in second

    play(tmp_path, story)


def test_a_consumer_that_leaves_ends_the_work_at_the_runner(tmp_path: Path) -> None:
    async def story(fleet: Fleet) -> None:
        task = asyncio.create_task(fleet.ask("/unsafe/hang"))

        async def runs() -> bool:
            return bool(fleet.app.seen)

        await fleet.until(runs)
        task.cancel()
        await fleet.app.gone.wait()

    play(tmp_path, story)


def test_an_engines_report_tells_its_load(tmp_path: Path) -> None:
    async def story(fleet: Fleet) -> None:
        engine = Runner("i-d1", ENGINE_SERVICE, fleet.decoders[0].address, "z", 6)
        session = make_session()
        runners = HttpRunnerClient(session)
        assert await runners.read_load(engine) == EngineLoad(12, 1)
        with pytest.raises(AttemptFailed):
            await runners.read_load(engine._replace(address=fleet.cloud.address))
        await session.close()

    play(tmp_path, story)


def test_manifests_are_kept_to_the_byte_and_bad_ones_change_nothing(
    tmp_path: Path,
) -> None:
    async def story(fleet: Fleet) -> None:
        held = msgspec.json.encode(make_manifest(4))
        path = "/hawthornshelf/Config.Get"
        assert await fleet.get(fleet.operator, path) == (200, held)
        assert await fleet.replace(make_manifest(3)) == 200
        assert await fleet.replace(make_manifest(4, Routes=[])) == 200
        assert await fleet.get(fleet.operator, path) == (200, held)
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
        assert await fleet.get(fleet.operator, path) == (200, held)
        assert await fleet.replace(make_manifest(5, Routes=routes[:1])) == 200

        async def dropped() -> bool:
            return (await fleet.ask("/unsafe/x"))[0] == 404

        await fleet.until(dropped)

    play(tmp_path, story)


def test_consumers_are_told_where_to_connect_until_the_node_leaves(
    tmp_path: Path,
) -> None:
    async def story(fleet: Fleet) -> None:
        path = f"/hawthornshelf/resolve?Name={HOST}&Region=z&Zone=z-a"

        async def is_listed() -> bool:
            return (await fleet.get(fleet.directory, path))[0] == 200

        await fleet.until(is_listed)
        answer = msgspec.json.decode((await fleet.get(fleet.directory, path))[1])
        assert answer == {"Addresses": [fleet.front], "TtlS": 2}
        leaving = asyncio.create_task(fleet.entry.node.drain(StopTiming(0.2, 1.0)))
        await fleet.until(lambda: _not(is_listed()))
        assert not await fleet.is_ready()
        status, _, headers = await fleet.ask("/safe/x")
        assert status == 200 and headers["Connection"] == "close"
        await leaving

    play(tmp_path, story)


async def _not(check: Awaitable[bool]) -> bool:
    return not await check


def test_a_kept_connection_is_sent_elsewhere_once_a_node_stops(tmp_path: Path) -> None:
    """Answer a consumer that comes back after the linger on a connection it kept."""

    async def story(fleet: Fleet) -> None:
        assert (await fleet.ask("/safe/x"))[0] == 200
        await fleet.entry.node.drain(StopTiming(0.0, 1.0))
        seen = len(fleet.app.seen)
        status, _, headers = await fleet.ask("/safe/x")
        assert status == 503 and headers["Connection"] == "close"
        assert float(headers["Retry-After"]) > 0
        assert len(fleet.app.seen) == seen

    play(tmp_path, story)


def test_a_runner_that_leaves_gets_no_new_work(tmp_path: Path) -> None:
    async def story(fleet: Fleet) -> None:
        fleet.cloud.entries = [fleet.app.entry("draining")]

        async def is_refused() -> bool:
            status, _, headers = await fleet.ask("/safe/x")
            return status == 503 and float(headers["Retry-After"]) > 0

        await fleet.until(is_refused)

    play(tmp_path, story)
