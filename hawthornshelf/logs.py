"""Write eliot's messages as one key=value line for each event."""

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
_HIDDEN = frozenset({"task_uuid", "task_level", "timestamp", "message_type", "level"})
MAX_REASON_CHARACTERS = 200
_PLAIN = frozenset("-_.:/@+,%[]")


class BoundedStream:
    """Write lines to a pipe without ever waiting for its reader.

    Lines that the pipe does not take wait in memory up to a bound; beyond it, and
    beyond a rate, they are left out, and a line tells how many.
    """

    MAX_WAITING_LINES = 2000
    MAX_LINES_PER_SECOND = 500

    def __init__(self, file: int, clock: Callable[[], float]) -> None:
        os.set_blocking(file, False)
        self._file = file
        self._clock = clock
        self._waiting: deque[bytes] = deque()
        self._second = 0
        self._in_second = 0
        self._left_out = 0

    def write(self, line: str) -> None:
        """Write one line, keep it for later, or count it as left out."""
        if self._is_over_rate() or len(self._waiting) >= self.MAX_WAITING_LINES:
            self._left_out += 1
        else:
            if self._left_out:
                count, self._left_out = self._left_out, 0
                self._waiting.append(
                    b"level=info event=lines-left-out count=%d\n" % count
                )
            self._waiting.append(line.encode())
        self.flush()

    def flush(self) -> None:
        """Write what the pipe takes now."""
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._file, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good: nobody is left to be told.
                self._waiting.clear()
                return
            if written < len(data):
                self._waiting[0] = data[written:]
                return
            self._waiting.popleft()

    def _is_over_rate(self) -> bool:
        second = int(self._clock())
        if second != self._second:
            self._second, self._in_second = second, 0
        self._in_second += 1
        return self._in_second > self.MAX_LINES_PER_SECOND


class Stream(Protocol):
    """Take lines of text."""

    def write(self, line: str, /) -> Any:
        """Write one line."""

    def flush(self) -> None:
        """Pass on what was written."""


def start_logging(node: str, level: str, stream: Stream = sys.stderr) -> None:
    """Send all log messages of a level or above to a stream."""
    eliot.add_global_fields(node=node)
    eliot.add_destinations(_make_destination(LEVELS[level], stream))


class _LibraryLines(logging.Handler):
    """Turn what a library logs into one line of ours, without its traceback."""

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        text = str(error or record.getMessage()).partition("\n")[0]
        write_log("library", logger=record.name, reason=text[:MAX_REASON_CHARACTERS])


def redirect_library_logs(*names: str) -> None:
    """Log what libraries log as lines of ours, so that they are bounded too."""
    for name in names:
        logger = logging.getLogger(name)
        logger.handlers = [_LibraryLines(logging.WARNING)]
        logger.propagate = False


def write_log(event: str, /, level: Any = "info", **fields: Any) -> None:
    """Log one event with its fields."""
    eliot.log_message(message_type=event, level=level, **fields)


def format_line(message: Mapping[str, Any]) -> str:
    """Return one line: time, level, event, then the fields in order."""
    moment = datetime.fromtimestamp(message["timestamp"], UTC)
    pairs = [
        ("time", moment.isoformat(timespec="milliseconds")),
        ("level", message.get("level", "info")),
        ("event", message.get("message_type", "")),
    ]
    pairs.extend((key, v) for key, v in message.items() if key not in _HIDDEN)
    return " ".join(f"{key}={_quote(value)}" for key, value in pairs)


def _make_destination(
    least: int, stream: Stream
) -> Callable[[Mapping[str, Any]], None]:
    def write(message: Mapping[str, Any]) -> None:
        if LEVELS.get(message.get("level", "info"), 1) >= least:
            stream.write(format_line(message) + "\n")
            stream.flush()

    return write


def _quote(value: Any) -> str:
    text = value if isinstance(value, str) else str(value)
    if text and all(c.isalnum() or c in _PLAIN for c in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'
