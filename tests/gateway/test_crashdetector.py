import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable

import pytest

from hawthornshelf.crashtable import CrashTable
from hawthornshelf.gateway.context import RequestContext
from hawthornshelf.gateway.crashdetector import CrashDetector
from hawthornshelf.gateway.exchange import (
    AttemptFailed,
    ConnectionRefused,
    InboundRequest,
    Prompt,
    PromptSegment,
    RunnerReplaced,
    RunnerSilent,
)
from hawthornshelf.gateway.flight import WRITING_SECONDS
from hawthornshelf.gateway.routes import RetryPolicy, Route
from hawthornshelf.gateway.runners import Runner, RunnerList, RunnerTable
from tests.gateway.fakes import Caller
from tests.gateway.load import VirtualClock, run_in_virtual_time

RUNNER = Runner("r", "app", "h:1", "dc", 6, boot=1)
ROUTE = Route("s", "h", "/", RetryPolicy.SAFE, 1.0, 1.0, 1, ())
RESET = AttemptFailed("read answer", "r", "reset", sent=True)


class Detector:
    """Run a crash detector; `answer` is what each probe of the runner gives."""

    def __init__(self, *answers: int | Exception | None) -> None:
        self.clock = VirtualClock()
        self.table = CrashTable()
        self.runners = RunnerTable("dc", random.Random(1))
        self.runners.load(RunnerList((RUNNER,), 0.0))
        self.answers = list(answers)
        self.probes = 0
        self.detector = CrashDetector(self.table, self.runners, self.probe, self.clock)

    async def probe(self, runner: Runner) -> int:
        self.probes += 1
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if answer is None:
            await asyncio.sleep(60.0)
        if isinstance(answer, Exception):
            raise answer
        assert answer is not None
        return answer

    def context(self, body: bytes) -> RequestContext:
        inbound = InboundRequest("id", "GET", "/x", "h", (), body, 0.0, 9.0)
        return RequestContext(inbound, ROUTE, 1, "app", Caller(), 9.0, 1.0)

    async def lose(self, body: bytes, error: BaseException = RESET) -> None:
        with (
            pytest.raises(type(error)),
            self.detector.watch(self.context(body), RUNNER),
        ):
            raise error

    async def answer(self, body: bytes) -> None:
        with self.detector.watch(self.context(body), RUNNER) as flight:
            flight.is_answered = True

    def list_runners(self, *runners: Runner) -> None:
        self.runners.load(RunnerList(runners, self.clock.monotonic()))
        self.detector.check_list()

    def suspects(self, body: bytes) -> int:
        now = self.clock.monotonic()
        digest = self.context(body).digest()
        return len(self.table.standing(now, digest).crashes)

    def run(self, scenario: Callable[[], Awaitable[None]]) -> None:
        async def main() -> None:
            await scenario()

        run_in_virtual_time(self.clock, main())


def play(detector: Detector, seconds: float, *errors: BaseException) -> int:
    """Lose a request and return at how many crashes it was in flight by then."""
    counts: list[int] = []

    async def scenario() -> None:
        for error in errors:
            await detector.lose(b"x", error)
        await asyncio.sleep(seconds)
        counts.append(detector.suspects(b"x"))

    detector.run(scenario)
    return counts[0]


REFUSED = ConnectionRefused("r", "refused")
REPLACED = RunnerReplaced("r", "another")


@pytest.mark.parametrize("answer", [REFUSED, REPLACED, 2])
def test_a_runner_that_is_gone_after_a_break_has_crashed(
    answer: int | Exception,
) -> None:
    assert play(Detector(answer), 0.1, RESET) == 1


@pytest.mark.parametrize("answer", [1, 0])
def test_a_runner_that_responds_after_a_break_has_not_crashed(answer: int) -> None:
    detector = Detector(answer)
    assert play(detector, 20.0, RESET, RESET, RESET) == 0
    assert detector.probes == 1


def test_a_runner_that_stays_silent_counts_until_it_responds_again() -> None:
    assert play(Detector(None), 2.0, RESET) == 1
    assert play(Detector(None, None, 1), 5.0, RESET) == 0


def test_a_refusing_link_to_a_living_runner_is_ruled_out_once_it_is_whole() -> None:
    assert play(Detector(REFUSED, REFUSED, 1), 0.1, RESET) == 1
    assert play(Detector(REFUSED, REFUSED, 1), 5.0, RESET) == 0


def test_a_probe_that_names_no_boot_does_not_rule_out_a_restart_at_once() -> None:
    assert play(Detector(REFUSED, 0), 5.0, RESET) == 1


def test_a_crash_is_not_dated_by_a_request_that_timed_out_before_it() -> None:
    """What completed in between would speak for the requests of the crash."""
    detector = Detector(REFUSED)

    async def scenario() -> None:
        await detector.answer(b"y")
        await detector.lose(b"x", asyncio.CancelledError())
        await asyncio.sleep(5.0)
        detector.table.complete(5.0, [detector.context(b"z").digest()])
        await detector.lose(b"z")
        await asyncio.sleep(0.1)

    detector.run(scenario)
    now = detector.clock.monotonic()
    standing = detector.table.standing(now, detector.context(b"z").digest())
    assert len(standing.crashes) == 1 and standing.last_at == 5.0
    assert detector.suspects(b"x") == 1


def test_a_failed_connect_is_no_crash_without_a_request_in_flight() -> None:
    detector = Detector(REFUSED)
    assert play(detector, 1.0, REFUSED) == 0
    assert detector.probes == 0


def test_a_refused_connection_shows_the_crash_under_a_silent_request() -> None:
    detector = Detector(REFUSED)

    async def scenario() -> None:
        hanging = asyncio.create_task(hang(detector))
        await asyncio.sleep(0.5)
        await detector.lose(b"other", REFUSED)
        await asyncio.sleep(1.0)
        assert detector.suspects(b"x") == 1 and detector.suspects(b"other") == 0
        hanging.cancel()

    detector.run(scenario)


async def hang(detector: Detector) -> None:
    with detector.detector.watch(detector.context(b"x"), RUNNER):
        await asyncio.sleep(60.0)


def test_the_list_alone_shows_a_crash_under_a_request_in_flight() -> None:
    detector = Detector(None)

    async def scenario() -> None:
        hanging = asyncio.create_task(hang(detector))
        await asyncio.sleep(0.5)
        detector.list_runners()
        await asyncio.sleep(0.5)
        assert detector.suspects(b"x") == 1
        hanging.cancel()

    detector.run(scenario)


def test_a_living_runner_that_one_list_leaves_out_has_not_crashed() -> None:
    detector = Detector(1)

    async def scenario() -> None:
        hanging = asyncio.create_task(hang(detector))
        await detector.lose(b"y")
        detector.list_runners()
        await asyncio.sleep(0.5)
        assert detector.suspects(b"x") == 0 and detector.suspects(b"y") == 0
        hanging.cancel()

    detector.run(scenario)


def test_another_boot_in_the_list_shows_a_crash_without_a_probe() -> None:
    detector = Detector(1)

    async def scenario() -> None:
        hanging = asyncio.create_task(hang(detector))
        await asyncio.sleep(0.5)
        detector.list_runners(RUNNER._replace(boot=2))
        await asyncio.sleep(0.1)
        assert detector.suspects(b"x") == 1 and detector.probes == 0
        hanging.cancel()

    detector.run(scenario)


def test_a_runner_that_left_as_planned_has_not_crashed() -> None:
    detector = Detector(REFUSED)

    async def scenario() -> None:
        detector.list_runners(RUNNER._replace(is_leaving=True))
        await detector.lose(b"x")
        await asyncio.sleep(1.0)
        detector.list_runners()
        await detector.lose(b"x")
        await asyncio.sleep(20.0)
        assert detector.suspects(b"x") == 0

    detector.run(scenario)


def test_notice_that_the_lagging_list_gives_late_voids_the_crash() -> None:
    detector = Detector(REFUSED)

    async def scenario() -> None:
        await detector.lose(b"x")
        await asyncio.sleep(0.1)
        assert detector.suspects(b"x") == 1
        detector.list_runners(RUNNER._replace(is_leaving=True))
        await asyncio.sleep(3.0)
        assert detector.suspects(b"x") == 0

    detector.run(scenario)


def test_a_runner_full_of_connections_that_refuses_more_has_not_crashed() -> None:
    detector = Detector(REFUSED, 1)

    async def scenario() -> None:
        working = asyncio.create_task(work(detector))
        await asyncio.sleep(0.1)
        await detector.lose(b"x")
        await working
        assert detector.suspects(b"slow") == 0
        await asyncio.sleep(2.0)
        assert detector.suspects(b"x") == 0

    detector.run(scenario)


async def work(detector: Detector) -> None:
    with detector.detector.watch(detector.context(b"slow"), RUNNER) as flight:
        await asyncio.sleep(0.4)
        flight.is_answered = True


@pytest.mark.parametrize("error", [asyncio.CancelledError(), RunnerSilent("r")])
def test_a_request_given_up_at_a_busy_runner_costs_no_probe(
    error: BaseException,
) -> None:
    detector = Detector(1)

    async def scenario() -> None:
        await detector.answer(b"other")
        await detector.lose(b"x", error)
        await asyncio.sleep(1.0)
        assert detector.probes == 0

    detector.run(scenario)


def test_a_request_given_up_before_a_crash_under_others_is_no_suspect() -> None:
    detector = Detector(1, REFUSED)

    async def scenario() -> None:
        await detector.lose(b"x", RunnerSilent("r"))
        await asyncio.sleep(5.0)
        await detector.lose(b"poison")
        await asyncio.sleep(0.1)
        assert detector.suspects(b"poison") == 1 and detector.suspects(b"x") == 0

    detector.run(scenario)


def test_a_retry_waits_for_the_evidence_but_not_for_long() -> None:
    for answer, longest in ((REFUSED, 0.01), (None, 0.21)):
        detector = Detector(answer)

        async def scenario(
            detector: Detector = detector, longest: float = longest
        ) -> None:
            await detector.lose(b"x")
            started_at = detector.clock.monotonic()
            await detector.detector.settle(RUNNER)
            assert detector.clock.monotonic() - started_at <= longest

        detector.run(scenario)


def test_no_trace_of_a_request_is_kept_after_it_was_answered() -> None:
    detector = Detector(1)

    async def scenario() -> None:
        await detector.answer(b"x")
        await asyncio.sleep(20.0)
        detector.detector.check_list()
        held = vars(detector.detector)
        assert not any(held[name] for name in ("_flights", "_cases", "_heard"))

    detector.run(scenario)


SEGMENTS = (PromptSegment("part", 5), PromptSegment("own", 5))


def lose_part(writing: float | None = None, is_prefill: bool = False) -> bool:
    """Return whether a part is suspected after its runner crashed.

    `writing` is for how many seconds the runner had written the response.
    """
    detector = Detector(RunnerReplaced("r", "other"))
    context = detector.context(b"x")
    inbound = dataclasses.replace(context.inbound, prompt=Prompt(10, 5, SEGMENTS))
    context = dataclasses.replace(context, inbound=inbound)

    async def scenario() -> None:
        with (
            pytest.raises(AttemptFailed),
            detector.detector.watch(context, RUNNER, is_prefill) as flight,
        ):
            if writing is not None:
                flight.writing_since = detector.clock.monotonic()
                await asyncio.sleep(writing)
            raise RESET
        await asyncio.sleep(1.0)

    detector.run(scenario)
    now = detector.clock.monotonic()
    assert detector.suspects(b"x") == 1
    (part,) = context.part_digests()
    return bool(detector.table.standing(now, part).crashes)


def test_the_parts_of_a_request_that_is_about_to_be_answered_are_suspects() -> None:
    assert lose_part()
    assert lose_part(writing=WRITING_SECONDS / 2)


def test_the_parts_of_a_response_that_is_being_written_are_no_suspects() -> None:
    assert not lose_part(writing=2 * WRITING_SECONDS)


def test_the_parts_of_a_prefill_are_no_suspects() -> None:
    assert not lose_part(is_prefill=True)


def test_no_investigation_outlives_the_stop_of_its_node() -> None:
    detector = Detector(None)

    async def scenario() -> None:
        await detector.lose(b"x")
        await asyncio.sleep(0.1)
        await detector.detector.stop()
        await detector.lose(b"y")
        assert asyncio.all_tasks() == {asyncio.current_task()}

    detector.run(scenario)
    assert detector.probes == 1
