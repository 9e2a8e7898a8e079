"""Start the platform's programs as processes, and stand in for all that they meet.

The stand-ins use the standard library alone. They speak what the platform's pages say
and behave soundly unless a case asks for something else. All addresses are loopback
addresses: each machine has one of its own, with the same ports on all of them.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

__all__ = [
    "Answer",
    "CaseFailed",
    "Engine",
    "Fleet",
    "HOST",
    "ENGINE",
    "PLAIN",
    "RUNNER_PORT",
    "HttpServer",
    "Machine",
    "PlainRunner",
    "Record",
    "Request",
    "RunnerList",
    "call",
    "make_manifest",
    "read_chunks",
    "read_head",
    "run_case",
]

ROOT = Path(__file__).resolve().parent.parent
PLAIN, ENGINE = "huvo11a", "wuno96b"
HOST = "ficu95.example"
FRONT, READY, CONTROL, DIRECTORY, FIRST_PEER_PORT = 8144, 8140, 8146, 8143, 7660
PEER_PORTS = 16
RUNNER_PORT, LIST_PORT = 8080, 8142
START_SECONDS = 20.0
ATTEMPT_SECONDS = 1.0


class CaseFailed(Exception):
    """Signal that a case could not run, which says nothing of the rule."""


class Record:
    """Write what was sent, answered and run to a file, with the seconds since start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def write(self, event: str, **fields: object) -> None:
        """Write one line."""
        seconds = time.monotonic() - self._began_at
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{seconds:8.3f} {event} {text}\n")
        self._file.flush()


# HTTP


@dataclass
class Request:
    """Represent a request that a stand-in has read up to its body."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter


@dataclass
class Answer:
    """Represent a complete answer; `status` is 0 if none came."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    error: str = ""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body that has a length or comes in chunks; empty without either."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    return b"".join([chunk async for chunk in read_chunks(reader)])


async def read_chunks(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yield the chunks of a body; raise EOFError if it is broken off."""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        yield (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")


def encode_answer(
    status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Return a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines.extend(f"{name}: {value}" for name, value in (headers or {}).items())
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Serve HTTP/1.1 with connections that are kept."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        ip, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    def stop(self) -> None:
        """Stop listening, and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def handle(self, request: Request) -> None:
        """Answer one request."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                await self.handle(Request(method, target, headers, body, writer))
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    seconds: float = ATTEMPT_SECONDS,
) -> Answer:
    """Send one request on a connection of its own; return the whole answer."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, int(port))
            sent = {"Host": ip, **(headers or {}), "Content-Length": str(len(body))}
            lines = [f"{method} {target} HTTP/1.1"]
            lines.extend(f"{name}: {value}" for name, value in sent.items())
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first, got = await read_head(reader)
            return Answer(int(first.split(" ")[1]), got, await read_body(reader, got))
    except (OSError, EOFError, TimeoutError) as error:
        return Answer(error=repr(error))
    finally:
        if writer is not None:
            writer.close()


# The platform and its runners


class RunnerList(HttpServer):
    """Serve the platform's list of runners in one page."""

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.entries: dict[str, dict[str, Any]] = {}

    async def handle(self, request: Request) -> None:
        """Answer a read of the list."""
        page = {"Instances": list(self.entries.values()), "Next": None}
        headers = {"Content-Type": "application/json"}
        request.writer.write(encode_answer(200, headers, json.dumps(page).encode()))


class _Runner(HttpServer):
    """Run requests, and note each run."""

    service = PLAIN
    stage = ""

    def __init__(self, address: str, name: str, zone: str, record: Record) -> None:
        super().__init__(address)
        self.name = name
        self.zone = zone
        self.record = record
        self.runs: list[str] = []
        self.seconds = 0.02
        self.born = int(time.time() * 1000)

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the entry of this runner in the platform's list."""
        return {
            "Id": self.name,
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 48,
            "State": state,
            "ColdLeftMs": 0,
            "born": self.born,
        }

    async def handle(self, request: Request) -> None:
        """Answer a liveness check, or run a request."""
        headers = request.headers
        request_id = headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id} if request_id else {}
        if headers.get("x-expect-instance", self.name) != self.name:
            request.writer.write(encode_answer(421, echo))
        elif request.target == "/healthz":
            request.writer.write(encode_answer(200, {"X-Instance-Id": self.name}))
        elif not request_id:
            request.writer.write(encode_answer(400, {"X-Not-Executed": "1"}))
        else:
            self.runs.append(request_id)
            self.record.write(
                "run", runner=self.name, request=request_id, target=request.target
            )
            await self.run(request, {**echo, "X-Answer-Stamp": f"{self.name}.1"})

    async def run(self, request: Request, headers: dict[str, str]) -> None:
        """Work for some time, and answer."""
        await asyncio.sleep(self.seconds)
        request.writer.write(encode_answer(200, headers, b"done"))


class PlainRunner(_Runner):
    """Stand in for a runner of the application service."""


class Engine(_Runner):
    """Stand in for a model runner, whose answers are streams."""

    service = ENGINE
    stage = "decode"
    events = 4

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the entry of this engine in the platform's list."""
        models = [{"Name": "m", "Version": 1, "Adapters": []}]
        return {**super().entry(state), "Stage": self.stage, "Models": models}

    async def handle(self, request: Request) -> None:
        """Answer a report or a move, or run a request."""
        if request.target == "/hawthornshelf/report":
            report = {"Stage": self.stage, "Busy": False, "Seq": 0, "Waiting": 0}
            report |= {"Running": 0, "KvUsed": 0, "KvTotal": 305000, "born": self.born}
            body = json.dumps(report).encode()
            request.writer.write(encode_answer(200, {}, body))
        elif request.target == "/hawthornshelf/kv-move":
            request.writer.write(encode_answer(404))
        else:
            await super().handle(request)

    async def run(self, request: Request, headers: dict[str, str]) -> None:
        """Stream the events after the one that the caller has."""
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Transfer-Encoding: chunked\r\n{lines}\r\n"
        )
        request.writer.write(head.encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.seconds)
            event = b"id: %d\ndata: %s.%d\n\n" % (number, self.name.encode(), number)
            request.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await request.writer.drain()
        request.writer.write(b"0\r\n\r\n")


def make_manifest(version: int, **changes: Any) -> dict[str, Any]:
    """Return a manifest with a route of each kind."""
    plain = {
        "Host": HOST,
        "TimeoutMs": 1000,
        "SloMs": 150,
        "Priority": 2,
        "Service": PLAIN,
        "Sticky": False,
        "Resumable": False,
    }
    stream = {**plain, "Kind": "streaming", "Service": ENGINE, "Sticky": True}
    profile = {
        "Slots": 48,
        "KvTokens": 305000,
        "KvBytes": 131072,
        "LinkMbps": 4400000.0,
        "Moves": True,
        "Backups": True,
        "HandleTtlS": 5.0,
        "SwitchS": 3.0,
        "Models": [{"Name": "m"}],
    }
    routes = [
        {**plain, "Name": "s", "PathPrefix": "/s/", "Kind": "safe", "MaxAttempts": 2},
        {**plain, "Name": "u", "PathPrefix": "/u/", "Kind": "unsafe", "MaxAttempts": 1},
        {
            **stream,
            "Name": "r",
            "PathPrefix": "/r/",
            "MaxAttempts": 2,
            "Resumable": True,
            "TimeoutMs": 15000,
            "TargetGapMs": 150,
        },
    ]
    services = [
        {"Name": PLAIN, "HealthPath": "/healthz", "MaxConnections": 120},
        {
            "Name": ENGINE,
            "HealthPath": "/healthz",
            "MaxConnections": 320,
            "Engine": profile,
        },
    ]
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    manifest = {"Version": version, "Routes": routes, "Services": services}
    return {**manifest, "Limits": limits, **changes}


# Machines and processes


@dataclass
class Machine:
    """Represent a machine with its processes, by role."""

    name: str
    ip: str
    zone: str
    roles: tuple[str, ...]
    has_disk: bool
    processes: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)

    @property
    def front(self) -> str:
        """Return the address for consumers."""
        return f"{self.ip}:{FRONT}"

    @property
    def control(self) -> str:
        """Return the address for the operator."""
        return f"{self.ip}:{CONTROL}"


class Fleet:
    """Run machines of a small deployment, with the platform and its runners."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self._net = _choose_net()
        self._hosts = 0
        self.machines: dict[str, Machine] = {}
        self.list = RunnerList(f"{self.new_ip()}:{LIST_PORT}")
        self.runners: list[_Runner] = []
        self._started: list[asyncio.subprocess.Process] = []
        self.bounds = ""

    def new_ip(self) -> str:
        """Return a loopback address that nothing else of this case uses."""
        self._hosts += 1
        return f"{self._net}.{self._hosts}"

    def add_machine(
        self, name: str, zone: str, roles: tuple[str, ...], has_disk: bool
    ) -> Machine:
        """Add a machine, whose processes are not started yet."""
        machine = Machine(name, self.new_ip(), zone, roles, has_disk)
        self.machines[name] = machine
        return machine

    async def add_runner(self, kind: type[_Runner], zone: str) -> _Runner:
        """Start a runner and list it."""
        name = f"i-{len(self.runners) + 1}"
        runner = kind(f"{self.new_ip()}:{RUNNER_PORT}", name, zone, self.record)
        await runner.start()
        self.runners.append(runner)
        self.list.entries[name] = runner.entry()
        return runner

    def write_settings(
        self, machine: Machine, role: str, seeds: list[Machine], is_first: bool
    ) -> Path:
        """Write the settings file of a process, as a whole."""
        serves = {"entry": ["front", "directory"], "control": ["control"]}[role]
        listen = {
            "entry": f'Front = "{machine.front}"\nReady = "{machine.ip}:{READY}"\n'
            f'Directory = "{machine.ip}:{DIRECTORY}"',
            "control": f'Control = "{machine.control}"',
        }[role]
        data = ""
        if role == "control" and machine.has_disk:
            data = f'DataDir = "{self.data_folder(machine)}"\n'
        text = (
            f'NodeName = "{machine.name}"\nRole = "{role}"\nMachineClass = "front"\n'
            f'Serves = {json.dumps(serves)}\nIp = "{machine.ip}"\n'
            f'Zone = "{machine.zone}"\nRegion = "qld-south"\n'
            f"PortRange = [{FIRST_PEER_PORT},{FIRST_PEER_PORT + PEER_PORTS - 1}]\n"
            f"Seeds = {json.dumps([seed.control for seed in seeds])}\n"
            f"Bootstrap = {json.dumps(is_first)}\n"
            f"LossCounts = {json.dumps(machine.has_disk)}\n{data}"
            'Discovery = "cloud"\nEntry = "directory"\nHeartbeatMs = 1200\n'
            'Contracts = ["base","drain","config","cost","retry","recover","split",'
            '"stream","engine"]\nConfigMode = "highest"\n'
            f"[Listen]\n{listen}\n"
            "[FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n"
            "[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\n"
            "AckMs = 4000\nCatchUpS = 4\nDrainMs = 3000\nGraceS = 8\n"
            "LossSlackMs = 200\nConfigMs = 2000\nRollbackSlackMs = 250\n"
            "MaxSkewMs = 5000\nRetryRatio = 0.2\nBudgetWindowS = 10\n"
            "RetrySlack = 60\nRecoveryS = 12\nTransitMs = 120\nReuseWindowS = 3\n"
            "Fencing = true\nLeaseMs = 3000\nThawMs = 300\nttl_max_s = 5\n"
            f'[Cloud]\nAddress = "{self.list.address}"\nRatePerS = 42.0\n'
            "Duties = []\nLagMs = 800\n"
        )
        path = self.settings_file(machine, role)
        new = path.with_suffix(".new")
        new.write_text(text)
        new.replace(path)
        return path

    def settings_file(self, machine: Machine, role: str) -> Path:
        """Return the path of the settings file of a process."""
        return self.folder / f"{machine.name}-{role}.toml"

    def data_folder(self, machine: Machine) -> Path:
        """Return the disk of a machine."""
        return self.folder / "disks" / machine.name

    async def start(self, machine: Machine) -> None:
        """Start all processes of a machine with the settings that their files hold."""
        if machine.has_disk:
            self.data_folder(machine).mkdir(parents=True, exist_ok=True)
        for role in machine.roles:
            await self.start_process(machine, role)

    async def start_process(self, machine: Machine, role: str) -> None:
        """Start a process with the command of the deploy file."""
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG")
        }
        environment["HAWTHORNSHELF_BOOT"] = str(self.settings_file(machine, role))
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = self.folder / f"{machine.name}-{role}.log"
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "platform/serve.py",
                role,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        machine.processes[role] = process
        self._started.append(process)
        self.record.write("start", machine=machine.name, role=role, pid=process.pid)

    async def start_program(
        self, path: Path, *words: str
    ) -> asyncio.subprocess.Process:
        """Start a stand-in as a process with pipes to its standard input and output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(path),
            *words,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self._started.append(process)
        return process

    async def kill(self, *machines: Machine) -> None:
        """Kill all processes of some machines at the same moment."""
        for machine in machines:
            for role, process in machine.processes.items():
                self.send_signal(machine, role, signal.SIGKILL)
                del process
        for machine in machines:
            for process in machine.processes.values():
                await process.wait()

    def send_signal(self, machine: Machine, role: str, number: signal.Signals) -> None:
        """Send a signal to a process that runs."""
        process = machine.processes[role]
        if process.returncode is None:
            self.record.write(
                "signal", machine=machine.name, role=role, signal=number.name
            )
            process.send_signal(number)

    async def apply(self, manifest: dict[str, Any], nodes: list[Machine]) -> None:
        """Send a manifest to the nodes in turn until it is acknowledged."""
        body = json.dumps(manifest).encode()
        headers = {"Content-Type": "application/json"}
        until = time.monotonic() + START_SECONDS
        while time.monotonic() < until:
            for machine in nodes:
                path = "/hawthornshelf/Config.Replace"
                answer = await call(machine.control, "POST", path, headers, body)
                self.record.write(
                    "config-replace",
                    version=manifest["Version"],
                    machine=machine.name,
                    status=answer.status,
                )
                if answer.status == 200:
                    return
            await asyncio.sleep(0.2)
        raise CaseFailed("the manifest was not acknowledged")

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether a node says that it is ready."""
        address = f"{machine.ip}:{READY}"
        return (await call(address, "GET", "/hawthornshelf/readyz")).status == 200

    async def await_ready(self, machines: list[Machine]) -> None:
        """Wait until nodes are ready; raise CaseFailed."""
        until = time.monotonic() + START_SECONDS
        while time.monotonic() < until:
            if all([await self.is_ready(machine) for machine in machines]):
                return
            await asyncio.sleep(0.2)
        raise CaseFailed("the nodes did not become ready")

    async def resolve(self, machines: list[Machine], zone: str) -> list[str]:
        """Return the addresses that the first of some nodes tells, as a consumer."""
        query = f"Name={HOST}&Region=qld-south&Zone={zone}"
        for machine in machines:
            address = f"{machine.ip}:{DIRECTORY}"
            answer = await call(address, "GET", f"/hawthornshelf/resolve?{query}")
            if answer.status == 200:
                return list(json.loads(answer.body)["Addresses"])
        return []

    async def close(self) -> None:
        """End all processes that this case started, and remove its files."""
        for process in self._started:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in self._started:
            await process.wait()
        self.list.stop()
        for runner in self.runners:
            runner.stop()
        if os.environ.get("KEEP"):
            print(f"kept {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _choose_net() -> str:
    """Return the first three numbers of loopback addresses whose ports are free."""
    rng = random.Random(os.getpid() ^ time.time_ns())
    for _ in range(100):
        net = f"127.{rng.randint(16, 250)}.{rng.randint(1, 250)}"
        if _is_free(f"{net}.1"):
            return net
    raise CaseFailed("no free addresses")


def _is_free(ip: str) -> bool:
    ports = (FRONT, READY, CONTROL, DIRECTORY, RUNNER_PORT, LIST_PORT, FIRST_PEER_PORT)
    for port in ports:
        with socket.socket() as found:
            found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                found.bind((ip, port))
            except OSError:
                return False
    return True


Case = Callable[[Fleet, Record, bool], Awaitable[bool]]
"""Run a case, with the disruption or without it; return whether the rule held."""


def run_case(
    case: Case, folder: Path, has_trouble: bool, seconds: float = 115.0
) -> int:
    """Run a case; return 0 if the rule held, 1 if it was broken, 2 without a result.

    An error of the script itself is no result either.
    """
    record = Record(folder / "record.txt")

    async def run() -> bool:
        fleet = Fleet(record)
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            await fleet.list.start()
            async with asyncio.timeout(seconds):
                return await case(fleet, record, has_trouble)
        finally:
            await fleet.close()

    try:
        has_held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.write("no-result", reason=repr(error))
        print(f"the case could not run: {error!r}")
        return 2
    record.write("result", rule="held" if has_held else "broken")
    print("the rule held" if has_held else "the rule was broken")
    return 0 if has_held else 1
