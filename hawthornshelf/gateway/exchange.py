"""Define requests, responses, and the interfaces to callers and runners."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from hawthornshelf.errors import HawthornshelfError
from hawthornshelf.gateway.runners import Runner
from hawthornshelf.origins import Origin

__all__ = [
    "Attempt",
    "AttemptFailed",
    "ConnectionRefused",
    "EngineLoad",
    "Framing",
    "Header",
    "InboundRequest",
    "KvCacheHandle",
    "LeavingNotice",
    "NOT_RUN_STATUSES",
    "PauseNotice",
    "PrefillRefused",
    "Prompt",
    "PromptSegment",
    "RateLimitNotice",
    "ResponseWriter",
    "RunnerClient",
    "RoutesDiffer",
    "RunnerNotice",
    "RunnerReplaced",
    "RunnerResponse",
    "RunnerSilent",
    "RunNotEnded",
    "SecondRunRefused",
    "StoppedRun",
]


NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request has not run and never will."""


class Header(NamedTuple):
    """Represent one header with its name and value as received."""

    name: str
    value: str


class PromptSegment(NamedTuple):
    """Represent a segment of a prompt, which other requests may share.

    `digest` identifies the segment; `tokens` is its length.
    """

    digest: str
    tokens: int


class Prompt(NamedTuple):
    """Describe the size and the segments of a generation request's prompt.

    `max_output` is in tokens. Only the last segment is the request's own.
    """

    tokens: int
    max_output: int
    segments: tuple[PromptSegment, ...] = ()
    model: str = ""

    @property
    def own_tokens(self) -> int:
        """Return the number of tokens that no other request shares."""
        return self.segments[-1].tokens if self.segments else self.tokens

    def shared_digests(self) -> tuple[str, ...]:
        """Return the digests of the segments that may be shared, in order."""
        return tuple(segment.digest for segment in self.segments[:-1])


@dataclass(frozen=True, slots=True)
class InboundRequest:
    """Represent a complete request of a caller; times are monotonic seconds.

    `resume_after` is the id of the last event that the caller has received. `caller`
    is the credential that the caller sent, empty if it sent none, or the name of its
    workspace where such are in force; `key` is the API key in the credential. `resumes`
    is the id of the request that brought the first event, as the caller says.
    `relayed_runs` is None unless another node relayed the request: then it is what that
    node says of the attempts left out. This one makes one attempt, whatever it says.
    `relayed_routes` is the number of the newest route document that the other node
    knows of, None if it does not say; `relayed_origin` is what wrote the events that
    the caller has, and `relayed_runners` names runners that may still work on the
    request.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[Header, ...] = field(repr=False)
    body: bytes = field(repr=False)
    arrived_at: float
    deadline: float
    prompt: Prompt | None = None
    resume_after: str = ""
    caller: str = field(default="", repr=False)
    resumes: str = ""
    relayed_runs: int | None = None
    relayed_routes: int | None = None
    relayed_origin: Origin | None = None
    relayed_runners: frozenset[str] = frozenset()
    key: str = field(default="", repr=False)

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


class KvCacheHandle(NamedTuple):
    """Identify a KV cache that an engine keeps for another engine to fetch."""

    address: str
    handle: str


@dataclass(frozen=True, slots=True)
class Attempt:
    """Describe one send of a request to a runner; `seconds_left` limits its work.

    `priority` orders the queue of an engine: 0 goes first, 9 last. `source` is a KV
    cache to continue from. `backup`, if given, is the address of another engine that
    is to keep a copy of the run's KV cache as it grows. `workspace` is the caller's,
    empty for an anonymous caller; None passes the caller's headers on unchanged.
    """

    inbound: InboundRequest
    runner: Runner
    seconds_left: float
    priority: int
    resume_after: str = ""
    source: KvCacheHandle | None = None
    backup: str = ""
    workspace: str | None = None


class AttemptFailed(HawthornshelfError):
    """Signal an attempt without a complete response; `sent` if it may have run."""

    def __init__(self, step: str, peer: str, reason: str, sent: bool) -> None:
        super().__init__(step, peer, reason)
        self.sent = sent


class ConnectionRefused(AttemptFailed):
    """Signal that a runner refused the connection, so that nothing was sent."""

    def __init__(self, peer: str, reason: str) -> None:
        super().__init__("connect", peer, reason, sent=False)


class RunnerReplaced(AttemptFailed):
    """Signal that another runner, or another boot of it, holds a runner's address."""

    def __init__(self, peer: str, reason: str) -> None:
        super().__init__("probe", peer, reason, sent=False)


class RunnerSilent(AttemptFailed):
    """Signal an attempt given up while its runner had sent nothing."""

    def __init__(self, peer: str) -> None:
        super().__init__("await answer", peer, "silence", sent=True)


class RoutesDiffer(AttemptFailed):
    """Signal that another node refused a request: it holds another route document."""

    def __init__(self, peer: str, number: int) -> None:
        reason = f"route document {number}"
        super().__init__("relay", peer, reason, sent=False)
        self.number = number


class SecondRunRefused(HawthornshelfError):
    """Signal a request that was about to run twice, though it may run only once."""

    def __init__(self, peer: str) -> None:
        super().__init__("send", peer, "the request may have run already")


class RunNotEnded(HawthornshelfError):
    """Signal a request that can't go on elsewhere, as its last run may go on."""

    def __init__(self, peer: str, finding: str) -> None:
        super().__init__("stop run", peer, f"the last run may go on: {finding}")


class PrefillRefused(HawthornshelfError):
    """Signal that an engine refused to prefill a prompt, with its HTTP status."""

    def __init__(self, peer: str, status: int) -> None:
        super().__init__("prefill", peer, f"status {status}")
        self.status = status


class StoppedRun(NamedTuple):
    """Represent a run that an engine has stopped when it was asked to.

    `handle` names the KV cache that it keeps of the run, None if it doesn't tell;
    `is_moved` means that the engine named in the call has a whole copy.
    """

    handle: KvCacheHandle | None
    is_moved: bool


class EngineLoad(NamedTuple):
    """Store the numbers of running and waiting requests that an engine reports."""

    running: int
    waiting: int


class Framing(StrEnum):
    """Name what marks the end of a body: its length, its last chunk or a close."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class RunnerResponse(ABC):
    """Read one response of a runner.

    `not_run` means that the runner refused the request without running it.
    `connection_end` is "closed" or "reset" once the connection has ended. `origin` is
    what wrote a stream that another node relays, if that node tells it.
    """

    status: int
    headers: tuple[Header, ...]
    not_run: bool
    is_stream: bool
    framing: Framing = Framing.CHUNKS
    connection_end: str = ""
    origin: Origin | None = None

    @property
    def is_unproven_refusal(self) -> bool:
        """Return whether the status promises "not run", but the runner doesn't."""
        return self.status in NOT_RUN_STATUSES and not self.not_run

    @abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise AttemptFailed if it breaks off."""

    @abstractmethod
    async def read(self) -> bytes:
        """Return the whole body; raise AttemptFailed if it breaks off."""

    @abstractmethod
    def close(self) -> None:
        """Release the response; if it is unfinished, its connection is closed."""


@dataclass(frozen=True, slots=True)
class RateLimitNotice:
    """Tell what a runner's answer says of the rate that it takes of all nodes.

    `rate` is in requests a second, None if the answer names no limit. `sent_at` and
    `answered_at` are in monotonic seconds. `has_run` means that the request was run.
    """

    runner: Runner
    rate: float | None
    sent_at: float
    answered_at: float
    has_run: bool


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """Tell that a runner said that it leaves; `answered_at` in monotonic seconds."""

    runner: Runner
    answered_at: float


@dataclass(frozen=True, slots=True)
class PauseNotice:
    """Tell that a runner wants no request of this node for `seconds` from its answer.

    `answered_at` is in monotonic seconds.
    """

    runner: Runner
    seconds: float
    answered_at: float


RunnerNotice = RateLimitNotice | LeavingNotice | PauseNotice


def ignore_notice(notice: RunnerNotice) -> None:
    """Do nothing about a notice."""


class RunnerClient(ABC):
    """Send attempts to runners; `on_notice` is told what their answers say of them."""

    on_notice: Callable[[RunnerNotice], None] = staticmethod(ignore_notice)

    @abstractmethod
    async def send(self, attempt: Attempt) -> RunnerResponse:
        """Send an attempt and return its response once the headers are there.

        Raises AttemptFailed.
        """

    @abstractmethod
    async def prefill(self, attempt: Attempt) -> KvCacheHandle:
        """Prefill a prompt and return the handle of its KV cache.

        Raises PrefillRefused or AttemptFailed.
        """

    @abstractmethod
    async def read_load(self, runner: Runner) -> EngineLoad:
        """Return the load that an engine reports; raise AttemptFailed."""

    @abstractmethod
    async def probe(self, runner: Runner, health_path: str) -> int:
        """Return the boot of a runner that responds, or 0 if it does not tell it.

        `health_path` is empty for engines. Raises RunnerReplaced, ConnectionRefused or
        AttemptFailed.
        """

    @abstractmethod
    async def stop_run(
        self, runner: Runner, request_id: str, to: str
    ) -> StoppedRun | None:
        """Stop the run of a request, and move its KV cache to the address `to`.

        Return None if the engine has no such run. Raises RunnerReplaced,
        ConnectionRefused or AttemptFailed.
        """

    @abstractmethod
    async def drop_handle(self, handle: KvCacheHandle) -> None:
        """Free a KV cache that no engine will fetch; raise AttemptFailed."""


class ResponseWriter(ABC):
    """Write the response to one caller.

    `headers_sent` is set once a response has begun; then it can't be replaced. `origin`
    tells a node that relayed the request what writes the stream.
    """

    headers_sent: bool
    origin: Origin | None = None

    @abstractmethod
    async def begin(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the status and headers of a streamed response."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send part of the body of a streamed response."""

    @abstractmethod
    async def end(self) -> None:
        """End a streamed response as complete."""

    @abstractmethod
    def abort(self) -> None:
        """Break off a streamed response so that it can't look complete."""

    @abstractmethod
    async def respond(
        self, status: int, headers: tuple[Header, ...], body: bytes
    ) -> None:
        """Send a runner's whole response."""

    @abstractmethod
    async def refuse(
        self,
        status: int,
        reason: str,
        retry_after: float,
        route_number: int | None = None,
    ) -> None:
        """Send an error response of this node; `retry_after` in seconds, 0 for none.

        `route_number` tells a node that relayed the request which route document is in
        force here, if that is why it is refused.
        """
