"""Send a request to a second runner while the first has not answered, and race both."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from hawthornshelf.clock import Clock
from hawthornshelf.gateway.context import RequestContext
from hawthornshelf.gateway.crashdetector import CrashDetector
from hawthornshelf.gateway.exchange import AttemptFailed, RunnerResponse
from hawthornshelf.gateway.hedging import (
    HedgeCase,
    HedgeLimit,
    HedgePolicy,
    RaceEnd,
    decide,
)
from hawthornshelf.gateway.quarantine import Quarantine
from hawthornshelf.gateway.ratelimiter import RateLimiter
from hawthornshelf.gateway.reachability import RunnerReachability
from hawthornshelf.gateway.recorder import Recorder
from hawthornshelf.gateway.retrygate import RetryGate
from hawthornshelf.gateway.routes import RetryPolicy
from hawthornshelf.gateway.runners import (
    MAX_ERROR_RATE,
    RunnerState,
    RunnerTable,
    Stage,
)
from hawthornshelf.gateway.runnersends import RunnerSend, count_in_flight
from hawthornshelf.logs import write_log
from hawthornshelf.metrics import Metrics

__all__ = ["SendRace", "SendSteps"]


class SendSteps(NamedTuple):
    """Name the steps of a send that a hedge shares with the first one.

    `ask` sends an attempt and returns the answer once its headers are there.
    """

    ask: Callable[[RequestContext, RunnerState], Coroutine[Any, Any, RunnerResponse]]
    record_unreached: Callable[[RequestContext, AttemptFailed, RunnerState], None]


class SendRace:
    """Hedge the sends of requests that may run again, within the limits of a policy.

    The first complete head that is not a failure wins. The other send is cancelled,
    which closes its connection, and says nothing of its runner. Of two sends that
    fail, the outcome is that of the later one.
    """

    def __init__(
        self,
        policy: HedgePolicy,
        runners: RunnerTable,
        limiter: RateLimiter,
        retries: RetryGate,
        crashes: CrashDetector,
        quarantine: Quarantine,
        reachability: RunnerReachability,
        recorder: Recorder,
        metrics: Metrics,
        count_nodes: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._policy = policy
        self._runners = runners
        self._limiter = limiter
        self._retries = retries
        self._crashes = crashes
        self._quarantine = quarantine
        self._reachability = reachability
        self._recorder = recorder
        self._metrics = metrics
        self._count_nodes = count_nodes
        self._clock = clock
        if policy.is_enabled:
            metrics.show_hedges([limit.value for limit in HedgeLimit])

    def applies(self, context: RequestContext) -> bool:
        """Return whether a send of a plain service is one that may be hedged.

        It is if the request may run again, and has not been sent before or relayed.
        """
        if not self._policy.is_enabled or context.route.is_generation:
            return False
        is_first = context.sends == 1 and not context.peers
        is_relayed = context.inbound.relayed_runs is not None
        is_safe = context.route.retry_policy is RetryPolicy.SAFE
        return is_safe and is_first and not is_relayed

    def record_failure(self, context: RequestContext) -> None:
        """Record that a request was refused, or failed, at its service."""
        self._policy.record_failure(self._clock.monotonic(), context.service)

    def open_send(
        self,
        watches: contextlib.ExitStack,
        context: RequestContext,
        state: RunnerState,
        is_counted: bool,
    ) -> RunnerSend:
        """Watch a send to a runner until it, or `watches`, ends.

        With `is_counted` it is one of the requests in flight at the runner meanwhile.
        """
        own = watches.enter_context(contextlib.ExitStack())
        if is_counted:
            own.enter_context(count_in_flight(state))
        flight = own.enter_context(self._crashes.watch(context, state.runner))
        return RunnerSend(state, flight, own)

    async def run(
        self,
        context: RequestContext,
        first: RunnerSend,
        watches: contextlib.ExitStack,
        steps: SendSteps,
    ) -> RunnerSend:
        """Send a request, hedge it if need be, and return the send that decides.

        It has ended, by an answer or an error.
        """
        self._start(context, first, steps)
        sends = [first]
        try:
            now = self._clock.monotonic()
            delay = self._policy.find_delay(now, context.route.name)
            assert first.task is not None
            await asyncio.wait({first.task}, timeout=delay)
            if not first.has_ended and delay is not None:
                hedge = self._open_hedge(context, first, watches, delay)
                if hedge is not None:
                    sends.append(hedge)
                    self._start(context, hedge, steps)
            winner = await self._await_answer(context, sends, steps)
        except BaseException:
            for send in sends:
                send.cancel()
            if len(sends) > 1:
                context.race_end = RaceEnd.NONE
            raise
        finally:
            context.open_hedges = 0
        for send in sends:
            if send is not winner:
                self._drop(context, send)
        self._record_end(context, first, winner)
        return winner

    def _start(
        self, context: RequestContext, send: RunnerSend, steps: SendSteps
    ) -> None:
        send.sent_at = self._clock.monotonic()
        send.task = asyncio.create_task(steps.ask(context, send.state))

    async def _await_answer(
        self, context: RequestContext, sends: list[RunnerSend], steps: SendSteps
    ) -> RunnerSend:
        """Return the first send with an answer, or the last one that has failed.

        Sends that fail before are taken out of the list.
        """
        while True:
            tasks = {send.task for send in sends if send.task is not None}
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for send in [send for send in sends if send.has_ended]:
                if len(sends) == 1 or send.has_answered:
                    return send
                sends.remove(send)
                context.open_hedges = 0
                context.last_runner = sends[0].state.runner.name
                self._record_failure(context, send, steps)

    # The hedge

    def _open_hedge(
        self,
        context: RequestContext,
        first: RunnerSend,
        watches: contextlib.ExitStack,
        delay: float,
    ) -> RunnerSend | None:
        """Return a hedge that goes out now, None if it may not."""
        now = self._clock.monotonic()
        state = self._choose_runner(now, context)
        case = self._describe_case(now, context, first, state)
        limit = decide(case, self._policy.share)
        if limit is None and not self._retries.reserve(context):
            limit = HedgeLimit.BUDGET
        if limit is not None or state is None:
            context.hedge_limit = limit
            self._metrics.count_hedge_refusal((limit or HedgeLimit.RUNNER).value)
            return None
        try:
            context.begin_run(state.runner.name)
        except BaseException:
            self._retries.release(context)
            raise
        send = self.open_send(watches, context, state, is_counted=True)
        send.reserved = self._retries.take(context)
        self._policy.record_hedge(now, context.service)
        self._metrics.count_hedge("sent")
        context.open_hedges = 1
        context.tried.add(state.runner.name)
        context.sends += 1
        write_log(
            "request-hedged",
            **context.log_fields(),
            runner=state.runner.name,
            previous=first.state.runner.name,
            attempt=context.sends,
            waited=round(now - first.sent_at, 4),
            delay=round(delay, 4),
            typical=round(case.typical_seconds, 4),
            left=round(case.seconds_left, 4),
            load=round(case.load, 3),
            calm=round(min(case.seconds_since_failure, 1e6), 3),
            hedges=case.hedges + 1,
            requests=case.requests,
            list_age=round(now - self._runners.read_at, 3),
        )
        return send

    def _describe_case(
        self,
        now: float,
        context: RequestContext,
        first: RunnerSend,
        state: RunnerState | None,
    ) -> HedgeCase:
        policy, service = self._policy, context.service
        return HedgeCase(
            seconds_left=context.deadline - now,
            typical_seconds=policy.typical_wait(now, context.route.name),
            attempts_left=context.route.max_attempts - context.runs - 1,
            is_clear=not context.trial and self._quarantine.is_clear(context),
            is_limited=self._limiter.is_limited(first.state.runner),
            has_runner=state is not None and not self._reachability.is_cut,
            load=self._estimate_load(now, service),
            seconds_since_failure=policy.seconds_since_failure(now, service),
            hedges=policy.count_hedges(now, service),
            requests=policy.count_requests(now, service),
        )

    def _estimate_load(self, now: float, service: str) -> float:
        """Return the share of a service's slots in use, as far as is known.

        It is the larger one of two: what this node holds now, and what all nodes hold
        if they have held as much as this one. While their number is unknown, it is 1.
        """
        nodes = self._count_nodes()
        states = self._runners.available(now, service, (Stage.MIXED,), ())
        slots = sum(state.runner.slots for state in states)
        if not nodes or not slots:
            return 1.0
        held = sum(state.in_flight for state in states)
        return max(held, nodes * self._policy.mean_in_use(now, service)) / slots

    def _choose_runner(self, now: float, context: RequestContext) -> RunnerState | None:
        """Return the fit runner with the lowest cost, or None."""
        service = context.service
        unfit = {
            state.runner.name
            for state in self._runners.in_service(service)
            if not self._is_fit(now, state)
        }
        return self._runners.choose_plain(now, service, context.tried | unfit)

    def _is_fit(self, now: float, state: RunnerState) -> bool:
        """Return whether a runner has room for a hedge and has not failed recently."""
        has_room = 2 * state.in_flight < state.runner.slots
        is_up = now >= state.down_until
        is_sound = state.current_error_rate(now) < MAX_ERROR_RATE
        return (
            has_room
            and is_up
            and is_sound
            and not self._limiter.is_limited(state.runner)
        )

    # The end of a race

    def _record_failure(
        self, context: RequestContext, send: RunnerSend, steps: SendSteps
    ) -> None:
        """Record a send that has failed while another one is open."""
        now = self._clock.monotonic()
        self._policy.record_busy(now, context.service, now - send.sent_at)
        self.record_failure(context)
        if send.has_failed:
            self._record_error(context, send, steps)
            return
        response = send.response()
        response.close()
        send.watches.close()
        if response.not_run:
            self._recorder.record_refusal(context, send.state, response.status)
            return
        _count_lost_run(context)
        context.reason = f"runner answered {response.status}"
        self._recorder.record_error_response(context, send.state, response.status)

    def _record_error(
        self, context: RequestContext, send: RunnerSend, steps: SendSteps
    ) -> None:
        """Record a send without an answer; raise any other error than AttemptFailed."""
        try:
            with send.watches:
                send.response()
        except AttemptFailed as error:
            if error.sent:
                _count_lost_run(context)
            elif send.reserved is not None:
                self._retries.give_back(send.reserved)
            self._recorder.record_failure(context, send.state, error)
            steps.record_unreached(context, error, send.state)

    def _drop(self, context: RequestContext, send: RunnerSend) -> None:
        """End the send that has lost."""
        now = self._clock.monotonic()
        self._policy.record_busy(now, context.service, now - send.sent_at)
        _count_lost_run(context)
        self._crashes.forget(send.flight)
        send.watches.close()
        send.cancel()

    def _record_end(
        self, context: RequestContext, first: RunnerSend, winner: RunnerSend
    ) -> None:
        """Record how long the request has waited, and which send has won."""
        now, service = self._clock.monotonic(), context.service
        self._policy.record_busy(now, service, now - winner.sent_at)
        if winner.has_answered:
            waited = now - first.sent_at
            self._policy.record_wait(now, context.route.name, waited)
        if context.sends == 1:
            return
        context.last_runner = winner.state.runner.name
        if not winner.has_answered:
            context.race_end = RaceEnd.NONE
        elif winner is first:
            context.race_end = RaceEnd.FIRST
        else:
            context.race_end = RaceEnd.HEDGE
            self._metrics.count_hedge("won")


def _count_lost_run(context: RequestContext) -> None:
    context.runs += 1
    context.lost_runs += 1
