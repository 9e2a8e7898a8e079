"""Let generation requests wait for an engine, and count what engines are given."""

import asyncio
from typing import NamedTuple

from hawthornshelf.clock import Clock
from hawthornshelf.gateway.admission import Queue, Ticket, Verdict
from hawthornshelf.gateway.exchange import Prompt
from hawthornshelf.gateway.loads import LoadProbe
from hawthornshelf.gateway.placement import (
    Engines,
    Placement,
    Placer,
    expect_start,
    is_long,
)

__all__ = ["EngineGate", "Grant", "TurnedAway", "Wish"]


class TurnedAway(Exception):
    """Report that a request is not to wait; `retry_after` in seconds, 0 for never."""

    def __init__(self, reason: str, retry_after: float) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after = retry_after


class Wish(NamedTuple):
    """Hold what a request wants of a service; times are monotonic seconds."""

    service: str
    prompt: Prompt
    rank: int
    target_at: float
    deadline: float
    tried: frozenset[str] = frozenset()


class Grant:
    """Hold a place at an engine until it is given back."""

    def __init__(
        self,
        wish: Wish,
        placement: Placement,
        gate: "EngineGate",
        is_late: bool = False,
    ) -> None:
        self.is_late = is_late
        self.placement = placement
        self._service = wish.service
        self._prompt = wish.prompt
        self._is_long = self._is_reading = is_long(wish.prompt)
        self._gate = gate
        placement.run.in_flight += 1
        if self._is_long:
            placement.run.long_runs += 1
            placement.reader.long_prompts += not is_late

    def note_read(self) -> None:
        """Free the reader: the prompt has been read, or never will be."""
        if self._is_reading:
            self._is_reading = False
            self.placement.reader.long_prompts -= not self.is_late
            self._gate.pump(self._service)

    def note_started(self, now: float, seconds: float) -> None:
        """Learn how long the engines took to the first token."""
        reader = self.placement.reader
        estimate = reader.start if self._is_long else reader.short_start
        estimate.note(now, seconds, self._prompt.own_tokens)

    def end(self) -> None:
        """Give the whole place back."""
        self.note_read()
        self.placement.run.in_flight -= 1
        if self._is_long:
            self.placement.run.long_runs -= 1


class _Waiter(NamedTuple):
    wish: Wish
    ticket: Ticket
    granted: "asyncio.Future[Grant]"


class EngineGate:
    """Place requests at once if an engine has room, and in order if not."""

    def __init__(self, placer: Placer, probe: LoadProbe, clock: Clock) -> None:
        self._placer = placer
        self._probe = probe
        self._clock = clock
        self._queues: dict[str, Queue] = {}
        self._waiters: dict[str, dict[int, _Waiter]] = {}

    async def acquire(self, wish: Wish) -> Grant:
        """Return a place at an engine; raise TurnedAway."""
        now = self._clock.monotonic()
        engines = self._find_engines(now, wish)
        if not is_long(wish.prompt):
            return await self._place_short(wish, engines)
        queue = self._queues.setdefault(wish.service, Queue())
        verdict = _judge(now, wish, queue, engines)
        if verdict.is_late:
            return self._place_late(wish, engines)
        if not queue:
            grant = self._try_place(now, wish, engines)
            if grant is not None:
                return grant
        return await self._wait(now, wish, queue, verdict)

    def note_late(self, service: str, seconds: float) -> None:
        """Learn how long a late request took to its first token, or in vain."""
        queue = self._queues.setdefault(service, Queue())
        queue.note_late(self._clock.monotonic(), seconds)

    def pump(self, service: str) -> None:
        """Give room that came free to those that wait."""
        now = self._clock.monotonic()
        queue = self._queues.get(service)
        if queue is None:
            return
        queue.note_released(now)
        waiters = self._waiters.get(service, {})
        for ticket in queue.waiting():
            waiter = waiters.get(ticket.number)
            if waiter is None or waiter.granted.done():
                continue
            wish = waiter.wish
            engines = self._placer.find_engines(now, wish.service, wish.tried)
            if engines is None:
                continue
            grant = self._try_place(now, wish, engines)
            if grant is not None:
                queue.leave(ticket)
                waiter.granted.set_result(grant)

    def _find_engines(self, now: float, wish: Wish) -> Engines:
        engines = self._placer.find_engines(now, wish.service, wish.tried)
        if engines is None:
            raise TurnedAway("no runner", 0.0)
        return engines

    async def _place_short(self, wish: Wish, engines: Engines) -> Grant:
        """Place a conversation, which never waits: its engines read no long prompts."""
        run = await self._probe.choose(engines.quiet)
        now = self._clock.monotonic()
        is_late = now + expect_start(now, engines, wish.prompt) > wish.target_at
        placement = self._placer.place_conversation(engines, run)
        return Grant(wish, placement, self, is_late)

    def _try_place(self, now: float, wish: Wish, engines: Engines) -> Grant | None:
        start_within = wish.target_at - now
        placement = self._placer.place_long(now, engines, wish.prompt, start_within)
        return Grant(wish, placement, self) if placement is not None else None

    def _place_late(self, wish: Wish, engines: Engines) -> Grant:
        placement = self._placer.place_late(engines, wish.prompt)
        return Grant(wish, placement, self, is_late=True)

    def _judge_again(self, wish: Wish, queue: Queue) -> Grant:
        """Send a request late that waited as long as it could be on time."""
        now = self._clock.monotonic()
        engines = self._find_engines(now, wish)
        verdict = _judge(now, wish, queue, engines)
        if verdict.is_late:
            return self._place_late(wish, engines)
        raise TurnedAway("no engine came free in time", verdict.retry_after)

    async def _wait(
        self, now: float, wish: Wish, queue: Queue, verdict: Verdict
    ) -> Grant:
        if not verdict.admitted:
            raise TurnedAway("the queue is too long", verdict.retry_after)
        ticket = queue.enter(verdict.rank, verdict.start_by)
        granted: asyncio.Future[Grant] = asyncio.get_running_loop().create_future()
        waiters = self._waiters.setdefault(wish.service, {})
        waiters[ticket.number] = _Waiter(wish, ticket, granted)
        try:
            async with asyncio.timeout(max(0.0, ticket.start_by - now)):
                return await granted
        except TimeoutError:
            if granted.done() and not granted.cancelled():
                return granted.result()
            return self._judge_again(wish, queue)
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                granted.result().end()
            raise
        finally:
            queue.leave(ticket)
            waiters.pop(ticket.number, None)


def _judge(now: float, wish: Wish, queue: Queue, engines: Engines) -> Verdict:
    start_by = wish.target_at - expect_start(now, engines, wish.prompt)
    return queue.judge(now, wish.rank, start_by, wish.deadline)
