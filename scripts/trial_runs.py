"""Stop and cut off engines under load on real processes, and check every run.

Each seed draws the load, the faults and the changes of the route document anew.
"""

import argparse
import asyncio
import contextlib
import json
import os
import random
import re
import secrets
import signal
import socket
import sys
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

from tests.partitionproxy import PartitionProxy  # noqa: E402
from tests.southernveil.fakes import (  # noqa: E402
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    FakeRunner,
    FakeRunnerList,
    free_ports,
    make_manifest,
    make_settings,
)
from tests.southernveil.processes import start_process  # noqa: E402

HOST = "ficu95.example"
START_SECONDS = 90.0
POLL_SECONDS = 0.2
QUIET_SECONDS = 4.0
"""Time after the last fault in which a request that was given up may still run."""

ABANDON_SECONDS = 4.0
"""Longest gap that a caller accepts, four times the target of the routes."""

STOP_SECONDS = (1.0, 3.3)
"""Shortest and longest silence of a stopped engine."""

MOVE_ON_SECONDS = 0.4
"""Time for which a run may overlap with its continuation elsewhere."""

LONG_PROMPT_SHARE = 0.15
RESET_SHARE = 0.5
ANSWERS_NOT_RUN = frozenset({408, 421, 429, 503})
LINES_SHOWN = 60
"""Most log lines printed for one broken rule."""


class Kind(NamedTuple):
    """Represent a kind of request: its path, and whether it may run only once."""

    prefix: str
    weight: int
    is_stream: bool
    runs_once: bool


KINDS = {
    "read": Kind("/read/", 40, True, True),
    "live": Kind("/live/", 15, True, True),
    "resumable": Kind("/t/", 20, True, False),
    "unsafe": Kind("/unsafe/", 15, False, True),
    "safe": Kind("/safe/", 10, False, False),
}


@dataclass
class Request:
    """Represent one request and what its caller got; status 0 without an answer."""

    id: str
    kind: str
    node: str
    total: int
    sent_at: float
    status: int = 0
    last: int = 0
    outcome: str = "cut"


class Breach(NamedTuple):
    """Represent a broken rule and the request that shows it."""

    rule: str
    request: str
    text: str


class FaultProxy(PartitionProxy):
    """Forward to an engine; delay, hold back, reset or refuse on demand.

    A direction that is held back passes nothing on until it is released.
    """

    def __init__(self, target: str) -> None:
        super().__init__(target)
        self.delay_seconds = 0.0
        self.held = {True: False, False: False}
        self._released = asyncio.Condition()

    async def hold(self, is_answer: bool, value: bool) -> None:
        """Hold one direction back, or release it."""
        async with self._released:
            self.held[is_answer] = value
            self._released.notify_all()

    def reset(self, rng: random.Random, share: float) -> None:
        """Reset a share of the open connections, on the nodes' side."""
        for writer in sorted(self._writers, key=id):
            sock = writer.get_extra_info("socket")
            if self._is_answer(writer) and rng.random() < share:
                linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()

    async def refuse(self, value: bool) -> None:
        """Refuse new connections, or accept them again."""
        assert self._server is not None
        self._server.close()
        if not value:
            port = int(self.address.rpartition(":")[2])
            self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    def _is_answer(self, writer: asyncio.StreamWriter) -> bool:
        own = writer.get_extra_info("sockname")
        return own is not None and self.address.endswith(f":{own[1]}")

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        is_answer = self._is_answer(writer)
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await asyncio.sleep(self.delay_seconds)
                async with self._released:
                    await self._released.wait_for(lambda: not self.held[is_answer])
                writer.write(data)
                await writer.drain()
        writer.transport.abort()


class WholeRunnerList(FakeRunnerList):
    """Serve the list of runners on one page."""

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return all entries."""
        page = {"Instances": self.entries, "Next": None}
        return web.Response(body=json.dumps(page).encode())


@dataclass
class Engine:
    """Hold an engine's process, its proxy if any, and how many stops are in force."""

    name: str
    process: asyncio.subprocess.Process
    proxy: FaultProxy | None
    stops: int = 0
    faults: list[tuple[float, float]] = field(default_factory=list)


def make_routes(version: int, rng: random.Random) -> dict[str, Any]:
    """Return a manifest with other limits, time-outs and routes for each version."""
    manifest: dict[str, Any] = make_manifest(version)
    routes = {route["Name"]: route for route in manifest["Routes"]}
    routes["l"] = {**routes["r"], "Name": "l", "PathPrefix": KINDS["live"].prefix}
    for name in ("r", "l", "t"):
        routes[name]["TimeoutMs"] = rng.choice([8000, 12000, 15000])
    routes["r"]["MaxAttempts"] = 1
    routes["t"]["MaxAttempts"] = rng.choice([2, 3])
    routes["s"]["TimeoutMs"] = rng.choice([2500, 3000, 4000])
    if rng.random() < 0.5:
        extra = {"Name": f"x{version}", "PathPrefix": f"/x{version}/"}
        routes["x"] = {**routes["s"], **extra}
    manifest["Routes"] = list(routes.values())
    engine = manifest["Services"][1]["Engine"]
    engine |= {"Slots": 16, "Moves": True, "Backups": True, "HandleTtlS": 5.0}
    manifest["Limits"]["IdleTimeoutMs"] = rng.choice([4000, 8000, 15000])
    return manifest


class Trial:
    """Run the processes of one seed, their callers and their faults."""

    def __init__(self, options: argparse.Namespace, seed: int, folder: Path) -> None:
        self.options = options
        self.seed = seed
        self.rng = random.Random(seed)
        self.folder = folder
        first = f"127.{100 + os.getpid() % 100}.{seed % 250}"
        self.ips = [f"{first}.{number + 1}" for number in range(options.nodes)]
        self.ports = free_ports(5)
        self.nodes: dict[tuple[str, str], asyncio.subprocess.Process] = {}
        self.engines: list[Engine] = []
        self.entries: list[object] = []
        self.requests: dict[str, Request] = {}
        self.breaches: list[Breach] = []
        self.faults: list[tuple[float, str]] = []
        self.version = 0
        self.list_address = ""
        self._ending = False
        self._tasks: set[asyncio.Task[None]] = set()

    # Processes

    async def start_engine(self, name: str, service: str, stage: str) -> None:
        """Start an engine, every other one behind a proxy."""
        port = free_ports(1)[0]
        address = f"127.0.0.1:{port}"
        proxy = FaultProxy(address) if self.rng.random() < 0.5 else None
        if proxy is not None:
            address = await proxy.start()
        settings = {"name": name, "service": service, "stage": stage}
        settings |= {"address": address, "port": port}
        settings |= {"record": str(self.folder / "runs.jsonl")}
        settings |= {"bare_share": self.options.bare}
        with (self.folder / f"{name}.log").open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "scripts" / "stubengine.py"),
                json.dumps(settings),
                stdout=output,
                stderr=output,
            )
        self.engines.append(Engine(name, process, proxy))
        runner = FakeRunner(address, name=name, service=service, stage=stage)
        self.entries.append(runner.entry() | {"Slots": 16})

    async def start_node(self, role: str, ip: str) -> None:
        """Start a process of a node, again if it was killed."""
        name = f"{role}-{ip}"
        seeds = tuple(self.ips[:3])
        make_settings(self.folder, ip, role, self.ports, self.list_address, seeds)
        self.nodes[role, ip] = await start_process(
            role,
            self.folder / f"{name}.toml",
            self.folder / f"{name}.log",
            self.options.tree / "platform" / "serve.py",
        )

    async def start(self) -> None:
        """Start all processes and wait until every node is ready."""
        runner_list = WholeRunnerList()
        await runner_list.start()
        self.list_address = runner_list.address
        for number in range(self.options.engines):
            await self.start_engine(f"e-{number}", ENGINE_SERVICE, "decode")
        for number in range(max(2, self.options.engines // 3)):
            await self.start_engine(f"p-{number}", PLAIN_SERVICE, "")
        runner_list.entries = self.entries
        for ip in self.ips[:3]:
            await self.start_node("control", ip)
        for ip in self.ips:
            await self.start_node("entry", ip)
        async with asyncio.timeout(START_SECONDS):
            await self._wait(self.change_routes)
            for ip in self.ips:
                url = f"http://{ip}:{self.ports[1]}/hawthornshelf/readyz"
                await self._wait(lambda url=url: self._is_ready(url))  # type: ignore[misc]

    async def _wait(self, check: Callable[[], Awaitable[bool]]) -> None:
        while not await check():
            await asyncio.sleep(POLL_SECONDS)

    async def _is_ready(self, url: str) -> bool:
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with aiohttp.ClientSession() as client, client.get(url) as response:
                return response.status == 200
        return False

    async def change_routes(self) -> bool:
        """Send the next manifest to a control node; return whether it took it."""
        self.version += 1
        body = json.dumps(make_routes(self.version, self.rng)).encode()
        ip = self.rng.choice(self.ips[:3])
        url = f"http://{ip}:{self.ports[2]}/hawthornshelf/Config.Replace"
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with (
                aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(4.0)) as client,
                client.post(url, data=body) as response,
            ):
                return response.status == 200
        return False

    async def stop(self) -> None:
        """End all processes that this trial started, each by its own id."""
        for task in self._tasks:
            task.cancel()
        processes = [*self.nodes.values(), *(e.process for e in self.engines)]
        for process in processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        await asyncio.gather(*(process.wait() for process in processes))
        for engine in self.engines:
            if engine.proxy is not None:
                await engine.proxy.stop()

    # Callers

    async def call(self, rng: random.Random) -> None:
        """Send requests to random nodes on kept connections, one after another."""
        names = list(KINDS)
        weights = [kind.weight for kind in KINDS.values()]
        timeout = aiohttp.ClientTimeout(sock_read=ABANDON_SECONDS, sock_connect=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as client:
            client._retry_connection = False
            while not self._ending:
                kind = rng.choices(names, weights)[0]
                total = rng.choice([4, 12, 25, 60]) if KINDS[kind].is_stream else 1
                request = Request(
                    secrets.token_hex(8), kind, rng.choice(self.ips), total, time.time()
                )
                self.requests[request.id] = request
                try:
                    await self._send(client, request, rng)
                except (aiohttp.ClientError, OSError, ValueError) as error:
                    request.outcome = f"cut: {type(error).__name__}"
                await asyncio.sleep(rng.uniform(0.05, 0.3))

    async def _send(
        self, client: aiohttp.ClientSession, request: Request, rng: random.Random
    ) -> None:
        kind = KINDS[request.kind]
        headers = {"Host": HOST, "X-Request-Id": request.id, "X-Deadline-Ms": "9000"}
        if kind.is_stream:
            tokens = 3000 if rng.random() < LONG_PROMPT_SHARE else 300
            part = f"5c1e:{tokens - 100},{request.id[:8]}:100"
            headers |= {"X-Model": "m", "X-Token-Counts": f"{tokens},{request.total}"}
            headers |= {"X-Prompt-Prefix": part}
        url = f"http://{request.node}:{self.ports[0]}{kind.prefix}{request.id}"
        method = rng.choice(["POST", "POST", "POST", "GET", "PUT"])
        async with client.request(
            method, url, data=b"hello", headers=headers
        ) as response:
            request.status = response.status
            if response.status >= 300:
                request.outcome = "refused"
                await response.read()
                return
            stamp = response.headers.get("X-Answer-Stamp", "")
            if not stamp or response.headers.get("X-Request-Id") != request.id:
                self.break_rule("MIXED", request, f"receipt {stamp!r}")
            if kind.is_stream:
                await self._read_events(request, response, stamp)
                return
            body = await response.read()
            if body != f"{stamp} {request.id}".encode():
                self.break_rule("MIXED", request, f"body {body[:80]!r}")
            request.outcome = "whole"

    async def _read_events(
        self, request: Request, response: aiohttp.ClientResponse, run: str
    ) -> None:
        """Check every event as it comes: its id, its run, and the request it is of."""
        resumable = not KINDS[request.kind].runs_once
        rest = b""
        async for data in response.content.iter_any():
            *events, rest = (rest + data).split(b"\n\n")
            for event in events:
                fields = dict(
                    line.split(": ", 1) for line in event.decode().splitlines()
                )
                number = int(fields["id"])
                token, _, owner = fields["data"].partition(" ")
                if number != request.last + 1:
                    text = f"event {number} came, {request.last + 1} was next"
                    self.break_rule("ORDER", request, text)
                if token != run and not resumable:
                    text = f"event {number} is of run {token}, not {run}"
                    self.break_rule("ORDER", request, text)
                if owner != request.id:
                    self.break_rule("MIXED", request, f"event of request {owner}")
                request.last = max(request.last, number)
        if rest or request.last != request.total:
            text = f"ended as whole at {request.last} of {request.total}, {rest[:40]!r}"
            self.break_rule("ORDER", request, text)
        request.outcome = "whole"

    def break_rule(self, rule: str, request: Request, text: str) -> None:
        """Note that a rule was broken."""
        self.breaches.append(Breach(rule, request.id, text))

    # Faults

    def note(self, text: str) -> None:
        """Note a fault."""
        self.faults.append((time.time(), text))

    def spawn(self, fault: Awaitable[None]) -> None:
        """Run a fault beside the others."""
        task = asyncio.ensure_future(fault)
        self._tasks.add(task)

    async def inject(self, seconds: float) -> None:
        """Draw faults and changes, which overlap, until the time is up."""
        until = time.monotonic() + seconds
        faults = [self._silence] * 4 + [self._hold, self._refuse, self._delay]
        faults += [self._reset, self._restart_node]
        while time.monotonic() < until:
            changed = await self.change_routes()
            self.note(f"manifest {self.version} {'taken' if changed else 'unclear'}")
            for _ in range(self.rng.choice([1, 1, 2])):
                await asyncio.sleep(self.rng.uniform(0.0, 0.4))
                self.spawn(self.rng.choice(faults)())
            await asyncio.sleep(self.rng.uniform(0.8, 3.0))
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=2 * STOP_SECONDS[1])

    async def _silence(self) -> None:
        """Stop all or some engines, and reset some streams as these go on."""
        share = self.rng.choice([0.3, 0.6, 1.0, 1.0])
        chosen = [e for e in self.engines if self.rng.random() < share]
        seconds = self.rng.uniform(*STOP_SECONDS)
        resets = self.rng.choice(["never", "while", "after"])
        names = ",".join(e.name for e in chosen)
        self.note(f"stop {seconds:.2f} s, resets {resets}: {names}")
        for engine in chosen:
            engine.stops += 1
            engine.faults.append((time.time(), time.time() + seconds))
            engine.process.send_signal(signal.SIGSTOP)
        if resets == "while":
            await asyncio.sleep(seconds / 2)
            self._reset_all(chosen)
        await asyncio.sleep(seconds / 2 if resets == "while" else seconds)
        for engine in chosen:
            engine.stops -= 1
            if not engine.stops:
                engine.process.send_signal(signal.SIGCONT)
        if resets == "after":
            await asyncio.sleep(self.rng.uniform(0.0, 0.15))
            self._reset_all(chosen)

    def _reset_all(self, engines: list[Engine]) -> None:
        for engine in engines:
            if engine.proxy is not None:
                engine.proxy.reset(self.rng, RESET_SHARE)

    def _draw_proxied(self, what: str, seconds: float) -> list[FaultProxy]:
        share = self.rng.choice([0.4, 1.0])
        chosen = [e for e in self.engines if e.proxy and self.rng.random() < share]
        self.note(f"{what} {seconds:.2f} s: {','.join(e.name for e in chosen)}")
        for engine in chosen:
            engine.faults.append((time.time(), time.time() + seconds))
        return [engine.proxy for engine in chosen if engine.proxy]

    async def _hold(self) -> None:
        """Silence proxies in one direction, or stall them in both."""
        directions = self.rng.choice([(True,), (False,), (True, False)])
        seconds = self.rng.uniform(*STOP_SECONDS)
        proxies = self._draw_proxied(f"hold {directions}", seconds)
        for value in (True, False):
            for proxy in proxies:
                for is_answer in directions:
                    await proxy.hold(is_answer, value)
            if value:
                await asyncio.sleep(seconds)

    async def _refuse(self) -> None:
        """Refuse new connections while old ones live on."""
        seconds = self.rng.uniform(*STOP_SECONDS)
        proxies = self._draw_proxied("refuse new", seconds)
        await asyncio.gather(*(proxy.refuse(True) for proxy in proxies))
        await asyncio.sleep(seconds)
        await asyncio.gather(*(proxy.refuse(False) for proxy in proxies))

    async def _delay(self) -> None:
        seconds = self.rng.uniform(*STOP_SECONDS)
        proxies = self._draw_proxied("delay", seconds)
        for proxy in proxies:
            proxy.delay_seconds = self.rng.uniform(0.05, 0.5)
        await asyncio.sleep(seconds)
        for proxy in proxies:
            proxy.delay_seconds = 0.0

    async def _reset(self) -> None:
        """Reset streams as they go on."""
        self.note("reset half of the proxied connections")
        self._reset_all(self.engines)

    async def _restart_node(self) -> None:
        """Kill an entry node, and start it again."""
        ip = self.rng.choice(self.ips)
        seconds = self.rng.uniform(0.2, 2.0)
        process = self.nodes["entry", ip]
        if process.returncode is not None:
            return
        self.note(f"kill entry node {ip}, start it {seconds:.2f} s later")
        process.kill()
        await process.wait()
        await asyncio.sleep(seconds)
        await self.start_node("entry", ip)

    # The whole trial

    async def run(self) -> None:
        """Run the trial, and leave its logs in the folder."""
        try:
            await self.start()
            callers = [
                asyncio.create_task(self.call(random.Random(f"{self.seed}/{number}")))
                for number in range(self.options.callers)
            ]
            await asyncio.sleep(1.0)
            await self.inject(self.options.seconds)
            self._ending = True
            await asyncio.sleep(QUIET_SECONDS)
            for caller in callers:
                caller.cancel()
            for result in await asyncio.gather(*callers, return_exceptions=True):
                if isinstance(result, Exception):
                    raise result
        finally:
            await self.stop()


# The report


class Report:
    """Check the record of a trial's runs, and describe what was seen."""

    def __init__(self, trial: Trial) -> None:
        self.trial = trial
        path = trial.folder / "runs.jsonl"
        self.lines = [json.loads(line) for line in path.read_text().splitlines()]
        self.lines.sort(key=lambda line: line["at"])
        self.logs: list[str] = []
        for log in sorted(trial.folder.glob("*-127.*.log")):
            self.logs += log.read_text(errors="replace").splitlines()
        self.runs: dict[str, list[dict[str, Any]]] = defaultdict(list)
        self.arrivals: Counter[str] = Counter()
        ends = {
            (line["run"], line["engine"]): line
            for line in self.lines
            if line["what"] == "ends"
        }
        for line in self.lines:
            self.arrivals[line["request"]] += line["what"] == "arrives"
            self.arrivals[line["request"]] -= line["what"] == "refused"
            if line["what"] == "begins":
                self.arrivals[line["request"]] -= line["copied"]
                line["end"] = ends.get((line["run"], line["engine"]))
                self.runs[line["request"]].append(line)
        self._check()

    def _check(self) -> None:
        """Check what only the record of the engines shows: TWICE, REFUSED, UNASKED."""
        trial = self.trial
        for name, runs in self.runs.items():
            request = trial.requests.get(name)
            if request is None:
                trial.breaches.append(Breach("UNASKED", name, "no caller sent it"))
                continue
            if not KINDS[request.kind].runs_once:
                continue
            new = [run for run in runs if not run["copied"]]
            if len(new) > 1:
                trial.break_rule("TWICE", request, f"ran {len(new)} times")
            if request.status in ANSWERS_NOT_RUN:
                text = f"answered {request.status}, and ran {len(runs)} times"
                trial.break_rule("REFUSED", request, text)
            for before, after in zip(runs, runs[1:], strict=False):
                if after["copied"] and self._overlap(before, after["at"]):
                    trial.break_rule("TWICE", request, "still ran beside its copy")

    def _overlap(self, run: dict[str, Any], at: float) -> bool:
        """Return whether a run of an engine without a fault went on beside its copy."""
        ended_at = run["end"]["at"] if run["end"] else float("inf")
        engine = next(e for e in self.trial.engines if e.name == run["engine"])
        calm = all(
            start > ended_at or end + 1.0 < at - 1.0 for start, end in engine.faults
        )
        return calm and ended_at > at + MOVE_ON_SECONDS

    def count(self, event: str) -> int:
        """Return the number of log lines of an event, over all nodes."""
        return sum(f" event={event} " in f"{line} " for line in self.logs)

    def summarize(self) -> str:
        """Return the figures of the trial in one line."""
        trial = self.trial
        requests = trial.requests.values()
        statuses = Counter(request.status for request in requests)
        runs = [run for runs in self.runs.values() for run in runs]
        lost = {
            match[1]
            for line in self.logs
            if " event=runners-lost " in line
            and (match := re.search(r"node=(\S+)", line))
        }
        once = [r for r in requests if KINDS[r.kind].runs_once]
        cut = [r for r in requests if KINDS[r.kind].is_stream and r.last]
        figures = {
            "requests": len(requests),
            "whole": sum(r.outcome == "whole" for r in requests),
            "runs": len(runs),
            "from a copy": sum(run["copied"] for run in runs),
            "relays": self.count("request-relayed"),
            "nodes with runners-lost": len(lost),
            "cut streams": sum(r.outcome != "whole" for r in cut),
            "502": statuses[502],
            "503": statuses[503],
            "504": statuses[504],
            "no answer": statuses[0],
            "once, arrived again": sum(self.arrivals[r.id] > 1 for r in once),
            "rules broken": len(trial.breaches),
        }
        text = ", ".join(f"{name} {value}" for name, value in figures.items())
        return f"seed {trial.seed}, nodes {len(trial.ips)}: {text}"

    def describe(self, breach: Breach) -> str:
        """Return a broken rule with all that was logged for its request."""
        trial = self.trial
        request = trial.requests.get(breach.request)
        lines = [line for line in self.logs if breach.request in line]
        lines += [
            f"time={_format_time(line['at'])} {json.dumps(line)}"
            for line in self.lines
            if line["request"] == breach.request
        ]
        if request is not None:
            lines.append(f"time={_format_time(request.sent_at)} sent: {request}")
            lines += [
                f"time={_format_time(at)} fault: {text}"
                for at, text in trial.faults
                if request.sent_at - 4.0 < at < request.sent_at + 10.0
            ]
        shown = sorted(lines, key=lambda line: line.partition("time=")[2])[:LINES_SHOWN]
        head = f"{breach.rule} {breach.request}: {breach.text}"
        return "\n".join([head, *(f"    {line}" for line in shown)])


def _format_time(at: float) -> str:
    text = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(at))
    return f"{text}.{int(at % 1 * 1000):03d}+00:00"


def parse_arguments() -> argparse.Namespace:
    """Return the command-line options."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--rounds", type=int, default=1, help="how many seeds")
    parser.add_argument("--seconds", type=float, default=13.0)
    parser.add_argument("--nodes", type=int, default=16)
    parser.add_argument("--engines", type=int, default=12)
    parser.add_argument("--callers", type=int, default=40)
    parser.add_argument("--bare", type=float, default=0.0, help="share of bare 503")
    parser.add_argument("--tree", type=Path, default=ROOT, help="the code to run")
    parser.add_argument("--logs", type=Path, help="folder to keep the logs in")
    return parser.parse_args()


def main() -> int:
    """Run the seeds one at a time; return 1 if a rule broke."""
    options = parse_arguments()
    is_broken = False
    with tempfile.TemporaryDirectory() as temporary:
        for seed in range(options.seed, options.seed + options.rounds):
            folder = (options.logs or Path(temporary)) / f"seed-{seed}"
            folder.mkdir(parents=True)
            trial = Trial(options, seed, folder)
            asyncio.run(trial.run())
            report = Report(trial)
            print(report.summarize(), flush=True)
            for breach in trial.breaches:
                is_broken = True
                print(report.describe(breach), flush=True)
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(main())
