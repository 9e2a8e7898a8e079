"""Store the open requests of an entry node and the queues of waiting ones."""

import heapq
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from hawthornshelf.commands import Answer
from hawthornshelf.events import RequestArrived

__all__ = ["Phase", "RequestRow", "RequestTable"]


class Phase(Enum):
    """Represent the phase of an open request."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    TRYING = "trying"
    RUNNING = "running"
    RECORDING = "recording"


class RequestRow(NamedTuple):
    """Represent one open request; times are monotonic seconds.

    `offset` counts the chunks sent to the caller, `sent` is set if an upstream may
    have run the request, and `excluded` names upstreams that refused or failed.
    `started_at` is when the claim was submitted or the attempt was dispatched; until
    `ready_at` the request stays queued.
    """

    arrival: RequestArrived
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
    started_at: float = 0.0
    submission: str = ""
    ready_at: float = 0.0
    answer: Answer | None = None

    @property
    def id(self) -> str:
        """Return the request's id."""
        return self.arrival.request

    @property
    def tokens(self) -> int:
        """Return the prompt tokens to prefill."""
        return self.arrival.prompt_tokens

    @property
    def digest(self) -> str:
        """Return the digest shared by repeats of this request in its workspace."""
        return f"{self.arrival.workspace}:{self.arrival.digest}"


class RequestTable:
    """Store all open requests, indexed by attempt and by submission."""

    def __init__(self) -> None:
        self._rows: dict[str, RequestRow] = {}
        self._by_attempt: dict[str, str] = {}
        self._by_submission: dict[str, str] = {}
        self._queues: dict[str, list[tuple[bool, int, float, str]]] = {}
        self._queued_counts: dict[str, int] = {}
        self._open_counts: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[RequestRow]:
        return iter(list(self._rows.values()))

    def find(self, request: str) -> RequestRow | None:
        """Return an open request, or None."""
        return self._rows.get(request)

    def find_by_attempt(self, attempt: str) -> RequestRow | None:
        """Return the request with this current attempt, or None."""
        return self._rows.get(self._by_attempt.get(attempt, ""))

    def find_by_submission(self, submission: str) -> RequestRow | None:
        """Return the request that waits for a submission, or None."""
        return self._rows.get(self._by_submission.get(submission, ""))

    def put(self, row: RequestRow) -> None:
        """Add or replace a request, update the indexes and queue it if it waits."""
        old = self._rows.get(row.id)
        if old is not None:
            self._unindex(old)
        else:
            workspace = row.arrival.workspace
            self._open_counts[workspace] = self._open_counts.get(workspace, 0) + 1
        self._rows[row.id] = row
        if row.attempt:
            self._by_attempt[row.attempt] = row.id
        if row.submission:
            self._by_submission[row.submission] = row.id
        if row.phase is Phase.QUEUED:
            self._queued_counts[row.service] = (
                self._queued_counts.get(row.service, 0) + 1
            )
            if old is None or old.phase is not Phase.QUEUED:
                self._push(row)

    def remove(self, request: str) -> None:
        """Remove a request; its queue entry is skipped later."""
        row = self._rows.pop(request, None)
        if row is not None:
            self._unindex(row)
            self._decrement_open(row.arrival.workspace)

    def open_count(self, workspace: str) -> int:
        """Return how many open requests of a workspace this node has."""
        return self._open_counts.get(workspace, 0)

    def queued(self, service: str) -> int:
        """Return how many requests wait for a service."""
        return self._queued_counts.get(service, 0)

    def count_ahead(self, row: RequestRow) -> int:
        """Return how many waiting requests of the service precede this one."""
        key = _queue_key(row)
        return sum(queued < key for queued in self._queues.get(row.service, ()))

    def services(self) -> list[str]:
        """Return the services that have a queue."""
        return list(self._queues)

    def pop(self, service: str) -> RequestRow | None:
        """Remove and return the next waiting request, or None.

        Requests of urgent work classes come first; within both kinds the order is by
        the urgency of the Priority header (0 first), then by deadline.
        """
        queue = self._queues.get(service, [])
        while queue:
            request = heapq.heappop(queue)[-1]
            row = self._rows.get(request)
            if row is not None and row.phase is Phase.QUEUED:
                return row
        return None

    def requeue(self, row: RequestRow) -> None:
        """Put back a popped request that could not be dispatched."""
        self._push(row)

    def _decrement_open(self, workspace: str) -> None:
        self._open_counts[workspace] -= 1
        if not self._open_counts[workspace]:
            del self._open_counts[workspace]

    def _push(self, row: RequestRow) -> None:
        heapq.heappush(self._queues.setdefault(row.service, []), _queue_key(row))

    def _unindex(self, row: RequestRow) -> None:
        self._by_attempt.pop(row.attempt, None)
        self._by_submission.pop(row.submission, None)
        if row.phase is Phase.QUEUED:
            self._queued_counts[row.service] -= 1


def _queue_key(row: RequestRow) -> tuple[bool, int, float, str]:
    return (not row.urgent, row.arrival.urgency, row.deadline, row.id)
