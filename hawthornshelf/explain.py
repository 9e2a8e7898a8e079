"""Tell the trace of one request from the log lines of many nodes."""

import shlex
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["LogLine", "RequestTrace", "describe_trace", "explain_request", "parse_line"]

NODE_EVENTS = frozenset(
    {
        "leadership",
        "list-lost",
        "list-regained",
        "reloaded",
        "routes-in-force",
        "runners-changed",
        "started",
        "stop-begins",
        "storage-lost",
        "storage-regained",
    }
)
KEPT_NODE_EVENTS = 6


class LogLine(NamedTuple):
    """Hold one log line; `place` is its position among the lines of its node."""

    node: str
    position: int
    event: str
    fields: dict[str, str]
    text: str


class RequestTrace(NamedTuple):
    """Hold what a node believed, what it did with a request, and the conclusion."""

    request: str
    node_events: tuple[LogLine, ...]
    steps: tuple[LogLine, ...]
    conclusion: str


def parse_line(text: str) -> dict[str, str] | None:
    """Return the fields of a line, or None if it is not one of ours.

    Whatever a collector puts before the first field is passed over.
    """
    start = text.find("time=")
    if start < 0:
        return None
    try:
        words = shlex.split(text[start:])
    except ValueError:
        return None
    fields = dict(word.split("=", 1) for word in words if "=" in word)
    return fields if "event" in fields else None


def explain_request(request: str, lines: Iterable[str]) -> RequestTrace:
    """Return the trace of a request.

    Lines are ordered by their place within their node's log: the clocks of nodes
    differ, and one node alone has each request.
    """
    node_events: dict[str, list[LogLine]] = {}
    places: dict[str, int] = {}
    steps: list[LogLine] = []
    known: tuple[LogLine, ...] = ()
    for text in lines:
        fields = parse_line(text)
        if fields is None:
            continue
        node = fields.get("node", "")
        places[node] = places.get(node, 0) + 1
        row = LogLine(node, places[node], fields["event"], fields, text.strip())
        if fields.get("request") == request:
            known = known or tuple(node_events.get(node, ())[-KEPT_NODE_EVENTS:])
            steps.append(row)
        elif row.event in NODE_EVENTS:
            node_events.setdefault(node, []).append(row)
    steps.sort(key=lambda row: (row.node, row.position))
    return RequestTrace(request, known, tuple(steps), _conclude(steps))


def describe_trace(trace: RequestTrace) -> str:
    """Return a trace as text: the conclusion, what was believed, what was done."""
    parts = [f"{trace.request}: {trace.conclusion}"]
    if trace.node_events:
        parts.append("what the node believed:")
        parts.extend(f"  {row.text}" for row in trace.node_events)
    if trace.steps:
        parts.append("what it did:")
        parts.extend(f"  {row.text}" for row in trace.steps)
    return "\n".join(parts)


def _conclude(steps: list[LogLine]) -> str:
    if not steps:
        return (
            "no line names this request: it never reached a node, or lines are missing"
        )
    last = steps[-1]
    fields = last.fields
    reason = fields.get("reason") or "no reason noted"
    where = f"at {last.node}"
    if last.event == "request-refused":
        return f"refused {where} with {fields.get('status')}: {reason}"
    if last.event != "request-ended":
        return f"no end {where}: the process died, or the request is still open"
    runner = fields.get("runner") or "no runner"
    seconds = fields.get("seconds", "?")
    match fields.get("outcome"):
        case "complete":
            first, pause = fields.get("first", "?"), fields.get("pause", "0")
            return (
                f"answered {fields.get('status')} {where} by {runner} "
                f"after {seconds} s, first piece after {first} s, "
                f"longest pause {pause} s"
            )
        case "refused" if fields.get("late") == "True":
            reader = fields.get("reader") or "its engine"
            return (
                f"refused {where} after {seconds} s, not run: it could not be on time, "
                f"and {reader} did not come to it ({reason})"
            )
        case "refused":
            return f"refused {where} after {seconds} s, not run: {reason}"
        case "failed":
            return f"failed {where} at {runner} after {seconds} s: {reason}"
        case "cut":
            return f"cut {where} at {runner} after {seconds} s: {reason}"
        case "caller-gone":
            return f"its caller left {where} after {seconds} s, at {runner}: {reason}"
    return f"ended {where}: {last.text}"
