"""Relay requests over one hop to a node that reaches runners."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Set
from dataclasses import dataclass
from typing import NamedTuple

from hawthornshelf.clock import Clock
from hawthornshelf.gateway.context import RequestContext
from hawthornshelf.gateway.continuation import StreamContinuer
from hawthornshelf.gateway.exchange import (
    AttemptFailed,
    InboundRequest,
    RoutesDiffer,
    RunnerResponse,
    RunnerSilent,
)
from hawthornshelf.gateway.flight import Flight
from hawthornshelf.gateway.reachability import RunnerReachability
from hawthornshelf.gateway.recorder import Recorder
from hawthornshelf.gateway.requestusage import RequestUsage
from hawthornshelf.gateway.retrygate import RetryGate
from hawthornshelf.gateway.routegate import RouteGate
from hawthornshelf.gateway.routes import is_newer
from hawthornshelf.gateway.runners import Runner
from hawthornshelf.gateway.silence import SilenceLimits, WaitingAttempt
from hawthornshelf.gateway.streamrelay import StreamRelay
from hawthornshelf.origins import Origin

__all__ = [
    "ChoosePeer",
    "Peer",
    "PeerRelay",
    "RelayClient",
    "RelayedRequest",
    "choose_no_peer",
]

MIN_CONTEXT_UNREACHED = 2
"""Runners that one request must have failed to reach before another node is asked."""

MAX_PEERS = 3
"""Nodes to which one request is relayed at most, one after the other."""


class Peer(NamedTuple):
    """Name a node and the address at which it serves callers."""

    node: str
    address: str


@dataclass(frozen=True, slots=True)
class RelayedRequest:
    """Describe a request for another node.

    `runs` counts the attempts that it has no more, for nodes of earlier builds; others
    make one attempt in any case.
    `route_number` is the route document that the other node must apply, `origin` what
    wrote the events that the caller has; `runners` may still work on the request, so
    that it must not go there.
    """

    inbound: InboundRequest
    peer: Peer
    seconds_left: float
    runs: int
    route_number: int | None
    resume_after: str = ""
    origin: Origin | None = None
    runners: frozenset[str] = frozenset()


class RelayClient(ABC):
    """Send requests to other nodes."""

    @abstractmethod
    async def relay(self, request: RelayedRequest) -> RunnerResponse:
        """Send a request and return its response once the headers are there.

        The response is marked as not run if the other node refused it. Raises
        RoutesDiffer or AttemptFailed.
        """


ChoosePeer = Callable[[Set[str]], Peer | None]
"""Choose a node that reaches runners, none of those named, or None."""


def choose_no_peer(tried: Set[str]) -> Peer | None:
    """Choose no node, where none may be asked."""
    return None


class PeerRelay:
    """Relay requests while this node is cut off from runners and others are not.

    A relayed request is never relayed again. The other node admits and places it like a
    request of its own callers, for one attempt; this one counts those that may have
    run, and takes further ones from its retry budget. It gives up no run of an engine,
    and sends none again that broke, as it can't tell whether the engine still works.
    """

    def __init__(
        self,
        client: RelayClient | None,
        choose_peer: ChoosePeer,
        reachability: RunnerReachability,
        recorder: Recorder,
        retries: RetryGate,
        routes: RouteGate,
        continuer: StreamContinuer,
        silence: SilenceLimits,
        clock: Clock,
        usage: RequestUsage,
    ) -> None:
        self._client = client
        self._choose_peer = choose_peer
        self._reachability = reachability
        self._recorder = recorder
        self._retries = retries
        self._routes = routes
        self._continuer = continuer
        self._silence = silence
        self._streams = StreamRelay(recorder)
        self._clock = clock
        self._usage = usage
        self.relayed = 0

    def applies(self, context: RequestContext) -> bool:
        """Return whether a request should go to another node before any runner."""
        return self._reachability.is_cut and self._may_relay(context)

    def is_last_resort(self, context: RequestContext) -> bool:
        """Return whether a request that no runner took should go to another node.

        It failed to reach several, as where open connections to runners go on and new
        ones are refused.
        """
        return context.unreached >= MIN_CONTEXT_UNREACHED and self._may_relay(context)

    def _may_relay(self, context: RequestContext) -> bool:
        """Return whether another node may and can serve a request."""
        if not self._allows_relay(context):
            return False
        return self._choose_peer(context.peers) is not None

    def _allows_relay(self, context: RequestContext) -> bool:
        """Return whether a request may go to one more node."""
        if context.inbound.relayed_runs is not None:
            return False
        if context.is_recoverable or not context.may_retry(self._clock.monotonic()):
            return False
        if self._client is None or len(context.peers) >= MAX_PEERS:
            return False
        return not context.runs or self._retries.may_spend(context)

    async def relay(self, context: RequestContext) -> bool:
        """Relay a request for one attempt; return whether the caller has a response."""
        is_allowed = self._allows_relay(context)
        peer = self._choose_peer(context.peers) if is_allowed else None
        if peer is None:
            context.is_relayed = False
            return False
        context.peers.add(peer.node)
        self._recorder.record_relay(context, peer.node)
        context.last_runner = peer.node
        may_have_run = context.begin_run(peer.node)
        if context.runs:
            self._retries.spend(context)
        self.relayed += 1
        response: RunnerResponse | None = None
        try:
            self._usage.hand_over(context)
            response = await self._ask(context, peer)
            self._usage.settle(context, response)
            self._recorder.record_relay_response(context, peer.node, response)
            if response.not_run:
                context.may_have_run = may_have_run
            context.response = response
            return await self._pass_on(context, peer, response)
        except AttemptFailed as error:
            self._usage.settle_failure(context, error)
            context.may_have_run = may_have_run or error.sent
            context.runs += error.sent
            context.is_open_elsewhere = error.sent and context.route.is_generation
            self._recorder.record_relay_failure(context, peer.node, error)
            return False
        finally:
            self._usage.settle(context, response)
            if response is not None:
                response.close()

    async def _ask(self, context: RequestContext, peer: Peer) -> RunnerResponse:
        """Ask a node that must apply the newest route document known here.

        If it holds a newer one, ask again once this node knows of that.
        """
        number = self._routes.newest
        try:
            return await self._await_headers(context, peer, number)
        except RoutesDiffer as error:
            if not is_newer(error.number, number):
                raise
            self._routes.learn(error.number, peer.node)
            return await self._await_headers(context, peer, error.number)

    async def _await_headers(
        self, context: RequestContext, peer: Peer, route_number: int | None
    ) -> RunnerResponse:
        seconds_left = context.deadline - self._clock.monotonic()
        assert self._client is not None
        request = RelayedRequest(
            context.inbound,
            peer,
            seconds_left,
            context.route.max_attempts - 1,
            route_number,
            context.last_event_id or context.inbound.resume_after,
            context.origin,
            frozenset(context.left_at),
        )
        is_last = context.runs + 1 >= context.route.max_attempts
        if is_last or not context.is_repeatable or context.route.is_generation:
            return await self._client.relay(request)
        waiting = WaitingAttempt(
            context,
            self._clock.monotonic(),
            lambda: float("-inf"),
            lambda: self._has_alternative(context),
        )
        try:
            async with asyncio.timeout(None) as limit:
                with self._silence.watch(waiting, limit):
                    return await self._client.relay(request)
        except TimeoutError as error:
            raise RunnerSilent(peer.node) from error

    def _has_alternative(self, context: RequestContext) -> bool:
        """Return whether a request may go on somewhere if a peer is given up."""
        if not self._reachability.is_cut:
            return True
        is_bounded = len(context.peers) < MAX_PEERS
        return is_bounded and self._choose_peer(context.peers) is not None

    async def _pass_on(
        self, context: RequestContext, peer: Peer, response: RunnerResponse
    ) -> bool:
        """Pass a response on; return whether the caller has it.

        A refusal is passed on if no other node is left: one may be cut off as well, and
        not know it yet.
        """
        is_success = response.status < 300
        is_continued = context.origin is not None and response.is_stream
        if is_continued and is_success and response.origin != context.origin:
            raise AttemptFailed("resume", peer.node, "another origin", sent=True)
        if context.writer.headers_sent and not (response.is_stream and is_success):
            reason = f"status {response.status}"
            raise AttemptFailed("resume", peer.node, reason, sent=True)
        if not context.may_pass_on(response):
            self._recorder.record_withheld(context, peer.node, response)
            return False
        if response.not_run and (context.may_have_run or self.applies(context)):
            context.reason = f"{peer.node} refused with {response.status}"
            return False
        if response.is_stream and is_success:
            flight = Flight(
                context,
                Runner(peer.node, context.service, peer.address, "", 1),
                self._clock.monotonic(),
                is_suspect=False,
            )
            await self._streams.relay(
                context,
                flight,
                response,
                lambda: self._record_first_event(context, peer, response),
            )
            self._continuer.end(context)
        else:
            body = await response.read()
            self._record_first(context)
            await context.writer.respond(response.status, response.headers, body)
        outcome = "refused" if response.not_run else "complete"
        self._recorder.record_end(context, outcome, response.status)
        return True

    def _record_first_event(
        self, context: RequestContext, peer: Peer, response: RunnerResponse
    ) -> None:
        """Record the first event; what wrote it is unknown if the peer doesn't tell."""
        self._usage.begin(context)
        unknown = Origin(context.service, f"?{peer.node}")
        self._continuer.begin(context, response.origin or unknown)
        self._record_first(context)

    def _record_first(self, context: RequestContext) -> None:
        context.first_byte_at = self._clock.monotonic()
