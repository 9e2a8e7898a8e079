"""Stand-ins for consumers, runners and the platform, and the processes of a fleet.

Only the standard library is used. Every address is a loopback address; ports are free
ones; each process that a Fleet starts is ended by its process id.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import secrets
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HOST = "ficu95.example"
PLAIN, ENGINE = "huvo11a", "wuno96b"
CONTACT_SECONDS = 3.0
CATCH_UP_SECONDS = 4.0
RECOVERY_SECONDS = 12.0
LIMIT_SECONDS = 110.0
"""Longest time of a script; its end takes some more."""

LIST_LAG_SECONDS = 0.8


def free_ports(count: int, ips: tuple[str, ...]) -> list[int]:
    """Return even ports that are free on all addresses, with the odd one after."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(10_000, 31_000, 2)
        if port in ports:
            continue
        try:
            for ip in ips:
                for offset in (0, 1):
                    with socket.socket() as probe:
                        probe.bind((ip, port + offset))
        except OSError:
            continue
        ports.append(port)
    return ports


class Record:
    """Write what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def write(self, what: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self._file.write(f"{self.now():8.3f} {what} {text}\n")
        self._file.flush()


# HTTP


@dataclass
class Head:
    """Represent the first line and the headers of a message; names in lower case."""

    first: str
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Return the next head, or None if the connection ended before it."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    first, *lines = text[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Head(first, {n.strip().lower(): v.strip() for n, _, v in pairs})


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Return a body with a length or in chunks; raise IncompleteReadError."""
    if "chunked" in head.headers.get("transfer-encoding", ""):
        parts = []
        while size := int((await reader.readline()).split(b";")[0] or b"z", 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(head.headers.get("content-length", "0")))


def make_answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{n}: {v}" for n, v in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


@dataclass
class Answer:
    """Represent what a consumer saw; status 0 means a connection without an answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False

    @property
    def stamp(self) -> str:
        """Return the receipt of the runner, empty without one."""
        return self.headers.get("x-answer-stamp", "")


async def ask(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout: float = 5.0,
) -> Answer:
    """Send one request on a new connection and return what came back."""
    answer = Answer(0)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            ip, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            fields = {"Host": HOST, "Content-Length": str(len(body))} | (headers or {})
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{n}: {v}" for n, v in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return answer
            answer = Answer(int(head.first.split()[1]), head.headers)
            answer.body = await read_body(reader, head)
            answer.is_whole = True
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


# Runners


class Runner:
    """Serve requests as PROTOCOL.md says; each start is a new boot with a new id.

    `on_run` is called for each request that begins to run.
    """

    def __init__(self, record: Record, service: str = PLAIN, stage: str = "") -> None:
        self.record = record
        self.service = service
        self.stage = stage
        self.on_run: Callable[[Runner, str, Head, bytes], None] = lambda *_: None
        self.work_seconds = 0.045
        self.numbers = itertools.count(1)
        self.port = 0
        self.is_up = False
        self.state = "ready"
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._new_boot()

    def _new_boot(self) -> None:
        self.name = f"i-{secrets.token_hex(5)}"
        self.born = int(time.time() * 1000)

    @property
    def address(self) -> str:
        """Return where the runner listens."""
        return f"127.0.0.1:{self.port}"

    def entry(self) -> dict[str, Any]:
        """Return this runner's entry in the platform's list."""
        entry: dict[str, Any] = {
            "Service": self.service,
            "Address": self.address,
            "Zone": "z-a",
            "Version": "v1",
            "Slots": 6,
            "State": self.state,
            "ColdLeftMs": 0,
            "Id": self.name,
            "born": self.born,
        }
        if self.stage:
            models = [{"Name": "m", "Version": 1, "Adapters": []}]
            entry |= {"Stage": self.stage, "Models": models, "Slots": 48}
        return entry

    async def start(self) -> None:
        """Listen, at the same address as before."""
        if not self.port:
            self.port = free_ports(1, ("127.0.0.1",))[0]
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 20
        )
        self.is_up = True

    def stop(self) -> None:
        """End at once, with a reset of all connections."""
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            sock = writer.transport.get_extra_info("socket")
            with contextlib.suppress(OSError):
                linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def restart_after(self, seconds: float) -> None:
        """Be back after some seconds under a new id."""
        await asyncio.sleep(seconds)
        self._new_boot()
        await self.start()
        self.record.write("runner-back", runner=self.name, address=self.address)

    def crash(self, seconds: float) -> None:
        """Crash, and be back after some seconds under a new id."""
        if not self.is_up:
            return
        self.record.write("runner-crashed", runner=self.name, address=self.address)
        self.stop()
        task = asyncio.create_task(self.restart_after(seconds))
        self._tasks.add(task)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                await self._answer(writer, head, body)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(
        self, writer: asyncio.StreamWriter, head: Head, body: bytes
    ) -> None:
        path = head.first.split()[1]
        request = head.headers.get("x-request-id", "")
        headers = {"X-Instance-Id": self.name}
        if path == "/hawthornshelf/report":
            writer.write(make_answer(200, headers, self._report()))
            return
        if head.headers.get("x-expect-instance", self.name) != self.name:
            headers |= {"X-Request-Id": request, "X-Not-Executed": "1"}
            writer.write(make_answer(421, headers))
            return
        if path == "/healthz":
            body = json.dumps({"born": self.born}).encode()
            writer.write(make_answer(200, headers, body))
            return
        if not request:
            writer.write(make_answer(400, headers | {"X-Not-Executed": "1"}))
            return
        self.record.write("runs", request=request, runner=self.name, path=path)
        self.on_run(self, request, head, body)
        await self.run(writer, head, request, body)

    async def run(
        self, writer: asyncio.StreamWriter, head: Head, request: str, body: bytes
    ) -> None:
        """Answer a request that has begun to run."""
        await asyncio.sleep(self.work_seconds)
        stamp = f"{self.name}.{next(self.numbers)}"
        headers = {"X-Request-Id": request, "X-Answer-Stamp": stamp}
        writer.write(make_answer(200, headers, b"whole " + request.encode()))
        await writer.drain()

    def _report(self) -> bytes:
        report = {"Stage": self.stage, "Models": [], "Busy": False, "Seq": 0}
        report |= {"Waiting": 0, "Running": 0, "KvUsed": 0, "KvTotal": 305000}
        return json.dumps(report | {"KvHandles": 0, "born": self.born}).encode()


class RunnerList:
    """Serve the platform's list of runners, which lags by LIST_LAG_SECONDS."""

    def __init__(self, runners: list[Runner]) -> None:
        self._runners = runners
        self._history: list[tuple[float, list[dict[str, Any]]]] = []
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self._history.append((0.0, [runner.entry() for runner in self._runners]))
        self._task = asyncio.create_task(self._follow())

    async def _follow(self) -> None:
        """Note the state of all runners; a crashed one stays listed as it was."""
        while True:
            entries = [runner.entry() for runner in self._runners]
            self._history.append((time.monotonic(), entries))
            while self._history[1][0] < time.monotonic() - LIST_LAG_SECONDS:
                del self._history[0]
            await asyncio.sleep(0.05)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await read_head(reader) is not None:
                body = json.dumps({"Instances": self._history[0][1], "Next": None})
                headers = {"Content-Type": "application/json"}
                writer.write(make_answer(200, headers, body.encode()))
        finally:
            writer.transport.abort()


# The fleet


def make_manifest(version: int) -> dict[str, Any]:
    """Return a manifest with a route of each kind, in the form of PROTOCOL.md."""

    def route(name: str, prefix: str, kind: str, **fields: object) -> dict[str, Any]:
        return {
            "Name": name,
            "Host": HOST,
            "PathPrefix": prefix,
            "Kind": kind,
            "TimeoutMs": 3000,
            "SloMs": 400,
            "Priority": 1,
            "Service": PLAIN,
            "MaxAttempts": 2,
            "Sticky": False,
            "Resumable": False,
        } | fields

    stream: dict[str, Any] = {"Service": ENGINE, "Sticky": True, "TargetGapMs": 200}
    engine = {
        "Slots": 48,
        "KvTokens": 305000,
        "KvBytes": 131072,
        "LinkMbps": 4400000.0,
        "Moves": True,
        "Backups": True,
        "Stride": 56,
        "most": 12,
        "HandleTtlS": 5.0,
        "SwitchS": 3.0,
        "PinMs": 4000.0,
        "HoldMs": 2000.0,
        "Models": [{"Name": "m"}],
    }
    plain = {"HealthPath": "/healthz", "MaxConnections": 130}
    return {
        "Version": version,
        "Routes": [
            route("r-safe", "/safe/", "safe"),
            route("r-unsafe", "/unsafe/", "unsafe", MaxAttempts=1),
            route("r-resumed", "/resumed/", "streaming", Resumable=True, **stream),
            route("r-live", "/live/", "streaming", TimeoutMs=15000, **stream),
        ],
        "Services": [
            {"Name": PLAIN, "Protocol": "h1", "Tls": False} | plain,
            {"Name": ENGINE, "Protocol": "h1", "Tls": False, "Engine": engine} | plain,
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


SETTINGS = """
NodeName = "{node}"
Role = "{role}"
MachineClass = "front"
Serves = {serves}
Ip = "{ip}"
Zone = "z-a"
Region = "z"
PortRange = [{peer},{peer_end}]
Seeds = [{seeds}]
Bootstrap = {bootstrap}
LossCounts = {counts}
{data}
Discovery = "cloud"
Entry = "directory"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","split","stream","engine"]
ConfigMode = "highest"
[Zones]
z-a = "z"
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
Machines = 1
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
RetrySlack = 62
RecoveryS = 12
TransitMs = 120
ReuseWindowS = 3.4
Fencing = true
LeaseMs = 3000
ThawMs = 300
ttl_max_s = 5
[Cloud]
Address = "{cloud}"
RatePerS = 44.0
Duties = []
LagMs = 800
"""


class Fleet:
    """Run the processes of the deploy file on some machines, one loopback address each.

    The first three machines have a disk and run both roles; the others run entry only.
    """

    def __init__(self, folder: Path, record: Record, ips: tuple[str, ...]) -> None:
        self.folder = folder
        self.record = record
        self.ips = ips
        self.core = ips[:3]
        ports = free_ports(5, ips)
        self.front, self.ready, self.control, self.directory, self.peer = ports
        self.processes: dict[tuple[str, str], subprocess.Popen[bytes]] = {}
        self.cloud: dict[str, str] = {}
        self.disturbed_at = 0.0

    def roles(self, ip: str) -> tuple[str, ...]:
        """Return the roles that a machine runs."""
        return ("control", "entry") if ip in self.core else ("entry",)

    def write_settings(self, role: str, ip: str, bootstrap: bool) -> Path:
        """Write the settings file of a process and return its path."""
        disk = self.folder / f"disk-{ip}" / role
        has_disk = ip in self.core
        serves = '["front","directory"]' if role == "entry" else '["control"]'
        text = SETTINGS.format(
            node=f"front-{ip}",
            role=role,
            serves=serves,
            ip=ip,
            peer=self.peer,
            peer_end=self.peer + 15,
            seeds=",".join(f'"{seed}:{self.control}"' for seed in self.core),
            bootstrap=str(bootstrap).lower(),
            counts=str(has_disk).lower(),
            data=f'DataDir = "{disk}"' if has_disk else "",
            front=self.front,
            ready=self.ready,
            control=self.control,
            directory=self.directory,
            cloud=self.cloud[ip],
        )
        path = self.folder / f"{role}-{ip}.toml"
        path.write_text(text)
        if has_disk:
            disk.mkdir(parents=True, exist_ok=True)
        return path

    def start(self, role: str, ip: str, bootstrap: bool = False) -> None:
        """Start a process with the command of the deploy file."""
        settings = self.write_settings(role, ip, bootstrap)
        environment = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        environment["HAWTHORNSHELF_BOOT"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.folder / f"{role}-{ip}.log").open("ab") as log:
            self.processes[role, ip] = subprocess.Popen(
                ["python3", "platform/serve.py", role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.disturbed_at = time.monotonic()
        self.record.write("start", role=role, ip=ip)

    def signal(self, role: str, ip: str, number: int) -> None:
        """Send a signal to a process."""
        self.processes[role, ip].send_signal(number)
        self.disturbed_at = time.monotonic()
        self.record.write("signal", role=role, ip=ip, number=int(number))

    def kill_all(self) -> None:
        """Kill all processes of the fleet at the same moment."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()
        self.disturbed_at = time.monotonic()
        self.record.write("kill-all")

    def lose(self, ip: str) -> None:
        """Kill all processes of a machine at once."""
        for role in self.roles(ip):
            process = self.processes.pop((role, ip))
            process.kill()
            process.wait()
        self.disturbed_at = time.monotonic()
        self.record.write("lost", ip=ip)

    def start_all(self, bootstrap: bool = False) -> None:
        """Start all processes of the fleet."""
        for ip in self.ips:
            for role in self.roles(ip):
                self.start(role, ip, bootstrap)

    @property
    def is_in_touch(self) -> bool:
        """Return whether nothing was done to any process for twice ContactMs.

        The rules ask for ContactMs, and for twice that only after a final fault.
        """
        return time.monotonic() > self.disturbed_at + 2 * CONTACT_SECONDS

    async def replace_manifest(self, manifest: dict[str, Any], ip: str = "") -> Answer:
        """Send a manifest as the operator does."""
        address = f"{ip or self.core[0]}:{self.control}"
        body = json.dumps(manifest).encode()
        path = "/hawthornshelf/Config.Replace"
        answer = await ask(address, "POST", path, {}, body)
        self.record.write(
            "manifest", version=manifest["Version"], to=address, status=answer.status
        )
        return answer

    async def read_manifest(self, ip: str) -> Answer:
        """Read the manifest back as the operator does."""
        path = "/hawthornshelf/Config.Get"
        return await ask(f"{ip}:{self.control}", "GET", path)

    async def is_ready(self, ip: str) -> bool:
        """Return whether a machine says that it is ready."""
        path = "/hawthornshelf/readyz"
        return (await ask(f"{ip}:{self.ready}", "GET", path)).status == 200

    async def send(
        self,
        ip: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        deadline_ms: int = 3000,
        request: str = "",
        method: str = "POST",
    ) -> Answer:
        """Send a consumer's request and record the answer."""
        request = request or secrets.token_hex(8)
        fields = {"X-Request-Id": request, "X-Deadline-Ms": str(deadline_ms)}
        self.record.write("sent", request=request, to=ip, path=path)
        answer = await ask(
            f"{ip}:{self.front}",
            method,
            path,
            fields | (headers or {}),
            body,
            deadline_ms / 1000 + 1.0,
        )
        self.record.write(
            "answered",
            request=request,
            status=answer.status,
            whole=answer.is_whole,
            stamp=answer.stamp or "-",
            retry_after=answer.headers.get("retry-after", "-"),
        )
        return answer


Case = Callable[[bool, Record, Path], Awaitable[str]]


class CannotRun(Exception):
    """Signal that the case could not run."""


async def wait_until(check: Callable[[], Awaitable[bool]], seconds: float) -> None:
    """Wait until a check holds; raise CannotRun if it does not in time."""
    until = time.monotonic() + seconds
    while not await check():
        if time.monotonic() > until:
            raise CannotRun("a condition did not come true in time")
        await asyncio.sleep(0.1)


async def start_fleet(fleet: Fleet, runner_list: RunnerList) -> None:
    """Start all processes and wait until a manifest is in force on all of them."""
    fleet.cloud.update(dict.fromkeys(fleet.ips, runner_list.address))
    fleet.start_all(bootstrap=True)

    async def replace() -> bool:
        return (await fleet.replace_manifest(make_manifest(1))).status == 200

    await wait_until(replace, 40.0)
    for ip in fleet.ips:
        await wait_until(lambda ip=ip: fleet.is_ready(ip), 40.0)  # type: ignore[misc]


async def _run(case: Case, trouble: bool, record: Record, folder: Path) -> str:
    """Run a case within its time, then end all that it left running in this process."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(LIMIT_SECONDS):
            return await case(trouble, record, folder)
    finally:
        tasks = asyncio.all_tasks() - {task}
        for other in tasks:
            other.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.1)


def main(case: Case, folder: Path) -> int:
    """Run a case; return 0 if the rule held, 1 if not, and 2 if it could not run.

    `case` returns how the rule was broken, empty if it was not.
    """
    import tempfile

    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    if not (ROOT / "target" / "deps").is_dir():
        print("target/deps is missing: run the build of the deploy file")
        return 2
    with tempfile.TemporaryDirectory() as temporary:
        try:
            verdict = asyncio.run(_run(case, trouble, record, Path(temporary)))
        except (Exception, asyncio.CancelledError) as error:
            # Whatever else went wrong, it does not show that the rule was broken.
            print(f"could not run: {error!r}")
            record.write("could-not-run", reason=repr(error))
            return 2
    record.write("verdict", text=verdict or "the rule held")
    print(verdict or "the rule held")
    return 1 if verdict else 0


def run_main(case: Case, folder: Path) -> None:
    """Run a case and exit with its code."""
    sys.exit(main(case, folder))
