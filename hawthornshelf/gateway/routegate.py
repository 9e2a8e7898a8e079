"""Decide whether the route document of this node may be applied to a request."""

import asyncio
from collections.abc import Callable
from enum import Enum

from hawthornshelf.clock import Clock
from hawthornshelf.gateway.exchange import InboundRequest
from hawthornshelf.gateway.routes import is_newer
from hawthornshelf.logs import write_log

__all__ = ["RouteDecision", "RouteGate", "decide_routes", "find_newest"]

ROUTES_WAIT_SECONDS = 0.3
"""Longest wait for a newer document; it comes within a round trip from a live node."""

ROUTES_WAIT_SHARE = 0.2
"""Share of a request's remaining time that it waits at most."""


class RouteDecision(Enum):
    """Name what to do with a request, given the documents that nodes hold."""

    APPLY = "apply"
    WAIT = "wait"
    REFUSE = "refuse"


def decide_routes(
    held: int | None, floor: int | None, relayed: int | None
) -> RouteDecision:
    """Decide if the document `held` here may be applied to a request.

    `floor` is the newest document that this node knows to have been applied to a
    request of its callers. `relayed` is the one that another node named as it relayed
    the request. Each is None where there is no document. A newer one here is refused
    as well: the other node must know of it before a runner does, or it would go back
    to its own.
    """
    if held is None:
        return RouteDecision.WAIT
    if relayed is not None and held > relayed:
        return RouteDecision.REFUSE
    needed = find_newest(floor, relayed)
    if needed is not None and held < needed:
        return RouteDecision.WAIT
    return RouteDecision.APPLY


def find_newest(*numbers: int | None) -> int | None:
    """Return the highest number of a document, None without any."""
    return max((number for number in numbers if number is not None), default=None)


class RouteGate:
    """Hold requests back until the document that must be applied to them is here.

    `request_view` asks a node for its shared view, or a few nodes if none is named.
    """

    def __init__(self, clock: Clock, request_view: Callable[[str], None]) -> None:
        self._clock = clock
        self._request_view = request_view
        self._loaded = asyncio.Event()
        self._held: int | None = None
        self._floor: int | None = None

    @property
    def newest(self) -> int | None:
        """Return the number of the newest document that this node knows of."""
        return find_newest(self._held, self._floor)

    def load(self, number: int | None) -> None:
        """Record that a document is in force here, and let requests go on."""
        self._held = number
        self._loaded.set()
        self._loaded.clear()

    def learn(self, number: int, node: str) -> None:
        """Record that another node holds a newer document, and ask it for its view."""
        if not is_newer(number, self.newest):
            return
        held = "none" if self._held is None else self._held
        write_log("routes-behind", held=held, number=number, peer=node)
        self._floor = number
        self._request_view(node)

    async def admit(self, inbound: InboundRequest) -> bool:
        """Return whether the document here may be applied to a request.

        Wait for a newer one if need be.
        """
        now = self._clock.monotonic()
        share = ROUTES_WAIT_SHARE * (inbound.deadline - now)
        until = now + min(ROUTES_WAIT_SECONDS, share)
        while (decision := self._decide(inbound)) is RouteDecision.WAIT:
            seconds_left = until - self._clock.monotonic()
            if seconds_left <= 0.0:
                return False
            self._request_view("")
            await self._wait(seconds_left)
        return decision is RouteDecision.APPLY

    def _decide(self, inbound: InboundRequest) -> RouteDecision:
        return decide_routes(self._held, self._floor, inbound.relayed_routes)

    async def _wait(self, seconds: float) -> None:
        """Wait until a document is loaded, for at most the given seconds."""
        try:
            async with asyncio.timeout(seconds):
                await self._loaded.wait()
        except TimeoutError:
            return
