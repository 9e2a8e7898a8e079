"""Simulate nodes in front of engines that refuse work beyond their slots."""

import asyncio
import itertools
import random
from collections import Counter, OrderedDict
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from hawthornshelf.crashtable import CrashTable
from hawthornshelf.gateway.budget import RetryBudget, RetryLimits
from hawthornshelf.gateway.exchange import (
    Attempt,
    EngineLoad,
    Header,
    InboundRequest,
    KvCacheHandle,
    PrefillRefused,
    Prompt,
    PromptSegment,
    RunnerClient,
    RunnerResponse,
    StoppedRun,
)
from hawthornshelf.gateway.forwarder import Forwarder
from hawthornshelf.gateway.routes import (
    EngineProfile,
    RetryPolicy,
    Route,
    RouteTable,
    ServiceSpec,
    Split,
)
from hawthornshelf.gateway.runners import Runner, RunnerList, RunnerTable, Stage
from hawthornshelf.metrics import Metrics
from hawthornshelf.ratelimits import RateLimitTable
from tests.gateway.fakes import Caller, event, grant_permit
from tests.gateway.load import VirtualClock, run_in_virtual_time

__all__ = ["EngineSpec", "SlotFleet", "SlotOutcome", "decoders", "mixed_engines"]

LINK_SECONDS = 0.002
QUEUE_SHARE = 0.25
"""Requests that an engine queues beyond its slots, as a share of these."""

PREFILL_TOKENS_PER_SECOND = 300_000.0
DECODE_SECONDS_PER_TOKEN = 0.012
CACHED_PREFIXES = 8
"""Shared prefixes of which an engine keeps the KV cache."""

SUBJECTS = 40
"""Shared prefixes of the long prompts; the first ones are asked for more often."""

LONG_PROMPT = Prompt(9190, 60)
SHARED_TOKENS = 6300
INTERACTIVE_PROMPT = Prompt(220, 72)
TARGET_SECONDS, BUDGET_SECONDS = 0.5, 4.0
GOSSIP_SECONDS = 0.5
LISTED_AT = 0.0


class EngineSpec(NamedTuple):
    """Describe an engine: its slots, its stage, and its speed against the others."""

    slots: int
    stage: Stage = Stage.MIXED
    speed: float = 1.0


def mixed_engines(count: int, slots: int) -> tuple[EngineSpec, ...]:
    """Return engines that both prefill and decode."""
    return (EngineSpec(slots),) * count


def decoders(count: int, slots: int) -> tuple[EngineSpec, ...]:
    """Return engines of which one in three only prefills."""
    prefillers = (EngineSpec(slots, Stage.PREFILL),) * (count // 3)
    return prefillers + (EngineSpec(slots, Stage.DECODE),) * (count - count // 3)


class _Engine:
    """Run requests in slots, queue a few more, and refuse all others."""

    def __init__(self, spec: EngineSpec) -> None:
        self._spec = spec
        self._slots = asyncio.Semaphore(spec.slots)
        self._prefill = asyncio.Lock()
        self._cached: OrderedDict[str, None] = OrderedDict()
        self.max_requests = spec.slots + max(1, int(QUEUE_SHARE * spec.slots))
        self.requests = 0
        self.refusals = 0
        self.peak = 0
        self.prefills = 0
        self.cached_prefills = 0

    @property
    def free_slots(self) -> int:
        return max(0, self._spec.slots - self.requests)

    def admit(self) -> bool:
        """Take a request, unless the slots and the queue are full."""
        if self.requests >= self.max_requests:
            self.refusals += 1
            return False
        self.requests += 1
        self.peak = max(self.peak, self.requests)
        return True

    async def begin(self, prompt: Prompt, has_cache: bool) -> None:
        """Wait for a slot and prefill the prompt."""
        await self._slots.acquire()
        if not has_cache:
            async with self._prefill:
                tokens = self._count_missing_tokens(prompt)
                seconds = tokens / PREFILL_TOKENS_PER_SECOND
                await asyncio.sleep(seconds / self._spec.speed)

    async def decode(self, tokens: int) -> None:
        await asyncio.sleep(tokens * DECODE_SECONDS_PER_TOKEN / self._spec.speed)

    def end(self, has_begun: bool = True) -> None:
        self.requests -= 1
        if has_begun:
            self._slots.release()

    def _count_missing_tokens(self, prompt: Prompt) -> int:
        shared = prompt.shared_digests()
        if not shared:
            return prompt.tokens
        self.prefills += 1
        is_cached = shared[-1] in self._cached
        self._cached[shared[-1]] = None
        self._cached.move_to_end(shared[-1])
        if len(self._cached) > CACHED_PREFIXES:
            self._cached.popitem(last=False)
        self.cached_prefills += is_cached
        return prompt.own_tokens if is_cached else prompt.tokens


class _Refusal(RunnerResponse):
    def __init__(self) -> None:
        self.status, self.is_stream, self.not_run = 503, False, True
        self.headers: tuple[Header, ...] = ()

    async def chunks(self) -> AsyncIterator[bytes]:
        yield b""

    async def read(self) -> bytes:
        return b""

    def close(self) -> None:
        """Do nothing: there is no connection to release."""


class _Stream(_Refusal):
    """Stream a response; the engine holds the slot until it ends."""

    def __init__(self, engine: _Engine, prompt: Prompt) -> None:
        super().__init__()
        self.status, self.is_stream, self.not_run = 200, True, False
        self._engine = engine
        self._prompt = prompt
        self._has_ended = False

    async def chunks(self) -> AsyncIterator[bytes]:
        yield event(1)
        await self._engine.decode(self._prompt.max_output)
        yield event(2)

    def close(self) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._engine.end()


class _SlotClient(RunnerClient):
    """Carry attempts to the engines of a fleet."""

    def __init__(self, engines: dict[str, _Engine]) -> None:
        self._engines = engines
        self.sends = 0

    async def send(self, attempt: Attempt) -> RunnerResponse:
        self.sends += 1
        await asyncio.sleep(LINK_SECONDS)
        engine, prompt = self._find(attempt)
        if not engine.admit():
            return _Refusal()
        await self._begin(engine, prompt, attempt.source is not None)
        return _Stream(engine, prompt)

    async def prefill(self, attempt: Attempt) -> KvCacheHandle:
        await asyncio.sleep(LINK_SECONDS)
        engine, prompt = self._find(attempt)
        if not engine.admit():
            raise PrefillRefused(attempt.runner.name, 503)
        await self._begin(engine, prompt, has_cache=False)
        engine.end()
        return KvCacheHandle(attempt.runner.address, "handle")

    async def _begin(self, engine: _Engine, prompt: Prompt, has_cache: bool) -> None:
        try:
            await engine.begin(prompt, has_cache)
        except asyncio.CancelledError:
            engine.end(has_begun=False)
            raise

    def _find(self, attempt: Attempt) -> tuple[_Engine, Prompt]:
        prompt = attempt.inbound.prompt
        assert prompt is not None
        return self._engines[attempt.runner.name], prompt

    async def read_load(self, runner: Runner) -> EngineLoad:
        await asyncio.sleep(LINK_SECONDS)
        requests = self._engines[runner.name].requests
        running = min(requests, runner.slots)
        return EngineLoad(running, requests - running)

    async def probe(self, runner: Runner, health_path: str) -> int:
        return runner.boot

    async def stop_run(
        self, runner: Runner, request_id: str, to: str
    ) -> StoppedRun | None:
        return None

    async def drop_handle(self, handle: KvCacheHandle) -> None:
        """Do nothing: handles take no memory here."""


@dataclass
class SlotOutcome:
    """Count requests by how they ended; waits are until the first event, in seconds."""

    total: int = 0
    reasons: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    refused_while_idle: int = 0
    waits: dict[str, list[float]] = field(default_factory=dict)
    refused_at: list[float] = field(default_factory=list)
    retry_afters: list[float] = field(default_factory=list)

    @property
    def refusals(self) -> int:
        return sum(self.refused.values())

    @property
    def refused_share(self) -> float:
        return self.refusals / max(1, self.total)

    def served_share(self, kind: str) -> float:
        """Return the share of the requests of a kind that were served."""
        served = self.served[kind]
        return served / max(1, served + self.refused[kind])

    def wait(self, share: float, kind: str = "") -> float:
        """Return the wait that a share of the served requests stayed within."""
        kinds = [kind] if kind else list(self.waits)
        waits = sorted(itertools.chain(*(self.waits.get(k, []) for k in kinds)))
        return waits[min(len(waits) - 1, int(share * len(waits)))] if waits else 0.0

    def describe(self) -> str:
        reasons = ", ".join(f"{n} {r}" for r, n in self.reasons.most_common(4))
        return (
            f"{self.refusals} of {self.total} refused, {self.refused_while_idle} with"
            f" idle engines; wait p50 {self.wait(0.5):.3f} s,"
            f" p99 {self.wait(0.99):.3f} s; {reasons or 'no refusal'}"
        )


class _FirstEventCaller(Caller):
    """Record when the response began."""

    began_at = 0.0
    clock: VirtualClock

    async def begin(self, status: int, headers: tuple[Header, ...]) -> None:
        await super().begin(status, headers)
        self.began_at = self.clock.monotonic()


@dataclass
class SlotFleet:
    """Simulate nodes that know only their own requests, and gossiped stream counts.

    Callers send each request once, to a random node. `long_share` of the requests have
    long prompts.
    """

    nodes: int
    engines: Sequence[EngineSpec]
    seed: int = 1
    long_share: float = 0.3
    limits: RetryLimits = RetryLimits()
    outcome: SlotOutcome = field(default_factory=SlotOutcome)

    def __post_init__(self) -> None:
        self.clock = VirtualClock()
        self._rng = random.Random(self.seed)
        self._numbers = itertools.count()
        self._stream_count = 0.0
        self._runners = tuple(
            Runner(f"e{n}", "llm", f"h:{n}", "dc", spec.slots, stage=spec.stage)
            for n, spec in enumerate(self.engines)
        )
        self.slots = sum(
            spec.slots for spec in self.engines if spec.stage is not Stage.PREFILL
        )
        self.started: dict[str, _Engine] = {}

    def run(self, load: float, seconds: float) -> SlotOutcome:
        """Send requests for some seconds and return how all of them ended.

        `load` is the share of the decoding slots that they take on average.
        """
        hold = (1 - self.long_share) * self._hold_seconds(INTERACTIVE_PROMPT)
        hold += self.long_share * self._hold_seconds(LONG_PROMPT)
        return run_in_virtual_time(
            self.clock, self._run(load * self.slots / hold, seconds)
        )

    def run_burst(self, requests: int) -> SlotOutcome:
        """Send some requests at once, in turns to all nodes."""
        return run_in_virtual_time(self.clock, self._run_burst(requests))

    @property
    def sends(self) -> int:
        return self.client.sends

    @property
    def cached_share(self) -> float:
        """Return the share of the long prompts whose prefix the prefiller had."""
        engines = self.started.values()
        prefills = sum(engine.prefills for engine in engines)
        return sum(engine.cached_prefills for engine in engines) / max(1, prefills)

    def _hold_seconds(self, prompt: Prompt) -> float:
        prefill = prompt.tokens / PREFILL_TOKENS_PER_SECOND
        return prefill + prompt.max_output * DECODE_SECONDS_PER_TOKEN

    def _start(self) -> None:
        self.started = {
            runner.name: _Engine(spec)
            for runner, spec in zip(self._runners, self.engines, strict=True)
        }
        self.client = _SlotClient(self.started)
        self.tables = [self._make_table(n) for n in range(self.nodes)]
        self.forwarders = [self._make_forwarder(n) for n in range(self.nodes)]

    async def _run(self, rate: float, seconds: float) -> SlotOutcome:
        self._start()
        gossip = asyncio.create_task(self._count_streams())
        async with asyncio.TaskGroup() as callers:
            while self.clock.monotonic() < seconds:
                node = self._rng.randrange(self.nodes)
                callers.create_task(self._ask(node))
                await asyncio.sleep(self._rng.expovariate(rate))
        gossip.cancel()
        return self.outcome

    async def _run_burst(self, requests: int) -> SlotOutcome:
        self._start()
        async with asyncio.TaskGroup() as callers:
            for number in range(requests):
                callers.create_task(self._ask(number % self.nodes))
        return self.outcome

    async def _count_streams(self) -> None:
        while True:
            counts = [table.count_interactive_requests() for table in self.tables]
            self._stream_count = float(sum(counts))
            await asyncio.sleep(GOSSIP_SECONDS)

    async def _ask(self, node: int) -> None:
        is_long = self._rng.random() < self.long_share
        kind = "long" if is_long else "interactive"
        inbound = self._make_request(is_long)
        caller = _FirstEventCaller()
        caller.clock = self.clock
        await self.forwarders[node].serve(inbound, caller)
        self.outcome.total += 1
        if caller.status == 200:
            self.outcome.served[kind] += 1
            waits = self.outcome.waits.setdefault(kind, [])
            waits.append(caller.began_at - inbound.arrived_at)
            return
        self.outcome.refused[kind] += 1
        self.outcome.reasons[f"{caller.status} {kind}: {caller.reason}"] += 1
        self.outcome.refused_at.append(self.clock.monotonic())
        self.outcome.retry_afters.append(caller.retry_after)
        free = sum(
            self.started[runner.name].free_slots
            for runner in self._runners
            if runner.stage is not Stage.PREFILL
        )
        self.outcome.refused_while_idle += free > 0

    def _make_request(self, is_long: bool) -> InboundRequest:
        number = next(self._numbers)
        now = self.clock.monotonic()
        prompt, path = INTERACTIVE_PROMPT, "/talk/x"
        if is_long:
            subject = int(SUBJECTS * self._rng.random() ** 2)
            own = LONG_PROMPT.tokens - SHARED_TOKENS
            segments = (
                PromptSegment(f"subject-{subject}", SHARED_TOKENS),
                PromptSegment(f"own-{number}", own),
            )
            prompt, path = LONG_PROMPT._replace(segments=segments), "/read/x"
        deadline = now + BUDGET_SECONDS
        return InboundRequest(
            f"r{number}", "POST", path, "h", (), b"%d" % number, now, deadline, prompt
        )

    def _make_table(self, number: int) -> RunnerTable:
        table = RunnerTable("dc", random.Random(f"{self.seed}/{number}/table"))
        table.load(RunnerList(self._runners, LISTED_AT))
        return table

    def _make_forwarder(self, number: int) -> Forwarder:
        forwarder = Forwarder(
            self.client,
            self.tables[number],
            RetryBudget(self.limits),
            Metrics(),
            self.clock,
            random.Random(f"{self.seed}/{number}"),
            lambda: self.nodes,
            lambda: self._stream_count,
            CrashTable(),
            RateLimitTable(),
            grant_permit,
        )
        forwarder.load(TABLE)
        return forwarder


def _make_route(name: str, priority: int) -> Route:
    return Route(
        name,
        "h",
        f"/{name}/",
        RetryPolicy.STREAM,
        BUDGET_SECONDS,
        TARGET_SECONDS,
        priority,
        (Split("llm", 1),),
        max_attempts=2,
        resumable=True,
        is_generation=True,
    )


TABLE = RouteTable(
    1,
    (_make_route("talk", 0), _make_route("read", 1)),
    (ServiceSpec("llm", engine=EngineProfile(8, 305_000)),),
)
