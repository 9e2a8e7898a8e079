"""Ask engines in every state to stop a run, in virtual time."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from hawthornshelf.gateway.cacherelease import CacheReleaser
from hawthornshelf.gateway.context import OpenRun, RequestContext
from hawthornshelf.gateway.exchange import (
    AttemptFailed,
    ConnectionRefused,
    KvCacheHandle,
    RunnerReplaced,
    RunNotEnded,
    StoppedRun,
)
from hawthornshelf.gateway.ratelimiter import RateLimiter
from hawthornshelf.gateway.recorder import Recorder
from hawthornshelf.gateway.routes import RetryPolicy, Route, Split
from hawthornshelf.gateway.runners import Runner, RunnerList, RunnerTable, Stage
from hawthornshelf.gateway.runstopper import RunStopper
from hawthornshelf.limitrecords import Permit
from hawthornshelf.metrics import Metrics
from hawthornshelf.ratelimits import RateLimitTable
from tests.gateway.fakes import Caller, Fleet, grant_permit
from tests.gateway.fakes import make_inbound as make_any_inbound
from tests.gateway.load import VirtualClock, run_in_virtual_time

OVERLAP_SECONDS = 0.4
"""Time for which two engines may work on a request that has gone on."""

STALL_SECONDS = 2.0
BUDGET_SECONDS = 8.0
CONNECT_SECONDS = 0.2
OLD = Runner("d0", "llm", "h:10", "dc", 48, stage=Stage.DECODE, boot=7)
NEXT = Runner("d1", "llm", "h:11", "dc", 48, stage=Stage.DECODE, boot=8)
HANGING = -1.0
"""What an engine does with a call that it leaves unread."""

HANDLE = KvCacheHandle(OLD.address, "3fa0")
MOVED, KEPT = StoppedRun(HANDLE, True), StoppedRun(HANDLE, False)


@dataclass
class Engine(Fleet):
    """Answer calls to stop a run as `answer` does; note when they began."""

    answer: Callable[[int], object] = lambda number: None
    clock: VirtualClock = field(default_factory=VirtualClock)
    asked_at: list[float] = field(default_factory=list)
    asked_to: list[str] = field(default_factory=list)

    async def stop_run(
        self, runner: Runner, request_id: str, to: str
    ) -> StoppedRun | None:
        self.asked_at.append(self.clock.monotonic())
        self.asked_to.append(to)
        await asyncio.sleep(0.001)
        while (found := self.answer(len(self.asked_at))) == HANGING:
            await asyncio.sleep(0.01)
        if isinstance(found, float):
            await asyncio.sleep(found)
            raise AttemptFailed("stop run", runner.name, "time-out", sent=False)
        if isinstance(found, Exception):
            raise found
        assert found is None or isinstance(found, StoppedRun)
        return found


FAILED = AttemptFailed("stop run", OLD.name, "reset", sent=True)


class Case:
    """Settle the last run of one request."""

    def __init__(
        self,
        answer: Callable[[int], object],
        resumable: bool = False,
        events: bool = True,
    ) -> None:
        self.engine = Engine([], answer=answer)
        self.clock = self.engine.clock
        self.runners = RunnerTable("dc", random.Random(1))
        self.runners.load(RunnerList((OLD, NEXT), 0.0))
        self.metrics = Metrics()
        limiter = RateLimiter(
            RateLimitTable(), grant_permit, self.clock, random.Random(1)
        )
        releaser = CacheReleaser(self.engine, self.runners, limiter)
        recorder = Recorder(self.runners, self.metrics, self.clock)
        self.stopper = RunStopper(
            self.engine, self.runners, limiter, releaser, recorder, self.clock
        )
        self.context = _make_context(resumable, events)
        self.seconds = 0.0

    def settle(
        self, to: Runner | None = None, wait: float = 0.0
    ) -> KvCacheHandle | None:
        """Settle the run; go on asking for some time after it."""

        async def main() -> KvCacheHandle | None:
            try:
                return await self.stopper.settle(self.context, to)
            finally:
                self.seconds = self.clock.monotonic()
                await asyncio.sleep(wait)
                await self.stopper.stop()

        return run_in_virtual_time(self.clock, main())


def _make_context(resumable: bool, events: bool) -> RequestContext:
    route = Route(
        "r",
        "h",
        "/r/",
        RetryPolicy.STREAM,
        BUDGET_SECONDS,
        1.0,
        1,
        (Split("llm", 1),),
        max_attempts=2,
        resumable=resumable,
        is_generation=True,
        stall_limit=STALL_SECONDS,
    )
    inbound = make_any_inbound("/r/x")
    deadline = BUDGET_SECONDS
    context = RequestContext(inbound, route, 1, "llm", Caller(), deadline, 1.0)
    context.open_run = OpenRun(OLD, has_begun=events)
    context.may_have_run = True
    if events:
        context.events, context.last_event_id, context.last_event_at = 1, "1", 1e-9
    return context


ENDED: dict[str, object] = {
    "absent": None,
    "moved": MOVED,
    "kept": KEPT,
    "replaced": RunnerReplaced(OLD.name, "status 421"),
}


@pytest.mark.parametrize("found", ENDED.values(), ids=ENDED.keys())
@pytest.mark.parametrize("resumable", [False, True])
def test_a_run_that_its_engine_says_has_ended_is_open_no_more(
    resumable: bool, found: object
) -> None:
    case = Case(lambda number: found, resumable)
    case.settle()
    assert case.context.open_run is None
    assert len(case.engine.asked_at) == 1


def test_a_request_without_an_open_run_asks_no_engine() -> None:
    case = Case(lambda number: None)
    case.context.open_run = None
    case.settle()
    assert case.engine.asked_at == []


def test_the_kv_cache_moves_to_the_engine_where_the_stream_goes_on() -> None:
    case = Case(lambda number: MOVED)
    assert case.settle(NEXT, wait=0.1) == HANDLE
    assert (case.engine.asked_to, case.engine.dropped) == ([NEXT.address], [])


@pytest.mark.parametrize(("found", "to"), [(KEPT, NEXT), (MOVED, None), (KEPT, None)])
def test_a_kv_cache_that_nothing_goes_on_from_is_released(
    found: StoppedRun, to: Runner | None
) -> None:
    case = Case(lambda number: found)
    assert case.settle(to, wait=0.1) is None
    assert case.engine.dropped == [HANDLE]


@pytest.mark.parametrize("found", [FAILED, HANGING], ids=["unclear", "silent"])
def test_a_stream_that_may_run_once_ends_if_its_run_may_go_on(found: object) -> None:
    case = Case(lambda number: found)
    with pytest.raises(RunNotEnded):
        case.settle()
    assert case.context.open_run is not None
    assert case.seconds < STALL_SECONDS


def test_a_stream_that_may_run_once_waits_for_an_engine_that_falls_silent() -> None:
    case = Case(lambda number: None if case.clock.monotonic() > 1.3 else HANGING)
    case.settle()
    assert case.context.open_run is None
    assert 1.3 < case.seconds < STALL_SECONDS


def test_a_resumable_stream_goes_on_with_a_call_lying_at_a_silent_engine() -> None:
    case = Case(lambda number: HANGING, resumable=True)
    case.settle(wait=1.0)
    assert case.context.open_run is None
    assert case.seconds < OVERLAP_SECONDS


def test_a_resumable_stream_does_not_go_on_while_an_engine_answers_something_else() -> (
    None
):
    case = Case(lambda number: FAILED, resumable=True)
    with pytest.raises(RunNotEnded):
        case.settle()


UNREACHED: dict[str, object] = {
    "refused": ConnectionRefused(OLD.name, "refused"),
    "hanging": CONNECT_SECONDS,
}


@pytest.mark.parametrize("found", UNREACHED.values(), ids=UNREACHED.keys())
@pytest.mark.parametrize("resumable", [False, True])
def test_a_stream_goes_on_while_its_engine_is_out_of_reach(
    resumable: bool, found: object
) -> None:
    case = Case(lambda number: found, resumable)
    case.settle()
    assert case.context.open_run is None
    assert case.seconds < 3 * CONNECT_SECONDS


@pytest.mark.parametrize("back_at", [0.5, 0.9, 1.6, 4.0, 12.0])
@pytest.mark.parametrize("found", UNREACHED.values(), ids=UNREACHED.keys())
def test_a_run_is_stopped_soon_after_its_engine_is_in_reach_again(
    found: object, back_at: float
) -> None:
    case = Case(lambda number: MOVED if case.clock.monotonic() > back_at else found)
    case.settle(wait=2 * BUDGET_SECONDS)
    latest = back_at + CONNECT_SECONDS + OVERLAP_SECONDS
    assert back_at < case.engine.asked_at[-1] < latest
    assert case.engine.dropped == [HANDLE]


def test_a_request_that_arrives_after_the_call_is_stopped_as_it_begins() -> None:
    case = Case(
        lambda number: MOVED if case.clock.monotonic() > 0.5 else None,
        resumable=True,
        events=False,
    )
    case.settle(wait=BUDGET_SECONDS)
    assert case.seconds < 0.1
    assert 0.5 < case.engine.asked_at[-1] < 0.5 + OVERLAP_SECONDS


def test_an_engine_that_is_never_heard_of_again_is_not_asked_for_good() -> None:
    case = Case(lambda number: UNREACHED["refused"])
    case.settle(wait=10 * BUDGET_SECONDS)
    assert BUDGET_SECONDS < max(case.engine.asked_at) < 4 * BUDGET_SECONDS
    assert len(case.engine.asked_at) < 100


def test_an_engine_out_of_reach_and_off_the_list_is_not_asked_again() -> None:
    case = Case(lambda number: UNREACHED["refused"])
    case.runners.load(RunnerList((NEXT,), 0.0))
    case.settle(wait=BUDGET_SECONDS)
    assert len(case.engine.asked_at) == 1


def test_a_request_read_after_its_deadline_behind_the_calls_is_stopped() -> None:
    """The engine reads the calls that lie there before the request."""
    woken = 2 * BUDGET_SECONDS

    def answer(number: int) -> object:
        now = case.clock.monotonic()
        if now < woken:
            return HANGING
        return MOVED if now > woken + 0.1 else None

    case = Case(answer, resumable=True, events=False)
    case.settle(wait=3 * BUDGET_SECONDS)
    assert case.engine.asked_at[-1] < woken + 0.1 + OVERLAP_SECONDS
    assert case.engine.dropped == [HANDLE]


def test_another_boot_on_the_list_ends_the_run_without_a_call() -> None:
    case = Case(lambda number: None)
    case.runners.load(RunnerList((OLD._replace(boot=9), NEXT), 0.0))
    case.settle()
    assert (case.context.open_run, case.engine.asked_at) == (None, [])


def test_an_engine_whose_rate_is_spent_is_not_asked() -> None:
    async def refuse(runner: str, max_wait: float) -> Permit:
        return Permit(False, 1.0)

    case = Case(lambda number: None)
    case.stopper._limiter._ask = refuse
    case.stopper._limiter.is_limited = lambda runner: True
    with pytest.raises(RunNotEnded):
        case.settle()
    assert case.engine.asked_at == []


def test_what_was_found_is_counted() -> None:
    case = Case(lambda number: None)
    case.settle()
    text = case.metrics.export({}).decode()
    assert 'hawthornshelf_run_ends_total{outcome="absent"} 1.0' in text
