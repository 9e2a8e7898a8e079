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

GROUPS = 3
"""Groups of nodes: the first one reaches engines directly, others by their proxies."""

START_SECONDS = 90.0
POLL_SECONDS = 0.2
HOLD_POLL_SECONDS = 0.02
QUIET_SECONDS = 4.0
"""Time after the last fault in which a request that was given up may still run."""

FAULT_SECONDS = (1.0, 3.3)
"""Shortest and longest fault, stopped engines among them."""

DELAY_SECONDS = (0.05, 0.5)
PATIENCE_SECONDS = (4.0, 9.0)
"""Longest gaps that callers accept: four times the target of the routes, and more."""

MOVE_ON_SECONDS = 0.4
"""Time for which a run may overlap with its continuation elsewhere."""

LONG_PROMPT_SHARE = 0.15
RESET_SHARE = 0.5
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
HARMS = ("hold answers", "hold requests", "stall", "delay", "refuse", "refuse")


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
    kind: Kind
    node: str
    total: int
    sent_at: float
    status: int = 0
    last: int = 0
    outcome: str = "cut"


class FaultProxy(PartitionProxy):
    """Forward to an engine; delay, hold back, reset or refuse on demand."""

    def __init__(self, target: str, rng: random.Random) -> None:
        super().__init__(target)
        self.address = f"127.0.0.1:{free_ports(1)[0]}"
        self.harms: Counter[str] = Counter()
        self._rng = rng

    async def listen(self) -> None:
        """Accept connections."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def harm(self, what: str, change: int) -> None:
        """Begin to do a harm, or end it; open connections survive a refusal."""
        self.harms[what] += change
        if what == "refuse" and self.harms[what] == (change > 0):
            assert self._server is not None
            self._server.close()
            if change < 0:
                await self.listen()

    def reset(self) -> None:
        """Reset a share of the open connections, on the nodes' side."""
        for writer in sorted(self._writers, key=id):
            if self._is_answer(writer) and self._rng.random() < RESET_SHARE:
                linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
                sock = writer.get_extra_info("socket")
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()

    def _is_answer(self, writer: asyncio.StreamWriter) -> bool:
        own = writer.get_extra_info("sockname")
        return own is not None and self.address.endswith(f":{own[1]}")

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        hold = "hold answers" if self._is_answer(writer) else "hold requests"
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                while self.harms[hold] or self.harms["stall"]:
                    await asyncio.sleep(HOLD_POLL_SECONDS)
                if self.harms["delay"]:
                    await asyncio.sleep(self._rng.uniform(*DELAY_SECONDS))
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
    """Hold an engine's process, its proxies, and how many stops are in force."""

    name: str
    process: asyncio.subprocess.Process
    proxies: list[FaultProxy]
    stops: int = 0
    faults: list[tuple[float, float]] = field(default_factory=list)


def make_routes(version: int, rng: random.Random) -> dict[str, Any]:
    """Return a manifest with other limits, time-outs and routes for each version."""
    manifest: dict[str, Any] = make_manifest(version)
    routes = {route["Name"]: route for route in manifest["Routes"]}
    routes["l"] = routes["r"] | {"Name": "l", "PathPrefix": KINDS["live"].prefix}
    for name in ("r", "l", "t"):
        routes[name]["TimeoutMs"] = rng.choice([8000, 12000, 15000])
    routes["r"]["MaxAttempts"] = 1
    routes["t"]["MaxAttempts"] = rng.choice([2, 3])
    routes["s"]["TimeoutMs"] = rng.choice([2500, 3000, 4000])
    if rng.random() < 0.5:
        extra = {"Name": f"x{version}", "PathPrefix": f"/x{version}/"}
        routes["x"] = routes["s"] | extra
    manifest["Routes"] = list(routes.values())
    manifest["Services"][1]["Engine"] |= {"Slots": 16, "HandleTtlS": 5.0}
    manifest["Limits"]["IdleTimeoutMs"] = rng.choice([4000, 8000, 15000])
    return manifest


class Trial:
    """Run the processes of one seed, their callers and their faults."""

    def __init__(self, options: argparse.Namespace, seed: int, folder: Path) -> None:
        self.options = options
        self.seed = seed
        self.rng = random.Random(seed)
        self.folder = folder
        network = f"127.{100 + os.getpid() % 100}.{seed % 250}"
        self.ips = [f"{network}.{number + 1}" for number in range(options.nodes)]
        self.ports = free_ports(5)
        self.nodes: dict[tuple[str, str], asyncio.subprocess.Process] = {}
        self.engines: dict[str, Engine] = {}
        self.lists = [WholeRunnerList() for _ in range(GROUPS)]
        self.requests: dict[str, Request] = {}
        self.breaches: list[tuple[str, str, str]] = []
        self.faults: list[tuple[float, str]] = []
        self._version = 0
        self._ending = False
        self._tasks: list[asyncio.Task[None]] = []

    # Processes

    async def start_engine(self, name: str, service: str, stage: str) -> None:
        """Start an engine, and a proxy in front of it for each group but the first."""
        port = free_ports(1)[0]
        addresses = [f"127.0.0.1:{port}"]
        proxies = [FaultProxy(addresses[0], self.rng) for _ in range(1, GROUPS)]
        for proxy in proxies:
            await proxy.listen()
            addresses.append(proxy.address)
        settings = {"name": name, "service": service, "stage": stage, "port": port}
        settings["record"] = str(self.folder / "runs.jsonl")
        settings["bare_share"] = self.options.bare
        with (self.folder / f"{name}.log").open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "scripts" / "stubengine.py"),
                json.dumps(settings),
                stdout=output,
                stderr=output,
            )
        self.engines[name] = Engine(name, process, proxies)
        for runner_list, address in zip(self.lists, addresses, strict=True):
            runner = FakeRunner(address, name=name, service=service, stage=stage)
            runner_list.entries.append(runner.entry() | {"Slots": 16})

    async def start_node(self, role: str, ip: str) -> None:
        """Start a process of a node, again if it was killed."""
        name = f"{role}-{ip}"
        list_address = self.lists[self.ips.index(ip) % GROUPS].address
        seeds = tuple(self.ips[:3])
        make_settings(self.folder, ip, role, self.ports, list_address, seeds)
        settings, log = self.folder / f"{name}.toml", self.folder / f"{name}.log"
        serve = self.options.tree / "platform" / "serve.py"
        self.nodes[role, ip] = await start_process(role, settings, log, serve)

    async def start(self) -> None:
        """Start all processes and wait until every node is ready."""
        for runner_list in self.lists:
            await runner_list.start()
        for number in range(self.options.engines):
            await self.start_engine(f"e-{number}", ENGINE_SERVICE, "decode")
        for number in range(max(2, self.options.engines // 3)):
            await self.start_engine(f"p-{number}", PLAIN_SERVICE, "")
        for ip in self.ips[:3]:
            await self.start_node("control", ip)
        for ip in self.ips:
            await self.start_node("entry", ip)
        async with asyncio.timeout(START_SECONDS):
            while not await self.change_routes():
                await asyncio.sleep(POLL_SECONDS)
            for ip in self.ips:
                url = f"http://{ip}:{self.ports[1]}/hawthornshelf/readyz"
                while await _fetch_status("GET", url) != 200:
                    await asyncio.sleep(POLL_SECONDS)

    async def change_routes(self) -> bool:
        """Send the next manifest to a control node; return whether it took it."""
        self._version += 1
        body = json.dumps(make_routes(self._version, self.rng)).encode()
        ip = self.rng.choice(self.ips[:3])
        url = f"http://{ip}:{self.ports[2]}/hawthornshelf/Config.Replace"
        return await _fetch_status("POST", url, body) == 200

    async def stop(self) -> None:
        """End all processes that this trial started, each by its own id."""
        for task in self._tasks:
            task.cancel()
        engines = self.engines.values()
        processes = [*self.nodes.values(), *(engine.process for engine in engines)]
        for process in processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        await asyncio.gather(*(process.wait() for process in processes))
        for proxy in (proxy for engine in engines for proxy in engine.proxies):
            await proxy.stop()

    # Callers

    async def call(self, rng: random.Random) -> None:
        """Send requests to random nodes on kept connections, one after another."""
        kinds = list(KINDS.values())
        weights = [kind.weight for kind in kinds]
        patience = rng.choice(PATIENCE_SECONDS)
        timeout = aiohttp.ClientTimeout(sock_read=patience, sock_connect=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as client:
            client._retry_connection = False
            while not self._ending:
                kind = rng.choices(kinds, weights)[0]
                total = rng.choice([4, 12, 25, 60]) if kind.is_stream else 1
                name, node = secrets.token_hex(8), rng.choice(self.ips)
                request = Request(name, kind, node, total, time.time())
                self.requests[name] = request
                try:
                    await self._send(client, request, rng)
                except (aiohttp.ClientError, OSError) as error:
                    request.outcome = f"cut: {type(error).__name__}"
                await asyncio.sleep(rng.uniform(0.05, 0.3))

    async def _send(
        self, client: aiohttp.ClientSession, request: Request, rng: random.Random
    ) -> None:
        headers = {"Host": "ficu95.example", "X-Request-Id": request.id}
        headers["X-Deadline-Ms"] = rng.choice(["4000", "9000"])
        if request.kind.is_stream:
            tokens = 3000 if rng.random() < LONG_PROMPT_SHARE else 300
            part = f"5c1e:{tokens - 100},{request.id[:8]}:100"
            headers |= {"X-Model": "m", "X-Token-Counts": f"{tokens},{request.total}"}
            headers |= {"X-Prompt-Prefix": part}
        url = f"http://{request.node}:{self.ports[0]}{request.kind.prefix}{request.id}"
        method = rng.choice(["POST", "POST", "POST", "GET", "PUT"])
        sending = client.request(method, url, data=b"hello", headers=headers)
        async with sending as response:
            request.status = response.status
            if response.status >= 300:
                request.outcome = "refused"
                await response.read()
                return
            stamp = response.headers.get("X-Answer-Stamp", "")
            if not stamp or response.headers.get("X-Request-Id") != request.id:
                self.break_rule("MIXED", request, f"receipt {stamp!r}")
            if request.kind.is_stream:
                await self._read_events(request, response, stamp)
            else:
                body = await response.read()
                if body != f"{stamp} {request.id}".encode():
                    self.break_rule("MIXED", request, f"body {body[:80]!r}")
            request.outcome = "whole"

    async def _read_events(
        self, request: Request, response: aiohttp.ClientResponse, run: str
    ) -> None:
        """Check every event as it comes: its id, its run, and the request it is of."""
        rest = b""
        async for data in response.content.iter_any():
            *events, rest = (rest + data).split(b"\n\n")
            for event in events:
                match = re.fullmatch(rb"id: (\d+)\ndata: (\w+) (\w+)", event)
                number, token, owner = (
                    (b"0", b"", b"") if match is None else match.groups()
                )
                if int(number) != request.last + 1:
                    text = f"{event!r} came, {request.last + 1} was next"
                    self.break_rule("ORDER", request, text)
                if token.decode() != run and request.kind.runs_once:
                    self.break_rule("ORDER", request, f"{event!r} in run {run}")
                if owner.decode() != request.id:
                    self.break_rule("MIXED", request, f"{event!r}")
                request.last = max(request.last, int(number))
        if rest or request.last != request.total:
            text = f"ended as whole at {request.last} of {request.total}, {rest[:40]!r}"
            self.break_rule("ORDER", request, text)

    def break_rule(self, rule: str, request: Request, text: str) -> None:
        """Note that a rule was broken."""
        self.breaches.append((rule, request.id, text))

    # Faults

    def note(
        self, text: str, seconds: float = 0.0, engines: tuple[Engine, ...] = ()
    ) -> None:
        """Note a fault and the engines that it concerns."""
        now = time.time()
        names = ",".join(engine.name for engine in engines)
        self.faults.append((now, f"{text}, {seconds:.2f} s, {names}"))
        for engine in engines:
            engine.faults.append((now, now + seconds))

    def draw_engines(self) -> tuple[Engine, ...]:
        """Return all or some engines."""
        share = self.rng.choice([0.3, 0.6, 1.0, 1.0])
        return tuple(e for e in self.engines.values() if self.rng.random() < share)

    async def inject(self, seconds: float) -> None:
        """Draw faults and changes, which overlap, until the time is up."""
        until = time.monotonic() + seconds
        faults: list[Callable[[], Awaitable[None]]] = [self._stop_engines] * 4
        faults += [self._harm_proxies] * 5 + [self._reset, self._restart_node]
        while time.monotonic() < until:
            is_taken = await self.change_routes()
            self.note(f"manifest {self._version} taken: {is_taken}")
            for _ in range(self.rng.choice([1, 1, 2])):
                await asyncio.sleep(self.rng.uniform(0.0, 0.4))
                fault = self.rng.choice(faults)
                self._tasks.append(asyncio.ensure_future(fault()))  # type: ignore[arg-type]
            await asyncio.sleep(self.rng.uniform(0.8, 3.0))
        await asyncio.gather(*self._tasks)

    async def _stop_engines(self) -> None:
        """Stop engines, and reset some streams meanwhile or as these go on."""
        engines = self.draw_engines()
        seconds = self.rng.uniform(*FAULT_SECONDS)
        reset_after = self.rng.choice([None, seconds / 2, seconds + 0.1])
        self.note(f"stop, reset after {reset_after}", seconds, engines)
        if reset_after is not None:
            asyncio.get_running_loop().call_later(reset_after, self._reset_all, engines)
        for engine in engines:
            engine.stops += 1
            engine.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        for engine in engines:
            engine.stops -= 1
            if not engine.stops:
                engine.process.send_signal(signal.SIGCONT)

    def _reset_all(self, engines: tuple[Engine, ...]) -> None:
        for proxy in (proxy for engine in engines for proxy in engine.proxies):
            proxy.reset()

    async def _harm_proxies(self) -> None:
        """Silence, stall or delay engines for some nodes, or refuse new connections."""
        engines, what = self.draw_engines(), self.rng.choice(HARMS)
        groups = self.rng.choice([(0,), (1,), (0, 1)])
        seconds = self.rng.uniform(*FAULT_SECONDS)
        self.note(f"{what} in groups {groups}", seconds, engines)
        proxies = [engine.proxies[group] for engine in engines for group in groups]
        await asyncio.gather(*(proxy.harm(what, 1) for proxy in proxies))
        await asyncio.sleep(seconds)
        await asyncio.gather(*(proxy.harm(what, -1) for proxy in proxies))

    async def _reset(self) -> None:
        engines = self.draw_engines()
        self.note("reset", 0.0, engines)
        self._reset_all(engines)

    async def _restart_node(self) -> None:
        """Kill an entry node, and start it again."""
        ip, seconds = self.rng.choice(self.ips), self.rng.uniform(*FAULT_SECONDS)
        process = self.nodes["entry", ip]
        if process.returncode is None:
            self.note(f"kill entry node {ip}", seconds)
            process.kill()
            await process.wait()
            await asyncio.sleep(seconds)
            await self.start_node("entry", ip)

    async def run(self) -> None:
        """Run the trial, and leave its logs in the folder."""
        try:
            await self.start()
            rngs = (
                random.Random(f"{self.seed}/{n}") for n in range(self.options.callers)
            )
            callers = [asyncio.create_task(self.call(rng)) for rng in rngs]
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


async def _fetch_status(method: str, url: str, body: bytes = b"") -> int:
    """Return the status of an answer, or 0 without one."""
    timeout = aiohttp.ClientTimeout(4.0)
    with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
        async with (
            aiohttp.ClientSession(timeout=timeout) as client,
            client.request(method, url, data=body) as response,
        ):
            return response.status
    return 0


class Report:
    """Check the record of a trial's runs, and describe what was seen."""

    def __init__(self, trial: Trial) -> None:
        self.trial = trial
        record = (trial.folder / "runs.jsonl").read_text().splitlines()
        self.lines = sorted(map(json.loads, record), key=lambda line: line["at"])
        self.logs: list[str] = []
        for log in sorted(trial.folder.glob("*-127.*.log")):
            self.logs += log.read_text(errors="replace").splitlines()
        self.runs: dict[str, list[dict[str, Any]]] = defaultdict(list)
        self.arrivals: Counter[str] = Counter()
        ends: dict[tuple[str, str], float] = {}
        for line in self.lines:
            if not line.get("source"):
                change = {"arrives": 1, "refused": -1}
                self.arrivals[line["request"]] += change.get(line["what"], 0)
            if line["what"] == "ends":
                ends[line["run"], line["engine"]] = line["at"]
            if line["what"] == "begins":
                self.runs[line["request"]].append(line)
        for name, runs in self.runs.items():
            self._check(trial.requests.get(name), name, runs, ends)

    def _check(
        self,
        request: Request | None,
        name: str,
        runs: list[dict[str, Any]],
        ends: dict[tuple[str, str], float],
    ) -> None:
        """Check what only the record of the engines shows: UNASKED, TWICE, REFUSED."""
        if request is None:
            self.trial.breaches.append(("UNASKED", name, "no caller sent it"))
            return
        if not request.kind.runs_once:
            return
        new = [run for run in runs if not run["source"]]
        if len(new) > 1:
            self.trial.break_rule("TWICE", request, f"ran {len(new)} times")
        if request.status in NOT_RUN_STATUSES:
            text = f"answered {request.status}, and ran {len(runs)} times"
            self.trial.break_rule("REFUSED", request, text)
        for run, copy in zip(runs, runs[1:], strict=False):
            end = ends.get((run["run"], run["engine"]), float("inf"))
            faults = self.trial.engines[run["engine"]].faults
            # A run that its node can't reach, or that is stopped, may go on.
            is_calm = all(f[0] > end or f[1] < copy["at"] - 2.0 for f in faults)
            if copy["source"] and is_calm and end > copy["at"] + MOVE_ON_SECONDS:
                self.trial.break_rule("TWICE", request, "still ran beside its copy")

    def summarize(self) -> str:
        """Return the figures of the trial in one line."""
        trial = self.trial
        requests = trial.requests.values()
        statuses = Counter(request.status for request in requests)
        runs = [run for runs in self.runs.values() for run in runs]
        lost = [line for line in self.logs if " event=runners-lost " in line]
        once = [request for request in requests if request.kind.runs_once]
        cut = [
            r for r in requests if r.kind.is_stream and r.last and r.outcome != "whole"
        ]
        figures = {
            "requests": len(requests),
            "whole": sum(request.outcome == "whole" for request in requests),
            "runs": len(runs),
            "from a copy": sum(bool(run["source"]) for run in runs),
            "relays": sum(" event=request-relayed " in line for line in self.logs),
            "runners-lost at nodes": len(
                {line.rpartition("node=")[2] for line in lost}
            ),
            "cut streams": len(cut),
            **{str(status): statuses[status] for status in (502, 503, 504)},
            "no answer": statuses[0],
            "once but arrived again": sum(self.arrivals[r.id] > 1 for r in once),
            "rules broken": len(trial.breaches),
        }
        text = ", ".join(f"{name} {value}" for name, value in figures.items())
        size = f"nodes {len(trial.ips)}, engines {trial.options.engines}"
        return f"seed {trial.seed}, {size}: {text}"

    def describe(self, breach: tuple[str, str, str]) -> str:
        """Return a broken rule with all that was logged for its request."""
        rule, name, text = breach
        lines = [line for line in self.logs if name in line]
        for line in self.lines:
            if line["request"] == name:
                lines.append(f"{_format_time(line['at'])} {json.dumps(line)}")
        request = self.trial.requests.get(name)
        if request is not None:
            lines.append(f"{_format_time(request.sent_at)} sent: {request}")
            for at, fault in self.trial.faults:
                if request.sent_at - 4.0 < at < request.sent_at + 10.0:
                    lines.append(f"{_format_time(at)} fault: {fault}")
        return "\n    ".join([f"{rule} {name}: {text}", *sorted(lines)])


def _format_time(at: float) -> str:
    text = time.strftime("time=%Y-%m-%dT%H:%M:%S", time.gmtime(at))
    return f"{text}.{int(at % 1 * 1000):03d}+00:00"


def parse_arguments() -> argparse.Namespace:
    """Return the command-line options."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--rounds", type=int, default=1, help="how many seeds")
    parser.add_argument("--seconds", type=float, default=13.0)
    parser.add_argument("--nodes", type=int, default=16)
    parser.add_argument("--engines", type=int, default=12)
    parser.add_argument("--callers", type=int, default=60)
    parser.add_argument("--bare", type=float, default=0.0, help="share of bare 503")
    parser.add_argument("--tree", type=Path, default=ROOT, help="the code to run")
    parser.add_argument("--logs", type=Path, help="folder to keep the logs in")
    return parser.parse_args()


def main() -> int:
    """Run the seeds one at a time; return 1 if a rule broke."""
    options = parse_arguments()
    signal.signal(signal.SIGTERM, signal.default_int_handler)
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
