"""Let generation requests wait for an engine, and count what engines are given."""

import asyncio
from typing import NamedTuple

from hawthornshelf.clock import Clock
from hawthornshelf.gateway.admission import Queue, Ticket, Verdict
from hawthornshelf.gateway.exchange import Prompt
from hawthornshelf.gateway.placement import Placement, Placer, is_long

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

    def __init__(self, placer: Placer, clock: Clock) -> None:
        self._placer = placer
        self._clock = clock
        self._queues: dict[str, Queue] = {}
        self._waiters: dict[str, dict[int, _Waiter]] = {}

    async def acquire(self, wish: Wish) -> Grant:
        """Return a place at an engine; raise TurnedAway."""
        now = self._clock.monotonic()
        if not self._placer.has_runner(now, wish.service, set(wish.tried)):
            raise TurnedAway("no runner", 0.0)
        if not is_long(wish.prompt):
            return self._place_short(now, wish)
        queue = self._queues.setdefault(wish.service, Queue())
        verdict = self._judge(now, wish, queue)
        if verdict.is_late:
            return self._place_late(now, wish)
        if not queue:
            grant = self._try_place(now, wish)
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
            grant = self._try_place(now, waiter.wish)
            if grant is not None:
                queue.leave(ticket)
                waiter.granted.set_result(grant)

    def _expect_start(self, now: float, wish: Wish) -> float:
        tried = set(wish.tried)
        return self._placer.expect_start(now, wish.service, wish.prompt, tried)

    def _judge(self, now: float, wish: Wish, queue: Queue) -> Verdict:
        start_by = wish.target_at - self._expect_start(now, wish)
        return queue.judge(now, wish.rank, start_by, wish.deadline)

    def _place_short(self, now: float, wish: Wish) -> Grant:
        """Place a conversation, which never waits: its engines read no long prompts."""
        placement = self._placer.place(now, wish.service, wish.prompt, set(wish.tried))
        if placement is None:
            raise TurnedAway("no runner", 0.0)
        is_late = now + self._expect_start(now, wish) > wish.target_at
        return Grant(wish, placement, self, is_late)

    def _try_place(self, now: float, wish: Wish) -> Grant | None:
        tried = set(wish.tried)
        placement = self._placer.place(
            now, wish.service, wish.prompt, tried, wish.target_at - now
        )
        return Grant(wish, placement, self) if placement is not None else None

    def _place_late(self, now: float, wish: Wish) -> Grant:
        tried = set(wish.tried)
        placement = self._placer.place(
            now, wish.service, wish.prompt, tried, is_late=True
        )
        if placement is None:
            raise TurnedAway("no runner", 0.0)
        return Grant(wish, placement, self, is_late=True)

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
        except TimeoutError as error:
            now = self._clock.monotonic()
            verdict = self._judge(now, wish, queue)
            if verdict.is_late:
                return self._place_late(now, wish)
            reason = "no engine came free in time"
            raise TurnedAway(reason, verdict.retry_after) from error
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                granted.result().end()
            raise
        finally:
            queue.leave(ticket)
            waiters.pop(ticket.number, None)
