"""Test who ends a caller's connection around reloads, new routes and a planned stop.

Each request that a runner got must be answered whole. One that no runner got may find
its connection closed, as that tells its caller to send it elsewhere.
"""

import asyncio
import contextlib
import itertools
import random
import re
import signal
from pathlib import Path

import pytest
from southernveil.program import Reloader
from southernveil.settings import read_settings

from hawthornshelf.gateway.node import StopTiming
from tests.southernveil.fakes import FakeRunner, make_manifest
from tests.southernveil.test_path import Fleet, run_scenario

CALLERS = 8
RUN_SECONDS = 1.0
LINGER_SECONDS, GRACE_SECONDS = 0.5, 3.0
ANSWER_SECONDS = 6.0
LENGTH = re.compile(rb"content-length: (\d+)\r\n", re.IGNORECASE)


class SlowRunner:
    """Let a fake runner take some time for each request."""

    def __init__(self, runner: FakeRunner, rng: random.Random) -> None:
        self._handle = runner.handle
        self._rng = rng
        runner.handle = self.handle  # type: ignore[method-assign]
        runner._protocol.request_handler = self.handle  # type: ignore[assignment]

    async def handle(self, request):  # type: ignore[no-untyped-def]
        response = await self._handle(request)
        await asyncio.sleep(self._rng.choice([0.0, 0.01, 0.1, 0.4]))
        return response


class KeptCaller:
    """Send requests on one kept connection after another, until the node is gone."""

    def __init__(self, fleet: Fleet, number: int, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._numbers = (f"c{number}-{n}" for n in itertools.count())
        self.answers: dict[str, int] = {}
        self.unanswered: list[str] = []

    async def run(self) -> None:
        """Send until no connection can be made any more."""
        host, _, port = self._fleet.caller_address.partition(":")
        while True:
            try:
                streams = await asyncio.open_connection(host, int(port))
            except OSError:
                return
            with contextlib.suppress(OSError):
                await self._use(*streams)
            streams[1].close()

    async def _use(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            names = [next(self._numbers) for _ in range(self._rng.choice([1, 1, 2]))]
            self.unanswered += names
            data = b"".join(self._make(name) for name in names)
            cut = self._rng.choice([len(data), self._rng.randrange(len(data))])
            writer.write(data[:cut])
            await writer.drain()
            await asyncio.sleep(self._rng.choice([0.0, 0.0, 0.02]))
            writer.write(data[cut:])
            for name in names:
                if not await self._read(reader, name):
                    return
            await asyncio.sleep(self._rng.choice([0.0, 0.05, 0.2]))

    def _make(self, name: str) -> bytes:
        path = self._rng.choice(["/safe/", "/unsafe/"])
        head = (
            f"POST {path}{name} HTTP/1.1\r\nHost: ficu95.example\r\n"
            f"X-Request-Id: {name}\r\nX-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\n"
        )
        return head.encode() + b"hello"

    async def _read(self, reader: asyncio.StreamReader, name: str) -> bool:
        """Read one answer; return whether the connection may be used again."""
        async with asyncio.timeout(ANSWER_SECONDS):
            try:
                head = await reader.readuntil(b"\r\n\r\n")
                length = LENGTH.search(head)
                assert length is not None, head
                await reader.readexactly(int(length.group(1)))
            except (asyncio.IncompleteReadError, OSError):
                return False
        self.unanswered.remove(name)
        self.answers[name] = int(head.split()[1])
        return b"connection: close" not in head.lower()


async def change_things(fleet: Fleet, folder: Path, rng: random.Random) -> None:
    """Reload the settings and send new routes, in turn and at once."""
    path = folder / "entry-127.0.0.1.toml"
    reload = Reloader(path, fleet.entry.node, read_settings(path))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, reload)
    for version in itertools.count(5):
        if rng.random() < 0.7:
            signal.raise_signal(signal.SIGUSR1)
        routes = make_manifest(version, Limits={"IdleTimeoutMs": 4000 + version})
        if rng.random() < 0.7:
            await fleet.replace(routes)
        await asyncio.sleep(rng.choice([0.0, 0.1, 0.3]))


@pytest.mark.parametrize("seed", range(4))
def test_a_request_that_was_passed_on_ends_without_an_answer_around_planned_work(
    tmp_path: Path, seed: int
) -> None:
    rng = random.Random(seed)

    async def scenario(fleet: Fleet) -> None:
        SlowRunner(fleet.app, rng)
        callers = [
            KeptCaller(fleet, n, random.Random(f"{seed}/{n}")) for n in range(CALLERS)
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        changes = asyncio.create_task(change_things(fleet, tmp_path, rng))
        await asyncio.sleep(RUN_SECONDS)
        timing = StopTiming(LINGER_SECONDS, GRACE_SECONDS)
        await fleet.entry.node.drain(timing)
        caller_server = fleet.entry._servers[0]
        caller_server.close()
        await fleet.entry.node.finish(timing.grace - timing.linger)
        await asyncio.gather(*tasks)
        changes.cancel()
        passed_on = {request["X-Request-Id"] for request in fleet.app.received}
        unanswered = {name for caller in callers for name in caller.unanswered}
        answers = [status for caller in callers for status in caller.answers.values()]
        assert unanswered & passed_on == set()
        assert set(answers) <= {200, 503}
        assert answers.count(200) > CALLERS
        refused = {
            n for c in callers for n, status in c.answers.items() if status != 200
        }
        assert refused & passed_on == set()

    run_scenario(tmp_path, scenario)


def test_the_timer_of_an_idle_connection_ends_a_request_that_has_just_come(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("southernveil.servers.KEEP_ALIVE_SECONDS", 0.05)
    rng = random.Random(1)

    async def scenario(fleet: Fleet) -> None:
        SlowRunner(fleet.app, rng)
        callers = [KeptCaller(fleet, n, random.Random(n)) for n in range(CALLERS)]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(RUN_SECONDS)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        in_flight = {name for caller in callers for name in caller.unanswered[-2:]}
        unanswered = {name for caller in callers for name in caller.unanswered}
        passed_on = {request["X-Request-Id"] for request in fleet.app.received}
        assert (unanswered - in_flight) & passed_on == set()
        assert sum(len(caller.answers) for caller in callers) > CALLERS

    run_scenario(tmp_path, scenario)
