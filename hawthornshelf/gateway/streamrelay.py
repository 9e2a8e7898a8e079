"""Relay a runner's stream to the caller by whole events, and tell if it broke off."""

from collections.abc import Callable

from hawthornshelf.gateway.context import RequestContext
from hawthornshelf.gateway.eventstream import EventSplitter, StreamEvent
from hawthornshelf.gateway.exchange import AttemptFailed, Framing, RunnerResponse
from hawthornshelf.gateway.flight import Flight
from hawthornshelf.gateway.recorder import Recorder
from hawthornshelf.gateway.routes import RetryPolicy

__all__ = ["StreamRelay"]

MAX_NUMBER_DIGITS = 100
"""Longest event id that is compared as a number; parsing a longer one takes time."""


class StreamRelay:
    """Relay whole events only, so that another runner can resume a broken stream.

    Event ids are numbers that increase. An event whose number is not above that of the
    last one that the caller has is not relayed, whatever let it come. What the caller
    says it has counts where streams may be resumed; elsewhere runs begin anew.
    """

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

        `on_first_event` is called before the first event of the whole response.
        """
        splitter = EventSplitter()
        writer = context.writer
        if context.route.resumable:
            resumed_at = _parse_number(context.inbound.resume_after)
            context.last_number = max(context.last_number, resumed_at)
        async for chunk in response.chunks():
            for event in _split(splitter, chunk, flight):
                _check_number(context, flight, event)
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


def _check_number(context: RequestContext, flight: Flight, event: StreamEvent) -> None:
    """Raise AttemptFailed for an event that the caller has, or that comes too late.

    The copy of such a run is not used, as the events before may be those of another.
    """
    number = _parse_number(event.event_id)
    if number < 0 or context.route.retry_policy is not RetryPolicy.STREAM:
        return
    if number <= context.last_number:
        context.backup = None
        raise _make_failure(flight, f"event {number} after {context.last_number}")
    context.last_number = number


def _parse_number(event_id: str) -> int:
    """Return the number that an event id is, -1 for any other id."""
    is_number = event_id.isascii() and event_id.isdecimal()
    return int(event_id) if is_number and len(event_id) <= MAX_NUMBER_DIGITS else -1


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
