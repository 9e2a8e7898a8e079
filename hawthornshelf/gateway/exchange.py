"""Define a request, the answers to it, and the two sides that carry them."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import NamedTuple

from hawthornshelf.errors import HawthornshelfError
from hawthornshelf.gateway.runners import Runner

__all__ = [
    "Attempt",
    "AttemptFailed",
    "ResponseWriter",
    "EngineLoad",
    "Header",
    "InboundRequest",
    "KvCacheHandle",
    "PrefillRefused",
    "Prompt",
    "PromptSegment",
    "RunnerResponse",
    "RunnerClient",
]


class Header(NamedTuple):
    """Hold one header as it came."""

    name: str
    value: str


class PromptSegment(NamedTuple):
    """Name a part of a prompt that requests may share."""

    digest: str
    tokens: int


class Prompt(NamedTuple):
    """Hold what a generation request says of its size and shared parts."""

    tokens: int
    max_output: int
    segments: tuple[PromptSegment, ...] = ()

    @property
    def own_tokens(self) -> int:
        """Return the tokens that no other request shares."""
        return self.segments[-1].tokens if self.segments else self.tokens

    def shared_digests(self) -> tuple[str, ...]:
        """Return the parts that other requests may share, in order."""
        return tuple(segment.digest for segment in self.segments[:-1])


@dataclass(frozen=True, slots=True)
class InboundRequest:
    """Hold a whole request of a caller; times are monotonic seconds."""

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[Header, ...]
    body: bytes
    arrived_at: float
    deadline: float
    prompt: Prompt | None = None
    resume_after: str = ""

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


class KvCacheHandle(NamedTuple):
    """Name a prompt's memory that an engine holds for another one to take."""

    address: str
    handle: str


@dataclass(frozen=True, slots=True)
class Attempt:
    """Hold one send of a request to a runner; `seconds_left` bounds its work.

    `rank` orders what waits at an engine: 0 goes first, 9 last.
    `source` holds memory to go on from; at `backup`, if given, another engine is to
    keep a copy of the run's memory as it grows.
    """

    inbound: InboundRequest
    runner: Runner
    seconds_left: float
    priority: int
    resume_after: str = ""
    source: KvCacheHandle | None = None
    backup: str = ""


class AttemptFailed(HawthornshelfError):
    """Report an attempt without a whole answer; `sent` if it may have run."""

    def __init__(self, step: str, peer: str, reason: str, sent: bool) -> None:
        super().__init__(step, peer, reason)
        self.sent = sent


class PrefillRefused(HawthornshelfError):
    """Report that an engine would not read a prompt; `status` is its answer."""

    def __init__(self, peer: str, status: int) -> None:
        super().__init__("prefill", peer, f"status {status}")
        self.status = status


class EngineLoad(NamedTuple):
    """Count the requests that an engine runs and that wait there."""

    running: int
    waiting: int


class RunnerResponse(ABC):
    """Read one answer of a runner."""

    status: int
    headers: tuple[Header, ...]
    not_run: bool
    is_stream: bool

    @abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes; raise AttemptFailed if it breaks off."""

    @abstractmethod
    async def read(self) -> bytes:
        """Return the whole body; raise AttemptFailed if it breaks off."""

    @abstractmethod
    def close(self) -> None:
        """Let go of the answer; an unfinished one ends its connection."""


class RunnerClient(ABC):
    """Carry attempts to runners."""

    @abstractmethod
    async def send(self, attempt: Attempt) -> RunnerResponse:
        """Send an attempt and return the head of its answer; raise AttemptFailed."""

    @abstractmethod
    async def prefill(self, attempt: Attempt) -> KvCacheHandle:
        """Have a prompt read and kept; raise PrefillRefused or AttemptFailed."""

    @abstractmethod
    async def read_load(self, runner: Runner) -> EngineLoad:
        """Return what an engine says of its load; raise AttemptFailed."""

    @abstractmethod
    async def drop_handle(self, handle: KvCacheHandle) -> None:
        """Free a prompt's memory that nobody will take; raise AttemptFailed."""


class ResponseWriter(ABC):
    """Carry the answer back to one caller."""

    headers_sent: bool

    @abstractmethod
    async def begin(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the head of a streamed answer."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a piece of a streamed answer."""

    @abstractmethod
    async def end(self) -> None:
        """End a streamed answer as complete."""

    @abstractmethod
    def abort(self) -> None:
        """Break a streamed answer off, so that it can't look complete."""

    @abstractmethod
    async def respond(
        self, status: int, headers: tuple[Header, ...], body: bytes
    ) -> None:
        """Send a whole answer of a runner."""

    @abstractmethod
    async def refuse(self, status: int, reason: str, retry_after: float) -> None:
        """Send an answer of our own; `retry_after` in seconds, 0 for none."""
