"""Let engines fall silent and cut nodes off; record each run and what callers get."""

import asyncio
import random
import re
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import NamedTuple

from hawthornshelf.commands import ReplaceRoutes
from hawthornshelf.gateway.exchange import (
    NOT_RUN_STATUSES,
    Attempt,
    AttemptFailed,
    Header,
    InboundRequest,
    KvCacheHandle,
    Prompt,
    RunnerResponse,
    StoppedRun,
)
from hawthornshelf.gateway.forwarder import Forwarder
from hawthornshelf.gateway.routes import RouteTable, is_newer
from hawthornshelf.gateway.runners import Runner
from tests.gateway import fakes
from tests.gateway.controlfleet import ControlFleet
from tests.gateway.crashfleet import (
    CONNECT_SECONDS,
    HOP_SECONDS,
    LONG,
    RUN_SECONDS,
    SHORT,
    Entry,
    SimClient,
    SimRunner,
)
from tests.gateway.fakes import Caller

__all__ = ["run_soak"]

SECONDS = 8.0
BUDGET_SECONDS = 5.0
WAKE_SECONDS = 3.5
"""Time after the last request in which a silent engine may still run it."""

OVERLAP_SECONDS = 0.4
"""Time for which two engines may work on one request."""

NOTICES = (0.0, 0.3, 1.5, float("inf"))
"""Seconds after which an engine drops a run whose connection has closed."""

EVENTS = 16
EVENT_SECONDS = 0.12
ONCE_STREAM, RESUMABLE, ONCE = "/read/x", "/talk/x", "/once/x"
KINDS: tuple[tuple[str, Prompt | None], ...] = (
    *((ONCE_STREAM, SHORT),) * 3,
    (ONCE_STREAM, LONG),
    (RESUMABLE, SHORT),
    (ONCE, None),
)
SIZES = ((5, 50.0), (5, 50.0), (30, 60.0), (80, 120.0))
"""Numbers of nodes, each with the requests in a second."""

_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) piece\n\n")


class Run(NamedTuple):
    """Represent one run at engines; a continuation from its copy is the same run."""

    token: bytes
    body: bytes


@dataclass(eq=False)
class Work:
    """Represent what one engine does for one request, sent at one time, until another.

    `node` is the client of the node that sent it.
    """

    request: str
    body: bytes
    runner: SimRunner
    run: Run
    node: "_Client"
    sent_at: float
    until: float


class Ask(NamedTuple):
    """Record one request and what its caller got."""

    path: str
    body: bytes
    resume_after: int
    caller: Caller


def make_table(number: int) -> RouteTable:
    """Return a document with another time-out and other attempts than the last one."""
    changes = {"timeout": 4.0 + number % 3, "max_attempts": 1 + number % 2}
    routes = tuple(route._replace(**changes) for route in fakes.TABLE.routes)
    return fakes.TABLE._replace(number=number, routes=routes)


class RunFleet(ControlFleet):
    """Simulate engines that keep copies, lie unread while silent, and reset streams.

    `accepting` names the silent engines whose machine still accepts connections.
    `shares` has that of attempts over connections that are open already ("kept"), of
    streams and unread requests that engines reset as they go on ("reset"), of events at
    which a cut node's stream breaks ("break"), or one between two nodes ("hop").
    """

    def __post_init__(self) -> None:
        super().__post_init__()
        self.draws = random.Random(f"{self.seed}/draws")
        self.runs: list[Run] = []
        self.copies: dict[tuple[str, str], Run] = {}
        self.works: list[Work] = []
        self.overlaps: set[bytes] = set()
        draws = random.Random(f"{self.seed}/notices")
        self.notices = {r.address: draws.choice(NOTICES) for r in self.runners}
        self.accepting: set[str] = set()
        self.shares: dict[str, float] = {"kept": 0.0, "hop": 0.0}
        self.breaks_hop = lambda: self.draws.random() < self.shares["hop"]
        self.document = 0
        self.counts: Counter[str] = Counter()
        self.publish()

    def publish(self) -> None:
        """Put another route document into force."""
        self.document += 1
        self.apply(ReplaceRoutes(self.document, b"%d" % self.document))

    def load_first_routes(self, forwarder: Forwarder) -> None:
        """Load nothing: the control group tells a node its routes."""

    def follow_view(self, entry: Entry) -> None:
        routes = entry.core.view.routes
        if routes and is_newer(routes.number, entry.forwarder.route_number):
            entry.forwarder.load(make_table(routes.number))

    def estimate_streams(self, entry: Entry) -> float:
        """Return so many that all engines are used for interactive requests."""
        return 1000.0

    def make_client(self, node: str) -> SimClient:
        return _Client(self, node)

    def is_silent(self, runner: SimRunner) -> bool:
        return self.clock.monotonic() < runner.silent_until

    async def wake(self, runner: SimRunner) -> bool:
        """Wait until a runner is no longer silent; return whether it was."""
        was_silent = self.is_silent(runner)
        while self.is_silent(runner):
            await asyncio.sleep(runner.silent_until - self.clock.monotonic() + 1e-6)
        return was_silent

    async def serve(
        self, client: "_Client", runner: SimRunner, attempt: Attempt
    ) -> "_Response":
        """Run a request, however late, whether or not its node still waits."""
        was_silent = await self.wake(runner)
        self._reset(attempt, was_silent)
        run = self._begin(runner, attempt)
        if run is None:
            return _Response(self, client, runner, attempt, Run(b"", b""), 503, True)
        self._reset(attempt, was_silent)
        if attempt.inbound.prompt is None:
            await asyncio.sleep(RUN_SECONDS)
            await self.wake(runner)
        is_error = attempt.inbound.prompt is None and self.draws.random() < 0.03
        status = 503 if is_error else 200
        return _Response(self, client, runner, attempt, run, status)

    def _reset(self, attempt: Attempt, was_silent: bool) -> None:
        """Reset some connections of engines that go on."""
        if was_silent and self.draws.random() < 0.5 * self.shares["reset"]:
            raise AttemptFailed("send", attempt.runner.name, "reset", sent=True)

    def _begin(self, runner: SimRunner, attempt: Attempt) -> Run | None:
        """Return a new run, or that of a copy, None if there is none or no room."""
        if _is_continuation(attempt):
            key = (runner.address, attempt.inbound.request_id)
            copied = self.copies.pop(key, None)
            self.counts["continued" if copied else "no-copy"] += 1
            return copied
        if self.draws.random() < 0.02:
            return None
        self.runs.append(Run(b"t%d" % len(self.runs), attempt.inbound.body))
        return self.runs[-1]

    def begin_work(self, client: "_Client", response: "_Response") -> Work:
        """Note that an engine works for a request; look later if another one does."""
        inbound, now = response.attempt.inbound, self.clock.monotonic()
        work = Work(
            inbound.request_id,
            inbound.body,
            response.runner,
            response.run,
            client,
            client.sent_at.pop(id(response.attempt)),
            now + EVENTS * EVENT_SECONDS,
        )
        for other in self.find_works(work.request):
            first = min(work, other, key=lambda work: work.sent_at)
            loop = asyncio.get_running_loop()
            loop.call_later(OVERLAP_SECONDS, self._check_overlap, first)
        self.works.append(work)
        return work

    def find_works(self, request: str) -> list[Work]:
        return [work for work in self.works if work.request == request]

    def _check_overlap(self, work: Work) -> None:
        """Note a work that goes on beside a later one though its node reaches it."""
        now = self.clock.monotonic()
        is_silent = now < work.runner.silent_until + OVERLAP_SECONDS
        is_cut = bool(work.node.cut) or work.runner.address in work.node.refuses
        if work.until > now and not is_silent and not is_cut:
            self.overlaps.add(work.body)

    def stop_work(self, runner: SimRunner, request: str, to: str) -> StoppedRun | None:
        """Stop what an engine does for a request, and copy its run elsewhere."""
        now = self.clock.monotonic()
        works = [w for w in self.find_works(request) if w.runner is runner]
        going_on = [work for work in works if work.until > now]
        for work in going_on:
            work.until = now
            self.copies[to, request] = work.run
            self.counts["stopped"] += 1
        handle = KvCacheHandle(runner.address, request)
        return StoppedRun(handle, True) if going_on else None

    def keep_copy(self, attempt: Attempt, run: Run) -> None:
        """Let the engine named as backup have a copy, unless it is silent."""
        if attempt.backup and not self.is_silent(self.by_address[attempt.backup]):
            self.copies[attempt.backup, attempt.inbound.request_id] = run


def _is_continuation(attempt: Attempt) -> bool:
    source = attempt.source
    return source is not None and source.handle == attempt.inbound.request_id


@dataclass(eq=False)
class _Response(RunnerResponse):
    """Stream the events of a run, each in two parts."""

    fleet: RunFleet
    client: "_Client"
    runner: SimRunner
    attempt: Attempt
    run: Run
    status: int = 200
    not_run: bool = False
    headers: tuple[Header, ...] = ()

    def __post_init__(self) -> None:
        self.is_stream = self.attempt.inbound.prompt is not None and not self.not_run
        self.work: Work | None = None
        if self.is_stream:
            self.work = self.fleet.begin_work(self.client, self)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield events; only a copy or a resumable route lets a run begin later."""
        attempt, fleet = self.attempt, self.fleet
        may_go_on = _is_continuation(attempt) or attempt.inbound.path == RESUMABLE
        first = int(attempt.resume_after or 0) + 1 if may_go_on else 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            self._break("reset", await fleet.wake(self.runner))
            is_cut = self.client.cut or self.runner.address in self.client.refuses
            self._break("break", bool(is_cut))
            fleet.keep_copy(attempt, self.run)
            data = b"id: %d\ndata: %s piece\n\n" % (number, self.run.token)
            yield data[:9]
            self._break("reset", await fleet.wake(self.runner))
            yield data[9:]
        if self.work is not None:
            self.work.until = fleet.clock.monotonic()

    def _break(self, kind: str, does_apply: bool) -> None:
        if does_apply and self.fleet.draws.random() < self.fleet.shares[kind]:
            self.fleet.counts["broken"] += 1
            raise AttemptFailed("read answer", self.runner.name, "reset", sent=True)

    async def read(self) -> bytes:
        return self.run.token

    def close(self) -> None:
        """Let the run end once its engine notices, if it does."""
        if self.work is not None:
            notice = self.fleet.notices[self.runner.address]
            now = self.fleet.clock.monotonic()
            self.work.until = min(self.work.until, now + notice)


class _Client(SimClient):
    """Carry attempts over kept connections or new ones, which may not come about."""

    _fleet: RunFleet

    def __init__(self, fleet: RunFleet, node: str) -> None:
        super().__init__(fleet, node)
        self.sent_at: dict[int, float] = {}

    async def _connect(self, runner: Runner) -> SimRunner:
        """Return the runner at an address once a connection to it is open."""
        await asyncio.sleep(HOP_SECONDS)
        found = self._fleet.by_address[runner.address]
        if self._fleet.draws.random() < self._fleet.shares["kept"]:
            return found
        await self._cross(runner.name)
        self._find(runner.address, runner.name)
        accepts = runner.address in self._fleet.accepting
        if self._fleet.is_silent(found) and not accepts:
            await asyncio.sleep(CONNECT_SECONDS)
            raise AttemptFailed("connect", runner.name, "time-out", sent=False)
        return found

    async def _reach(self, runner: Runner, kind: str) -> SimRunner:
        found = await self._connect(runner)
        await self._fleet.wake(found)
        return found

    async def send(self, attempt: Attempt) -> RunnerResponse:
        self.sent_at[id(attempt)] = self._fleet.clock.monotonic()
        found = await self._connect(attempt.runner)
        serving = asyncio.ensure_future(self._fleet.serve(self, found, attempt))
        try:
            return await asyncio.shield(serving)
        except asyncio.CancelledError:
            serving.add_done_callback(_close)
            raise

    async def stop_run(
        self, runner: Runner, request_id: str, to: str
    ) -> StoppedRun | None:
        found = await self._reach(runner, "stop")
        return self._fleet.stop_work(found, request_id, to)


def _close(serving: "asyncio.Future[_Response]") -> None:
    """Close a response that came after its node had given the request up."""
    if not serving.cancelled() and serving.exception() is None:
        serving.result().close()


async def _disturb(fleet: RunFleet, rng: random.Random, until: float) -> None:
    """Silence engines and cut nodes off in rounds, with calm between."""
    while (now := fleet.clock.monotonic()) < until:
        if rng.random() < 0.6:
            fleet.publish()
        fleet.shares["kept"] = rng.choice((0.0, 0.2, 0.5))
        fleet.shares["reset"] = rng.choice((0.2, 0.5, 0.9))
        fleet.shares["break"] = rng.choice((0.0, 0.1, 0.3))
        fleet.shares["hop"] = rng.choice((0.0, 0.05, 0.2))
        accepting = rng.choice((0.0, 0.3, 1.0))
        share = rng.choice((0.0, 0.3, 0.6, 1.0))
        for runner in fleet.runners:
            if rng.random() < share:
                runner.silent_until = now + rng.uniform(1.0, 3.3)
            fleet.accepting.discard(runner.address)
            if rng.random() < accepting:
                fleet.accepting.add(runner.address)
        _cut_nodes(fleet, rng)
        await asyncio.sleep(rng.uniform(0.5, 1.5))
        for entry in fleet.entries.values():
            entry.client.cut, entry.client.refuses = "", set()
        await asyncio.sleep(rng.uniform(0.2, 2.0))


def _cut_nodes(fleet: RunFleet, rng: random.Random) -> None:
    """Cut some nodes off from some or all engines."""
    share = rng.choice((0.2, 0.5, 0.8))
    addresses = sorted(fleet.by_address)
    chosen = [e for e in fleet.entries.values() if rng.random() < share]
    for entry in chosen:
        if rng.random() < 0.3:
            entry.client.cut = rng.choice(("refused", "hanging"))
        else:
            count = rng.randint(2, len(addresses) - 1)
            entry.client.refuses = set(rng.sample(addresses, count))


def run_soak(seed: int) -> tuple[list[str], Counter[str]]:
    """Play one seed; return broken rules, and counts of what may break them."""
    rng = random.Random(f"{seed}/runs")
    nodes, rate = SIZES[seed % len(SIZES)]
    slack = rng.choice((5.0, 20.0, 60.0))
    engines = rng.choice((12, 24))
    fleet = RunFleet(seed, nodes, engines, apps=6, prefillers=2, retry_slack=slack)
    asks: list[Ask] = []

    async def ask(number: int) -> None:
        path, prompt = rng.choice(KINDS)
        after = 2 if path == RESUMABLE and rng.random() < 0.3 else 0
        asked = Ask(path, b"%d" % number, after, Caller())
        asks.append(asked)
        now = fleet.clock.monotonic()
        request = (f"r{number}", "POST", path, "h", (), asked.body)
        inbound = InboundRequest(
            *request, now, now + BUDGET_SECONDS, prompt, str(after or "")
        )
        await fleet.draw_entry().forwarder.serve(inbound, asked.caller)

    async def play(fleet: RunFleet) -> None:
        until = fleet.clock.monotonic() + SECONDS
        async with asyncio.TaskGroup() as group:
            group.create_task(_disturb(fleet, rng, until))
            while fleet.clock.monotonic() < until:
                group.create_task(ask(len(asks)))
                await asyncio.sleep(rng.expovariate(rate))
        await asyncio.sleep(WAKE_SECONDS)

    fleet.run(play)  # type: ignore[arg-type]
    for entry in fleet.entries.values():
        fleet.counts["relayed"] += entry.forwarder.relayed_requests
    fleet.counts.update(f"{asked.path} {asked.caller.status}" for asked in asks)
    runs = Counter(run.body for run in fleet.runs)
    faults = [f"{f} {a.path} {a.body!r}" for a in asks for f in _judge(a, runs)]
    faults += [f"TWICE: side by side {body!r}" for body in sorted(fleet.overlaps)]
    return faults, fleet.counts


def _judge(asked: Ask, runs: Counter[bytes]) -> list[str]:
    """Return the rules that were broken for one request."""
    caller, faults, count = asked.caller, [], runs[asked.body]
    may_run_once = asked.path != RESUMABLE
    if may_run_once and count > 1:
        faults.append(f"TWICE: {count} runs")
    if may_run_once and caller.status in NOT_RUN_STATUSES and count:
        faults.append(f"REFUSED: {caller.status} for a run")
    if asked.path == ONCE or caller.status != 200:
        return faults
    found = _EVENT.findall(caller.data)
    ids = [int(number) for number, _ in found]
    first = asked.resume_after + 1
    is_unsplit = not _EVENT.sub(b"", caller.data)
    if ids != list(range(first, first + len(ids))) or not is_unsplit:
        faults.append(f"ORDER: {ids}")
    if caller.ended and first + len(ids) != EVENTS + 1:
        faults.append(f"SHORT: {ids}")
    if may_run_once and len({token for _, token in found}) > 1:
        faults.append("JOINED")
    return faults
