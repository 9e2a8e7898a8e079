"""Hold one request on its way, and tell if it may be sent again."""

from dataclasses import dataclass, field

from hawthornshelf.gateway.exchange import InboundRequest, KvCacheHandle, ResponseWriter
from hawthornshelf.gateway.routes import RetryPolicy, Route
from hawthornshelf.gateway.runners import RunnerState

__all__ = ["MIN_SECONDS_LEFT", "RequestContext"]

MIN_SECONDS_LEFT = 0.01
"""With less time left a request can't be answered, so it is not sent."""


@dataclass(slots=True)
class RequestContext:
    """Hold one request on its way; times are monotonic seconds.

    `routes` is the number of the route document that it follows to its end.
    """

    inbound: InboundRequest
    route: Route
    route_number: int
    service: str
    writer: ResponseWriter
    deadline: float
    target_at: float
    tried: set[str] = field(default_factory=set)
    sends: int = 0
    runs: int = 0
    may_have_run: bool = False
    last_event: str = ""
    last_runner: str = ""
    reserved_at: float = 0.0
    priority: int = 0
    prefiller: str = ""
    first_byte_at: float = 0.0
    last_event_at: float = 0.0
    longest_pause: float = 0.0
    reason: str = ""
    source: KvCacheHandle | None = None
    prefills: int = 0
    is_late: bool = False
    backup: RunnerState | None = None

    @property
    def is_recoverable(self) -> bool:
        """Tell if a run that broke off can go on from the copy of its memory.

        That is the same run, so it holds for requests that may run once, too.
        """
        return self.backup is not None and self.last_event != ""

    @property
    def is_repeatable(self) -> bool:
        """Tell if the request may run again, from its last whole event on."""
        if self.route.retry_policy is RetryPolicy.STREAM:
            return self.route.resumable
        return self.route.retry_policy is RetryPolicy.SAFE

    def may_retry(self, now: float) -> bool:
        """Tell if a request that has no answer yet may be sent once more."""
        if self.deadline - now < MIN_SECONDS_LEFT:
            return False
        if self.is_recoverable:
            return True
        if self.may_have_run and not self.is_repeatable:
            return False
        return self.runs < self.route.max_attempts
