import asyncio
import random
from dataclasses import dataclass, field

from hawthornshelf.gateway.exchange import RateLimitNotice
from hawthornshelf.gateway.ratelimiter import RETRY_SECONDS, RateLimiter
from hawthornshelf.gateway.runners import Runner, RunnerList, RunnerState, RunnerTable
from hawthornshelf.limitrecords import Permit
from hawthornshelf.ratelimits import KEPT_SECONDS, RateLimitTable
from tests.gateway.load import VirtualClock, run_in_virtual_time

RUNNERS = tuple(Runner(f"i-{n}", "app", f"h:{n}", "dc", 6, boot=17) for n in range(3))


@dataclass
class Limiter:
    """Run a limiter; `permits` are the answers of the node that issues them."""

    permits: list[Permit] = field(default_factory=list)
    asked: list[tuple[str, float]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.clock = VirtualClock()
        self.table = RateLimitTable()
        self.limiter = RateLimiter(self.table, self.ask, self.clock, random.Random(1))
        runners = RunnerTable("dc", random.Random(1))
        runners.load(RunnerList(RUNNERS, 0.0))
        self.states: list[RunnerState] = runners.in_service("app")

    async def ask(self, runner: str, max_wait: float) -> Permit:
        self.asked.append((runner, max_wait))
        return self.permits.pop(0)

    def answer(
        self, rate: float | None, sent_at: float, at: float, has_run: bool = True
    ) -> None:
        notice = RateLimitNotice(RUNNERS[0], rate, sent_at, at, has_run)
        self.limiter.record(notice)

    def acquire(self, max_wait: float = 0.0, pause: float = 0.0) -> bool:
        async def main() -> bool:
            await asyncio.sleep(pause)
            return await self.limiter.acquire(RUNNERS[0], max_wait)

        return run_in_virtual_time(self.clock, main())


def test_a_runner_that_names_no_rate_needs_no_permit() -> None:
    limiter = Limiter()
    assert limiter.acquire() and not limiter.asked
    assert limiter.limiter.limited(limiter.states) == []


def test_only_an_answer_to_a_later_run_ends_a_limit() -> None:
    limiter = Limiter()
    limiter.answer(3.0, 1.0, 2.0)
    limiter.answer(None, 1.9, 3.0)
    assert limiter.limiter.is_limited(RUNNERS[0])
    limiter.answer(None, 2.5, 3.0, has_run=False)
    assert limiter.limiter.is_limited(RUNNERS[0])
    limiter.answer(None, 2.5, 3.0)
    assert not limiter.limiter.is_limited(RUNNERS[0])


def test_a_refusal_names_a_limit_as_well() -> None:
    limiter = Limiter()
    limiter.answer(3.0, 1.0, 2.0, has_run=False)
    assert limiter.limiter.is_limited(RUNNERS[0])


def test_no_node_is_asked_before_a_permit_may_be_free() -> None:
    limiter = Limiter([Permit(False, 0.4), Permit(True, 0.0)])
    limiter.answer(2.0, 0.0, 0.0)
    assert not limiter.acquire()
    assert limiter.limiter.exhausted(limiter.states) == {"i-0"}
    assert not limiter.acquire() and len(limiter.asked) == 1
    assert limiter.acquire(pause=0.4 + RETRY_SECONDS)
    assert limiter.limiter.exhausted(limiter.states) == {"i-0"}


def test_a_granted_permit_is_used_in_its_turn() -> None:
    limiter = Limiter([Permit(True, 0.25)])
    limiter.answer(2.0, 0.0, 0.0)
    assert limiter.acquire(max_wait=0.5)
    assert limiter.clock.monotonic() == 0.25
    assert limiter.asked == [("i-0/17", 0.5)]


def test_the_limits_of_runners_that_are_gone_are_forgotten_after_a_while() -> None:
    limiter = Limiter([Permit(False, 0.4)])
    limiter.answer(2.0, 0.0, 0.0)
    assert not limiter.acquire()
    limiter.limiter.retain(frozenset({"i-0/18"}))
    assert limiter.limiter.is_limited(RUNNERS[0])
    assert not limiter.limiter.exhausted(limiter.states)
    limiter.clock.seconds += 2 * KEPT_SECONDS
    limiter.limiter.retain(frozenset({"i-0/18"}))
    assert not limiter.limiter.is_limited(RUNNERS[0])


def test_a_new_boot_of_a_runner_needs_no_permit() -> None:
    limiter = Limiter()
    limiter.answer(2.0, 0.0, 0.0)
    assert not limiter.limiter.is_limited(RUNNERS[0]._replace(boot=18))


def test_refused_callers_are_told_to_come_back_at_the_rate_of_all_runners() -> None:
    limiter = Limiter([Permit(False, 2.0)])
    for runner in RUNNERS:
        limiter.table.learn(0.0, runner.key, 2.0, 0.0)
    assert 1 / 6 <= limiter.limiter.retry_after(limiter.states) <= 2 / 6
    assert not limiter.acquire()
    (state,) = [s for s in limiter.states if s.runner == RUNNERS[0]]
    assert 2.0 <= limiter.limiter.retry_after([state]) <= 2 * (2.0 + RETRY_SECONDS)
