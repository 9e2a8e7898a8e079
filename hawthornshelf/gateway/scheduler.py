"""Schedule generation requests on engines and count the load given to each engine."""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from hawthornshelf.clock import Clock
from hawthornshelf.gateway.admission import (
    AdmissionDecision,
    AdmissionQueue,
    QueueEntry,
    spread_retry_after,
)
from hawthornshelf.gateway.exchange import Prompt
from hawthornshelf.gateway.loadprobe import MIN_ENGINES, LoadProbe
from hawthornshelf.gateway.placement import (
    Engines,
    Placement,
    Placer,
    estimate_ttft,
    find_owners,
    is_long,
)

__all__ = ["AdmissionRejected", "EngineScheduler", "PlacementRequest", "Reservation"]

MAX_READS = 2
"""Times that the load of a request's engines is read before it is sent."""


class AdmissionRejected(Exception):
    """Signal that a request gets no engine now.

    `retry_after` is in seconds; 0 means that the queue has no estimate.
    """

    def __init__(self, reason: str, retry_after: float) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after = retry_after


class PlacementRequest(NamedTuple):
    """Describe a request for an engine of a service; times are monotonic seconds.

    `target_at` is when the first token is due. Runners in `tried` are left out.
    `was_refused` tells that the request was refused before, by an engine or a node.
    """

    service: str
    prompt: Prompt
    priority: int
    target_at: float
    deadline: float
    tried: frozenset[str] = frozenset()
    was_refused: bool = False


class Reservation:
    """Represent the room reserved for a request at its engines until it is released."""

    def __init__(
        self,
        request: PlacementRequest,
        placement: Placement,
        scheduler: "EngineScheduler",
        is_late: bool = False,
    ) -> None:
        self.is_late = is_late
        self.placement = placement
        self._service = request.service
        self._prompt = request.prompt
        self._is_long = self._is_prefilling = is_long(request.prompt)
        self._scheduler = scheduler
        placement.run.in_flight += 1
        if self._is_long:
            placement.run.long_requests += 1
            placement.prefiller.long_prefills += not is_late

    def end_prefill(self) -> None:
        """Release the prefiller: the prompt is prefilled or will not be.

        Further calls have no effect.
        """
        if self._is_prefilling:
            self._is_prefilling = False
            self.placement.prefiller.long_prefills -= not self.is_late
            self._scheduler.dispatch_waiting(self._service)

    def record_ttft(self, now: float, seconds: float) -> None:
        """Record the time to first token, in seconds, at the prefilling engine."""
        prefiller = self.placement.prefiller
        estimate = prefiller.ttft if self._is_long else prefiller.interactive_ttft
        estimate.record(now, seconds, self._prompt.own_tokens)

    def release(self) -> None:
        """Release everything that is reserved; call it once."""
        self.end_prefill()
        self.placement.run.in_flight -= 1
        if self._is_long:
            self.placement.run.long_requests -= 1


class _Waiter(NamedTuple):
    """Represent a waiting request and the future that gets its reservation."""

    request: PlacementRequest
    entry: QueueEntry
    future: "asyncio.Future[Reservation]"


class EngineScheduler:
    """Place requests on engines, at once if there is room and else in queue order.

    `may_resend` returns whether this node may send a request to a service again that
    an engine has refused. Without `rng`, the times after which callers may retry are
    the bare estimates.
    """

    def __init__(
        self,
        placer: Placer,
        probe: LoadProbe,
        clock: Clock,
        may_resend: Callable[[str], bool] = lambda service: True,
        rng: random.Random | None = None,
    ) -> None:
        self._placer = placer
        self._probe = probe
        self._clock = clock
        self._may_resend = may_resend
        self._rng = rng
        self._queues: dict[str, AdmissionQueue] = {}
        self._waiters: dict[str, dict[int, _Waiter]] = {}

    async def acquire(self, request: PlacementRequest) -> Reservation:
        """Return a reservation at an engine; raise AdmissionRejected.

        A long prompt may wait here until it can no longer meet its target.
        """
        engines = self._find_engines(self._clock.monotonic(), request)
        engines = await self._leave_out_full(request, engines)
        if not is_long(request.prompt):
            return await self._place_interactive(request, engines)
        now = self._clock.monotonic()
        queue = self._queues.setdefault(request.service, AdmissionQueue())
        decision = _decide(now, request, queue, engines)
        if decision.is_late:
            return self._place_late(request, engines)
        if not queue:
            reservation = self._try_place(now, request, engines)
            if reservation is not None:
                return reservation
        return await self._wait(now, request, queue, decision)

    def record_late(self, service: str, seconds: float) -> None:
        """Record the seconds that a late request took to its first token or to fail."""
        queue = self._queues.setdefault(service, AdmissionQueue())
        queue.record_late(self._clock.monotonic(), seconds)

    def count_waiting(self, service: str) -> int:
        """Return how many long prompts of a service wait for an engine."""
        return len(self._queues.get(service, ()))

    def dispatch_waiting(self, service: str) -> None:
        """Place as many waiting requests as the engines have room for."""
        now = self._clock.monotonic()
        queue = self._queues.get(service)
        if queue is None:
            return
        queue.record_release(now)
        waiters = self._waiters.get(service, {})
        for entry in queue.waiting():
            waiter = waiters.get(entry.number)
            if waiter is None or waiter.future.done():
                continue
            request = waiter.request
            engines = self._placer.find_engines(now, request.service, request.tried)
            if engines is None:
                continue
            reservation = self._try_place(now, request, engines)
            if reservation is not None:
                queue.remove(entry)
                waiter.future.set_result(reservation)

    def _find_engines(self, now: float, request: PlacementRequest) -> Engines:
        engines = self._placer.find_engines(now, request.service, request.tried)
        if engines is None:
            raise AdmissionRejected("no runner", 0.0)
        return engines

    async def _leave_out_full(
        self, request: PlacementRequest, engines: Engines
    ) -> Engines:
        """Return the engines without those that would refuse a request as full.

        Their load is read where a refusal is likely, or can't be made good by another
        send. If all engines of the request's class are full, others are lent to it.
        """
        if not engines.are_shared and self._may_resend(request.service):
            return engines
        full: frozenset[str] = frozenset()
        for _ in range(MAX_READS):
            found = await self._find_full(request.prompt, engines)
            if not found:
                break
            full |= found
            now = self._clock.monotonic()
            self._placer.lend_engines(now, request.service, "load report")
            skipped = request.tried | full
            others = self._placer.find_engines(now, request.service, skipped)
            if others is None:
                break
            engines = others
        return engines

    async def _find_full(self, prompt: Prompt, engines: Engines) -> frozenset[str]:
        """Return the full ones of the engines that would get a prompt.

        Of many interactive engines the less loaded one of two is chosen anyway.
        """
        if is_long(prompt):
            return await self._probe.find_full(find_owners(engines, prompt))
        if len(engines.interactive) >= MIN_ENGINES:
            return frozenset()
        return await self._probe.find_full(engines.interactive)

    async def _place_interactive(
        self, request: PlacementRequest, engines: Engines
    ) -> Reservation:
        """Place an interactive request, which need not wait in the queue.

        No long prompts are prefilled on its engines.
        """
        run = await self._probe.choose(engines.interactive)
        now = self._clock.monotonic()
        is_late = now + estimate_ttft(now, engines, request.prompt) > request.target_at
        placement = self._placer.place_interactive(engines, run)
        return Reservation(request, placement, self, is_late)

    def _try_place(
        self, now: float, request: PlacementRequest, engines: Engines
    ) -> Reservation | None:
        max_ttft = request.target_at - now
        placement = self._placer.place_long(now, engines, request.prompt, max_ttft)
        return Reservation(request, placement, self) if placement is not None else None

    def _place_late(self, request: PlacementRequest, engines: Engines) -> Reservation:
        self._placer.record_overload(self._clock.monotonic(), request.service)
        placement = self._placer.place_late(engines, request.prompt)
        return Reservation(request, placement, self, is_late=True)

    def _decide_again(
        self, request: PlacementRequest, queue: AdmissionQueue
    ) -> Reservation:
        """Decide once more on a request that was to be dispatched by now.

        It may still meet its target if the estimates have fallen since.
        """
        now = self._clock.monotonic()
        engines = self._find_engines(now, request)
        decision = _decide(now, request, queue, engines)
        if decision.admitted:
            placed = self._try_place(now, request, engines)
            return placed or self._place_late(request, engines)
        raise self._reject("no engine came free in time", decision.retry_after)

    def _reject(self, reason: str, retry_after: float) -> AdmissionRejected:
        """Return the rejection of a request, with a time to return of its own."""
        if self._rng is not None:
            retry_after = spread_retry_after(self._rng, retry_after)
        return AdmissionRejected(reason, retry_after)

    async def _wait(
        self,
        now: float,
        request: PlacementRequest,
        queue: AdmissionQueue,
        decision: AdmissionDecision,
    ) -> Reservation:
        """Wait in the queue for a reservation; decide again if none came in time.

        A reservation made at the same moment as the time-out is used, and one made for
        a caller that has just disconnected is released.
        """
        if not decision.admitted:
            raise self._reject("the queue is too long", decision.retry_after)
        entry = queue.add(decision.priority, decision.dispatch_by, request.was_refused)
        future: asyncio.Future[Reservation] = asyncio.get_running_loop().create_future()
        waiters = self._waiters.setdefault(request.service, {})
        waiters[entry.number] = _Waiter(request, entry, future)
        try:
            async with asyncio.timeout(max(0.0, entry.dispatch_by - now)):
                return await future
        except TimeoutError:
            if future.done() and not future.cancelled():
                return future.result()
            return self._decide_again(request, queue)
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                future.result().release()
            raise
        finally:
            queue.remove(entry)
            waiters.pop(entry.number, None)


def _decide(
    now: float, request: PlacementRequest, queue: AdmissionQueue, engines: Engines
) -> AdmissionDecision:
    dispatch_by = request.target_at - estimate_ttft(now, engines, request.prompt)
    return queue.decide(
        now, request.priority, dispatch_by, request.deadline, request.was_refused
    )
