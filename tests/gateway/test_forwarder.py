import asyncio
import contextlib
from dataclasses import replace

import pytest

from hawthornshelf.crashrecords import Evidence
from hawthornshelf.gateway.budget import RetryLimits
from hawthornshelf.gateway.context import RequestContext
from hawthornshelf.gateway.exchange import (
    Attempt,
    AttemptFailed,
    KvCacheHandle,
    PrefillRefused,
    Prompt,
    PromptSegment,
)
from hawthornshelf.gateway.identity import digest_parts
from hawthornshelf.gateway.routes import RouteTable
from hawthornshelf.gateway.runners import RunnerList, RunnerState, Stage
from hawthornshelf.gateway.scheduler import PlacementRequest, Reservation
from tests.gateway.fakes import (
    CLOCK,
    Caller,
    FakeResponse,
    Fleet,
    Reply,
    broken,
    event,
    make_inbound,
    not_run,
    ok,
)
from tests.gateway.load import VirtualClock, run_in_virtual_time

NO_SLACK = RetryLimits(0.0, 0.0, 10.0)
SHORT = Prompt(200, 50, (PromptSegment("x", 100), PromptSegment("own", 100)))
LONG = Prompt(9000, 5, (PromptSegment("x", 6000), PromptSegment("own", 3000)))


def stream(*numbers: int, breaks: bool = False, rest: bytes = b"") -> Reply:
    chunks = tuple(event(number) for number in numbers)
    return lambda attempt: FakeResponse(
        chunks=(*chunks, rest), breaks=breaks, stream=True
    )


def status(code: int) -> Reply:
    return lambda attempt: FakeResponse(code, (b"sorry",))


def test_a_runners_response_is_relayed_unchanged() -> None:
    caller = Fleet([ok]).ask("/safe/x")
    assert (caller.status, caller.data, caller.ended) == (200, b"body", True)
    assert caller.headers[0].value == "of 200"


def test_without_routes_a_node_responds_503_with_retry_after_and_not_404() -> None:
    fleet = Fleet([ok])
    fleet.forwarder.load(RouteTable())
    caller = fleet.ask("/safe/x")
    assert caller.status == 503 and caller.retry_after > 0
    assert fleet.sent == []


def test_an_unknown_path_is_not_found() -> None:
    assert Fleet([ok]).ask("/nowhere/").status == 404


@pytest.mark.parametrize("path", ["/once/x", "/read/x"])
def test_a_non_repeatable_request_is_never_resent_after_it_may_have_run(
    path: str,
) -> None:
    fleet = Fleet([broken(sent=True)])
    caller = fleet.ask(path, prompt=SHORT)
    assert len(fleet.sent) == 1
    assert caller.status == 502 and not caller.retry_after


def test_a_non_repeatable_request_is_resent_after_a_failed_connect() -> None:
    fleet = Fleet([broken(sent=False), ok])
    assert fleet.ask("/once/x").status == 200
    assert len({attempt.runner.name for attempt in fleet.sent}) == 2


def test_a_non_repeatable_request_is_resent_after_a_runner_refused_it() -> None:
    fleet = Fleet([not_run, ok])
    assert fleet.ask("/once/x").status == 200


def test_a_503_of_the_gateway_means_that_the_request_has_not_run() -> None:
    """Callers resend a request after a 503, so no runner may have run it."""
    refused = Fleet([not_run], limits=NO_SLACK).ask("/once/x")
    assert refused.status == 503 and refused.retry_after > 0
    unknown = Fleet([broken(sent=True)], limits=NO_SLACK).ask("/once/x")
    assert unknown.status == 502
    mixed = Fleet([broken(sent=True), not_run]).ask("/safe/x")
    assert mixed.status == 502


def test_a_safe_request_is_retried_at_another_runner() -> None:
    for first in (broken(sent=True), status(500), not_run):
        fleet = Fleet([first, ok])
        assert fleet.ask("/safe/x").status == 200
        assert fleet.sent[0].runner.name != fleet.sent[1].runner.name


def test_the_last_error_response_of_a_runner_is_relayed_unchanged() -> None:
    caller = Fleet([status(500)]).ask("/single/x")
    assert (caller.status, caller.data) == (500, b"sorry")
    assert caller.headers[0].value == "of 500"


def test_runs_stay_within_the_routes_attempts() -> None:
    fleet = Fleet([broken(sent=True)])
    assert fleet.ask("/safe/x").status == 502
    assert len(fleet.sent) == 2
    fleet = Fleet([broken(sent=True)])
    fleet.ask("/single/x")
    assert len(fleet.sent) == 1


def test_without_retry_budget_nothing_is_resent() -> None:
    fleet = Fleet([status(500), ok], limits=NO_SLACK)
    assert fleet.ask("/safe/x").status == 500
    assert len(fleet.sent) == 1


def test_a_broken_resumable_stream_resumes_after_its_last_whole_event() -> None:
    fleet = Fleet([stream(1, 2, breaks=True, rest=b"id: 3\nda"), stream(3, 4)])
    caller = fleet.ask("/talk/x", prompt=SHORT)
    assert caller.data == b"".join(event(n) for n in (1, 2, 3, 4))
    assert caller.ended and not caller.aborted
    assert [attempt.resume_after for attempt in fleet.sent] == ["", "2"]


def test_a_callers_last_event_id_is_forwarded() -> None:
    fleet = Fleet([stream(8)])
    fleet.ask("/talk/x", prompt=SHORT, resume_after="7")
    assert fleet.sent[0].resume_after == "7"


def test_a_broken_stream_that_can_not_resume_never_looks_complete() -> None:
    fleet = Fleet([stream(1, breaks=True)])
    other = fleet.runners.find("d1")
    assert other is not None
    other.runner = other.runner._replace(is_leaving=True)
    caller = fleet.ask("/read/x", prompt=SHORT)
    assert caller.aborted and not caller.ended
    assert len(fleet.sent) == 1 and not fleet.sent[0].backup


def test_a_long_prompt_is_prefilled_at_one_engine_and_runs_at_another() -> None:
    handle = KvCacheHandle("h:12", "abc")
    names = set()
    for number in range(30):
        fleet = Fleet([stream(1)], prefill_reply=lambda attempt: handle)
        segments = (PromptSegment(f"part{number}", 6000), PromptSegment("own", 3000))
        caller = fleet.ask("/read/x", prompt=Prompt(9000, 5, segments))
        assert caller.ended
        if fleet.prefills:
            assert fleet.prefills[0].runner.name == "p0"
            assert fleet.sent[0].source == handle
            names.add(fleet.sent[0].runner.name)
    assert names and "p0" not in names


def ask_prefilled(fleet: Fleet) -> Caller:
    """Send prompts until one is prefilled at the prefill engine; return its caller."""
    for number in range(30):
        segments = (PromptSegment(f"part{number}", 6000), PromptSegment("own", 3000))
        caller = fleet.ask("/talk/x", prompt=Prompt(9000, 5, segments))
        if fleet.prefills:
            return caller
        fleet.sent.clear()
    raise AssertionError("no prompt had its first owner at p0")


def test_a_refused_prefill_leaves_the_prompt_to_the_engine_that_runs() -> None:
    fleet = Fleet([stream(1)], prefill_reply=lambda a: PrefillRefused("p0", 503))
    caller = ask_prefilled(fleet)
    assert caller.ended and fleet.sent[0].source is None


def test_a_handle_that_no_engine_fetched_is_used_for_the_next_attempt() -> None:
    """A second prefill counts against the retry budget, so the KV cache is reused."""

    def wrong_stage(attempt: Attempt) -> FakeResponse:
        return FakeResponse(421, refuses=True)

    handle = KvCacheHandle("h:12", "abc")
    fleet = Fleet([stream(1)], prefill_reply=lambda attempt: handle)
    for number in range(30):
        fleet.replies = [wrong_stage, stream(1)]
        fleet.sent.clear()
        segments = (PromptSegment(f"part{number}", 6000), PromptSegment("own", 3000))
        caller = fleet.ask("/talk/x", prompt=Prompt(9000, 5, segments))
        if fleet.prefills:
            break
    assert caller.ended and len(fleet.prefills) == 1
    assert [attempt.source for attempt in fleet.sent] == [handle, handle]


def test_a_request_past_its_routes_timeout_is_failed_at_once() -> None:
    class Silent(Fleet):
        async def send(self, attempt: Attempt) -> FakeResponse:
            self.sent.append(attempt)
            await asyncio.sleep(60)
            raise AssertionError

    caller = Silent([ok]).ask("/short/x")
    assert caller.status == 504 and caller.ended


def test_a_caller_that_disconnects_ends_the_attempt() -> None:
    started = asyncio.Event()

    class Slow(FakeResponse):
        async def read(self) -> bytes:
            started.set()
            await asyncio.sleep(60)
            return b""

    async def disconnect() -> Fleet:
        fleet = Fleet([lambda attempt: Slow()])
        caller = Caller()
        serving = fleet.forwarder.serve(make_inbound("/safe/x"), caller)
        task = asyncio.create_task(serving)
        await started.wait()
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert not caller.headers_sent
        return fleet

    fleet = asyncio.run(disconnect())
    assert fleet.responses[0].closed
    assert fleet.forwarder.open_requests == 0


def test_one_crash_counts_as_one_failure_of_a_runner() -> None:
    fleet = Fleet([ok])
    state = fleet.runners.find("d0")
    assert state is not None
    waits = [fleet.runners.record_failure(10.0, state) for _ in range(5)]
    assert waits == [1.0] * 5
    assert fleet.runners.record_failure(11.5, state) == 2.0


def test_a_response_to_another_request_counts_as_a_failed_attempt() -> None:
    """The adapter detects the mismatch; the request may have run."""

    def other(attempt: Attempt) -> AttemptFailed:
        return AttemptFailed("match answer", "a0", "another request", sent=True)

    assert Fleet([other]).ask("/once/x").status == 502
    assert Fleet([other, ok]).ask("/safe/x").status == 200


def test_a_long_prompt_without_an_engine_is_rejected_at_once() -> None:
    fleet = Fleet([ok])
    for name in ("d0", "d1"):
        state = fleet.runners.find(name)
        assert state is not None
        state.runner = state.runner._replace(is_leaving=True)
    caller = fleet.ask("/read/x", prompt=LONG)
    assert caller.status == 503 and caller.retry_after > 0
    assert fleet.sent == []


def test_a_silent_runner_is_abandoned_while_there_is_time_for_another() -> None:
    class Silent(Fleet):
        async def send(self, attempt: Attempt) -> FakeResponse:
            self.sent.append(attempt)
            if len(self.sent) == 1:
                await asyncio.sleep(60)
            return FakeResponse()

    clock, caller = VirtualClock(), Caller()
    fleet = Silent([ok], clock=clock)
    now = clock.monotonic()
    inbound = replace(make_inbound("/safe/x"), arrived_at=now, deadline=now + 0.2)
    run_in_virtual_time(clock, fleet.forwarder.serve(inbound, caller))
    assert caller.status == 200
    assert len({attempt.runner.name for attempt in fleet.sent}) == 2


def test_a_silent_runner_keeps_a_non_repeatable_request_until_its_deadline() -> None:
    class Silent(Fleet):
        async def send(self, attempt: Attempt) -> FakeResponse:
            self.sent.append(attempt)
            await asyncio.sleep(60)
            return FakeResponse()

    fleet = Silent([ok])
    assert fleet.ask("/once/x", seconds=0.1).status == 504
    assert len(fleet.sent) == 1


def test_a_runner_that_fails_part_of_its_requests_gets_few_of_them() -> None:
    """A runner may pass health checks and fail two requests in five, or here all."""

    def flaky(attempt: Attempt) -> FakeResponse:
        bad = attempt.runner.name == "a0" and len(attempt.inbound.body) == 2
        return FakeResponse(500 if bad else 200)

    fleet = Fleet([flaky])
    for _ in range(200):
        fleet.ask("/once/x")
    sent_to_flaky = sum(attempt.runner.name == "a0" for attempt in fleet.sent)
    assert sent_to_flaky < 20


def test_a_handle_that_no_engine_fetched_is_freed() -> None:
    handle = KvCacheHandle("h:12", "abc")

    def wrong_stage(attempt: Attempt) -> FakeResponse:
        return FakeResponse(421, refuses=True)

    fleet = Fleet([wrong_stage], lambda attempt: handle, NO_SLACK)
    caller = ask_prefilled(fleet)
    assert caller.status == 503
    assert fleet.dropped == [handle]


def test_a_request_that_expires_unsent_gets_503_as_it_has_not_run() -> None:
    fleet = Fleet([ok])
    caller = fleet.ask("/safe/x", seconds=0.0)
    assert caller.status == 503 and caller.retry_after > 0
    assert fleet.sent == []


def test_a_closed_forwarder_refuses_new_requests_and_completes_open_ones() -> None:
    """A caller may keep its connection while the node stops."""
    fleet = Fleet([ok])

    async def stop_while_serving() -> tuple[Caller, Caller]:
        first, second = Caller(), Caller()
        running = asyncio.create_task(
            fleet.forwarder.serve(make_inbound("/once/x"), first)
        )
        await asyncio.sleep(0)
        fleet.forwarder.close()
        await fleet.forwarder.serve(make_inbound("/once/x"), second)
        await running
        return first, second

    first, second = asyncio.run(stop_while_serving())
    assert first.status == 200
    assert second.status == 503 and second.retry_after > 0
    assert len(fleet.sent) == 1


def test_an_engine_with_a_high_error_rate_is_left_out_and_tried_again_later() -> None:
    fleet = Fleet([ok])
    state = fleet.runners.find("d0")
    assert state is not None
    for _ in range(10):
        fleet.runners.record_error(100.0, state)
    decode = (Stage.DECODE,)
    names = [s.runner.name for s in fleet.runners.engines(100.0, "llm", decode, ())]
    assert names == ["d1"]
    names = [s.runner.name for s in fleet.runners.engines(120.0, "llm", decode, ())]
    assert names == ["d0", "d1"]


def test_a_broken_run_continues_from_the_copy_of_its_kv_cache() -> None:
    """Even a stream that may run only once can continue, as it is the same run."""
    fleet = Fleet([stream(1, 2, breaks=True), stream(3)])
    caller = fleet.ask("/read/x", prompt=SHORT)
    assert caller.data == b"".join(event(n) for n in (1, 2, 3)) and caller.ended
    first, second = fleet.sent
    assert first.backup == second.runner.address != first.runner.address
    assert second.source == KvCacheHandle(second.runner.address, "r1")
    assert second.resume_after == "2" and not second.backup


def test_a_run_that_ended_inside_an_event_continues_from_the_copy() -> None:
    fleet = Fleet([stream(1, rest=event(2)[:-1]), stream(2, 3)])
    caller = fleet.ask("/read/x", prompt=SHORT)
    assert caller.data == b"".join(event(n) for n in (1, 2, 3)) and caller.ended
    assert fleet.sent[1].resume_after == "1"
    assert fleet.sent[1].source is not None


def mark_leaving(fleet: Fleet, *names: str) -> None:
    """Mark runners as leaving, as the platform's list would."""
    for name in names:
        state = fleet.runners.find(name)
        assert state is not None
        state.runner = state.runner._replace(is_leaving=True)


def test_an_engine_that_starts_to_leave_gets_no_run_that_was_reserved_there() -> None:
    """The list changes while a late prompt waits for its prefill at another engine."""
    left: list[str] = []

    def prefill(attempt: Attempt) -> KvCacheHandle:
        if not left:
            left.append("d0")
            mark_leaving(fleet, "d0")
        return KvCacheHandle("h:12", "abc")

    for _ in range(20):
        left.clear()
        fleet = Fleet([stream(1)], prefill)
        caller = ask_prefilled(fleet)
        assert caller.ended
        assert [attempt.runner.name for attempt in fleet.sent] == ["d1"]
        assert len(fleet.prefills) == 1 and fleet.sent[0].source is not None


@pytest.mark.parametrize("is_unlisted", [False, True])
def test_a_copy_on_an_engine_that_is_leaving_or_unlisted_is_not_used(
    is_unlisted: bool,
) -> None:
    fleet = Fleet([stream(1, 2, breaks=True), stream(3)])

    def remove_others() -> None:
        others = {"d0", "d1"} - {fleet.sent[0].runner.name}
        if is_unlisted:
            kept = [r for r in fleet.listed if r.name not in others]
            fleet.runners.load(RunnerList(tuple(kept), 1.0))
        else:
            mark_leaving(fleet, *others)

    fleet.before_break = remove_others
    caller = fleet.ask("/read/x", prompt=SHORT)
    assert caller.aborted and len(fleet.sent) == 1


def test_without_a_copy_a_broken_run_is_cut_and_never_runs_again() -> None:
    fleet = Fleet([stream(1, breaks=True), not_run])
    caller = fleet.ask("/read/x", prompt=SHORT)
    assert caller.aborted and not caller.ended
    assert len(fleet.sent) == 2


def test_a_run_that_breaks_before_its_first_event_is_not_run_again() -> None:
    fleet = Fleet([stream(breaks=True)])
    assert fleet.ask("/read/x", prompt=SHORT).status == 502
    assert len(fleet.sent) == 1


def test_an_error_response_to_a_resumption_never_reaches_the_caller() -> None:
    fleet = Fleet([stream(1, breaks=True), status(500)])
    caller = fleet.ask("/talk/x", prompt=SHORT)
    assert caller.data == event(1)
    assert caller.aborted and not caller.ended


def endless(attempt: Attempt) -> FakeResponse:
    return FakeResponse(chunks=(event(1), *(b"data: x" * 1000,) * 1000), stream=True)


def test_an_event_without_end_breaks_the_stream_and_another_engine_resumes_it() -> None:
    fleet = Fleet([endless, stream(2, 3)])
    caller = fleet.ask("/talk/x", prompt=SHORT)
    assert caller.data == b"".join(event(n) for n in (1, 2, 3))
    assert caller.ended and not caller.aborted
    assert all(response.closed for response in fleet.responses)


def test_an_event_without_end_in_a_stream_that_can_not_resume_cuts_it() -> None:
    fleet = Fleet([endless])
    caller = fleet.ask("/read/x", prompt=SHORT)
    assert caller.aborted and not caller.ended
    assert fleet.outcomes() == {"cut": 1}


def test_an_unforeseen_error_ends_a_request_with_an_outcome() -> None:
    def fail(attempt: Attempt) -> FakeResponse:
        raise ZeroDivisionError

    fleet = Fleet([fail])
    caller = fleet.ask("/once/x")
    assert caller.status == 502 and caller.ended
    assert fleet.outcomes() == {"failed": 1}


@pytest.mark.parametrize(
    ("reply", "proves"), [(stream(1, 2), True), (stream(), False), (status(500), False)]
)
def test_only_an_answer_that_was_written_speaks_for_the_parts_of_its_prompt(
    reply: Reply, proves: bool
) -> None:
    fleet = Fleet([reply])
    segments = (PromptSegment("part", 5), PromptSegment("own", 5))
    prompt = Prompt(10, 5, segments)
    fleet.ask("/read/x", prompt=prompt, resume_after="7")
    table, now = fleet.crashes, CLOCK.monotonic()
    table.report(now, "r/1", now - 1.0, Evidence.GONE, digest_parts(prompt))
    (part,) = digest_parts(prompt)
    assert bool(table.standing(now, part).crashes) is not proves


def test_a_stop_ends_beside_a_request_whose_time_has_just_run_out() -> None:
    """Its limit has expired then, and can't be moved any more."""
    fleet = Fleet([ok])

    async def check() -> None:
        limit = asyncio.timeout(0.0)
        with contextlib.suppress(TimeoutError):
            async with limit:
                fleet.forwarder._limits.add(limit)
                await asyncio.sleep(1.0)
        fleet.forwarder.end_requests()

    asyncio.run(check())


@pytest.mark.parametrize(("path", "prompt"), [("/talk/x", SHORT), ("/read/x", LONG)])
def test_a_request_ends_though_no_engine_that_is_offered_accepts_it(
    path: str, prompt: Prompt
) -> None:
    """Placement was repeated without a bound, and kept the processor."""
    fleet = Fleet([stream(1)], prefill_reply=lambda a: KvCacheHandle("h:12", "k"))
    placed: list[str] = []
    acquire = fleet.forwarder._scheduler.acquire

    async def count(request: PlacementRequest) -> Reservation:
        placed.append(request.service)
        return await acquire(request)

    fleet.forwarder._scheduler.acquire = count
    fleet.runners.accepts_work = lambda now, state: False
    caller = fleet.ask(path, prompt=prompt)
    assert caller.status == 503 and caller.retry_after > 0
    assert not fleet.sent and len(fleet.prefills) <= 1
    assert len(placed) <= len(fleet.listed)


def test_a_request_is_placed_no_more_once_its_time_is_over() -> None:
    clock = VirtualClock()

    async def check() -> None:
        fleet = Fleet([stream(1)], clock=clock)
        placed: list[float] = []
        acquire = fleet.forwarder._scheduler.acquire

        async def delay(request: PlacementRequest) -> Reservation:
            placed.append(clock.monotonic())
            await asyncio.sleep(0.4)
            return await acquire(request)

        fleet.forwarder._scheduler.acquire = delay
        fleet.runners.accepts_work = lambda now, state: False
        caller, now = Caller(), clock.monotonic()
        inbound = replace(
            make_inbound("/talk/x", prompt=SHORT), arrived_at=now, deadline=now + 0.5
        )
        await fleet.forwarder.serve(inbound, caller)
        assert caller.status == 503 and len(placed) == 2

    run_in_virtual_time(clock, check())


def test_runners_that_grant_no_permit_are_each_asked_once() -> None:
    fleet = Fleet([ok])
    asked: list[str] = []

    async def refuse(context: RequestContext, state: RunnerState) -> bool:
        asked.append(state.runner.name)
        return False

    fleet.forwarder._chooser.acquire = refuse
    assert fleet.ask("/safe/x").status == 503
    assert sorted(asked) == ["a0", "a1", "a2"]
