"""Write eliot's messages as one key=value line for each event."""

import sys
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from typing import Any, TextIO

import eliot

__all__ = ["LEVELS", "format_line", "start_logging", "write_log"]

LEVELS = {"debug": 0, "info": 1, "error": 2}
_HIDDEN = frozenset({"task_uuid", "task_level", "timestamp", "message_type", "level"})
_PLAIN = frozenset("-_.:/@+,%[]")


def start_logging(node: str, level: str, stream: TextIO = sys.stderr) -> None:
    """Send all log messages of a level or above to a stream."""
    eliot.add_global_fields(node=node)
    eliot.add_destinations(_make_destination(LEVELS[level], stream))


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
    least: int, stream: TextIO
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
