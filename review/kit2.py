"""Run a small deployment of the project's programs, with stand-ins around it.

The stand-ins are a list of runners, runners of a plain service, consumers and an
operator. All addresses are loopback addresses, all times those of the real clock.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
SERVICE = "huvo11a"
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = ("127.0.0.2", "127.0.0.3", "127.0.0.4")
ZONES = ("z-a", "z-b", "z-c")
CONSUMER_SECONDS = 2.0
MAX_LINE_BYTES = 128 * 1024
"""Longest header that a stand-in takes, more than any consumer here sends."""


class CannotRun(Exception):
    """Signal that the deployment could not be set up."""


@dataclass
class Record:
    """Write what was sent, answered and run, one line each, with seconds."""

    path: Path
    began: float = field(default_factory=time.monotonic)

    def __post_init__(self) -> None:
        self.path.write_text("")

    def now(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        """Write a line."""
        with self.path.open("a") as file:
            file.write(f"{self.now():8.3f}  {text}\n")

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self.note(text)
        print(f"{self.now():8.3f}  {text}", flush=True)


def free_ports(count: int) -> list[int]:
    """Return even ports that are free on all machines, the odd ones after them too."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(10_000, 32_000, 2)
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for ip in (*MACHINES, "127.0.0.1"):
                for number in (port, port + 1):
                    probe = stack.enter_context(socket.socket())
                    probe.bind((ip, number))
            if port not in ports:
                ports.append(port)
    return ports


@dataclass
class Server:
    """Serve HTTP on a loopback address."""

    record: Record
    ip: str = "127.0.0.1"
    address: str = ""

    async def start(self) -> None:
        """Listen on a free port."""
        port = free_ports(1)[0]
        self._protocol = web.Server(
            self.handle, max_line_size=MAX_LINE_BYTES, max_field_size=MAX_LINE_BYTES
        )
        self._listener = await asyncio.get_running_loop().create_server(
            self._protocol, self.ip, port
        )
        self.address = f"{self.ip}:{port}"

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request."""
        raise NotImplementedError


@dataclass
class RunnerList(Server):
    """Serve the list of runners; `texts` are its entries as they stand in the page."""

    texts: list[str] = field(default_factory=list)
    reads: int = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the only page."""
        self.reads += 1
        body = '{"Instances":[' + ",".join(self.texts) + '],"Next":null}'
        return web.Response(body=body.encode(), content_type="application/json")


@dataclass
class Runner(Server):
    """Run requests of a plain service; `runs` are the ids of those that it has run."""

    name: str = "i-1"
    service: str = SERVICE
    zone: str = "z-a"
    runs: list[str] = field(default_factory=list)

    def entry(self) -> str:
        """Return the entry of the runner in the list."""
        return json.dumps(
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": self.zone,
                "Version": "v1",
                "Slots": 16,
                "State": "ready",
                "ColdLeftMs": 0,
                "Id": self.name,
                "born": 1_790_000_000_000,
            }
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run a request, or answer a liveness check."""
        size = 0
        async for part in request.content.iter_any():
            size += len(part)
        if request.path == "/healthz":
            return web.Response(headers={"X-Instance-Id": self.name})
        name = request.headers.get("X-Request-Id", "")
        headers = {"X-Request-Id": name}
        if request.headers.get("X-Expect-Instance", self.name) != self.name:
            return web.Response(status=421, headers=headers)
        self.runs.append(name)
        self.record.note(f"runner {self.name} runs {name}, {size} B")
        await asyncio.sleep(0.02)
        headers["X-Answer-Stamp"] = f"stamp.{self.name}.{name}"
        return web.Response(body=b"answer to " + name.encode(), headers=headers)


def make_manifest(version: int, **limits: int) -> dict[str, object]:
    """Return a manifest with a safe and an unsafe route; `limits` are its Limits."""
    route = {
        "Host": HOST,
        "TimeoutMs": 2000,
        "SloMs": 400,
        "Priority": 1,
        "MaxAttempts": 2,
        "Service": SERVICE,
        "Sticky": False,
        "Resumable": False,
        "TargetGapMs": 0,
    }
    return {
        "Version": version,
        "Routes": [
            {**route, "Name": "r-safe", "PathPrefix": "/lohu930/", "Kind": "safe"},
            {**route, "Name": "r-once", "PathPrefix": "/pufi791/", "Kind": "unsafe"},
        ],
        "Services": [
            {
                "Name": SERVICE,
                "HealthPath": "/healthz",
                "MaxConnections": 130,
                "Protocol": "h1",
                "Tls": False,
            }
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
            **limits,
        },
    }


@dataclass(frozen=True)
class Answer:
    """Store what a consumer got for one attempt; status 0 stands for no answer."""

    name: str
    sent_at: float
    status: int
    is_served: bool
    text: str = ""


@dataclass
class Deployment:
    """Run `control` and `entry` on each of three machines, as the deploy file says."""

    folder: Path
    record: Record
    client: aiohttp.ClientSession
    tolerated: int = 1

    def __post_init__(self) -> None:
        self.ports = free_ports(4)
        self.peer_port = free_ports(1)[0]
        self.processes: dict[tuple[str, str], asyncio.subprocess.Process] = {}
        self.runner_list = RunnerList(self.record)
        self._number = 0

    def _write_settings(self, ip: str, role: str, first: bool) -> Path:
        front, ready, control, directory = self.ports
        zone = ZONES[MACHINES.index(ip)]
        seeds = json.dumps([f"{seed}:{control}" for seed in MACHINES])
        serves = '["control"]' if role == "control" else '["front","directory"]'
        disk = f'DataDir = "{self.folder / ip}"' if role == "control" else ""
        text = f"""
NodeName = "front-{ip}"
Role = "{role}"
MachineClass = "front"
Serves = {serves}
Ip = "{ip}"
Zone = "{zone}"
Region = "z"
PortRange = [{self.peer_port},{self.peer_port + 15}]
Seeds = {seeds}
Bootstrap = {"true" if first else "false"}
LossCounts = true
{disk}
Discovery = "cloud"
Entry = "directory"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","split","stream","engine"]
ConfigMode = "highest"
[Zones]
z-a = "z"
z-b = "z"
z-c = "z"
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
Control = "{ip}:{control}"
Directory = "{ip}:{directory}"
[Limits]
CpuShare = 0.968
Cores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 64
[FaultTolerance]
Machines = {self.tolerated}
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 3000
GraceS = 8
LossSlackMs = 200
ConfigMs = 2000
RollbackSlackMs = 250
MaxSkewMs = 5000
RetryRatio = 0.2
BudgetWindowS = 10
RetrySlack = 60
RecoveryS = 12
TransitMs = 120
ReuseWindowS = 3
Fencing = true
LeaseMs = 3000
ThawMs = 300
ttl_max_s = 5
[Cloud]
Address = "{self.runner_list.address}"
RatePerS = 42.0
Duties = []
LagMs = 800
"""
        path = self.folder / f"{role}-{ip}.toml"
        path.write_text(text)
        return path

    async def start(self, ip: str, role: str, first: bool = True) -> None:
        """Start a process with the command of the deploy file."""
        settings = self._write_settings(ip, role, first)
        if role == "control":
            (self.folder / ip).mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "HAWTHORNSHELF_BOOT": str(settings),
        }
        with (self.folder / f"{role}-{ip}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "python3",
                "platform/serve.py",
                role,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.processes[ip, role] = process
        self.record.note(f"start {role} on {ip}, pid {process.pid}, first {first}")

    async def start_all(self, first: bool = True) -> None:
        """Start all processes."""
        for ip in MACHINES:
            for role in ("control", "entry"):
                await self.start(ip, role, first)

    async def kill_all(self) -> None:
        """End all processes at once by SIGKILL, and wait for them."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            await process.wait()
        self.processes.clear()

    async def replace(self, manifest: dict[str, object], ip: str) -> int:
        """Send a manifest to one machine; return the status, 0 without an answer."""
        url = f"http://{ip}:{self.ports[2]}/hawthornshelf/Config.Replace"
        body = json.dumps(manifest).encode()
        status = 0
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with asyncio.timeout(1.0), self.client.post(url, data=body) as answer:
                await answer.read()
                status = answer.status
        version = manifest["Version"]
        self.record.note(f"manifest {version} sent to {ip}: status {status}")
        return status

    async def replace_until_acknowledged(
        self, manifest: dict[str, object], seconds: float = 30.0
    ) -> float:
        """Send a manifest, unchanged, until it is acknowledged; return when it was."""
        until = self.record.now() + seconds
        while self.record.now() < until:
            for ip in random.sample(MACHINES, len(MACHINES)):
                if await self.replace(manifest, ip) == 200:
                    self.record.say(f"manifest {manifest['Version']} acknowledged")
                    return self.record.now()
            await asyncio.sleep(0.2)
        raise CannotRun("the manifest was not acknowledged")

    async def read_back(self, ip: str) -> tuple[int, dict[str, object] | None]:
        """Read the manifest at one machine; return the status and the document."""
        url = f"http://{ip}:{self.ports[2]}/hawthornshelf/Config.Get"
        status, document = 0, None
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, ValueError):
            async with asyncio.timeout(1.0), self.client.get(url) as answer:
                body, status = await answer.read(), answer.status
                document = json.loads(body) if status == 200 else None
        found = document.get("Version") if document else None
        self.record.note(f"manifest read at {ip}: status {status}, version {found}")
        return status, document

    async def is_ready(self, ip: str) -> bool:
        """Return whether an entry process says that it is ready."""
        url = f"http://{ip}:{self.ports[1]}/hawthornshelf/readyz"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with asyncio.timeout(1.0), self.client.get(url) as answer:
                return answer.status == 200
        return False

    async def wait_ready(self, seconds: float = 30.0) -> None:
        """Wait until all entry processes are ready."""
        until = self.record.now() + seconds
        while not all([await self.is_ready(ip) for ip in MACHINES]):
            if self.record.now() > until:
                raise CannotRun("the entry processes are not ready")
            await asyncio.sleep(0.2)
        self.record.say("all entry processes are ready")

    async def resolve(self, zone: str) -> list[str]:
        """Return the addresses that a directory gives to a consumer."""
        nearest = MACHINES[ZONES.index(zone)]
        others = [ip for ip in MACHINES if ip != nearest]
        for ip in (nearest, *random.sample(others, len(others))):
            url = f"http://{ip}:{self.ports[3]}/hawthornshelf/resolve"
            query = {"Name": HOST, "Region": "z", "Zone": zone}
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, ValueError):
                async with (
                    asyncio.timeout(1.0),
                    self.client.get(url, params=query) as answer,
                ):
                    if answer.status == 200:
                        return list((await answer.json())["Addresses"])
        return []

    async def ask(
        self, path: str, zone: str, body: bytes | None = None, **headers: str
    ) -> Answer:
        """Send one attempt of a consumer on a new connection, and judge the answer."""
        self._number += 1
        name = f"{self._number:016x}"
        sent_at = self.record.now()
        addresses = await self.resolve(zone)
        if not addresses:
            self.record.note(f"consumer {name}: no address")
            return Answer(name, sent_at, 0, False, "no address")
        address = random.choice(addresses)
        sent = {
            "Host": HOST,
            "X-Request-Id": name,
            "X-Deadline-Ms": str(int(CONSUMER_SECONDS * 1000)),
            **headers,
        }
        status, served, text = 0, False, ""
        try:
            async with (
                asyncio.timeout(CONSUMER_SECONDS),
                aiohttp.ClientSession() as own,
            ):
                url = f"http://{address}{path}"
                method = "GET" if body is None else "POST"
                async with own.request(method, url, data=body, headers=sent) as answer:
                    data, status = await answer.read(), answer.status
                    stamp = answer.headers.get("X-Answer-Stamp", "")
                    is_whole = data == b"answer to " + name.encode()
                    served = 200 <= status < 300 and bool(stamp) and is_whole
                    text = "" if stamp else data.decode("latin-1")[:80]
        except (aiohttp.ClientError, TimeoutError) as error:
            text = type(error).__name__
        outcome = f"status {status}, served {served} {text}"
        self.record.note(f"consumer {name} to {address}{path}: {outcome}")
        return Answer(name, sent_at, status, served, text)

    async def send_steadily(
        self, until: Callable[[], bool], per_second: float, answers: list[Answer]
    ) -> None:
        """Send safe requests at a pace until told to stop, and wait for the answers."""
        pending: set[asyncio.Task[None]] = set()

        async def one() -> None:
            answers.append(await self.ask("/lohu930/2f", random.choice(ZONES)))

        while not until():
            task = asyncio.create_task(one())
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(1 / per_second)
        if pending:
            await asyncio.wait(pending)


@contextlib.asynccontextmanager
async def deploy(
    record: Record, runners: int = 4, **options: int
) -> AsyncIterator[tuple[Deployment, list[Runner]]]:
    """Set up stand-ins and a deployment that is not started; end all of it."""
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    with tempfile.TemporaryDirectory() as folder:
        async with aiohttp.ClientSession(connector=connector) as client:
            deployment = Deployment(Path(folder), record, client, **options)
            await deployment.runner_list.start()
            group = [
                Runner(record, name=f"i-{7 + n}f3a91c{n}", zone=ZONES[n % 3])
                for n in range(runners)
            ]
            for runner in group:
                await runner.start()
            deployment.runner_list.texts = [runner.entry() for runner in group]
            try:
                yield deployment, group
            finally:
                logs = sorted(Path(folder).glob("*.log"))
                await deployment.kill_all()
                for log in logs:
                    lines = log.read_bytes().count(b"\n")
                    record.note(f"log {log.name}: {lines} lines")


def run_case(folder: str, case: Callable[[Record], Awaitable[bool]]) -> None:
    """Run a case, which returns whether its rule held, and exit by the result."""
    record = Record(Path(folder) / "record.txt")
    record.say(f"TROUBLE={int(TROUBLE)}")

    async def run() -> bool:
        task = asyncio.current_task()
        assert task is not None
        # Ends the processes of the deployment if the script itself is ended.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await case(record)

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        # Only a judged run may say that a rule was broken.
        record.say(f"the case could not run: {error!r}")
        sys.exit(NOT_RUN)
    record.say("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)
