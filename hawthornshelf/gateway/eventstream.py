"""Split a stream of server-sent events into whole events."""

from typing import NamedTuple

__all__ = ["EventSplitter", "StreamEvent"]

MAX_EVENT_BYTES = 1024 * 1024


class StreamEvent(NamedTuple):
    """Hold the bytes of one whole event, and its id or nothing."""

    data: bytes
    event_id: str


class EventSplitter:
    """Gather bytes until an empty line ends an event."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are whole now; raise ValueError if one is too long."""
        self._rest += data
        events = []
        while (end := _find_end(self._rest)) > 0:
            raw, self._rest = self._rest[:end], self._rest[end:]
            events.append(StreamEvent(raw, _find_id(raw)))
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError("an event is too long")
        return events

    def take_remainder(self) -> bytes:
        """Return the bytes after the last whole event."""
        rest, self._rest = self._rest, b""
        return rest


def _find_end(data: bytes) -> int:
    """Return where the first event ends, or 0 if none does."""
    ends = []
    for mark in (b"\n\n", b"\r\n\r\n"):
        at = data.find(mark)
        if at >= 0:
            ends.append(at + len(mark))
    return min(ends, default=0)


def _find_id(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
