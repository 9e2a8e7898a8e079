"""Split a stream of server-sent events into whole events."""

import re
from typing import NamedTuple

from hawthornshelf.httplimits import MAX_EVENT_BYTES

__all__ = ["EventSplitter", "StreamEvent"]

_EVENT_END = re.compile(
    rb"\r\n(?>\r\n|\n|\r(?=[^\n]))|(?>\r(?!\n)|(?<!\r)\n)(?>\r\n|\r|\n)"
)
"""Two line ends, each of any form; no CRLF is split in two.

After a CRLF a lone CR counts once the next byte shows that no LF follows.
"""

_EVENT_END_BYTES = 4
_LINE_END = re.compile(rb"\r\n|\r|\n")


class StreamEvent(NamedTuple):
    """Store the bytes of one whole event and its id, which may be empty."""

    data: bytes
    event_id: str


class EventSplitter:
    """Split a byte stream into events, each of which ends with an empty line.

    Lines end with LF, CR or CRLF. Where lines end with CR an event is whole with the CR
    of its empty line; an LF that follows is the first byte of the next one.
    """

    def __init__(self) -> None:
        self._buffer = b""
        self._searched = 0

    @property
    def unfinished_bytes(self) -> int:
        """Return the number of bytes after the last whole event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events completed by `data`.

        Raises ValueError if an incomplete event exceeds MAX_EVENT_BYTES.
        """
        self._buffer += data
        events = []
        while found := _EVENT_END.search(self._buffer, self._searched):
            end = found.end()
            raw, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(StreamEvent(raw, _find_id(raw)))
            self._searched = 0
        self._searched = max(0, len(self._buffer) - _EVENT_END_BYTES)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("an event is too long")
        return events

    @property
    def is_inside_event(self) -> bool:
        """Return whether the bytes so far end inside an event, or inside a line.

        Whole comment lines and empty lines belong to no event.
        """
        *lines, unfinished = _LINE_END.split(self._buffer)
        return unfinished != b"" or any(
            line and not line.startswith(b":") for line in lines
        )

    def take_remainder(self) -> bytes:
        """Return and clear the bytes after the last whole event."""
        remainder, self._buffer = self._buffer, b""
        self._searched = 0
        return remainder


def _find_id(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
