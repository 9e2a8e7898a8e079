"""Count what callers offer to each service with engines, and what becomes of it."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from hawthornshelf.gateway.context import RequestContext
from hawthornshelf.gateway.exchange import Prompt
from hawthornshelf.gateway.placement import is_long
from hawthornshelf.serviceloads import ServiceLoad

__all__ = ["LoadCounter"]

MAX_SERVICES = 64
"""Services that are counted; requests of further ones are not."""

RETURN_SECONDS = 1e-6
"""Least time since its first attempt that shows a request to come again."""


@dataclass(slots=True)
class _Counts:
    """Count the requests of one service; see ServiceLoad."""

    offered: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    prompt_tokens: int = 0
    prefill_tokens: int = 0
    prefill_seconds: float = 0.0
    interactive_offered: int = 0
    interactive_missed: int = 0
    open: int = 0
    long_open: int = 0


class LoadCounter:
    """Count the generation requests of this node's own callers.

    A request that comes again after a refusal is in no total, as its first attempt is.
    One that another node relayed is counted there. One that doesn't tell the size of
    its prompt counts as interactive.
    """

    def __init__(self) -> None:
        self._services: dict[str, _Counts] = {}

    @contextmanager
    def watch(self, context: RequestContext) -> Iterator[None]:
        """Count a request as offered, and as open until it has ended."""
        counts = self._find(context)
        if counts is None:
            yield
            return
        long_prompt = _find_long_prompt(context)
        has_long_prompt = long_prompt is not None
        if not _is_return(context):
            counts.offered += has_long_prompt
            counts.interactive_offered += not has_long_prompt
            counts.prompt_tokens += long_prompt.own_tokens if long_prompt else 0
        counts.open += not has_long_prompt
        counts.long_open += has_long_prompt
        try:
            yield
        finally:
            counts.open -= not has_long_prompt
            counts.long_open -= has_long_prompt

    def record_first_token(self, context: RequestContext) -> None:
        """Record that a request got its first token, on time or late."""
        counts, prompt = self._find(context), _find_long_prompt(context)
        if counts is None:
            return
        is_late = context.first_byte_at > context.target_at
        if prompt is None:
            counts.interactive_missed += is_late and not _is_return(context)
            return
        if not _is_return(context):
            counts.late += is_late
            counts.on_time += not is_late
        if context.reserved_at and not context.is_late:
            counts.prefill_tokens += prompt.own_tokens
            counts.prefill_seconds += context.first_byte_at - context.reserved_at

    def record_end(self, context: RequestContext, outcome: str) -> None:
        """Record the end of a request, which may never have got a token."""
        if outcome == "complete" and not context.events:
            self.record_first_token(context)
        if outcome not in ("refused", "failed") or context.events:
            return
        counts = self._find(context)
        if counts is None or _is_return(context):
            return
        if _find_long_prompt(context) is None:
            counts.interactive_missed += 1
        elif outcome == "refused":
            counts.refused += 1
        else:
            counts.late += 1

    def rows(
        self, data_centre: str, count_waiting: Callable[[str], int]
    ) -> tuple[ServiceLoad, ...]:
        """Return the totals of this node, which is in the given data centre.

        `count_waiting` returns how many long prompts of a service have no engine yet.
        """
        return tuple(
            _make_row(service, data_centre, counts, count_waiting(service))
            for service, counts in sorted(self._services.items())
        )

    def _find(self, context: RequestContext) -> _Counts | None:
        """Return the counts of a request's service, None if it is not counted."""
        inbound = context.inbound
        if not context.route.is_generation or inbound.relayed_runs is not None:
            return None
        counts = self._services.get(context.service)
        if counts is None and len(self._services) < MAX_SERVICES:
            counts = self._services[context.service] = _Counts()
        return counts


def _make_row(
    service: str, data_centre: str, counts: _Counts, waiting: int
) -> ServiceLoad:
    return ServiceLoad(
        service,
        data_centre,
        offered=counts.offered,
        on_time=counts.on_time,
        late=counts.late,
        refused=counts.refused,
        prompt_tokens=counts.prompt_tokens,
        prefill_tokens=counts.prefill_tokens,
        prefill_seconds=round(counts.prefill_seconds, 4),
        interactive_offered=counts.interactive_offered,
        interactive_missed=counts.interactive_missed,
        streams=counts.open,
        long_streams=max(0, counts.long_open - waiting),
        waiting=waiting,
    )


def _find_long_prompt(context: RequestContext) -> Prompt | None:
    """Return the prompt of a request if it is long, None for interactive ones."""
    prompt = context.inbound.prompt
    return prompt if prompt is not None and is_long(prompt) else None


def _is_return(context: RequestContext) -> bool:
    """Return whether a request was sent before, by the time that its caller has left.

    Its target is then earlier than one that counts from its arrival.
    """
    first_target_at = context.inbound.arrived_at + context.route.target
    return context.target_at < first_target_at - RETURN_SECONDS
