"""Write log events through eliot, each as one line of key=value pairs."""

import logging
import os
import sys
from collections import deque
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from typing import Any, Protocol

import eliot

__all__ = [
    "LEVELS",
    "BoundedStream",
    "format_line",
    "redirect_library_logs",
    "start_logging",
    "write_log",
]

LEVELS = {"debug": 0, "info": 1, "error": 2}
_RESERVED_FIELDS = frozenset(
    {"task_uuid", "task_level", "timestamp", "message_type", "level"}
)
MAX_REASON_CHARACTERS = 200
_UNQUOTED_CHARACTERS = frozenset("-_.:/@+,%[]")


class BoundedStream:
    """Write lines to a pipe without blocking on its reader.

    Lines that don't fit in the pipe are buffered up to a limit. Lines above that
    limit or above the rate limit are dropped, and a later line gives their number.
    """

    MAX_BUFFERED_LINES = 2000
    MAX_LINES_PER_SECOND = 500

    def __init__(self, file: int, clock: Callable[[], float]) -> None:
        os.set_blocking(file, False)
        self._file = file
        self._clock = clock
        self._buffer: deque[bytes] = deque()
        self._current_second = 0
        self._lines_in_second = 0
        self._dropped = 0

    def write(self, line: str) -> None:
        """Write or buffer a line, or drop and count it above a limit."""
        if self._exceeds_rate_limit() or len(self._buffer) >= self.MAX_BUFFERED_LINES:
            self._dropped += 1
        else:
            if self._dropped:
                count, self._dropped = self._dropped, 0
                self._buffer.append(
                    b"level=info event=lines-left-out count=%d\n" % count
                )
            self._buffer.append(line.encode())
        self.flush()

    def flush(self) -> None:
        """Write as many buffered lines as the pipe accepts."""
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._file, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so the buffered lines are useless.
                self._buffer.clear()
                return
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()

    def _exceeds_rate_limit(self) -> bool:
        current_second = int(self._clock())
        if current_second != self._current_second:
            self._current_second, self._lines_in_second = current_second, 0
        self._lines_in_second += 1
        return self._lines_in_second > self.MAX_LINES_PER_SECOND


class Stream(Protocol):
    """Define the output stream that log lines are written to."""

    def write(self, line: str, /) -> Any:
        """Write one line."""

    def flush(self) -> None:
        """Flush the written lines."""


def start_logging(node: str, level: str, stream: Stream = sys.stderr) -> None:
    """Write the log events at or above a level to a stream."""
    eliot.add_global_fields(node=node)
    eliot.add_destinations(_make_destination(LEVELS[level], stream))


class _LibraryHandler(logging.Handler):
    """Write each record of a library as one `library` event, without its traceback."""

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        text = str(error or record.getMessage()).partition("\n")[0]
        write_log("library", logger=record.name, reason=text[:MAX_REASON_CHARACTERS])


def redirect_library_logs(*names: str) -> None:
    """Route the logs of libraries through `write_log`, so its limits apply to them."""
    for name in names:
        logger = logging.getLogger(name)
        logger.handlers = [_LibraryHandler(logging.WARNING)]
        logger.propagate = False


def write_log(event: str, /, level: Any = "info", **fields: Any) -> None:
    """Log one event with its fields."""
    eliot.log_message(message_type=event, level=level, **fields)


def format_line(message: Mapping[str, Any]) -> str:
    """Return an event as a line: time, level and event, then the fields in order."""
    timestamp = datetime.fromtimestamp(message["timestamp"], UTC)
    pairs = [
        ("time", timestamp.isoformat(timespec="milliseconds")),
        ("level", message.get("level", "info")),
        ("event", message.get("message_type", "")),
    ]
    pairs.extend((key, v) for key, v in message.items() if key not in _RESERVED_FIELDS)
    return " ".join(f"{key}={_quote(value)}" for key, value in pairs)


def _make_destination(
    minimum_level: int, stream: Stream
) -> Callable[[Mapping[str, Any]], None]:
    def write(message: Mapping[str, Any]) -> None:
        if LEVELS.get(message.get("level", "info"), 1) >= minimum_level:
            stream.write(format_line(message) + "\n")
            stream.flush()

    return write


def _quote(value: Any) -> str:
    text = value if isinstance(value, str) else str(value)
    if text and all(c.isalnum() or c in _UNQUOTED_CHARACTERS for c in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'
