"""Let an entry with missing fields name an engine that has a sound entry too."""

import asyncio
import contextlib
import json
import random
import sys
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import web

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit2 import (  # noqa: E402
    HOST,
    TROUBLE,
    ZONES,
    Deployment,
    Record,
    Runner,
    deploy,
    make_manifest,
    run_case,
)

ENGINE_SERVICE = "wuno96b"
ENGINE = {
    "Slots": 48,
    "KvTokens": 305000,
    "KvBytes": 131072,
    "LinkMbps": 4400000.0,
    "Moves": True,
    "Backups": True,
    "Stride": 59,
    "most": 12,
    "HandleTtlS": 5.0,
    "SwitchS": 3.0,
    "PinMs": 4000.0,
    "HoldMs": 2000.0,
    "Models": [{"Name": "m"}],
}
PROMPT = (
    "X-Model: m",
    "X-Token-Counts: 141,90",
    "X-Prompt-Prefix: 5c1e07a2:50,91bd3f06:30,e4402b7d:61",
)
SECONDS = 14.0
STREAMS_PER_SECOND, READS_PER_SECOND = 100.0, 15.0
TIMEOUT_SECONDS = 2.0
"""TimeoutMs of both routes."""

LATE_SECONDS = 0.5
PATIENCE_SECONDS = 4.0
"""X-Deadline-Ms of the consumer, beyond the timeout of the route."""

MIN_UNANSWERED = 8
SETTLED_SECONDS = 4.0


@dataclass
class Engine(Runner):
    """Stream a few events of any request."""

    stage: str = "decode"
    models: list[dict[str, object]] = field(
        default_factory=lambda: [{"Name": "m", "Version": 1, "Adapters": []}]
    )

    def entry(self) -> str:
        """Return the entry of the engine in the list."""
        entry = json.loads(super().entry())
        return json.dumps(
            {**entry, "Slots": 48, "Stage": self.stage, "Models": self.models}
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run a request, or tell the load."""
        async for _ in request.content.iter_any():
            pass
        if request.path == "/hawthornshelf/report":
            report = {"Stage": self.stage, "Models": self.models, "Busy": False}
            counts = {"Seq": 0, "Waiting": 0, "Running": 1, "KvUsed": 9, "KvTotal": 99}
            return web.json_response({**report, **counts, "born": 1_790_000_000_000})
        name = request.headers.get("X-Request-Id", "")
        headers = {"X-Request-Id": name}
        if request.headers.get("X-Expect-Instance", self.name) != self.name:
            return web.Response(status=421, headers=headers)
        if request.method != "POST" or request.path == "/hawthornshelf/kv-move":
            return web.Response(status=404)
        self.runs.append(name)
        self.record.note(f"engine {self.name} runs {name}")
        headers["X-Answer-Stamp"] = f"stamp.{self.name}.{name}"
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(1, 5):
            await response.write(b"id: %d\ndata: x\n\n" % number)
            await asyncio.sleep(0.01)
        await response.write_eof()
        return response


@dataclass(frozen=True)
class Outcome:
    """Store the status of a request, 0 for none, and when its answer was whole."""

    path: str
    status: int
    seconds: float


class Consumers:
    """Send requests on new connections to the addresses of each zone."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self._deployment = deployment
        self._record = record
        self._addresses: dict[str, list[str]] = {}
        self.outcomes: list[Outcome] = []
        self._number = 0

    async def send_all(self, seconds: float) -> None:
        """Send streams and reads at their rates, and wait for the answers."""
        for zone in ZONES:
            self._addresses[zone] = await self._deployment.resolve(zone)
        until = self._record.now() + seconds
        tasks = [
            asyncio.create_task(
                self._send_steadily("/read/2f", STREAMS_PER_SECOND, until)
            ),
            asyncio.create_task(
                self._send_steadily("/lohu930/2f", READS_PER_SECOND, until)
            ),
        ]
        await asyncio.gather(*tasks)

    async def _send_steadily(self, path: str, per_second: float, until: float) -> None:
        tasks = []
        while self._record.now() < until:
            tasks.append(asyncio.create_task(self._send(path)))
            await asyncio.sleep(1 / per_second)
        await asyncio.gather(*tasks)

    async def _send(self, path: str) -> None:
        self._number += 1
        name = f"{self._number:016x}"
        address = random.choice(self._addresses[random.choice(ZONES)])
        ip, _, port = address.partition(":")
        prompt = PROMPT if path.startswith("/read/") else ()
        lines = (
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {name}",
            f"X-Deadline-Ms: {int(PATIENCE_SECONDS * 1000)}",
            "Content-Length: 2",
            "Connection: close",
            *prompt,
        )
        began, status = self._record.now(), 0
        with contextlib.suppress(OSError, TimeoutError, IndexError, ValueError):
            async with asyncio.timeout(PATIENCE_SECONDS):
                reader, writer = await asyncio.open_connection(ip, int(port))
                try:
                    writer.write("\r\n".join((*lines, "", "{}")).encode())
                    answer = await reader.read()
                    status = int(answer.split()[1])
                finally:
                    writer.transport.abort()
        seconds = self._record.now() - began
        self.outcomes.append(Outcome(path, status, seconds))
        text = f"consumer {name} to {ip}{path}: status {status} after {seconds:.3f} s"
        self._record.note(text)


def make_manifest_with_engines() -> dict[str, object]:
    """Return a manifest with a streaming route to engines beside the plain ones."""
    manifest = make_manifest(7)
    routes, services = manifest["Routes"], manifest["Services"]
    assert isinstance(routes, list) and isinstance(services, list)
    stream = {"Name": "r-read", "PathPrefix": "/read/", "Kind": "streaming"}
    stream |= {"Service": ENGINE_SERVICE, "Sticky": True, "Resumable": True}
    routes.append({**routes[0], **stream, "TargetGapMs": 150})
    services.append({**services[0], "Name": ENGINE_SERVICE, "Engine": ENGINE})
    return manifest


def make_odd_entry(engine: Engine) -> str:
    """Return the entry of an engine without Version and ColdLeftMs."""
    entry = json.loads(engine.entry())
    del entry["Version"], entry["ColdLeftMs"]
    return json.dumps(entry)


async def case(record: Record) -> bool:
    """Return whether half of the requests past their route's time are answered."""
    async with deploy(record, runners=2) as (deployment, runners):
        engines = [
            Engine(record, name=f"i-e{n}f3a91c", service=ENGINE_SERVICE, zone=ZONES[n])
            for n in range(2)
        ]
        for engine in engines:
            await engine.start()
        sound = [server.entry() for server in (*runners, *engines)]
        deployment.runner_list.texts = list(sound)
        await deployment.start_all()
        await deployment.replace_until_acknowledged(make_manifest_with_engines())
        await deployment.wait_ready()
        await asyncio.sleep(SETTLED_SECONDS)
        if TROUBLE:
            odd = make_odd_entry(engines[1])
            deployment.runner_list.texts.append(odd)
            record.say(f"the list has an entry of another writer: {odd}")
        await asyncio.sleep(SETTLED_SECONDS)
        consumers = Consumers(deployment, record)
        await consumers.send_all(SECONDS)
    for path in ("/read/2f", "/lohu930/2f"):
        own = [o for o in consumers.outcomes if o.path == path]
        statuses = {s: sum(o.status == s for o in own) for s in {o.status for o in own}}
        record.say(f"sent to {path}: {len(own)}, by status: {statuses}")
    late = [
        o for o in consumers.outcomes if not o.status or o.seconds > TIMEOUT_SECONDS
    ]
    limit = TIMEOUT_SECONDS + LATE_SECONDS
    never = [o for o in late if not o.status or o.seconds > limit]
    record.say(f"unanswered at TimeoutMs: {len(late)}, 0.5 s later: {len(never)}")
    return len(late) < MIN_UNANSWERED or len(never) <= len(late) / 2


run_case(str(HERE), case)
