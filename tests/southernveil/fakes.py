"""Fake the platform: its list of runners, its runners, settings and manifests."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import web
from southernveil.settings import PlatformSettings, read_settings

from tests.ports import free_ports

__all__ = [
    "CrashingRunner",
    "FakeRunner",
    "FakeRunnerList",
    "make_manifest",
    "make_settings",
]

PLAIN_SERVICE, ENGINE_SERVICE = "huvo11a", "wuno96b"


def make_settings(
    folder: Path,
    ip: str,
    role: str,
    ports: list[int],
    list_address: str,
    seeds: tuple[str, ...] = ("127.0.0.1",),
) -> PlatformSettings:
    """Write a settings file in the platform's format, and return the settings read.

    `seeds` are the addresses of the control nodes, most of which may be lost.
    """
    front, ready, control, directory, first_peer_port = ports
    seed_addresses = json.dumps([f"{seed}:{control}" for seed in seeds])
    text = f'''
NodeName = "front-{ip}"
Role = "{role}"
MachineClass = "front"
Ip = "{ip}"
Zone = "z-a"
Region = "z"
PortRange = [{first_peer_port},{first_peer_port + 15}]
Seeds = {seed_addresses}
Bootstrap = true
DataDir = "{folder / ip}"
Unknown = "a field of a later version"
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
Control = "{ip}:{control}"
Directory = "{ip}:{directory}"
[FaultTolerance]
Machines = {(len(seeds) - 1) // 2}
[Bounds]
RetryRatio = 0.2
RetrySlack = 60
BudgetWindowS = 10
GraceS = 8
[Cloud]
Address = "{list_address}"
RatePerS = 42.0
'''
    path = folder / f"{role}-{ip}.toml"
    path.write_text(text)
    return read_settings(path)


def make_manifest(version: int = 1, **changes: object) -> dict[str, object]:
    """Return a manifest with a route of each kind; `changes` replace its fields."""
    route = {
        "Host": "ficu95.example",
        "TimeoutMs": 3000,
        "SloMs": 1000,
        "Priority": 1,
        "MaxAttempts": 2,
        "Sticky": False,
        "Resumable": False,
        "Service": PLAIN_SERVICE,
    }
    engine = {"Service": ENGINE_SERVICE, "Kind": "streaming", "Sticky": True}
    profile = {"Slots": 48, "KvTokens": 305000, "Moves": True, "Backups": True}
    manifest: dict[str, object] = {
        "Version": version,
        "Routes": [
            {**route, "Name": "s", "PathPrefix": "/safe/", "Kind": "safe"},
            {**route, "Name": "u", "PathPrefix": "/unsafe/", "Kind": "unsafe"},
            {**route, **engine, "Name": "r", "PathPrefix": "/read/"},
            {**route, **engine, "Name": "t", "PathPrefix": "/t/", "Resumable": True},
        ],
        "Services": [
            {"Name": PLAIN_SERVICE, "HealthPath": "/healthz", "MaxConnections": 130},
            {"Name": ENGINE_SERVICE, "Engine": profile},
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }
    manifest.update(changes)
    return manifest


Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@dataclass
class _FakeServer:
    """Serve HTTP on a free port of the loopback address."""

    address: str = ""
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        port = free_ports(1)[0]
        await self._listen(port)
        self.address = f"127.0.0.1:{port}"

    async def _listen(self, port: int) -> None:
        self._protocol = web.Server(self.handle, handler_cancellation=True)
        self._server = await asyncio.get_running_loop().create_server(
            self._protocol, "127.0.0.1", port
        )

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        raise NotImplementedError(type(self).__name__)


@dataclass
class FakeRunnerList(_FakeServer):
    """Serve the list of runners, by default one entry per page."""

    entries: list[object] = field(default_factory=list)
    page_size: int = 1

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        index = int(request.query.get("PageToken", "p-0").removeprefix("p-"))
        end = index + self.page_size
        page = {
            "Instances": self.entries[index:end],
            "Next": f"p-{end}" if end < len(self.entries) else None,
        }
        return web.Response(body=json.dumps(page).encode())


@dataclass
class FakeRunner(_FakeServer):
    """Respond to requests, and record their headers and bodies.

    `copies` are the KV cache handles, apart from its own, that the runner accepts;
    `rate_limit` is what its answers name, if anything; `disconnected` is set when a
    caller closes the connection of a hanging request. `heads` are the headers of all
    calls as they came, also of those that are no request of a caller.
    """

    name: str = "i-1"
    service: str = PLAIN_SERVICE
    stage: str = ""
    received: list[dict[str, str]] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    disconnected: asyncio.Event = field(default_factory=asyncio.Event)
    copies: set[str] = field(default_factory=set)
    rate_limit: str = ""
    heads: list[tuple[tuple[str, str], ...]] = field(default_factory=list)

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return this runner's entry in the platform's list."""
        entry: dict[str, object] = {
            "Id": self.name,
            "Service": self.service,
            "Address": self.address,
            "Zone": "z-a",
            "Version": "v1",
            "Slots": 6,
            "State": state,
            "ColdLeftMs": 0,
        }
        if self.stage:
            entry["Stage"] = self.stage
        return entry

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.heads.append(tuple(request.headers.items()))
        # The library's own read refuses bodies of more than 1 MiB.
        body = b"".join([part async for part in request.content.iter_any()])
        if request.raw_path == "/hawthornshelf/report":
            report = {"Running": 3, "Waiting": 1, "Stage": self.stage, "Busy": False}
            return web.Response(body=json.dumps(report).encode())
        if request.raw_path == "/hawthornshelf/kv-move":
            return web.Response(status=404)
        headers = {name.title(): value for name, value in request.headers.items()}
        self.received.append({**headers, ":path": request.raw_path})
        self.bodies.append(body)
        response_headers = {"X-Request-Id": request.headers["X-Request-Id"]}
        if self.rate_limit:
            response_headers["Server-Limit"] = self.rate_limit
        if request.headers.get("X-Expect-Instance") != self.name:
            return web.Response(status=421, headers=response_headers)
        if request.headers.get("X-Stage") == "prefill":
            handle = {"KvHandle": "3fa0", "Tokens": 9000, "Version": 1}
            return web.Response(
                body=json.dumps(handle).encode(), headers=response_headers
            )
        source = request.headers.get("X-Kv-Source", "")
        if source and not source.endswith("/3fa0") and source not in self.copies:
            return web.Response(
                status=503, headers={**response_headers, "X-Not-Executed": "1"}
            )
        response_headers["X-Answer-Stamp"] = f"stamp.{self.name}"
        if request.raw_path.startswith(("/read/", "/t/")):
            return await self._stream(request, response_headers)
        if request.raw_path.endswith("/hang"):
            return await self._hang()
        return web.Response(body=b"whole " + body, headers=response_headers)

    async def _stream(
        self, request: web.BaseRequest, response_headers: dict[str, str]
    ) -> web.StreamResponse:
        response, first = await self._begin_stream(request, response_headers)
        for number in range(first, 4):
            await response.write(b"id: %d\ndata: x\n\n" % number)
            if request.raw_path.endswith("/breaks") and number == 2 and first == 1:
                assert request.transport is not None
                await response.write(b"id: 3\nda")
                request.transport.abort()
                return response
        await response.write_eof()
        return response

    async def _begin_stream(
        self, request: web.BaseRequest, response_headers: dict[str, str]
    ) -> tuple[web.StreamResponse, int]:
        """Send the head of a stream; return it and the number of its first event."""
        response_headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=response_headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        return response, int(request.headers.get("Last-Event-Id", "0")) + 1

    async def _hang(self) -> web.StreamResponse:
        try:
            await asyncio.sleep(60)
        finally:
            self.disconnected.set()
        raise AssertionError


@dataclass
class CrashingRunner(FakeRunner):
    """End with all connections when a poison request begins; come back as a new boot.

    A request with a poison part in its prompt does the same. `restart_seconds` is how
    long it is down. It stays listed meanwhile. `arrivals` are the times, of the event
    loop, at which requests of any kind came.
    """

    POISON = b"poison"
    POISON_PART = "dead"

    boot: int = 1
    restart_seconds: float = 1.0
    crashes: int = 0
    arrivals: list[float] = field(default_factory=list)
    _port: int = 0

    async def start(self) -> None:
        self._base = self.name
        await super().start()
        self._port = int(self.address.rpartition(":")[2])

    def entry(self, state: str = "ready") -> dict[str, object]:
        return {**super().entry(state), "born": self.boot}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.arrivals.append(asyncio.get_running_loop().time())
        if request.raw_path == "/hawthornshelf/report":
            report = {"Running": 0, "Waiting": 0, "born": self.boot}
            return web.Response(body=json.dumps(report).encode())
        if request.raw_path == "/healthz":
            status = 200 if self._is_expected(request) else 421
            return web.Response(status=status, headers={"X-Instance-Id": self.name})
        if self._is_expected(request) and await self._is_poison(request):
            self.crash()
            raise ConnectionResetError
        if request.raw_path.endswith("/slow"):
            await asyncio.sleep(0.2)
        return await super().handle(request)

    async def _is_poison(self, request: web.BaseRequest) -> bool:
        prefix = request.headers.get("X-Prompt-Prefix", "")
        parts = [entry.partition(":")[0] for entry in prefix.split(",")]
        return self.POISON_PART in parts or await request.read() == self.POISON

    def _is_expected(self, request: web.BaseRequest) -> bool:
        return request.headers.get("X-Expect-Instance", self.name) == self.name

    def crash(self) -> None:
        """End, unless another request has ended it."""
        assert self._server is not None
        if not self._server.is_serving():
            return
        self.crashes += 1
        self.stop()
        for connection in list(self._protocol.connections):
            if connection.transport is not None:
                connection.transport.abort()
        asyncio.get_running_loop().call_later(self.restart_seconds, self._restart)

    def _restart(self) -> None:
        self.boot += 1
        self.name = f"{self._base}.{self.boot}"
        self._restarting = asyncio.create_task(self._listen(self._port))
