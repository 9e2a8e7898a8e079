"""Fake runners and callers for tests of the forwarder, without a network."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from hawthornshelf.clock import Clock, SystemClock
from hawthornshelf.crashtable import CrashTable
from hawthornshelf.gateway.budget import RetryBudget, RetryLimits
from hawthornshelf.gateway.exchange import (
    Attempt,
    AttemptFailed,
    EngineLoad,
    Header,
    InboundRequest,
    KvCacheHandle,
    PrefillRefused,
    Prompt,
    ResponseWriter,
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
from hawthornshelf.limitrecords import Permit
from hawthornshelf.metrics import Metrics
from hawthornshelf.ratelimits import RateLimitTable

__all__ = ["Caller", "FakeResponse", "Fleet", "broken", "make_inbound", "not_run", "ok"]

CLOCK = SystemClock()


async def grant_permit(runner: str, max_wait: float) -> Permit:
    return Permit(True, 0.0)


def event(number: int) -> bytes:
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


class FakeResponse(RunnerResponse):
    """Respond with the given chunks, then end normally or break off."""

    def __init__(
        self,
        status: int = 200,
        chunks: tuple[bytes, ...] = (b"body",),
        breaks: bool = False,
        refuses: bool = False,
        stream: bool = False,
    ) -> None:
        self.status = status
        self.headers = (Header("X-Proof", f"of {status}"),)
        self.not_run = refuses
        self.is_stream = stream
        self.closed = False
        self.before_break: Callable[[], None] | None = None
        self._chunks = chunks
        self._breaks = breaks

    async def chunks(self) -> AsyncIterator[bytes]:
        for chunk in self._chunks:
            await asyncio.sleep(0)
            yield chunk
        if self._breaks:
            if self.before_break is not None:
                self.before_break()
            raise AttemptFailed("read answer", "fake", "reset", sent=True)

    async def read(self) -> bytes:
        return b"".join([chunk async for chunk in self.chunks()])

    def close(self) -> None:
        self.closed = True


Reply = Callable[[Attempt], FakeResponse | AttemptFailed]


def ok(attempt: Attempt) -> FakeResponse:
    return FakeResponse()


def not_run(attempt: Attempt) -> FakeResponse:
    return FakeResponse(503, refuses=True)


def broken(sent: bool) -> Reply:
    return lambda attempt: AttemptFailed("send", attempt.runner.name, "reset", sent)


@dataclass
class Caller(ResponseWriter):
    """Record the response that a caller would have received."""

    status: int = 0
    data: bytes = b""
    ended: bool = False
    aborted: bool = False
    retry_after: float = 0.0
    reason: str = ""
    route_number: int | None = None
    headers: tuple[Header, ...] = ()
    headers_sent: bool = False

    async def begin(self, status: int, headers: tuple[Header, ...]) -> None:
        self.headers_sent, self.status, self.headers = True, status, headers

    async def write(self, data: bytes) -> None:
        assert not self.ended and not self.aborted
        self.data += data

    async def end(self) -> None:
        self.ended = True

    def abort(self) -> None:
        self.aborted = True

    async def respond(
        self, status: int, headers: tuple[Header, ...], body: bytes
    ) -> None:
        assert not self.headers_sent
        self.headers_sent, self.ended = True, True
        self.status, self.headers, self.data = status, headers, body

    async def refuse(
        self,
        status: int,
        reason: str,
        retry_after: float,
        route_number: int | None = None,
    ) -> None:
        assert not self.headers_sent
        self.route_number = route_number
        self.headers_sent, self.ended = True, True
        self.status, self.reason, self.retry_after = status, reason, retry_after


@dataclass
class Fleet(RunnerClient):
    """Run a forwarder in front of runners with scripted replies."""

    replies: list[Reply]
    prefill_reply: Callable[[Attempt], KvCacheHandle | Exception] | None = None
    limits: RetryLimits = RetryLimits(0.2, 60.0, 10.0)
    sent: list[Attempt] = field(default_factory=list)
    prefills: list[Attempt] = field(default_factory=list)
    responses: list[FakeResponse] = field(default_factory=list)
    dropped: list[KvCacheHandle] = field(default_factory=list)
    stopped: list[str] = field(default_factory=list)
    before_break: Callable[[], None] | None = None
    clock: Clock = CLOCK

    def __post_init__(self) -> None:
        self.runners = RunnerTable("dc", random.Random(1))
        plain = [Runner(f"a{n}", "app", f"h:{n}", "dc", 6) for n in range(3)]
        engines = [
            Runner("d0", "llm", "h:10", "dc", 48, stage=Stage.DECODE),
            Runner("d1", "llm", "h:11", "dc", 48, stage=Stage.DECODE),
            Runner("p0", "llm", "h:12", "dc", 48, stage=Stage.PREFILL),
        ]
        self.listed = (*plain, *engines)
        self.runners.load(RunnerList(self.listed, self.clock.monotonic()))
        found = [self.runners.find(runner.name) for runner in self.listed]
        self.states = [state for state in found if state is not None]
        self.metrics = Metrics()
        self.crashes = CrashTable()
        self.forwarder = Forwarder(
            self,
            self.runners,
            RetryBudget(self.limits),
            self.metrics,
            self.clock,
            random.Random(1),
            lambda: 1,
            self.runners.count_interactive_requests,
            self.crashes,
            RateLimitTable(),
            grant_permit,
        )
        self.forwarder.load(TABLE)

    async def send(self, attempt: Attempt) -> RunnerResponse:
        self.sent.append(attempt)
        await asyncio.sleep(0)
        reply = self.replies[min(len(self.sent), len(self.replies)) - 1](attempt)
        if isinstance(reply, AttemptFailed):
            raise reply
        reply.before_break = self.before_break
        self.responses.append(reply)
        return reply

    async def prefill(self, attempt: Attempt) -> KvCacheHandle:
        self.prefills.append(attempt)
        assert self.prefill_reply is not None
        reply = self.prefill_reply(attempt)
        if isinstance(reply, PrefillRefused | AttemptFailed):
            raise reply
        assert isinstance(reply, KvCacheHandle)
        return reply

    async def read_load(self, runner: Runner) -> EngineLoad:
        return EngineLoad(0, 0)

    async def probe(self, runner: Runner, health_path: str) -> int:
        return runner.boot

    async def stop_run(
        self, runner: Runner, request_id: str, to: str
    ) -> StoppedRun | None:
        self.stopped.append(runner.name)
        return None

    async def drop_handle(self, handle: KvCacheHandle) -> None:
        self.dropped.append(handle)

    def outcomes(self) -> dict[str, int]:
        """Return how many requests ended with each outcome."""
        lines = self.metrics.export({}).decode().splitlines()
        counts = [line for line in lines if line.startswith("hawthornshelf_requests_")]
        return {line.split('"')[1]: int(float(line.split()[-1])) for line in counts}

    def ask(self, path: str, **options: object) -> Caller:
        """Serve one request to its end and return the caller with its response."""
        caller = Caller()

        async def serve() -> None:
            await self.forwarder.serve(make_inbound(path, **options), caller)
            await asyncio.sleep(0)

        asyncio.run(serve())
        assert self.forwarder.open_requests == 0
        for state in self.states:
            assert (state.in_flight, state.long_prefills, state.long_requests) == (
                0,
                0,
                0,
            )
        return caller


def make_inbound(
    path: str,
    seconds: float = 5.0,
    prompt: Prompt | None = None,
    resume_after: str = "",
) -> InboundRequest:
    now = CLOCK.monotonic()
    return InboundRequest(
        "r1", "POST", path, "h", (), b"in", now, now + seconds, prompt, resume_after
    )


def _route(prefix: str, retry_policy: RetryPolicy, **changes: object) -> Route:
    route = Route(
        name=prefix,
        host="h",
        prefix=prefix,
        retry_policy=retry_policy,
        timeout=5.0,
        target=1.0,
        priority=1,
        splits=(Split("app", 1),),
        max_attempts=2,
    )
    return route._replace(**changes)


LLM = (Split("llm", 1),)
TABLE = RouteTable(
    1,
    (
        _route("/safe/", RetryPolicy.SAFE),
        _route("/once/", RetryPolicy.ONCE),
        _route("/single/", RetryPolicy.SAFE, max_attempts=1),
        _route(
            "/talk/", RetryPolicy.STREAM, splits=LLM, resumable=True, is_generation=True
        ),
        _route("/read/", RetryPolicy.STREAM, splits=LLM, is_generation=True),
        _route("/short/", RetryPolicy.SAFE, timeout=0.05),
    ),
    (ServiceSpec("app"), ServiceSpec("llm", engine=EngineProfile(48, 305_000))),
)
