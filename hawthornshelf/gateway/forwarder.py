"""Carry each request to a runner and its answer back to the caller."""

import asyncio
import random
from collections.abc import Callable

from hawthornshelf.clock import Clock
from hawthornshelf.gateway.admission import engine_rank
from hawthornshelf.gateway.budget import RetryBudget
from hawthornshelf.gateway.course import LEAST_SECONDS, Course
from hawthornshelf.gateway.eventstream import EventSplitter
from hawthornshelf.gateway.exchange import (
    Attempt,
    AttemptFailed,
    CallerSide,
    Inbound,
    MemoryHandle,
    PrefillRefused,
    Prompt,
    RunnerAnswer,
    RunnerSide,
)
from hawthornshelf.gateway.gate import EngineGate, Grant, TurnedAway, Wish
from hawthornshelf.gateway.loads import LoadProbe
from hawthornshelf.gateway.patience import Patience
from hawthornshelf.gateway.placement import Placer
from hawthornshelf.gateway.recorder import Recorder
from hawthornshelf.gateway.routes import Repeat, Route, RouteIndex, RouteTable
from hawthornshelf.gateway.runners import RunnerState, RunnerTable
from hawthornshelf.logs import write_log
from hawthornshelf.metrics import Metrics

__all__ = ["Forwarder"]

RETRY_AFTER_SECONDS = 0.3
"""When to come back if no runner took a request; about a second of queue is short."""

NOT_READY_SECONDS = 0.5
ELSEWHERE_SECONDS = 0.05
"""When to come back from a node that stops: any other one takes the request."""

PATIENCE_SHARE = 0.4
"""Part of the time left that a runner may be silent if the request may run again."""


class Forwarder:
    """Run every open request; decisions are left to the tables it is given."""

    def __init__(
        self,
        side: RunnerSide,
        runners: RunnerTable,
        budget: RetryBudget,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
        count_nodes: Callable[[], int],
        count_streams: Callable[[], float],
    ) -> None:
        self._side = side
        self._runners = runners
        self._budget = budget
        self._notes = Recorder(runners, metrics, clock)
        self._clock = clock
        self._rng = rng
        self._count_nodes = count_nodes
        placer = Placer(runners, rng, count_streams)
        self._gate = EngineGate(placer, LoadProbe(side, rng), clock)
        self._patience: dict[str, Patience] = {}
        self._index = RouteIndex()
        self._drops: set[asyncio.Task[None]] = set()
        self.open_requests = 0
        self.is_closed = False

    @property
    def has_routes(self) -> bool:
        """Tell if a route table is in force here."""
        return self._index.table.number > 0

    def close(self) -> None:
        """Take no more requests; those under way go on."""
        self.is_closed = True

    def load(self, table: RouteTable) -> None:
        """Take a newer route table; requests under way keep the old one."""
        self._index = RouteIndex(table)
        names = {route.name for route in table.routes}
        known = self._patience.items()
        self._patience = {name: kept for name, kept in known if name in names}

    async def serve(self, inbound: Inbound, caller: CallerSide) -> None:
        """Answer one request; return once the caller has its last byte."""
        if self.is_closed:
            await self._refuse_early(inbound, caller, 503, "this node stops")
            return
        if not self.has_routes:
            await self._refuse_early(inbound, caller, 503, "no routes yet")
            return
        route = self._index.find(inbound.host, inbound.path)
        if route is None:
            await self._refuse_early(inbound, caller, 404, "no route")
            return
        self.open_requests += 1
        try:
            await self._run_course(self._begin(inbound, route, caller))
        finally:
            self.open_requests -= 1

    def _begin(self, inbound: Inbound, route: Route, caller: CallerSide) -> Course:
        weights = [split.weight for split in route.splits]
        split = self._rng.choices(route.splits, weights)[0]
        self._budget.note_request(self._clock.monotonic(), split.service)
        deadline = min(inbound.deadline, inbound.arrived_at + route.timeout)
        target_at = self._first_seen(inbound, route) + route.target
        return Course(
            inbound,
            route,
            self._index.table.number,
            split.service,
            caller,
            deadline,
            target_at,
        )

    def _first_seen(self, inbound: Inbound, route: Route) -> float:
        """Return when the caller began to ask, judged by the time it has left."""
        budget = inbound.deadline - inbound.arrived_at
        patience = self._patience.setdefault(route.name, Patience())
        patience.note(budget)
        return inbound.arrived_at - patience.elapsed(budget)

    async def _refuse_early(
        self, inbound: Inbound, caller: CallerSide, status: int, reason: str
    ) -> None:
        number = self._index.table.number
        self._notes.note_refused_early(inbound.request, status, reason, number)
        wait = 0.0
        if status == 503:
            wait = ELSEWHERE_SECONDS if self.is_closed else NOT_READY_SECONDS
        await caller.refuse(status, reason, wait)

    async def _run_course(self, course: Course) -> None:
        left = course.deadline - self._clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, left)):
                await self._try_runners(course)
        except TimeoutError:
            self._note_silence(course)
            course.reason = course.reason or "deadline passed"
            await self._fail(course, 504 if course.may_have_run else 503)
        except asyncio.CancelledError:
            self._notes.note_end(course, "caller-gone")
            raise
        finally:
            if course.source is not None:
                self._drop_soon(course.source)

    def _drop_soon(self, source: MemoryHandle) -> None:
        """Free a prompt's memory that no engine took, without waiting for it."""
        task = asyncio.create_task(self._drop(source))
        self._drops.add(task)
        task.add_done_callback(self._drops.discard)

    async def _drop(self, source: MemoryHandle) -> None:
        try:
            await self._side.drop_handle(source)
        except AttemptFailed as error:
            write_log("handle-left", peer=error.peer, reason=error.reason)

    def _note_silence(self, course: Course) -> None:
        """Hold it against a runner if a request's time passed there in silence.

        Not if the request was late anyway: then it waited behind all others.
        """
        now = self._clock.monotonic()
        if course.first_at:
            return
        if course.is_late:
            self._gate.note_late(course.service, now - course.granted_at)
            return
        state = self._runners.find(course.last_runner)
        if state is not None:
            self._runners.note_bad(now, state)

    async def _try_runners(self, course: Course) -> None:
        while not await self._try_next(course):
            if not self._may_repeat(course):
                await self._fail(course, 502 if course.may_have_run else 503)
                return
            self._budget.spend(self._clock.monotonic(), course.service)

    async def _try_next(self, course: Course) -> bool:
        """Send a request to one more runner; return if its caller has an answer."""
        now = self._clock.monotonic()
        if course.deadline - now < LEAST_SECONDS:
            await self._turn_away(course, TurnedAway("no time left", 0.0))
            return True
        prompt = course.inbound.prompt
        if course.is_recoverable and course.backup is not None:
            return await self._recover(course, course.backup)
        if prompt is not None and course.route.is_generation:
            return await self._try_engine(course, prompt)
        state = self._runners.choose_plain(now, course.service, course.tried)
        if state is None:
            await self._turn_away(course, TurnedAway("no runner", RETRY_AFTER_SECONDS))
            return True
        state.in_flight += 1
        try:
            return await self._send(course, state, None)
        finally:
            state.in_flight -= 1

    async def _recover(self, course: Course, backup: RunnerState) -> bool:
        """Let the engine that holds a copy of a broken run's memory go on with it."""
        course.backup = None
        request = course.inbound.request
        course.source = MemoryHandle(backup.runner.address, request)
        backup.in_flight += 1
        try:
            return await self._send(course, backup, None)
        finally:
            course.source = None
            backup.in_flight -= 1

    async def _try_engine(self, course: Course, prompt: Prompt) -> bool:
        wish = Wish(
            course.service,
            prompt,
            course.route.rank,
            course.target_at,
            course.deadline,
            frozenset(course.tried),
        )
        try:
            grant = await self._gate.acquire(wish)
        except TurnedAway as turned_away:
            await self._turn_away(course, turned_away)
            return True
        course.granted_at = self._clock.monotonic()
        course.reader = grant.placement.reader.runner.name
        course.is_late = grant.is_late
        course.rank = engine_rank(prompt, course.route.rank, grant.is_late)
        course.backup = grant.placement.backup if self._is_kept(course) else None
        try:
            if course.source is None:
                course.source = await self._prefill(course, grant)
            run = grant.placement.run
            if self._runners.takes_work(run):
                return await self._send(course, run, grant)
            self._notes.note_left(course, run)
        finally:
            grant.end()
        return await self._try_engine(course, prompt)

    def _is_kept(self, course: Course) -> bool:
        """Tell if a copy of a run is worth its memory: it may not run again else."""
        return course.route.repeat is Repeat.STREAM and not course.route.resumable

    async def _turn_away(self, course: Course, turned_away: TurnedAway) -> None:
        course.reason = "; ".join(filter(None, (course.reason, turned_away.reason)))
        wait = turned_away.retry_after or RETRY_AFTER_SECONDS
        await self._fail(course, 502 if course.may_have_run else 503, wait)

    def _may_repeat(self, course: Course) -> bool:
        """Tell if a request that has no answer yet may be sent once more."""
        now = self._clock.monotonic()
        backup = course.backup
        if backup is not None and not self._runners.takes_work(backup):
            self._notes.note_left(course, backup)
            course.backup = None
        if not course.may_go_on(now):
            return False
        nodes = self._count_nodes()
        allowed = self._budget.may_spend(now, course.service, nodes)
        if not allowed:
            course.reason += "; retry budget is spent"
        return allowed

    async def _prefill(self, course: Course, grant: Grant) -> MemoryHandle | None:
        """Have the prompt read at one runner; None leaves it to the other."""
        state = grant.placement.prefill
        if state is None:
            return None
        now = self._clock.monotonic()
        if course.prefills > 0:
            nodes = self._count_nodes()
            if not self._budget.may_spend(now, course.service, nodes):
                return None
            self._budget.spend(now, course.service)
        course.prefills += 1
        try:
            return await self._side.prefill(self._attempt(course, state))
        except PrefillRefused as error:
            self._budget.spend(now, course.service)
            self._notes.note_refusal(course, state, error.status)
        except AttemptFailed as error:
            self._notes.note_failure(course, state, error)
        finally:
            grant.note_read()
        return None

    def _attempt(self, course: Course, state: RunnerState) -> Attempt:
        left = course.deadline - self._clock.monotonic()
        return Attempt(
            course.inbound,
            state.runner,
            left,
            course.rank,
            course.last_event or course.inbound.resume_after,
            course.source,
            course.backup.runner.address if course.backup else "",
        )

    async def _send(
        self,
        course: Course,
        state: RunnerState,
        grant: Grant | None,
    ) -> bool:
        course.tried.add(state.runner.name)
        course.last_runner = state.runner.name
        course.sends += 1
        answer: RunnerAnswer | None = None
        may_have_run = course.may_have_run
        course.may_have_run = True
        try:
            answer = await self._await_head(course, state)
            if answer.not_run:
                course.may_have_run = may_have_run
                self._notes.note_refusal(course, state, answer.status)
                return False
            course.runs += 1
            course.source = None
            return await self._relay(course, state, answer, grant)
        except AttemptFailed as error:
            course.source = None
            course.may_have_run = may_have_run or error.sent
            course.runs += error.sent and answer is None
            self._notes.note_failure(course, state, error)
            return False
        finally:
            if answer is not None:
                answer.close()

    async def _await_head(self, course: Course, state: RunnerState) -> RunnerAnswer:
        """Send an attempt; give a silent runner up while another one has time."""
        sending = self._side.send(self._attempt(course, state))
        is_last = course.runs + 1 >= course.route.max_attempts
        if not course.is_repeatable or is_last or course.is_late:
            return await sending
        left = course.deadline - self._clock.monotonic()
        patience = max(left * PATIENCE_SHARE, course.route.target)
        try:
            async with asyncio.timeout(min(patience, left * (1 - PATIENCE_SHARE))):
                return await sending
        except TimeoutError as error:
            name = state.runner.name
            raise AttemptFailed("await answer", name, "silence", sent=True) from error

    async def _relay(
        self,
        course: Course,
        state: RunnerState,
        answer: RunnerAnswer,
        grant: Grant | None,
    ) -> bool:
        if course.caller.began and not (answer.is_stream and answer.status < 300):
            reason = f"status {answer.status}"
            raise AttemptFailed("resume", state.runner.name, reason, sent=True)
        if answer.is_stream and answer.status < 300:
            await self._relay_stream(course, answer, grant)
        else:
            body = await answer.read()
            if answer.status >= 500 and course.is_repeatable:
                course.reason = f"runner answered {answer.status}"
                if self._may_repeat(course) and self._has_other(course):
                    self._notes.note_bad_answer(course, state, answer.status)
                    return False
            course.first_at = self._clock.monotonic()
            await course.caller.answer(answer.status, answer.headers, body)
        self._notes.note_answered(course, state, answer.status)
        return True

    def _has_other(self, course: Course) -> bool:
        now = self._clock.monotonic()
        return self._runners.choose_plain(now, course.service, course.tried) is not None

    async def _relay_stream(
        self, course: Course, answer: RunnerAnswer, grant: Grant | None
    ) -> None:
        """Pass whole events on, so that a broken stream can go on elsewhere."""
        splitter = EventSplitter()
        caller = course.caller
        async for piece in answer.pieces():
            for event in splitter.feed(piece):
                if not caller.began:
                    self._note_first(course, grant)
                    await caller.begin(answer.status, answer.headers)
                self._notes.note_event(course)
                await caller.write(event.data)
                course.last_event = event.event_id or course.last_event
        if not caller.began:
            await caller.begin(answer.status, answer.headers)
        rest = splitter.take_rest()
        if rest:
            await caller.write(rest)
        await caller.end()

    def _note_first(self, course: Course, grant: Grant | None) -> None:
        now = self._clock.monotonic()
        course.first_at = now
        if grant is None:
            return
        grant.note_read()
        seconds = now - course.granted_at
        if course.is_late:
            self._gate.note_late(course.service, seconds)
        else:
            grant.note_started(now, seconds)

    async def _fail(
        self, course: Course, status: int, wait: float = RETRY_AFTER_SECONDS
    ) -> None:
        """End a request without a runner's answer."""
        if course.caller.began:
            course.caller.abort()
            self._notes.note_end(course, "cut")
            return
        wait = wait if status == 503 else 0.0
        await course.caller.refuse(status, course.reason, wait)
        self._notes.note_end(course, "refused" if status == 503 else "failed", status)
