"""Track the state of one request while it is forwarded."""

from dataclasses import dataclass, field
from typing import NamedTuple

from hawthornshelf.gateway.exchange import (
    InboundRequest,
    KvCacheHandle,
    ResponseWriter,
    RunnerResponse,
    SecondRunRefused,
)
from hawthornshelf.gateway.hedging import HedgeLimit, RaceEnd
from hawthornshelf.gateway.identity import (
    RequestDigests,
    digest_parts,
    digest_request,
)
from hawthornshelf.gateway.routes import RetryPolicy, Route
from hawthornshelf.gateway.runners import Runner, RunnerState
from hawthornshelf.origins import Origin

__all__ = ["MIN_SECONDS_LEFT", "OpenRun", "RequestContext", "ReservedSend"]

MIN_SECONDS_LEFT = 0.01
"""With less time left a request can't be completed, so it is not sent."""


class OpenRun(NamedTuple):
    """Represent a run that may go on at an engine, whatever became of its connection.

    `has_begun` means that the response has begun; else the request may not even have
    arrived.
    """

    runner: Runner
    has_begun: bool = False


class ReservedSend(NamedTuple):
    """Represent a send that a service's retry budget counts since a time."""

    service: str
    at: float


@dataclass(slots=True)
class RequestContext:
    """Track one request while it is forwarded; times are monotonic seconds.

    `route_number` is the number of the route document that applies to the request
    until it ends. `target_at` is when the first byte or token is due. `sends` counts
    attempts, `runs` those that may have been executed. `source` is a KV cache to
    continue from; `backup` is the engine that keeps a copy of the KV cache of the last
    run, None if that has none. `open_run` is the last run while an engine may still
    work on it; `left_at` names engines at which earlier ones were left that may go on.
    `is_open_elsewhere` means that an engine which another node chose may work on it.
    `is_suspect` tells whether the request was in flight when a runner crashed; `trial`
    names the suspects that it may run with, once, although they may be to blame.
    `response` is that of the last attempt, `unfinished_bytes` the number of bytes after
    its last whole event; `events` counts those that the caller has received, and
    `last_number` is the highest number among their ids, -1 without any.
    `permits` counts those granted for requests to rate-limited runners,
    `permit_seconds` is the time spent on asking and waiting for them.
    `unreached` counts attempts that no runner can have received; `peers` names the
    nodes to which the request was relayed; with `is_relayed` it goes to no runner of
    this node any more.
    `reserved_send` is the next send if the retry budget holds it already.
    `owes_event` tells whether a stream is known to have an event to come; `origin` is
    what wrote the events that the caller has, None while it has none.
    `open_hedges` is 1 while a hedge and the first send are both unanswered, `lost_runs`
    counts runs at runners whose answer is not used as another one is awaited or there.
    `race_end` tells which send of a hedged request won, `hedge_limit` what forbade a
    hedge; both are None for a request that had its answer in time.
    `workspace` names that of the caller; it is empty for an anonymous one, None if no
    workspaces are in force. `usage_hold` is the number of the request among those that
    may be refused yet, 0 for none; `is_counted` tells whether the usage counts it.
    """

    inbound: InboundRequest
    route: Route
    route_number: int
    service: str
    writer: ResponseWriter
    deadline: float
    target_at: float
    tried: set[str] = field(default_factory=set)
    peers: set[str] = field(default_factory=set)
    unreached: int = 0
    is_relayed: bool = False
    reserved_send: ReservedSend | None = None
    sends: int = 0
    runs: int = 0
    may_have_run: bool = False
    last_event_id: str = ""
    last_number: int = -1
    last_runner: str = ""
    reserved_at: float = 0.0
    priority: int = 0
    prefiller: str = ""
    first_byte_at: float = 0.0
    last_event_at: float = 0.0
    longest_pause: float = 0.0
    events: int = 0
    owes_event: bool = False
    origin: Origin | None = None
    response: RunnerResponse | None = None
    unfinished_bytes: int = 0
    reason: str = ""
    source: KvCacheHandle | None = None
    prefills: int = 0
    is_late: bool = False
    permits: int = 0
    permit_seconds: float = 0.0
    backup: RunnerState | None = None
    open_run: OpenRun | None = None
    left_at: set[str] = field(default_factory=set)
    is_open_elsewhere: bool = False
    is_suspect: bool = False
    trial: frozenset[bytes] = frozenset()
    open_hedges: int = 0
    lost_runs: int = 0
    race_end: RaceEnd | None = None
    hedge_limit: HedgeLimit | None = None
    workspace: str | None = None
    usage_hold: int = 0
    is_counted: bool = False
    _digests: RequestDigests | None = None
    _parts: tuple[bytes, ...] | None = None

    def log_fields(self) -> dict[str, str]:
        """Return what names the request in a log line, with its workspace if any."""
        fields = {"request": self.inbound.request_id}
        if self.workspace is not None:
            fields["workspace"] = self.workspace
        return fields

    def digests(self) -> RequestDigests:
        """Return the digests of the request, computed once."""
        if self._digests is None:
            self._digests = digest_request(self.inbound)
        return self._digests

    def digest(self) -> bytes:
        """Return the digest of the request's content."""
        return self.digests().content

    def part_digests(self) -> tuple[bytes, ...]:
        """Return the digests of the shared parts of the prompt, computed once."""
        if self._parts is None:
            self._parts = digest_parts(self.inbound.prompt)
        return self._parts

    def suspects(self) -> tuple[bytes, ...]:
        """Return all digests by which the request can be under suspicion."""
        return (*self.request_suspects(), *self.part_digests())

    def request_suspects(self) -> tuple[bytes, ...]:
        """Return the digests by which all of the request can be, not its prompt."""
        digests = self.digests()
        return (digests.content, *digests.shared)

    @property
    def is_recoverable(self) -> bool:
        """Return whether a broken run can continue from the copy of its KV cache.

        It continues the same run, so requests that may run only once can do so too.
        """
        return self.backup is not None and self.last_event_id != ""

    @property
    def is_repeatable(self) -> bool:
        """Return whether the request may run again, from its last whole event on."""
        if self.route.retry_policy is RetryPolicy.STREAM:
            return self.route.resumable
        return self.route.retry_policy is RetryPolicy.SAFE

    @property
    def was_refused(self) -> bool:
        """Return whether a runner, or a node, has refused the request before."""
        is_retry = self.target_at < self.inbound.arrived_at + self.route.target
        return is_retry or self.sends > 0

    def begin_run(self, peer: str, copy: RunnerState | None = None) -> bool:
        """Note that the request goes out to a peer; return if it may have run before.

        `copy` is the engine from whose copy it goes on. Raise SecondRunRefused if it
        may have run, may not run again, and its last run has no copy there, or if an
        engine may still work on that.
        """
        may_have_run = self.may_have_run
        continues = copy is not None and copy is self.backup
        if may_have_run and not continues and not self.is_repeatable:
            raise SecondRunRefused(peer)
        if self.open_run is not None or self.is_open_elsewhere:
            raise SecondRunRefused(peer)
        self.may_have_run = True
        self.backup = None
        return may_have_run

    @property
    def has_attempt_left(self) -> bool:
        """Return whether the route allows another run beside those that are open."""
        return self.runs + self.open_hedges + 1 < self.route.max_attempts

    def describe_hedge(self) -> dict[str, str]:
        """Return which send won, or what forbade a hedge; empty for most requests."""
        if self.race_end is not None:
            return {"won": self.race_end.value}
        return {"unhedged": self.hedge_limit.value} if self.hedge_limit else {}

    def may_pass_on(self, response: RunnerResponse) -> bool:
        """Return whether the caller may get a response as it is.

        One that promises "not run" would let the caller send a request again that has
        run and may run only once.
        """
        return self.is_repeatable or not response.is_unproven_refusal

    def may_retry(self, now: float) -> bool:
        """Return whether a request without a complete response may be sent again."""
        if self.deadline - now < MIN_SECONDS_LEFT:
            return False
        if self.is_open_elsewhere:
            return False
        if self.is_recoverable:
            return True
        if self.may_have_run and (self.trial or not self.is_repeatable):
            return False
        return self.runs < self.route.max_attempts
