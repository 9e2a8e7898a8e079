"""Relay a runner's stream to the caller by whole events, and tell if it broke off."""

import re
from collections.abc import Callable

from hawthornshelf.gateway.context import RequestContext
from hawthornshelf.gateway.eventstream import EventSplitter, StreamEvent
from hawthornshelf.gateway.exchange import AttemptFailed, Framing, RunnerResponse
from hawthornshelf.gateway.flight import Flight
from hawthornshelf.gateway.recorder import Recorder

__all__ = ["StreamRelay"]

_NUMBER = re.compile(r"[0-9]{1,30}")


class StreamRelay:
    """Relay whole events only, so that another runner can resume a broken stream."""

    def __init__(self, recorder: Recorder) -> None:
        self._recorder = recorder

    async def relay(
        self,
        context: RequestContext,
        flight: Flight,
        response: RunnerResponse,
        on_first_event: Callable[[], None],
    ) -> None:
        """Relay a stream to its end; raise AttemptFailed if it broke off.

        It counts as broken off before an event that the caller has from another run.
        `on_first_event` is called before the first event of the whole response.
        """
        splitter = EventSplitter()
        joined_after = context.last_event_id
        writer = context.writer
        async for chunk in response.chunks():
            for event in _split(splitter, chunk, flight):
                _check_join(joined_after, event, flight)
                if not writer.headers_sent:
                    on_first_event()
                    await writer.begin(response.status, response.headers)
                self._recorder.record_event(context)
                flight.writing_since = min(flight.writing_since, context.last_event_at)
                context.owes_event = False
                await writer.write(event.data)
                context.last_event_id = event.event_id or context.last_event_id
            context.unfinished_bytes = splitter.unfinished_bytes
        _check_end(context, flight, splitter, response)
        if not writer.headers_sent:
            await writer.begin(response.status, response.headers)
        remainder = splitter.take_remainder()
        if remainder:
            await writer.write(remainder)
        await writer.end()


def _split(splitter: EventSplitter, chunk: bytes, flight: Flight) -> list[StreamEvent]:
    """Return the events that a chunk completes; raise AttemptFailed for a bad one."""
    try:
        return splitter.feed(chunk)
    except ValueError as error:
        raise _make_failure(flight, str(error)) from error


def _check_join(joined_after: str, event: StreamEvent, flight: Flight) -> None:
    """Raise AttemptFailed if an event is not later than those of the run before.

    Ids increase; those that are no numbers tell nothing.
    """
    ids = (joined_after, event.event_id)
    if all(map(_NUMBER.fullmatch, ids)) and int(event.event_id) <= int(joined_after):
        reason = f"event {event.event_id} came after {joined_after}"
        raise _make_failure(flight, reason)


def _check_end(
    context: RequestContext,
    flight: Flight,
    splitter: EventSplitter,
    response: RunnerResponse,
) -> None:
    """Raise AttemptFailed if the bytes of a stream show that it was broken off.

    A stated end of the body is trusted where no event is due; the close of a
    connection may be that of a runner that crashed.
    """
    if splitter.is_inside_event:
        context.owes_event = True
        raise _make_failure(flight, "the stream ended inside an event")
    if response.framing is Framing.CONNECTION and context.owes_event:
        raise _make_failure(flight, "the connection closed before the next event")


def _make_failure(flight: Flight, reason: str) -> AttemptFailed:
    return AttemptFailed("read answer", flight.runner.name, reason, sent=True)
