"""Simulate forwarders that hedge, before three plain runners of six slots."""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from hawthornshelf.crashtable import CrashTable
from hawthornshelf.gateway.budget import RetryBudget, RetryLimits
from hawthornshelf.gateway.exchange import (
    Attempt,
    AttemptFailed,
    EngineLoad,
    InboundRequest,
    KvCacheHandle,
    RunnerClient,
    RunnerResponse,
    StoppedRun,
)
from hawthornshelf.gateway.forwarder import Forwarder
from hawthornshelf.gateway.routes import (
    RetryPolicy,
    Route,
    RouteTable,
    ServiceSpec,
    Split,
)
from hawthornshelf.gateway.runners import Runner, RunnerList, RunnerState, RunnerTable
from hawthornshelf.metrics import Metrics
from hawthornshelf.ratelimits import RateLimitTable
from tests.gateway.fakes import Caller, FakeResponse, grant_permit
from tests.gateway.load import VirtualClock

__all__ = ["SLOTS", "HedgeFleet", "Send"]

RUNNERS = ("a", "b", "c")
SLOTS = 6
CALLER_SECONDS = 3.0
SHORTEST_SECONDS, LONGEST_SECONDS = 0.02, 0.06
SLOW_SECONDS, SLOW_EVERY_SECONDS = 0.6, 4.0
"""One runner is slow for 15 % of the time."""

ROUTE = Route(
    name="lookup",
    host="h",
    prefix="/lookup/",
    retry_policy=RetryPolicy.SAFE,
    timeout=10.0,
    target=0.4,
    priority=1,
    splits=(Split("app", 1),),
    max_attempts=2,
)


@dataclass
class Send:
    """Record one send as its runner sees it; `ended_at` is infinite while it is open.

    `is_hedge` means that another send of the request was open when it came.
    """

    request: str
    runner: str
    at: float
    is_hedge: bool
    seconds_left: float
    ended_at: float = float("inf")
    is_cancelled: bool = False


Script = Callable[[Attempt, int], tuple[float, FakeResponse | AttemptFailed]]
"""Return after how long a send has an answer, and which; given its number from 0."""


@dataclass
class HedgeFleet(RunnerClient):
    """Run forwarders before runners of which "a" is slow for some time now and then.

    `slowness` is by how much it is then. With `script` it says what becomes of sends.
    """

    share: float
    seed: int = 1
    nodes: int = 1
    rate: float = 60.0
    slowness: float = 1.0
    route: Route = ROUTE
    limits: RetryLimits = RetryLimits(0.2, 60.0, 10.0)
    script: Script | None = None
    sends: list[Send] = field(default_factory=list)
    responses: list[FakeResponse] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)
    seconds: list[float] = field(default_factory=list)
    ends: Counter[str] = field(default_factory=Counter)
    wrong_answers: int = 0
    probes: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.clock = VirtualClock()
        self.crashes = CrashTable()
        self.rates = RateLimitTable()
        self.metrics = [Metrics() for _ in range(self.nodes)]
        self.tables: list[RunnerTable] = []
        self.forwarders = [self._make_forwarder(n) for n in range(self.nodes)]
        self._open: Counter[str] = Counter()
        self._numbers = itertools.count()

    def _make_forwarder(self, number: int) -> Forwarder:
        runners = RunnerTable("dc", random.Random(number))
        listed = [Runner(name, "app", name, "dc", SLOTS, boot=1) for name in RUNNERS]
        runners.load(RunnerList(tuple(listed), 0.0))
        self.tables.append(runners)
        forwarder = Forwarder(
            self,
            runners,
            RetryBudget(self.limits),
            self.metrics[number],
            self.clock,
            random.Random(self.seed + number),
            lambda: self.nodes,
            lambda: 1.0,
            self.crashes,
            self.rates,
            grant_permit,
            hedge_share=self.share,
        )
        forwarder.load(RouteTable(1, (self.route,), (ServiceSpec("app"),)))
        return forwarder

    @property
    def hedges(self) -> list[Send]:
        """Return the sends that were hedges."""
        return [send for send in self.sends if send.is_hedge]

    def state(self, name: str) -> RunnerState:
        """Return what the first node knows of a runner."""
        state = self.tables[0].find(name)
        assert state is not None
        return state

    def sends_of(self, request: str) -> list[Send]:
        """Return the sends of one request."""
        return [send for send in self.sends if send.request == request]

    def exported(self, name: str) -> float:
        """Return the sum of a metric over all nodes, 0 if none exports it."""
        lines = [
            line
            for metrics in self.metrics
            for line in metrics.export({}).decode().splitlines()
            if line.startswith(name)
        ]
        return sum(float(line.split()[-1]) for line in lines)

    async def send(self, attempt: Attempt) -> RunnerResponse:
        request, now = attempt.inbound.request_id, self.clock.monotonic()
        earlier = self.sends_of(request) if self.script else self.sends[-400:]
        is_hedge = any(s.request == request and s.ended_at > now for s in earlier)
        send = Send(request, attempt.runner.name, now, is_hedge, attempt.seconds_left)
        self.sends.append(send)
        try:
            reply = await self._answer(attempt, len(earlier))
        except asyncio.CancelledError:
            send.is_cancelled = True
            raise
        finally:
            send.ended_at = self.clock.monotonic()
        if isinstance(reply, AttemptFailed):
            raise reply
        self.responses.append(reply)
        return reply

    async def _answer(
        self, attempt: Attempt, number: int
    ) -> FakeResponse | AttemptFailed:
        request, name = attempt.inbound.request_id, attempt.runner.name
        if request.startswith("warm"):
            await asyncio.sleep(LONGEST_SECONDS - 0.0001 * int(request[4:]))
            return FakeResponse(chunks=(request.encode(),))
        if self.script is not None:
            seconds, reply = self.script(attempt, number)
            await asyncio.sleep(seconds)
            return reply
        if self._open[name] >= SLOTS:
            return FakeResponse(503, refuses=True)
        self._open[name] += 1
        try:
            await self._work(name)
        finally:
            self._open[name] -= 1
        return FakeResponse(chunks=(request.encode(),))

    async def _work(self, name: str) -> None:
        left = self.rng.uniform(SHORTEST_SECONDS, LONGEST_SECONDS)
        while left > 1e-9:
            phase = self.clock.monotonic() % SLOW_EVERY_SECONDS
            is_slow = name == "a" and phase < SLOW_SECONDS
            until = SLOW_SECONDS if phase < SLOW_SECONDS else SLOW_EVERY_SECONDS
            factor = self.slowness if is_slow else 1.0
            seconds = min(left * factor, until - phase + 1e-6)
            await asyncio.sleep(seconds)
            left -= seconds / factor

    async def prefill(self, attempt: Attempt) -> KvCacheHandle:
        raise AssertionError("no prompt is prefilled here")

    async def drop_handle(self, handle: KvCacheHandle) -> None:
        """Do nothing: no KV cache is kept here."""

    async def read_load(self, runner: Runner) -> EngineLoad:
        return EngineLoad(0, 0)

    async def probe(self, runner: Runner, health_path: str) -> int:
        self.probes += 1
        return runner.boot

    async def stop_run(
        self, runner: Runner, request_id: str, to: str
    ) -> StoppedRun | None:
        return None

    def inbound(
        self, name: str, seconds: float = CALLER_SECONDS, **changes: object
    ) -> InboundRequest:
        """Return a request that comes now."""
        now = self.clock.monotonic()
        return InboundRequest(
            name, "GET", "/lookup/x", "h", (), b"", now, now + seconds, **changes
        )

    async def ask(self, name: str, seconds: float = CALLER_SECONDS) -> Caller:
        """Serve one request to its end."""
        caller = Caller()
        await self.forwarders[0].serve(self.inbound(name, seconds), caller)
        return caller

    async def warm_up(self, count: int = 200) -> None:
        """Serve requests one after the other, so that the delay is known.

        Each takes less time than the one before, so that none is hedged.
        """
        for number in range(count):
            assert (await self.ask(f"warm{number}")).status == 200

    async def _serve_one(self) -> None:
        name, now = f"r{next(self._numbers)}", self.clock.monotonic()
        self.arrivals.append(now)
        caller = Caller()
        node = self.rng.choice(self.forwarders)
        await node.serve(self.inbound(name), caller)
        self.ends["served" if caller.status == 200 else caller.reason] += 1
        if caller.status == 200:
            self.seconds.append(self.clock.monotonic() - now)
            self.wrong_answers += caller.data != name.encode()

    async def play(self, seconds: float) -> None:
        """Serve requests at the given rate for some seconds, and finish them."""
        async with asyncio.TaskGroup() as callers:
            while self.clock.monotonic() < seconds:
                callers.create_task(self._serve_one())
                await asyncio.sleep(self.rng.expovariate(self.rate))

    def quantile(self, share: float) -> float:
        """Return the time within which a share of the served requests had an answer."""
        return sorted(self.seconds)[int(share * len(self.seconds))]
