"""Describe requests in flight at runners, and what they and their ends show."""

from dataclasses import dataclass

from hawthornshelf.gateway.context import RequestContext
from hawthornshelf.gateway.runners import Runner

__all__ = ["WRITING_SECONDS", "Flight"]

WRITING_SECONDS = 0.25
"""Time after its first event from which a response shows that its parts are sound.

A part that crashes runners does so as they begin to write.
"""


@dataclass(slots=True, eq=False)
class Flight:
    """Represent one request in flight at one runner, since `started_at`.

    `is_answered` is set once its whole response is there, `has_run` if that was a
    success, `writing_since` when its first event arrived.
    """

    context: RequestContext
    runner: Runner
    started_at: float
    is_suspect: bool
    is_prefill: bool = False
    is_resumption: bool = False
    is_answered: bool = False
    has_run: bool = False
    writing_since: float = float("inf")

    def suspects(self, now: float) -> tuple[bytes, ...]:
        """Return what may have crashed the runner.

        Parts do so only where an answer is about to be written.
        """
        if self.is_prefill or self.is_writing(now):
            return self.context.request_suspects()
        return self.context.suspects()

    def proven(self) -> tuple[bytes, ...]:
        """Return for what the completed response speaks.

        That of a resumed stream says nothing about the part that it left out.
        """
        if not self.has_run:
            return ()
        if self.is_resumption:
            return self.context.part_digests()
        return self.context.suspects()

    @property
    def has_written(self) -> bool:
        """Return whether an event of the response has arrived."""
        return self.writing_since < float("inf")

    def is_writing(self, now: float) -> bool:
        """Return whether the runner has been writing the response for long enough."""
        return now >= self.writing_since + WRITING_SECONDS
