"""Forward each request to a runner and relay the response to the caller."""

import asyncio
import random
from collections.abc import Callable

from hawthornshelf.clock import Clock
from hawthornshelf.crashrecords import Standing
from hawthornshelf.crashtable import CrashTable
from hawthornshelf.gateway.admission import engine_priority, spread_retry_after
from hawthornshelf.gateway.attempts import AttemptSender
from hawthornshelf.gateway.budget import RetryBudget
from hawthornshelf.gateway.cacherelease import CacheReleaser
from hawthornshelf.gateway.chooser import RunnerChooser
from hawthornshelf.gateway.context import MIN_SECONDS_LEFT, RequestContext
from hawthornshelf.gateway.continuation import StreamContinuer, StreamEnded
from hawthornshelf.gateway.crashdetector import CrashDetector
from hawthornshelf.gateway.durations import RouteDurations
from hawthornshelf.gateway.exchange import (
    InboundRequest,
    KvCacheHandle,
    Prompt,
    ResponseWriter,
    RunnerClient,
    RunNotEnded,
)
from hawthornshelf.gateway.hedging import HedgePolicy
from hawthornshelf.gateway.identification import (
    CallerKnown,
    CallerUnknown,
    identify_caller,
)
from hawthornshelf.gateway.loadprobe import LoadProbe
from hawthornshelf.gateway.notices import NoticeRecorder
from hawthornshelf.gateway.peerrelay import (
    ChoosePeer,
    PeerRelay,
    RelayClient,
    choose_no_peer,
)
from hawthornshelf.gateway.placement import Placer
from hawthornshelf.gateway.prober import RunnerProber
from hawthornshelf.gateway.quarantine import Quarantine, RequestBlocked
from hawthornshelf.gateway.race import SendRace
from hawthornshelf.gateway.ratelimiter import AskPermit, RateLimiter
from hawthornshelf.gateway.reachability import RunnerReachability
from hawthornshelf.gateway.recorder import Recorder
from hawthornshelf.gateway.requestusage import RequestUsage
from hawthornshelf.gateway.retrydetector import RetryDetector
from hawthornshelf.gateway.retrygate import RetryGate
from hawthornshelf.gateway.routegate import RouteGate
from hawthornshelf.gateway.routes import Route, RouteIndex, RouteTable
from hawthornshelf.gateway.runners import RunnerState, RunnerTable
from hawthornshelf.gateway.runstopper import RunStopper
from hawthornshelf.gateway.scheduler import (
    AdmissionRejected,
    EngineScheduler,
    PlacementRequest,
)
from hawthornshelf.gateway.silence import SilenceLimits
from hawthornshelf.gateway.stopping import may_end_in_time
from hawthornshelf.gateway.streamorigins import StreamOrigins
from hawthornshelf.metrics import Metrics
from hawthornshelf.ratelimits import RateLimitTable
from hawthornshelf.serviceloads import ServiceLoad
from hawthornshelf.usagesender import UsageSender

__all__ = ["Forwarder"]

MAX_PLACEMENTS = 16
"""Times that a request is placed on engines until one accepts it."""

RETRY_AFTER_SECONDS = 0.3
"""Retry-After if no runner accepted a request and the queue gave no estimate.

It is short because the queues are: they hold about a second of work.
"""

NOT_READY_RETRY_SECONDS = 0.5
STOPPING_RETRY_SECONDS = 0.05
"""Retry-After of a node that stops; short, as any other node accepts the request."""


class Forwarder:
    """Forward open requests, with retries, by the routes and runners given to it."""

    def __init__(
        self,
        client: RunnerClient,
        runners: RunnerTable,
        budget: RetryBudget,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
        count_nodes: Callable[[], int],
        count_interactive_requests: Callable[[], float],
        crashes: CrashTable,
        rate_limits: RateLimitTable,
        ask_permit: AskPermit,
        relay_client: RelayClient | None = None,
        choose_peer: ChoosePeer = choose_no_peer,
        request_view: Callable[[str], None] = lambda node: None,
        origins: StreamOrigins | None = None,
        hedge_share: float = 0.0,
        usage: UsageSender | None = None,
    ) -> None:
        request_usage = RequestUsage(usage, clock)
        self._limiter = RateLimiter(rate_limits, ask_permit, clock, rng)
        client.on_notice = NoticeRecorder(runners, self._limiter, clock).record
        self._runners = runners
        self._budget = budget
        self._recorder = Recorder(runners, metrics, clock)
        self._chooser = RunnerChooser(runners, self._limiter, self._recorder, clock)
        self._retries = RetryGate(budget, count_nodes, runners, self._recorder, clock)
        self._reachability = RunnerReachability(clock, runners.forget_failures)
        self._routes = RouteGate(clock, request_view)
        self._continuer = StreamContinuer(origins, runners, self._recorder)
        self._silence = SilenceLimits(self._retries, clock)
        self._relay = PeerRelay(
            relay_client,
            choose_peer,
            self._reachability,
            self._recorder,
            self._retries,
            self._routes,
            self._continuer,
            self._silence,
            clock,
            request_usage,
        )
        self._releaser = CacheReleaser(client, runners, self._limiter)
        self._stopper = RunStopper(
            client, runners, self._limiter, self._releaser, self._recorder, clock
        )
        self._clock = clock
        self._rng = rng
        placer = Placer(runners, rng, count_interactive_requests)
        probe = LoadProbe(client, rng, self._limiter.is_limited)
        self._scheduler = EngineScheduler(
            placer, probe, clock, self._retries.may_resend, rng
        )
        self._prober = RunnerProber(
            client,
            runners,
            self._limiter,
            self._reachability,
            clock,
            rng,
            lambda service: self._index.health_path(service),
        )
        self._crashes = CrashDetector(
            crashes,
            runners,
            self._prober.probe,
            clock,
            lambda: self._reachability.is_cut,
        )
        self._quarantine = Quarantine(
            crashes, runners, self._crashes.suspects_at, clock, rng, count_nodes
        )
        self._retry_detectors: dict[str, RetryDetector] = {}
        self._index = RouteIndex()
        self._durations = RouteDurations()
        self._hedges = HedgePolicy(hedge_share)
        self._race = SendRace(
            self._hedges,
            runners,
            self._limiter,
            self._retries,
            self._crashes,
            self._quarantine,
            self._reachability,
            self._recorder,
            metrics,
            count_nodes,
            clock,
        )
        self._attempts = AttemptSender(
            client,
            runners,
            self._chooser,
            self._scheduler,
            self._retries,
            self._stopper,
            self._crashes,
            self._quarantine,
            self._reachability,
            self._continuer,
            self._recorder,
            self._durations,
            self._silence,
            self._race,
            lambda service: self._index.find_engine(service),
            clock,
            request_usage,
        )
        self._limits: set[asyncio.Timeout] = set()
        self._ends_at = float("inf")
        self._has_ended = False
        self._loaded_at = float("-inf")
        self.open_requests = 0
        self.unknown_callers = 0
        self.is_closed = False

    @property
    def route_number(self) -> int | None:
        """Return the number of the route document in force here, None for none."""
        return self._index.table.number

    @property
    def has_routes(self) -> bool:
        """Return whether a route table is in force here."""
        return self.route_number is not None

    def find_timeout(self, host: str, path: str) -> float:
        """Return the timeout of a route in seconds, infinite if there is no route."""
        route = self._index.find(host, path)
        return float("inf") if route is None else route.timeout

    @property
    def reaches_runners(self) -> bool:
        """Return whether this node reaches any runner, as far as is known."""
        return not self._reachability.is_cut

    @property
    def relayed_requests(self) -> int:
        """Return how many requests were sent to other nodes."""
        return self._relay.relayed

    def measure_load(self, data_centre: str) -> tuple[ServiceLoad, ...]:
        """Return what this node, which is in a data centre, counted of each service."""
        return self._recorder.loads.rows(data_centre, self._scheduler.count_waiting)

    async def check_reachability(self) -> None:
        """Probe some runners if it is unclear whether this node reaches any."""
        await self._prober.check_reachability()

    def begin_stop(self, ends_at: float) -> None:
        """Refuse requests that may not end by a time, in monotonic seconds."""
        self._ends_at = ends_at

    def close(self) -> None:
        """Refuse new requests; those in flight continue."""
        self.is_closed = True

    def end_requests(self) -> None:
        """End all requests in flight with the answer that is true for each."""
        self._has_ended = True
        now = asyncio.get_running_loop().time()
        for limit in self._limits:
            if not limit.expired():
                limit.reschedule(now)

    async def stop(self) -> None:
        """Cancel what goes on besides requests; call it once none is open."""
        await self._crashes.stop()
        await self._stopper.stop()
        await self._releaser.stop()

    def load(self, table: RouteTable) -> None:
        """Apply a newer route table; requests in flight keep the old one."""
        self._index = RouteIndex(table)
        self._loaded_at = self._clock.monotonic()
        self._routes.load(table.number)
        names = {route.name for route in table.routes}
        self._durations.retain(names)
        self._silence.retain(names)
        self._hedges.retain(names, {service.name for service in table.services})
        items = self._retry_detectors.items()
        self._retry_detectors = {
            name: detector for name, detector in items if name in names
        }

    def on_runner_list(self) -> None:
        """Look for runners that crashed or are gone in a list just loaded."""
        self._crashes.check_list()
        listed = self._runners.keys()
        self._limiter.retain(listed)
        self._runners.departures.retain(self._clock.monotonic(), listed)

    async def serve(self, inbound: InboundRequest, writer: ResponseWriter) -> None:
        """Serve one request; return once its whole response has been written."""
        if self.is_closed:
            await self._refuse_unrouted(inbound, writer, 503, "this node stops")
            return
        if not self.has_routes:
            await self._refuse_unrouted(inbound, writer, 503, "no routes yet")
            return
        self.open_requests += 1
        try:
            await self._route_request(inbound, writer)
        finally:
            self.open_requests -= 1

    async def _route_request(
        self, inbound: InboundRequest, writer: ResponseWriter
    ) -> None:
        """Serve a request by the route document, once that may be applied to it."""
        if not await self._routes.admit(inbound):
            reason = f"another route document than {self._routes.newest}"
            await self._refuse_unrouted(inbound, writer, 503, reason, self.route_number)
            return
        route = self._index.find(inbound.host, inbound.path)
        if route is None:
            await self._refuse_unrouted(inbound, writer, 404, "no route")
            return
        match identify_caller(self._index.workspaces, route, inbound):
            case CallerUnknown(reason):
                self.unknown_callers += 1
                await self._refuse_unrouted(inbound, writer, 401, reason)
            case CallerKnown(inbound, route) if not self._ends_in_time(inbound, route):
                await self._refuse_unrouted(inbound, writer, 503, "this node stops")
            case CallerKnown() as caller:
                context = self._make_context(caller, writer)
                with self._recorder.loads.watch(context):
                    await self._run_request(context)

    def _ends_in_time(self, inbound: InboundRequest, route: Route) -> bool:
        """Return whether a request ends before this node does."""
        now = self._clock.monotonic()
        deadline = min(inbound.deadline, inbound.arrived_at + route.timeout)
        duration = self._durations.longest(now, route.name)
        return may_end_in_time(now, self._ends_at, deadline, duration)

    def _make_context(
        self, caller: CallerKnown, writer: ResponseWriter
    ) -> RequestContext:
        inbound, route = caller.inbound, caller.route
        weights = [split.weight for split in route.splits]
        split = self._rng.choices(route.splits, weights)[0]
        now = self._clock.monotonic()
        number = self.route_number
        assert number is not None, "a route is of a document"
        self._budget.record_request(now, split.service)
        self._hedges.record_request(now, split.service)
        deadline = min(inbound.deadline, inbound.arrived_at + route.timeout)
        target_at = self._estimate_first_sent(inbound, route) + route.target
        return RequestContext(
            inbound,
            route,
            number,
            split.service,
            writer,
            deadline,
            target_at,
            tried=set(inbound.relayed_runners),
            runs=_count_missing_attempts(inbound, route),
            owes_event=route.is_generation and not inbound.resume_after,
            workspace=caller.workspace,
        )

    def _estimate_first_sent(self, inbound: InboundRequest, route: Route) -> float:
        """Return when the caller first sent this request, in monotonic seconds.

        A retry is recognised by its shorter time budget.
        """
        budget = inbound.deadline - inbound.arrived_at
        detector = self._retry_detectors.setdefault(route.name, RetryDetector())
        detector.record(budget)
        return inbound.arrived_at - detector.elapsed(budget)

    async def _refuse_unrouted(
        self,
        inbound: InboundRequest,
        writer: ResponseWriter,
        status: int,
        reason: str,
        route_number: int | None = None,
    ) -> None:
        number = self._index.table.number
        age = self._clock.monotonic() - self._loaded_at
        self._recorder.record_unrouted(inbound.request_id, status, reason, number, age)
        retry_after = 0.0
        if status == 503:
            is_stopping = self._ends_at < float("inf") or self.is_closed
            retry_after = (
                STOPPING_RETRY_SECONDS if is_stopping else NOT_READY_RETRY_SECONDS
            )
        await writer.refuse(status, reason, retry_after, route_number)

    async def _run_request(self, context: RequestContext) -> None:
        seconds_left = context.deadline - self._clock.monotonic()
        limit = asyncio.timeout(max(0.0, seconds_left))
        self._limits.add(limit)
        try:
            async with limit:
                await self._continuer.settle(context)
                await self._try_runners(context)
        except StreamEnded as ended:
            await self._give_up(context, str(ended), ended.retry_after)
        except TimeoutError:
            if not self._has_ended:
                self._record_timeout(context)
            cause = "this node stops" if self._has_ended else "deadline passed"
            context.reason = context.reason or cause
            await self._fail(context, 504 if context.may_have_run else 503)
        except (asyncio.CancelledError, ConnectionError):
            self._recorder.record_end(context, "caller-gone")
            raise
        except Exception as error:
            self._recorder.record_error(context, error)
            await self._fail(context, 502 if context.may_have_run else 503)
        finally:
            self._limits.discard(limit)
            self._retries.release(context)
            self._continuer.close(context)
            if context.source is not None:
                self._releaser.release(context.source)

    def _record_timeout(self, context: RequestContext) -> None:
        """Record that the time of a request passed without a response.

        It counts as an error of its last runner, except for a late request, which
        waited at its engine behind all others: there it counts as a late wait.
        """
        now = self._clock.monotonic()
        if context.first_byte_at:
            return
        if context.is_late:
            self._scheduler.record_late(context.service, now - context.reserved_at)
            return
        state = self._runners.find(context.last_runner)
        if state is not None:
            self._runners.record_error(now, state)

    async def _try_runners(self, context: RequestContext) -> None:
        try:
            while not await self._try_next_or_relay(context):
                await self._settle_crash(context)
                if self._relay.applies(context):
                    continue
                if not self._retries.may_retry(context):
                    if self._relay.is_last_resort(context):
                        context.is_relayed = True
                        continue
                    await self._fail(context, 502 if context.may_have_run else 503)
                    return
        except RequestBlocked as blocked:
            await self._refuse_blocked(context, blocked)
        except RunNotEnded as error:
            await self._give_up(context, error.reason, RETRY_AFTER_SECONDS)
        except AdmissionRejected as rejection:
            await self._reject(context, rejection)

    async def _try_next_or_relay(self, context: RequestContext) -> bool:
        """Send a request to a runner, or to another node if this one reaches none."""
        if context.is_relayed or self._relay.applies(context):
            return await self._relay_request(context)
        try:
            return await self._try_next(context)
        except AdmissionRejected:
            if not self._relay.is_last_resort(context):
                raise
            context.is_relayed = True
            return await self._relay_request(context)

    async def _relay_request(self, context: RequestContext) -> bool:
        await self._stopper.settle(context)
        return await self._relay.relay(context)

    async def _settle_crash(self, context: RequestContext) -> None:
        """Wait for the evidence on the last runner before a request is sent again."""
        state = self._runners.find(context.last_runner)
        if state is not None and context.may_retry(self._clock.monotonic()):
            await self._crashes.settle(state.runner)

    async def _give_up(
        self,
        context: RequestContext,
        reason: str,
        retry_after: float,
        outcome: str = "",
    ) -> None:
        """End a request that gets no further attempt, for one more reason."""
        context.reason = "; ".join(filter(None, (context.reason, reason)))
        status = 502 if context.may_have_run else 503
        await self._fail(context, status, retry_after, outcome)

    async def _refuse_blocked(
        self, context: RequestContext, blocked: RequestBlocked
    ) -> None:
        """End a request that may not run because runners crashed under it."""
        self._recorder.record_blocked(context, blocked)
        await self._give_up(context, str(blocked), blocked.retry_after, blocked.outcome)

    async def _try_next(self, context: RequestContext) -> bool:
        """Send a request to one more runner; return whether the caller has a response.

        The response may be an error or a refusal.
        """
        self._check_time(context)
        self._continuer.check(context)
        standing = self._quarantine.check(context)
        prompt = context.inbound.prompt
        if context.is_recoverable and context.backup is not None:
            return await self._resume_from_backup(context, context.backup)
        if prompt is not None and context.route.is_generation:
            return await self._try_engine(context, prompt)
        excluded = self._exclude_runners(context, standing)
        state = await self._chooser.choose_plain(context, excluded)
        return await self._attempts.send(context, state, None)

    async def _resume_from_backup(
        self, context: RequestContext, backup: RunnerState
    ) -> bool:
        """Continue a broken run at the engine that has a copy of its KV cache."""
        await self._chooser.await_permit(context, [backup])
        request = context.inbound.request_id
        context.source = KvCacheHandle(backup.runner.address, request)
        backup.in_flight += 1
        try:
            return await self._attempts.send(context, backup, None, copy=backup)
        finally:
            context.source = None
            backup.in_flight -= 1

    async def _try_engine(self, context: RequestContext, prompt: Prompt) -> bool:
        """Place a request on engines, prefill its prompt and send it to run.

        If the engine that was to run it accepts no work after the prefill, the request
        is placed again, elsewhere.
        """
        passed: set[str] = set()
        for _ in range(MAX_PLACEMENTS):
            self._check_time(context)
            is_answered = await self._place(context, prompt, passed)
            if is_answered is not None:
                return is_answered
        raise AdmissionRejected("no engine accepts work", 0.0)

    def _check_time(self, context: RequestContext) -> None:
        if context.deadline - self._clock.monotonic() < MIN_SECONDS_LEFT:
            raise AdmissionRejected("no time left", 0.0)

    async def _place(
        self, context: RequestContext, prompt: Prompt, passed: set[str]
    ) -> bool | None:
        """Place a request once; return whether the caller has a response.

        None means that it was not sent. Engines in `passed` are left out, and one that
        accepts no work is added.
        """
        standing = self._quarantine.check(context)
        excluded = self._exclude_runners(context, standing) | passed
        limited = await self._chooser.exclude_limited(context, excluded)
        reservation = await self._scheduler.acquire(
            PlacementRequest(
                context.service,
                prompt,
                context.route.priority,
                context.target_at,
                context.deadline,
                frozenset(excluded | limited.excluded),
                context.was_refused,
            )
        )
        context.reserved_at = self._clock.monotonic()
        context.prefiller = reservation.placement.prefiller.runner.name
        context.is_late = reservation.is_late
        context.priority = engine_priority(
            prompt, context.route.priority, reservation.is_late
        )
        try:
            if context.source is None:
                context.source = await self._attempts.prefill(context, reservation)
            run = reservation.placement.run
            if not self._accepts(context, run):
                self._recorder.record_leaving_runner(context, run)
                passed.add(run.runner.name)
            elif limited.has_permit or await self._chooser.acquire(context, run):
                return await self._attempts.send(context, run, reservation)
            return None
        finally:
            reservation.release()

    def _exclude_runners(
        self, context: RequestContext, standing: Standing
    ) -> frozenset[str]:
        """Return the runners to which a request is not sent now."""
        excluded = frozenset(context.tried | self._continuer.excluded(context))
        return self._quarantine.exclude_runners(context, standing, excluded)

    def _accepts(self, context: RequestContext, state: RunnerState) -> bool:
        """Return whether a runner chosen earlier takes a request now."""
        return self._runners.accepts_work(
            self._clock.monotonic(), state
        ) and self._continuer.accepts(context, state.runner)

    async def _reject(
        self, context: RequestContext, rejection: AdmissionRejected
    ) -> None:
        now = self._clock.monotonic()
        pause = self._runners.seconds_paused(now, context.service)
        retry_after = rejection.retry_after or pause or self._draw_retry_after()
        await self._give_up(context, rejection.reason, retry_after)

    def _draw_retry_after(self) -> float:
        return spread_retry_after(self._rng, RETRY_AFTER_SECONDS)

    async def _fail(
        self,
        context: RequestContext,
        status: int,
        retry_after: float | None = None,
        outcome: str = "",
    ) -> None:
        """End a request without a complete response of a runner.

        A response that has started is broken off; else the caller gets an error.
        Without an estimate of `retry_after`, callers are told to spread.
        """
        self._race.record_failure(context)
        if context.writer.headers_sent:
            context.writer.abort()
            self._recorder.record_end(context, outcome or "cut")
            return
        if status != 503:
            retry_after = 0.0
        elif retry_after is None:
            retry_after = self._draw_retry_after()
        await context.writer.refuse(status, context.reason, retry_after)
        outcome = outcome or ("refused" if status == 503 else "failed")
        self._recorder.record_end(context, outcome, status)


def _count_missing_attempts(inbound: InboundRequest, route: Route) -> int:
    """Return how many of a route's attempts this node may not make for a request.

    One that another node relayed gets one attempt here, whatever its route allows by
    either node's document.
    """
    return 0 if inbound.relayed_runs is None else route.max_attempts - 1
