"""Simulate a load of long prompts on forwarders and engines in virtual time."""

import asyncio
import heapq
import itertools
import math
import random
import selectors
from collections.abc import AsyncIterator, Coroutine
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import TypeVar

from hawthornshelf.clock import Clock
from hawthornshelf.crashtable import CrashTable
from hawthornshelf.gateway.budget import RetryBudget, RetryLimits
from hawthornshelf.gateway.exchange import (
    Attempt,
    AttemptFailed,
    EngineLoad,
    Header,
    InboundRequest,
    KvCacheHandle,
    Prompt,
    PromptSegment,
    RunnerClient,
    RunnerResponse,
    StoppedRun,
)
from hawthornshelf.gateway.forwarder import Forwarder
from hawthornshelf.gateway.placement import LONG_PROMPT_TOKENS
from hawthornshelf.gateway.routes import RetryPolicy, Route, RouteTable, Split
from hawthornshelf.gateway.runners import Runner, RunnerList, RunnerTable, Stage
from hawthornshelf.metrics import Metrics
from hawthornshelf.ratelimits import RateLimitTable
from tests.gateway.fakes import Caller, event, grant_permit

__all__ = ["LoadSimulation", "Outcome", "VirtualClock", "run_in_virtual_time"]

NODES = 10
MEAN_TOKENS = 3000
MAX_TOKENS = 18_000
TOKENS_PER_SECOND = 300_000.0
TARGET_SECONDS, MIN_BUDGET_SECONDS, MAX_BUDGET_SECONDS = 0.2, 1.7, 2.0
TRANSFER_SECONDS = 0.01
WORK_SECONDS = 0.002
"""Time that work takes which an executor would run, such as a write to a disk."""


class VirtualClock(Clock):
    """Advance only while the event loop waits for a timer."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def monotonic(self) -> float:
        return self.seconds

    def now(self) -> datetime:
        return datetime.fromtimestamp(self.seconds, UTC)


class _Selector(selectors.SelectSelector):
    def __init__(self, clock: VirtualClock) -> None:
        super().__init__()
        self._clock = clock

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        assert timeout is not None, "deadlock: no timer is scheduled"
        self._clock.seconds += max(0.0, timeout)
        return super().select(0)


class _Loop(asyncio.SelectorEventLoop):
    def __init__(self, clock: VirtualClock) -> None:
        super().__init__(_Selector(clock))
        self._clock = clock

    def time(self) -> float:
        return self._clock.seconds

    def run_in_executor(self, executor, func, *args):  # type: ignore[no-untyped-def]
        """Run the work of another thread in this one, and take some time for it."""
        future = self.create_future()
        self.call_later(WORK_SECONDS, self._run_work, future, func, args)
        return future

    def _run_work(self, future, func, args) -> None:  # type: ignore[no-untyped-def]
        if future.done():
            return
        try:
            future.set_result(func(*args))
        except Exception as error:
            future.set_exception(error)


T = TypeVar("T")


def run_in_virtual_time(clock: VirtualClock, main: Coroutine[object, object, T]) -> T:
    """Run a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=lambda: _Loop(clock)) as runner:
        return runner.run(main)


class _Engine:
    """Prefill prompts one at a time, by priority and then by age."""

    def __init__(self, clock: VirtualClock, tokens_per_second: float) -> None:
        self._clock = clock
        self._tokens_per_second = tokens_per_second
        self._queue: list[tuple[int, int, float, int, asyncio.Future[bool]]] = []
        self._numbers = itertools.count()
        self._busy = False
        self.prefill_seconds = 0.0

    async def prefill(self, tokens: int, priority: int, seconds_left: float) -> bool:
        """Return True once a prompt is prefilled, or False if its time ran out."""
        done = asyncio.get_running_loop().create_future()
        deadline = self._clock.monotonic() + seconds_left
        heapq.heappush(
            self._queue, (priority, next(self._numbers), deadline, tokens, done)
        )
        if not self._busy:
            self._busy = True
            asyncio.get_running_loop().create_task(self._prefill_queue())
        return await done

    async def _prefill_queue(self) -> None:
        while self._queue:
            _, _, deadline, tokens, done = heapq.heappop(self._queue)
            if done.done():
                continue
            if self._clock.monotonic() >= deadline:
                done.set_result(False)
                continue
            seconds = tokens / self._tokens_per_second
            await asyncio.sleep(seconds)
            self.prefill_seconds += seconds
            if not done.done():
                done.set_result(True)
        self._busy = False


class _Response(RunnerResponse):
    def __init__(self) -> None:
        self.status, self.is_stream, self.not_run = 200, True, False
        self.headers: tuple[Header, ...] = ()

    async def chunks(self) -> AsyncIterator[bytes]:
        yield event(1)
        yield event(2)

    async def read(self) -> bytes:
        return b""

    def close(self) -> None:
        """Do nothing: there is no connection to release."""


class _EngineClient(RunnerClient):
    """Simulate pairs of a prefill and a decode engine, which prefills half as fast."""

    def __init__(self, clock: VirtualClock, pairs: int) -> None:
        self.engines: dict[str, _Engine] = {}
        self.runners: list[Runner] = []
        stages = [Stage.PREFILL, Stage.DECODE] * pairs
        for number, stage in enumerate(stages):
            name = f"{stage.value}-{number}"
            share = 1.0 if stage is Stage.PREFILL else 0.5
            self.engines[name] = _Engine(clock, share * TOKENS_PER_SECOND)
            self.runners.append(Runner(name, "llm", name, "dc", 48, stage=stage))

    async def send(self, attempt: Attempt) -> RunnerResponse:
        if attempt.source is None:
            await self._prefill(attempt)
        await asyncio.sleep(TRANSFER_SECONDS)
        return _Response()

    async def prefill(self, attempt: Attempt) -> KvCacheHandle:
        await self._prefill(attempt)
        return KvCacheHandle(attempt.runner.address, "handle")

    async def read_load(self, runner: Runner) -> EngineLoad:
        return EngineLoad(0, 0)

    async def probe(self, runner: Runner, health_path: str) -> int:
        return runner.boot

    async def stop_run(
        self, runner: Runner, request_id: str, to: str
    ) -> StoppedRun | None:
        return None

    async def drop_handle(self, handle: KvCacheHandle) -> None:
        """Do nothing: engines keep no KV cache here."""

    async def _prefill(self, attempt: Attempt) -> None:
        name = attempt.runner.name
        engine = self.engines[name]
        prompt = attempt.inbound.prompt
        assert prompt is not None
        if not await engine.prefill(
            prompt.tokens, attempt.priority, attempt.seconds_left
        ):
            raise AttemptFailed("prefill", name, "too late", sent=True)


@dataclass
class Outcome:
    """Count requests by whether they were served and their first token was on time."""

    on_time: int = 0
    late: int = 0
    unserved: int = 0
    refusals: int = 0
    sizes: list[tuple[int, bool]] = field(default_factory=list)

    def served_share(self, largest: float = 1.0) -> float:
        """Return the share served, on time or late, of the largest prompts.

        `largest` is the share of all prompts that counts as the largest ones.
        """
        chosen = sorted(self.sizes, reverse=True)
        chosen = chosen[: max(1, int(largest * len(chosen)))]
        return sum(served for _, served in chosen) / len(chosen)

    @property
    def total(self) -> int:
        return self.on_time + self.late + self.unserved


@dataclass
class LoadSimulation:
    """Simulate callers that send requests at a given rate and retry once on a 503.

    Prompts have MEAN_TOKENS tokens on average; `spread` is the standard deviation of
    the logarithm of their size. `scale` multiplies the NODES forwarders and the four
    engines, of which two prefill and two decode. `rate` is in requests per second.
    """

    rate: float
    seconds: float
    seed: int = 1
    spread: float = 0.0
    scale: int = 1
    outcome: Outcome = field(default_factory=Outcome)

    def __post_init__(self) -> None:
        self.clock = VirtualClock()
        self._rng = random.Random(self.seed)
        self._client = _EngineClient(self.clock, 2 * self.scale)
        self._nodes = [self._make_node(n) for n in range(NODES * self.scale)]
        self._numbers = itertools.count()

    def run(self) -> Outcome:
        """Run the simulation and return the outcome of all requests."""
        return run_in_virtual_time(self.clock, self._run())

    @property
    def prefill_share(self) -> float:
        """Return the share of the time that the engines spent on prefill."""
        engines = self._client.engines.values()
        busy = sum(engine.prefill_seconds for engine in engines) / len(engines)
        return busy / self.clock.seconds

    async def _run(self) -> Outcome:
        async with asyncio.TaskGroup() as callers:
            while self.clock.monotonic() < self.seconds:
                callers.create_task(self._run_caller())
                await asyncio.sleep(self._rng.expovariate(self.rate))
        return self.outcome

    async def _run_caller(self) -> None:
        started_at = self.clock.monotonic()
        deadline = started_at + self._rng.uniform(
            MIN_BUDGET_SECONDS, MAX_BUDGET_SECONDS
        )
        tokens = self._draw_tokens()
        for _ in range(2):
            caller = Caller()
            await self._rng.choice(self._nodes).serve(
                self._make_request(deadline, tokens), caller
            )
            if caller.status != 503:
                break
            self.outcome.refusals += 1
            seconds_left = deadline - self.clock.monotonic()
            await asyncio.sleep(min(caller.retry_after, seconds_left / 3))
        waited = self.clock.monotonic() - started_at
        self.outcome.sizes.append((tokens, caller.status == 200))
        if caller.status != 200:
            self.outcome.unserved += 1
        elif waited <= TARGET_SECONDS:
            self.outcome.on_time += 1
        else:
            self.outcome.late += 1

    def _make_request(self, deadline: float, tokens: int) -> InboundRequest:
        number = next(self._numbers)
        prompt = Prompt(tokens, 2, (PromptSegment(f"part-{number}", tokens),))
        now = self.clock.monotonic()
        name = f"r{number}"
        return InboundRequest(
            name, "POST", "/read/x", "h", (), b"", now, deadline, prompt
        )

    def _draw_tokens(self) -> int:
        log_median = math.log(MEAN_TOKENS) - self.spread**2 / 2
        tokens = self._rng.lognormvariate(log_median, self.spread)
        return min(MAX_TOKENS, max(LONG_PROMPT_TOKENS, int(tokens)))

    def _make_node(self, number: int) -> Forwarder:
        runners = RunnerTable("dc", random.Random(number))
        runners.load(RunnerList(tuple(self._client.runners), 0.0))
        forwarder = Forwarder(
            self._client,
            runners,
            RetryBudget(RetryLimits(0.2, 60.0, 10.0)),
            Metrics(),
            self.clock,
            random.Random(number),
            lambda: len(self._nodes),
            lambda: 1.0,
            CrashTable(),
            RateLimitTable(),
            grant_permit,
        )
        split = (Split("llm", 1),)
        route = Route(
            "read", "h", "/read/", RetryPolicy.STREAM, 2.0, TARGET_SECONDS, 0, split, 2
        )
        forwarder.load(
            RouteTable(1, (route._replace(resumable=True, is_generation=True),))
        )
        return forwarder
