"""Hold the requests of an entry node, and the queue of those that wait."""

import heapq
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from hawthornshelf.commands import Answer
from hawthornshelf.events import RequestArrived

__all__ = ["Phase", "RequestRow", "RequestTable"]


class Phase(Enum):
    """Name how far a request has got."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    TRYING = "trying"
    RUNNING = "running"
    RECORDING = "recording"


class RequestRow(NamedTuple):
    """Hold one request; times are monotonic seconds."""

    arrived: RequestArrived
    service: str
    urgent: bool
    idempotent: bool
    arrived_at: float
    deadline: float
    phase: Phase = Phase.QUEUED
    attempts: int = 0
    attempt: str = ""
    upstream: str = ""
    offset: int = 0
    sent: bool = False
    excluded: tuple[str, ...] = ()
    claimed_at: float = 0.0
    submission: str = ""
    ready_at: float = 0.0
    answer: Answer | None = None

    @property
    def id(self) -> str:
        """Return the request's id."""
        return self.arrived.request

    @property
    def tokens(self) -> int:
        """Return the prompt tokens to prefill."""
        return self.arrived.prompt_tokens

    @property
    def digest(self) -> str:
        """Return what marks the same request of the same workspace."""
        return f"{self.arrived.workspace}:{self.arrived.digest}"


class RequestTable:
    """Hold all open requests, indexed by attempt and by submission."""

    def __init__(self) -> None:
        self._rows: dict[str, RequestRow] = {}
        self._by_attempt: dict[str, str] = {}
        self._by_submission: dict[str, str] = {}
        self._queues: dict[str, list[tuple[bool, int, float, str]]] = {}
        self._queued: dict[str, int] = {}
        self._open: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[RequestRow]:
        return iter(list(self._rows.values()))

    def find(self, request: str) -> RequestRow | None:
        """Return an open request."""
        return self._rows.get(request)

    def find_by_attempt(self, attempt: str) -> RequestRow | None:
        """Return the request whose current attempt has that id."""
        return self._rows.get(self._by_attempt.get(attempt, ""))

    def find_by_submission(self, submission: str) -> RequestRow | None:
        """Return the request that waits for a submission."""
        return self._rows.get(self._by_submission.get(submission, ""))

    def put(self, row: RequestRow) -> None:
        """Add or replace a request, and index it."""
        old = self._rows.get(row.id)
        if old is not None:
            self._unindex(old)
        else:
            workspace = row.arrived.workspace
            self._open[workspace] = self._open.get(workspace, 0) + 1
        self._rows[row.id] = row
        if row.attempt:
            self._by_attempt[row.attempt] = row.id
        if row.submission:
            self._by_submission[row.submission] = row.id
        if row.phase is Phase.QUEUED:
            self._queued[row.service] = self._queued.get(row.service, 0) + 1
            if old is None or old.phase is not Phase.QUEUED:
                self._push(row)

    def remove(self, request: str) -> None:
        """Forget a request."""
        row = self._rows.pop(request, None)
        if row is not None:
            self._unindex(row)
            self._forget_open(row.arrived.workspace)

    def open_of(self, workspace: str) -> int:
        """Return how many open requests a workspace has here."""
        return self._open.get(workspace, 0)

    def queued(self, service: str) -> int:
        """Return how many requests wait for a service."""
        return self._queued.get(service, 0)

    def queued_before(self, row: RequestRow) -> int:
        """Return how many requests wait that would be served before this one."""
        key = _order(row)
        return sum(queued < key for queued in self._queues.get(row.service, ()))

    def services(self) -> list[str]:
        """Return the services that have a queue."""
        return list(self._queues)

    def pop(self, service: str) -> RequestRow | None:
        """Take the next waiting request: urgent first, then by deadline."""
        queue = self._queues.get(service, [])
        while queue:
            request = heapq.heappop(queue)[-1]
            row = self._rows.get(request)
            if row is not None and row.phase is Phase.QUEUED:
                return row
        return None

    def push_back(self, row: RequestRow) -> None:
        """Return a request that was taken but could not be sent."""
        self._push(row)

    def _forget_open(self, workspace: str) -> None:
        self._open[workspace] -= 1
        if not self._open[workspace]:
            del self._open[workspace]

    def _push(self, row: RequestRow) -> None:
        heapq.heappush(self._queues.setdefault(row.service, []), _order(row))

    def _unindex(self, row: RequestRow) -> None:
        self._by_attempt.pop(row.attempt, None)
        self._by_submission.pop(row.submission, None)
        if row.phase is Phase.QUEUED:
            self._queued[row.service] -= 1


def _order(row: RequestRow) -> tuple[bool, int, float, str]:
    return (not row.urgent, row.arrived.urgency, row.deadline, row.id)
