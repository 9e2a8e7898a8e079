"""Represent the sends of one request, of which two may be open at a time."""

import asyncio
import contextlib
from collections.abc import Iterator
from dataclasses import dataclass

from hawthornshelf.gateway.context import ReservedSend
from hawthornshelf.gateway.exchange import AttemptFailed, RunnerResponse
from hawthornshelf.gateway.flight import Flight
from hawthornshelf.gateway.runners import RunnerState
from hawthornshelf.logs import write_log

__all__ = ["RunnerSend", "count_in_flight"]


@dataclass(slots=True, eq=False)
class RunnerSend:
    """Represent one send of a request, to one runner, until it has ended.

    `watches` ends what watches the send; `task` awaits the head of its answer.
    `reserved` is what the retry budget counts for a hedge.
    """

    state: RunnerState
    flight: Flight
    watches: contextlib.ExitStack
    task: asyncio.Task[RunnerResponse] | None = None
    sent_at: float = 0.0
    reserved: ReservedSend | None = None

    @property
    def has_ended(self) -> bool:
        """Return whether the head of the answer, or an error, is there."""
        return self.task is not None and self.task.done()

    @property
    def has_answered(self) -> bool:
        """Return whether the head of an answer is there that is not a failure."""
        if not self.has_ended or self.has_failed:
            return False
        response = self.response()
        return not response.not_run and response.status < 500

    @property
    def has_failed(self) -> bool:
        """Return whether an error is there in place of an answer."""
        assert self.task is not None
        return self.task.cancelled() or self.task.exception() is not None

    def response(self) -> RunnerResponse:
        """Return the answer; raise the error of the send, such as AttemptFailed."""
        assert self.task is not None
        return self.task.result()

    def cancel(self) -> None:
        """Cancel the send, which closes its connection; close an answer that is there.

        Does not wait until that is done.
        """
        if self.task is not None:
            self.task.cancel()
            self.task.add_done_callback(_discard)


@contextlib.contextmanager
def count_in_flight(state: RunnerState) -> Iterator[None]:
    """Count a request among those in flight at a runner."""
    state.in_flight += 1
    try:
        yield
    finally:
        state.in_flight -= 1


def _discard(task: asyncio.Task[RunnerResponse]) -> None:
    """Close the late answer of a cancelled send, and log an error that is ours."""
    if task.cancelled():
        return
    error = task.exception()
    if error is None:
        task.result().close()
    elif not isinstance(error, AttemptFailed):
        write_log("task-failed", level="error", task="send", reason=repr(error))
