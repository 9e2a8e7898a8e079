"""Test every end of a race of two sends, with scripted answers."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator

import eliot
import pytest

from hawthornshelf.crashrecords import Evidence
from hawthornshelf.gateway.budget import RetryLimits
from hawthornshelf.gateway.exchange import (
    Attempt,
    AttemptFailed,
    ConnectionRefused,
    InboundRequest,
    RunnerResponse,
)
from hawthornshelf.gateway.identity import digest_request
from hawthornshelf.gateway.reachability import MIN_UNREACHED
from hawthornshelf.gateway.routes import RetryPolicy
from hawthornshelf.gateway.runners import Runner, RunnerList
from tests.gateway.fakes import Caller, FakeResponse, event
from tests.gateway.hedgefleet import ROUTE, HedgeFleet, Script, Send
from tests.gateway.load import run_in_virtual_time

SHARE = 0.2
NEVER = 60.0
Reply = Callable[[Attempt], FakeResponse | AttemptFailed]


def answer(attempt: Attempt) -> FakeResponse:
    return FakeResponse(chunks=(attempt.runner.name.encode(),))


def status(code: int, refuses: bool = False) -> Reply:
    return lambda attempt: FakeResponse(code, (b"sorry",), refuses=refuses)


def reset(attempt: Attempt) -> AttemptFailed:
    return AttemptFailed("send", attempt.runner.name, "reset", sent=True)


def refused(attempt: Attempt) -> AttemptFailed:
    return ConnectionRefused(attempt.runner.name, "refused")


def script(*steps: tuple[float, Reply]) -> Script:
    """Return a script by which the sends of a request have their answers."""

    def reply(
        attempt: Attempt, number: int
    ) -> tuple[float, FakeResponse | AttemptFailed]:
        seconds, make = steps[min(number, len(steps) - 1)]
        return seconds, make(attempt)

    return reply


def make_fleet(*steps: tuple[float, Reply], **options: object) -> HedgeFleet:
    return HedgeFleet(SHARE, script=script(*steps), **options)  # type: ignore[arg-type]


def run(fleet: HedgeFleet, main: Callable[[], Coroutine[object, object, None]]) -> None:
    """Run a test once the delay of the route is known; then nothing may be left."""

    async def play() -> None:
        await fleet.warm_up()
        await main()
        await asyncio.sleep(0.01)
        assert fleet.forwarders[0].open_requests == 0
        assert [fleet.state(name).in_flight for name in "abc"] == [0, 0, 0]
        assert all(send.ended_at < NEVER for send in fleet.sends)
        cases = fleet.forwarders[0]._crashes._cases.values()
        assert len(asyncio.all_tasks()) == 1 + sum(c.task is not None for c in cases)
        await fleet.forwarders[0].stop()

    run_in_virtual_time(fleet.clock, play())


def serve(fleet: HedgeFleet, seconds: float = 3.0) -> tuple[Caller, list[Send]]:
    """Serve one request to its end; return the caller and the sends."""
    callers = []

    async def main() -> None:
        callers.append(await fleet.ask("x", seconds))

    run(fleet, main)
    return callers[0], fleet.sends_of("x")


Lines = list[dict[str, object]]


@pytest.fixture
def lines() -> Iterator[Lines]:
    """Return the list to which log lines are appended."""
    found: Lines = []
    eliot.add_destinations(found.append)
    found.clear()  # the first destination gets what was logged before
    yield found
    eliot.remove_destination(found.append)


def find_line(lines: Lines, event: str) -> dict[str, object]:
    """Return the only line of an event on the request that is tested."""
    events = [line for line in lines if line["message_type"] == event]
    (found,) = [line for line in events if line["request"] == "x"]
    return found


# Which send wins


def test_a_slow_first_send_keeps_its_caller_waiting() -> None:
    fleet = make_fleet((1.0, answer), (0.03, answer))
    caller, (first, hedge) = serve(fleet)
    assert caller.status == 200 and caller.data == hedge.runner.encode()
    assert hedge.ended_at - first.at < 0.1
    assert hedge.seconds_left == pytest.approx(3.0 - (hedge.at - first.at))
    assert first.is_cancelled and first.ended_at == hedge.ended_at
    assert fleet.exported('hawthornshelf_hedges_total{outcome="won"}') == 1


def test_a_first_send_that_answers_at_last_loses_to_its_hedge() -> None:
    fleet = make_fleet((0.1, answer), (0.5, answer))
    caller, (first, hedge) = serve(fleet)
    assert caller.data == first.runner.encode()
    assert hedge.is_cancelled and hedge.ended_at == first.ended_at
    assert fleet.exported('hawthornshelf_hedges_total{outcome="won"}') == 0


def test_a_lost_send_says_something_of_its_runner() -> None:
    """Neither a failure, nor a slow or a good answer; nor a reason to probe it."""
    for steps in [((1.0, answer), (0.03, answer)), ((0.1, answer), (1.0, answer))]:
        fleet = make_fleet(*steps)
        caller, (first, hedge) = serve(fleet)
        loser = first if first.is_cancelled else hedge
        state = fleet.state(loser.runner)
        detector = fleet.forwarders[0]._crashes
        assert (state.error_rate, state.down_until) == (0.0, 0.0)
        assert state.answered_at < first.at
        assert not detector._cases and not detector._flights
        assert detector._heard[state.runner.key] < first.at
        assert fleet.probes == 0 and not fleet.crashes.has_suspects
        assert fleet.forwarders[0]._reachability.count_probes() == 0
        assert fleet.forwarders[0].reaches_runners


class SlowBody(FakeResponse):
    """Take some time for the body."""

    async def chunks(self) -> AsyncIterator[bytes]:
        await asyncio.sleep(0.5)
        yield b"late body"


def test_a_lost_send_holds_its_runner_while_the_winner_is_read() -> None:
    fleet = make_fleet((1.0, answer), (0.03, lambda attempt: SlowBody()))

    async def main() -> None:
        serving = asyncio.create_task(fleet.ask("x"))
        await asyncio.sleep(0.3)
        first, hedge = fleet.sends_of("x")
        assert first.is_cancelled
        assert fleet.state(first.runner).in_flight == 0
        assert fleet.state(hedge.runner).in_flight == 1
        flights = fleet.forwarders[0]._crashes._flights
        assert list(flights) == [fleet.state(hedge.runner).runner.key]
        assert (await serving).data == b"late body"

    run(fleet, main)


def test_a_body_that_breaks_off_is_blamed_on_the_send_that_lost() -> None:
    def broken(attempt: Attempt) -> FakeResponse:
        return FakeResponse(breaks=True)

    fleet = make_fleet((1.0, answer), (0.03, broken))
    caller, (first, hedge) = serve(fleet)
    assert caller.status == 502
    assert fleet.state(hedge.runner).down_until > 0
    assert fleet.state(first.runner).down_until == 0
    assert fleet.probes == 1


def test_a_late_answer_of_the_lost_send_reaches_a_caller() -> None:
    """A client may have the answer at the moment at which its send is cancelled."""

    class Stubborn(HedgeFleet):
        async def send(self, attempt: Attempt) -> RunnerResponse:
            try:
                return await super().send(attempt)
            except asyncio.CancelledError:
                await asyncio.sleep(0.001)
                late = FakeResponse(chunks=(b"late",))
                self.responses.append(late)
                return late

    for steps in [((1.0, answer), (0.03, answer)), ((0.1, answer), (1.0, answer))]:
        fleet = Stubborn(SHARE, script=script(*steps))
        caller, sends = serve(fleet)
        assert caller.status == 200 and caller.data != b"late"
        assert len(sends) == 2 and all(r.closed for r in fleet.responses)


# One of two sends fails


@pytest.mark.parametrize("failure", [reset, refused, status(500)])
def test_a_first_send_that_fails_takes_its_hedge_along(failure: Reply) -> None:
    fleet = make_fleet((0.1, failure), (0.3, answer))
    caller, (first, hedge) = serve(fleet)
    assert caller.status == 200 and caller.data == hedge.runner.encode()
    assert fleet.state(first.runner).error_rate > 0
    assert all(response.closed for response in fleet.responses)


@pytest.mark.parametrize("failure", [reset, refused, status(500), status(503, True)])
def test_a_hedge_that_fails_takes_the_first_send_along(failure: Reply) -> None:
    fleet = make_fleet((0.3, answer), (0.03, failure))
    caller, (first, _) = serve(fleet)
    assert caller.status == 200 and caller.data == first.runner.encode()


def test_a_runner_that_breaks_under_a_race_is_not_probed() -> None:
    """A failure that this node did not cause is evidence, whichever send wins."""
    for steps in [((0.1, reset), (0.3, answer)), ((0.3, answer), (0.03, reset))]:
        fleet = make_fleet(*steps)
        caller, _ = serve(fleet)
        assert caller.status == 200 and fleet.probes == 1


def test_two_sends_that_fail_are_followed_by_a_third() -> None:
    fleet = make_fleet((0.1, reset), (0.3, reset))
    caller, sends = serve(fleet)
    assert caller.status == 502 and len(sends) == 2
    fleet = make_fleet((0.1, status(500)), (0.3, reset))
    caller, sends = serve(fleet)
    assert caller.status == 502 and len(sends) == 2


def test_a_request_that_ran_at_one_runner_is_called_not_run() -> None:
    """The hedge is refused after the first send broke: a 503 would promise too much."""
    no_retries = RetryLimits(0.0, 1.7, 10.0)
    fleet = make_fleet((0.1, reset), (0.3, status(503, True)), limits=no_retries)
    caller, sends = serve(fleet)
    assert caller.status == 502 and len(sends) == 2


@pytest.mark.parametrize("attempts", [2, 3, 4])
def test_a_hedge_is_not_counted_among_the_attempts(attempts: int) -> None:
    route = ROUTE._replace(max_attempts=attempts)
    fleet = make_fleet((0.1, reset), (0.3, reset), (0.0, reset), route=route)
    caller, sends = serve(fleet)
    assert caller.status in (502, 503)
    assert len(sends) == min(attempts, 3)


def test_a_hedge_that_could_not_connect_is_paid_for() -> None:
    """One send is all that the retry budget has: the second race needs it too."""
    one_send = RetryLimits(0.0, 1.7, 10.0)
    fleet = make_fleet((0.5, answer), (0.01, refused), limits=one_send)

    async def main() -> None:
        for name in ("x", "y"):
            assert (await fleet.ask(name)).status == 200
            assert len(fleet.sends_of(name)) == 2
            await asyncio.sleep(2.0)

    run(fleet, main)


def test_a_hedge_that_went_out_is_not_paid_for() -> None:
    one_send = RetryLimits(0.0, 1.7, 10.0)
    fleet = make_fleet((0.5, answer), (1.0, answer), limits=one_send)

    async def main() -> None:
        for name, sends in (("x", 2), ("y", 1)):
            assert (await fleet.ask(name)).status == 200
            assert len(fleet.sends_of(name)) == sends
            await asyncio.sleep(2.0)

    run(fleet, main)


def test_a_race_without_an_attempt_left_is_given_up_as_silent() -> None:
    """A single send would be given up after 0.4 of its time, for another one."""
    fleet = make_fleet((2.5, answer), (2.6, answer))
    caller, (first, hedge) = serve(fleet)
    assert caller.data == first.runner.encode()
    assert not first.is_cancelled and hedge.is_cancelled


# The request ends without an answer


def test_a_caller_that_leaves_lets_a_send_go_on() -> None:
    fleet = make_fleet((NEVER, answer))

    async def main() -> None:
        serving = asyncio.create_task(fleet.ask("x"))
        await asyncio.sleep(0.5)
        left_at = fleet.clock.monotonic()
        serving.cancel()
        with pytest.raises(asyncio.CancelledError):
            await serving
        sends = fleet.sends_of("x")
        assert [send.is_cancelled for send in sends] == [True, True]
        assert [send.ended_at for send in sends] == [left_at, left_at]

    run(fleet, main)


def test_a_deadline_lets_a_send_go_on() -> None:
    fleet = make_fleet((NEVER, answer))
    caller, sends = serve(fleet, seconds=0.4)
    assert caller.status == 504
    assert [send.is_cancelled for send in sends] == [True, True]


def test_a_planned_stop_lets_a_send_go_on() -> None:
    fleet = make_fleet((NEVER, answer))

    async def main() -> None:
        serving = asyncio.create_task(fleet.ask("x"))
        await asyncio.sleep(0.5)
        fleet.forwarders[0].end_requests()
        caller = await serving
        assert caller.status == 504 and caller.reason == "this node stops"
        assert all(send.is_cancelled for send in fleet.sends_of("x"))
        assert len(fleet.sends_of("x")) == 2

    run(fleet, main)


def test_a_caller_that_leaves_during_the_answer_holds_its_connection() -> None:
    fleet = make_fleet((1.0, answer), (0.03, lambda attempt: SlowBody()))

    async def main() -> None:
        serving = asyncio.create_task(fleet.ask("x"))
        await asyncio.sleep(0.3)
        serving.cancel()
        with pytest.raises(asyncio.CancelledError):
            await serving
        assert fleet.responses[-1].closed

    run(fleet, main)


# No hedge


def count_sends(fleet: HedgeFleet, prepare: Callable[[], object]) -> int:
    """Serve a request that waits for long, after a change; return its sends."""

    async def main() -> None:
        prepare()
        assert (await fleet.ask("x")).status == 200

    run(fleet, main)
    return len(fleet.sends_of("x"))


def nothing() -> None:
    """Change nothing."""


@pytest.mark.parametrize(
    "change",
    [
        {"retry_policy": RetryPolicy.ONCE},
        {"retry_policy": RetryPolicy.STREAM, "resumable": True},
        {"max_attempts": 1},
    ],
)
def test_a_request_that_may_not_run_twice_is_hedged(change: dict[str, object]) -> None:
    route = ROUTE._replace(**change)  # type: ignore[arg-type]
    fleet = make_fleet((0.5, answer), route=route)
    assert count_sends(fleet, nothing) == 1


def test_a_stream_of_a_safe_route_has_two_writers() -> None:
    """The loser is cut off at the winner's head, before a whole event is passed on."""

    def stream(attempt: Attempt) -> FakeResponse:
        return FakeResponse(chunks=(event(1), event(2)), stream=True)

    fleet = make_fleet((0.3, stream), (0.03, stream))
    caller, (first, _) = serve(fleet)
    assert caller.data == event(1) + event(2) and caller.ended
    assert first.is_cancelled


def test_a_request_that_was_sent_before_is_hedged() -> None:
    fleet = make_fleet((0.0, reset), (0.5, answer), (0.0, answer))
    route = ROUTE._replace(max_attempts=3)
    fleet = make_fleet((0.0, reset), (0.5, answer), (0.0, answer), route=route)
    caller, sends = serve(fleet)
    assert caller.status == 200 and len(sends) == 2
    assert not any(send.is_hedge for send in sends)


def test_a_relayed_request_is_hedged() -> None:
    fleet = make_fleet((0.5, answer))

    async def main() -> None:
        caller = Caller()
        inbound: InboundRequest = fleet.inbound("x", relayed_runs=1)
        await fleet.forwarders[0].serve(inbound, caller)
        assert caller.status == 200 and len(fleet.sends_of("x")) == 1

    run(fleet, main)


def test_a_hedge_goes_to_a_runner_that_is_not_fit() -> None:
    def change_all(change: Callable[[HedgeFleet, str], None]) -> int:
        fleet = make_fleet((0.5, answer))

        def prepare() -> None:
            loop = asyncio.get_running_loop()
            loop.call_later(0.03, lambda: change_others(fleet, change))

        return count_sends(fleet, prepare)

    def change_others(
        fleet: HedgeFleet, change: Callable[[HedgeFleet, str], None]
    ) -> None:
        (first,) = fleet.sends_of("x")
        for name in {"a", "b", "c"} - {first.runner}:
            change(fleet, name)

    def let_leave(fleet: HedgeFleet, name: str) -> None:
        state = fleet.state(name)
        state.runner = state.runner._replace(is_leaving=True)

    def pause(fleet: HedgeFleet, name: str) -> None:
        now = fleet.clock.monotonic()
        fleet.tables[0].record_pause(fleet.state(name).runner, now, 1.0)

    def break_off(fleet: HedgeFleet, name: str) -> None:
        fleet.tables[0].record_failure(fleet.clock.monotonic(), fleet.state(name))

    def limit(fleet: HedgeFleet, name: str) -> None:
        now = fleet.clock.monotonic()
        fleet.rates.learn(now, fleet.state(name).runner.key, 5.0, now)

    def fill(fleet: HedgeFleet, name: str) -> None:
        state = fleet.state(name)
        state.in_flight += 3
        release = asyncio.get_running_loop().call_later
        release(0.2, lambda: setattr(state, "in_flight", state.in_flight - 3))

    def unlist(fleet: HedgeFleet, name: str) -> None:
        kept = [s.runner for s in fleet.tables[0].in_service("app")]
        listed = tuple(runner for runner in kept if runner.name != name)
        fleet.tables[0].load(RunnerList(listed, fleet.clock.monotonic()))

    assert change_all(lambda fleet, name: None) == 2
    for change in (let_leave, pause, break_off, limit, fill):
        assert change_all(change) == 1, change
    fleet = make_fleet((0.5, answer))

    async def main() -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(0.03, lambda: change_others(fleet, unlist))
        assert (await fleet.ask("x")).status == 200
        assert len(fleet.sends_of("x")) == 1
        runners = [Runner(name, "app", name, "dc", 6, boot=1) for name in "abc"]
        fleet.tables[0].load(RunnerList(tuple(runners), fleet.clock.monotonic()))

    run(fleet, main)


def test_a_rate_limited_runner_or_a_suspect_or_a_cut_node_sends_a_hedge() -> None:
    fleet = make_fleet((0.5, answer))

    def limit_all() -> None:
        for name in "abc":
            now = fleet.clock.monotonic()
            fleet.rates.learn(now, fleet.state(name).runner.key, 50.0, now)

    assert count_sends(fleet, limit_all) == 1

    fleet = make_fleet((0.5, answer))

    def limit_first() -> None:
        def limit() -> None:
            (first,) = fleet.sends_of("x")
            now = fleet.clock.monotonic()
            fleet.rates.learn(now, fleet.state(first.runner).runner.key, 50.0, now)

        asyncio.get_running_loop().call_later(0.03, limit)

    assert count_sends(fleet, limit_first) == 1

    fleet = make_fleet((0.5, answer))

    def suspect() -> None:
        now, content = (
            fleet.clock.monotonic(),
            digest_request(fleet.inbound("x")).content,
        )
        fleet.crashes.report(now, "gone/1", now, Evidence.GONE, [content])

    assert count_sends(fleet, suspect) == 1

    fleet = make_fleet((0.5, answer))

    def cut() -> None:
        def lose_all() -> None:
            for number in range(MIN_UNREACHED):
                runner = Runner(f"z{number}", "app", "", "dc", 6)
                fleet.forwarders[0]._reachability.record_failure(runner, 9)

        asyncio.get_running_loop().call_later(0.03, lose_all)

    count_sends(fleet, cut)
    assert fleet.hedges == []


@pytest.mark.parametrize("failure", [reset, status(500), status(503, True)])
def test_a_service_that_has_just_failed_a_request_is_hedged(failure: Reply) -> None:
    def reply(
        attempt: Attempt, number: int
    ) -> tuple[float, FakeResponse | AttemptFailed]:
        if attempt.inbound.request_id == "bad":
            return 0.0, failure(attempt)
        return 0.5, answer(attempt)

    fleet = HedgeFleet(SHARE, script=reply)

    async def main() -> None:
        await fleet.ask("bad")
        await asyncio.sleep(0.5)
        assert (await fleet.ask("x")).status == 200
        await asyncio.sleep(4.0)
        assert (await fleet.ask("y")).status == 200
        assert (len(fleet.sends_of("x")), len(fleet.sends_of("y"))) == (1, 2)

    run(fleet, main)


def test_a_request_without_time_for_a_typical_answer_is_hedged() -> None:
    fleet = make_fleet((0.06, answer))
    _, sends = serve(fleet, seconds=0.08)
    assert len(sends) == 1


# What is told


def test_the_last_line_of_a_request_hides_which_send_has_won(lines: Lines) -> None:
    for steps, won in [
        (((1.0, answer), (0.03, answer)), "hedge"),
        (((0.1, answer), (1.0, answer)), "first"),
        (((0.1, reset), (0.3, reset)), "none"),
    ]:
        lines.clear()
        _, (first, hedge) = serve(make_fleet(*steps))
        hedged = find_line(lines, "request-hedged")
        assert (hedged["previous"], hedged["runner"]) == (first.runner, hedge.runner)
        ended = find_line(lines, "request-ended")
        assert (ended["won"], ended["sends"]) == (won, 2)
        assert ended["runner"] == (first if won == "first" else hedge).runner


def test_the_last_line_of_a_request_hides_what_forbade_a_hedge(lines: Lines) -> None:
    serve(make_fleet((0.5, answer), limits=RetryLimits(0.0, 0.0, 10.0)))
    assert find_line(lines, "request-ended")["unhedged"] == "budget"


def test_a_request_with_an_answer_in_time_has_a_line_of_hedging(lines: Lines) -> None:
    serve(make_fleet((0.01, answer)))
    ended = find_line(lines, "request-ended")
    assert "won" not in ended and "unhedged" not in ended
