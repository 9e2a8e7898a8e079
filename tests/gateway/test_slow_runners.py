"""Test when a request is taken from a runner that has not answered yet.

Three runners with room for all take from 0.1 to some seconds, by the request. Callers
wait for 5.5 s. Sound runners are slow here; a silent one answers nothing.
"""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

import pytest

from hawthornshelf.crashtable import CrashTable
from hawthornshelf.gateway.budget import RetryBudget, RetryLimits
from hawthornshelf.gateway.exchange import (
    Attempt,
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
from hawthornshelf.gateway.runners import Runner, RunnerList, RunnerTable
from hawthornshelf.metrics import Metrics
from hawthornshelf.ratelimits import RateLimitTable
from tests.gateway.fakes import Caller, FakeResponse, grant_permit
from tests.gateway.load import VirtualClock, run_in_virtual_time

CALLER_SECONDS = 5.5
SECONDS = 20.0
SILENT_FROM, SILENT_UNTIL = 5.0, 15.0
RUNNERS = ("a", "b", "c")
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
class SlowFleet(RunnerClient):
    """Run forwarders before runners that are slow, and maybe one that is silent."""

    seed: int
    nodes: int
    longest: float
    rate: float = 60.0
    silent: str = ""
    limits: RetryLimits = RetryLimits(0.2, 60.0, 10.0)
    durations: dict[str, float] = field(default_factory=dict)
    runs: Counter[str] = field(default_factory=Counter)
    ends: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.clock = VirtualClock()
        self.forwarders = [self._make_forwarder(n) for n in range(self.nodes)]

    def _make_forwarder(self, number: int) -> Forwarder:
        runners = RunnerTable("dc", random.Random(number))
        listed = [Runner(name, "app", name, "dc", 200) for name in RUNNERS]
        runners.load(RunnerList(tuple(listed), 0.0))
        forwarder = Forwarder(
            self,
            runners,
            RetryBudget(self.limits),
            Metrics(),
            self.clock,
            random.Random(self.seed + number),
            lambda: self.nodes,
            lambda: 1.0,
            CrashTable(),
            RateLimitTable(),
            grant_permit,
        )
        forwarder.load(RouteTable(1, (ROUTE,), (ServiceSpec("app"),)))
        return forwarder

    async def send(self, attempt: Attempt) -> RunnerResponse:
        request = attempt.inbound.request_id
        self.runs[request] += 1
        is_silent = SILENT_FROM <= self.clock.monotonic() < SILENT_UNTIL
        if attempt.runner.name == self.silent and is_silent:
            await asyncio.sleep(60.0)
        await asyncio.sleep(self.durations[request])
        return FakeResponse()

    async def prefill(self, attempt: Attempt) -> KvCacheHandle:
        raise AssertionError("no prompt is prefilled here")

    async def drop_handle(self, handle: KvCacheHandle) -> None:
        """Do nothing: no KV cache is kept here."""

    async def read_load(self, runner: Runner) -> EngineLoad:
        return EngineLoad(0, 0)

    async def probe(self, runner: Runner, health_path: str) -> int:
        return runner.boot

    async def stop_run(
        self, runner: Runner, request_id: str, to: str
    ) -> StoppedRun | None:
        return None

    async def _ask(self, number: int) -> None:
        name, now = f"r{number}", self.clock.monotonic()
        self.durations[name] = self.rng.uniform(0.1, self.longest)
        caller = Caller()
        request = InboundRequest(
            name, "GET", "/lookup/x", "h", (), b"", now, now + CALLER_SECONDS, None, ""
        )
        await self.rng.choice(self.forwarders).serve(request, caller)
        self.ends["served" if caller.status == 200 else caller.reason] += 1

    async def _play(self) -> None:
        async with asyncio.TaskGroup() as callers:
            for number in itertools.count():
                if self.clock.monotonic() >= SECONDS:
                    break
                callers.create_task(self._ask(number))
                await asyncio.sleep(self.rng.expovariate(self.rate))

    def play(self) -> float:
        """Serve all requests and return the share that was served."""
        run_in_virtual_time(self.clock, self._play())
        print(f"{self.ends.most_common(4)}, {self.count_resent()} run again")
        return self.ends["served"] / self.ends.total()

    def count_resent(self) -> int:
        """Return how many requests went to a second runner."""
        return sum(count > 1 for count in self.runs.values())


@pytest.mark.parametrize("longest", [1.0, 3.1, 4.5])
@pytest.mark.parametrize("nodes", [1, 10])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_sound_run_is_given_up_with_nothing_better_to_be_had(
    seed: int, nodes: int, longest: float
) -> None:
    fleet = SlowFleet(seed, nodes, longest)
    assert fleet.play() == 1.0


@pytest.mark.parametrize("nodes", [1, 10])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_spent_retry_budget_ends_a_request_whose_runner_is_at_work(
    seed: int, nodes: int
) -> None:
    fleet = SlowFleet(seed, nodes, 3.1, limits=RetryLimits(0.0, 0.0, 10.0))
    assert fleet.play() == 1.0
    assert fleet.count_resent() == 0


@pytest.mark.parametrize(("longest", "share"), [(0.3, 0.99), (1.0, 0.99)])
@pytest.mark.parametrize("nodes", [1, 10])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_silent_runner_costs_its_callers_their_whole_time(
    seed: int, nodes: int, longest: float, share: float
) -> None:
    fleet = SlowFleet(seed, nodes, longest, rate=10.0, silent="b")
    assert fleet.play() >= share
