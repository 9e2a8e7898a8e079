"""Send one attempt of a request to one runner, and pass its response on."""

import asyncio
import contextlib
from collections.abc import Callable
from functools import partial

from hawthornshelf.clock import Clock
from hawthornshelf.gateway.chooser import RunnerChooser
from hawthornshelf.gateway.context import OpenRun, RequestContext
from hawthornshelf.gateway.continuation import StreamContinuer
from hawthornshelf.gateway.crashdetector import CrashDetector
from hawthornshelf.gateway.durations import RouteDurations
from hawthornshelf.gateway.exchange import (
    Attempt,
    AttemptFailed,
    KvCacheHandle,
    PrefillRefused,
    RunnerClient,
    RunnerResponse,
    RunnerSilent,
)
from hawthornshelf.gateway.flight import Flight
from hawthornshelf.gateway.quarantine import Quarantine
from hawthornshelf.gateway.race import SendRace, SendSteps
from hawthornshelf.gateway.reachability import RunnerReachability
from hawthornshelf.gateway.recorder import Recorder
from hawthornshelf.gateway.requestusage import RequestUsage
from hawthornshelf.gateway.retrygate import RetryGate
from hawthornshelf.gateway.routes import EngineProfile, RetryPolicy
from hawthornshelf.gateway.runners import Runner, RunnerState, RunnerTable
from hawthornshelf.gateway.runstopper import RunStopper
from hawthornshelf.gateway.scheduler import EngineScheduler, Reservation
from hawthornshelf.gateway.silence import SilenceLimits, WaitingAttempt
from hawthornshelf.gateway.streamrelay import StreamRelay
from hawthornshelf.origins import Origin

__all__ = ["AttemptSender"]


class AttemptSender:
    """Prefill a request's prompt, or run it, at a runner that is chosen already.

    `find_engine` returns what the engines of a service have in common, None for others.
    """

    def __init__(
        self,
        client: RunnerClient,
        runners: RunnerTable,
        chooser: RunnerChooser,
        scheduler: EngineScheduler,
        retries: RetryGate,
        stopper: RunStopper,
        crashes: CrashDetector,
        quarantine: Quarantine,
        reachability: RunnerReachability,
        continuer: StreamContinuer,
        recorder: Recorder,
        durations: RouteDurations,
        silence: SilenceLimits,
        race: SendRace,
        find_engine: Callable[[str], EngineProfile | None],
        clock: Clock,
        usage: RequestUsage,
    ) -> None:
        self._client = client
        self._runners = runners
        self._chooser = chooser
        self._scheduler = scheduler
        self._retries = retries
        self._stopper = stopper
        self._crashes = crashes
        self._quarantine = quarantine
        self._reachability = reachability
        self._continuer = continuer
        self._recorder = recorder
        self._durations = durations
        self._silence = silence
        self._race = race
        self._find_engine = find_engine
        self._clock = clock
        self._usage = usage
        self._streams = StreamRelay(recorder)

    async def prefill(
        self, context: RequestContext, reservation: Reservation
    ) -> KvCacheHandle | None:
        """Prefill the prompt at the engine chosen for that and return its KV cache.

        None leaves the prefill to the engine that runs the request. A second prefill
        and a refused one count against the retry budget.
        """
        state = reservation.placement.prefill
        if state is None:
            return None
        if not await self._chooser.acquire(context, state):
            return None
        if context.prefills > 0:
            if not self._retries.may_spend(context):
                return None
            self._retries.spend(context)
        self._quarantine.check(context)
        context.response = None
        context.prefills += 1
        try:
            with (
                self._crashes.watch(context, state.runner, is_prefill=True),
                self._reachability.watch(),
            ):
                handle = await self._client.prefill(self._make_attempt(context, state))
            self._reachability.record_answer()
            return handle
        except PrefillRefused as error:
            self._reachability.record_answer()
            self._retries.spend(context)
            self._recorder.record_refusal(context, state, error.status)
        except AttemptFailed as error:
            self._recorder.record_failure(context, state, error)
            self._record_unreached(context, error, state)
        finally:
            reservation.end_prefill()
        return None

    async def send(
        self,
        context: RequestContext,
        state: RunnerState,
        reservation: Reservation | None,
        *,
        copy: RunnerState | None = None,
    ) -> bool:
        """Send one attempt; return whether the caller has a response.

        `copy` is the engine from whose copy of the last run it goes on, if any.
        """
        to = state.runner if copy is not None else None
        context.source = await self._stopper.settle(context, to) or context.source
        self._recorder.record_standing(context, state, self._quarantine.check(context))
        if context.sends:
            self._recorder.record_resend(context, state)
        may_have_run = context.begin_run(state.runner.name, copy)
        if context.sends:
            self._retries.spend(context)
        if self._may_outlast(context):
            context.open_run = OpenRun(state.runner)
        context.tried.add(state.runner.name)
        context.last_runner = state.runner.name
        context.sends += 1
        context.response, context.unfinished_bytes = None, 0
        response: RunnerResponse | None = None
        backup = self._choose_backup(context, reservation)
        try:
            with contextlib.ExitStack() as watches:
                is_plain = reservation is None and copy is None
                send = self._race.open_send(watches, context, state, is_plain)
                self._usage.hand_over(context)
                if is_plain and self._may_hedge(context):
                    steps = SendSteps(self._ask, self._record_unreached)
                    send = await self._race.run(context, send, watches, steps)
                    state = send.state
                    response = send.response()
                else:
                    response = await self._ask(context, state, backup)
                self._usage.settle(context, response)
                if response.not_run or not response.is_stream:
                    context.open_run = None
                elif context.open_run is not None:
                    context.open_run = OpenRun(state.runner, has_begun=True)
                if response.not_run:
                    context.may_have_run = may_have_run or context.lost_runs > 0
                    self._race.record_failure(context)
                    self._recorder.record_refusal(context, state, response.status)
                    return False
                context.runs += 1
                context.source = None
                context.response = response
                context.backup = backup
                flight = send.flight
                relayed = await self._relay_response(
                    context, state, response, reservation, flight
                )
                context.open_run = None
                flight.is_answered = True
                flight.has_run = response.status < 300 and (
                    flight.has_written or not response.is_stream
                )
                if response.status >= 500:
                    self._race.record_failure(context)
                return relayed
        except AttemptFailed as error:
            context.source = None
            self._usage.settle_failure(context, error)
            context.may_have_run = may_have_run or error.sent or context.lost_runs > 0
            context.runs += error.sent and response is None
            if not error.sent:
                context.open_run = None
            self._race.record_failure(context)
            self._recorder.record_failure(context, state, error)
            if response is None:
                self._record_unreached(context, error, state)
            return False
        finally:
            self._usage.settle(context, response)
            if response is not None:
                response.close()

    async def _ask(
        self,
        context: RequestContext,
        state: RunnerState,
        backup: RunnerState | None = None,
    ) -> RunnerResponse:
        """Send an attempt and return its response once the headers are there."""
        with self._reachability.watch():
            attempt = self._make_attempt(context, state, backup)
            response = await self._await_headers(context, state, attempt)
        self._reachability.record_answer()
        return response

    def _make_attempt(
        self,
        context: RequestContext,
        state: RunnerState,
        backup: RunnerState | None = None,
    ) -> Attempt:
        seconds_left = context.deadline - self._clock.monotonic()
        return Attempt(
            context.inbound,
            state.runner,
            seconds_left,
            context.priority,
            context.last_event_id or context.inbound.resume_after,
            context.source,
            backup.runner.address if backup else "",
            context.workspace,
        )

    def _choose_backup(
        self, context: RequestContext, reservation: Reservation | None
    ) -> RunnerState | None:
        """Return the engine that is to keep a copy of the run's KV cache, if any.

        Only a stream that may not run again is worth the memory: it can continue only
        from the copy.
        """
        route = context.route
        if reservation is None or context.is_repeatable:
            return None
        profile = self._find_engine(context.service)
        if profile is None or not (profile.stops_runs and profile.copies_runs):
            return None
        is_stream = route.retry_policy is RetryPolicy.STREAM
        return reservation.placement.backup if is_stream else None

    async def _await_headers(
        self, context: RequestContext, state: RunnerState, attempt: Attempt
    ) -> RunnerResponse:
        """Send an attempt and return the response once its headers are there.

        A silent runner is abandoned if the request is repeatable, has attempts left and
        is not late, and as soon as another run is likely to serve it better.
        """
        waiting = WaitingAttempt(
            context,
            self._clock.monotonic(),
            lambda: state.answered_at,
            lambda: context.has_attempt_left and self._has_alternative(context),
        )
        is_last = not context.has_attempt_left
        if not context.is_repeatable or context.trial or is_last or context.is_late:
            response = await self._client.send(attempt)
        else:
            response = await self._send_watched(waiting, attempt)
        state.answered_at = self._clock.monotonic()
        self._silence.record_answer(waiting)
        return response

    async def _send_watched(
        self, waiting: WaitingAttempt, attempt: Attempt
    ) -> RunnerResponse:
        try:
            async with asyncio.timeout(None) as limit:
                with (
                    self._reachability.end_early(limit),
                    self._silence.watch(waiting, limit),
                ):
                    return await self._client.send(attempt)
        except TimeoutError as error:
            raise RunnerSilent(attempt.runner.name) from error

    def _may_hedge(self, context: RequestContext) -> bool:
        """Return whether a send without a reservation may be hedged."""
        is_plain = self._find_engine(context.service) is None
        return is_plain and self._race.applies(context)

    def _may_outlast(self, context: RequestContext) -> bool:
        """Return whether a run may go on though its connection is gone.

        That of an engine may, if the engine also stops it when it is asked to.
        """
        if not context.route.is_generation:
            return False
        profile = self._find_engine(context.service)
        return profile is not None and profile.stops_runs

    def _record_unreached(
        self, context: RequestContext, error: AttemptFailed, state: RunnerState
    ) -> None:
        """Record a runner that could not be reached; one that is silent may be busy."""
        context.unreached += not error.sent
        if not isinstance(error, RunnerSilent):
            count = len(self._runners.keys())
            self._reachability.record_failure(state.runner, count)

    async def _relay_response(
        self,
        context: RequestContext,
        state: RunnerState,
        response: RunnerResponse,
        reservation: Reservation | None,
        flight: Flight,
    ) -> bool:
        if context.writer.headers_sent and not (
            response.is_stream and response.status < 300
        ):
            reason = f"status {response.status}"
            raise AttemptFailed("resume", state.runner.name, reason, sent=True)
        if response.is_stream and response.status < 300:
            await self._streams.relay(
                context,
                flight,
                response,
                partial(self._record_first_event, context, state.runner, reservation),
            )
            self._continuer.end(context)
        else:
            if not context.may_pass_on(response):
                self._recorder.record_withheld(context, state.runner.name, response)
                return False
            body = await response.read()
            if response.status >= 500 and context.is_repeatable:
                context.reason = f"runner answered {response.status}"
                if self._retries.may_retry(context) and self._has_alternative(context):
                    self._recorder.record_error_response(
                        context, state, response.status
                    )
                    return False
            context.first_byte_at = self._clock.monotonic()
            await context.writer.respond(response.status, response.headers, body)
        self._recorder.record_response(context, state, response.status)
        now = self._clock.monotonic()
        seconds = now - context.inbound.arrived_at
        self._durations.record(now, context.route.name, seconds)
        return True

    def _has_alternative(self, context: RequestContext) -> bool:
        now = self._clock.monotonic()
        return (
            self._runners.choose_plain(now, context.service, context.tried) is not None
        )

    def _record_first_event(
        self, context: RequestContext, runner: Runner, reservation: Reservation | None
    ) -> None:
        self._usage.begin(context)
        self._continuer.begin(context, Origin(context.service, runner.build))
        self._record_first_byte(context, reservation)

    def _record_first_byte(
        self, context: RequestContext, reservation: Reservation | None
    ) -> None:
        now = self._clock.monotonic()
        context.first_byte_at = now
        if reservation is None:
            return
        reservation.end_prefill()
        seconds = now - context.reserved_at
        if context.is_late:
            self._scheduler.record_late(context.service, seconds)
        else:
            reservation.record_ttft(now, seconds)
