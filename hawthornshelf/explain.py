"""Reconstruct the trace of one request from the log lines of several nodes."""

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
        "quarantine-begins",
        "quarantine-ends",
        "routes-in-force",
        "runner-crashed",
        "runners-changed",
        "started",
        "stop-begins",
        "storage-lost",
        "storage-regained",
    }
)
MAX_NODE_EVENTS = 6


class LogLine(NamedTuple):
    """Represent a parsed log line; `position` is its index in the log of its node."""

    node: str
    position: int
    event: str
    fields: dict[str, str]
    text: str


class RequestTrace(NamedTuple):
    """Represent the log lines that explain a request, and a one-line conclusion.

    `node_events` are the last changes of the node's state before the request,
    `steps` the lines that name the request.
    """

    request: str
    node_events: tuple[LogLine, ...]
    steps: tuple[LogLine, ...]
    conclusion: str


def parse_line(text: str) -> dict[str, str] | None:
    """Return the fields of a log line, or None if a node did not write it.

    Text that a log collector puts before the first field is ignored.
    """
    start = text.find("time=")
    if start < 0:
        return None
    try:
        tokens = shlex.split(text[start:])
    except ValueError:
        return None
    fields = dict(token.split("=", 1) for token in tokens if "=" in token)
    return fields if "event" in fields else None


def explain_request(request: str, lines: Iterable[str]) -> RequestTrace:
    """Return the trace of a request, or of all requests that share something.

    `request` is a request id, or the digest of a content or a resource, or a part of
    the prompt, from the line of a failed attempt.
    Lines are sorted by their position in their node's log, not by time: the clocks
    of nodes differ, and each request is handled by one node only.
    """
    node_events: dict[str, list[LogLine]] = {}
    positions: dict[str, int] = {}
    steps: list[LogLine] = []
    prior_events: tuple[LogLine, ...] = ()
    for text in lines:
        fields = parse_line(text)
        if fields is None:
            continue
        node = fields.get("node", "")
        positions[node] = positions.get(node, 0) + 1
        line = LogLine(node, positions[node], fields["event"], fields, text.strip())
        if _names(fields, request):
            prior_events = prior_events or tuple(
                node_events.get(node, ())[-MAX_NODE_EVENTS:]
            )
            steps.append(line)
        elif line.event in NODE_EVENTS:
            node_events.setdefault(node, []).append(line)
    steps.sort(key=lambda line: (line.node, line.position))
    return RequestTrace(request, prior_events, tuple(steps), _describe_outcome(steps))


def _names(fields: dict[str, str], request: str) -> bool:
    if request in map(fields.get, ("request", "content", "resource")):
        return True
    return request != "" and request in fields.get("parts", "").split(",")


def describe_trace(trace: RequestTrace) -> str:
    """Return a trace as text: the conclusion, the node events and the steps."""
    parts = [f"{trace.request}: {trace.conclusion}"]
    if trace.node_events:
        parts.append("node events before the request:")
        parts.extend(f"  {line.text}" for line in trace.node_events)
    if trace.steps:
        parts.append("steps of the request:")
        parts.extend(f"  {line.text}" for line in trace.steps)
    return "\n".join(parts)


def _describe_outcome(steps: list[LogLine]) -> str:
    if not steps:
        return (
            "no log line names this request: it never reached a node, "
            "or log lines are missing"
        )
    requests = {line.fields.get("request") for line in steps}
    if len(requests) > 1:
        return _describe_content(steps, len(requests))
    last = steps[-1]
    fields = last.fields
    reason = fields.get("reason") or "no reason logged"
    where = f"at {last.node}"
    if last.event == "request-refused":
        return f"refused {where} with {fields.get('status')}: {reason}"
    if last.event != "request-ended":
        return f"no outcome {where}: the process died, or the request is still open"
    runner = fields.get("runner") or "no runner"
    seconds = fields.get("seconds", "?")
    match fields.get("outcome"):
        case "complete":
            first, pause = fields.get("first", "?"), fields.get("pause", "0")
            return (
                f"completed with {fields.get('status')} {where} by {runner} "
                f"after {seconds} s, first chunk after {first} s, "
                f"longest pause {pause} s"
            )
        case "refused" if fields.get("late") == "True":
            prefiller = fields.get("reader") or "its engine"
            return (
                f"refused {where} after {seconds} s, not run: it could not meet its "
                f"target, and {prefiller} did not start it ({reason})"
            )
        case "refused":
            return f"refused {where} after {seconds} s, not run: {reason}"
        case "failed":
            return f"failed {where} at {runner} after {seconds} s: {reason}"
        case "cut":
            return f"cut {where} at {runner} after {seconds} s: {reason}"
        case "quarantined" | "held" as outcome:
            crashes = _list_crashes(steps)
            return (
                f"{outcome} {where} after {seconds} s: it was in flight when these "
                f"runners crashed: {crashes} ({reason})"
            )
        case "caller-gone":
            return (
                f"its caller disconnected {where} after {seconds} s, "
                f"at {runner}: {reason}"
            )
    return f"ended {where}: {last.text}"


def _list_crashes(steps: list[LogLine]) -> str:
    """Return the crashes that the line on the blocked request names."""
    named = [line for line in steps if line.event == "request-blocked"]
    return named[-1].fields.get("crashes", "?") if named else "?"


def _describe_content(steps: list[LogLine], requests: int) -> str:
    """Return what became of the requests that have the same content."""
    failed = [line.fields for line in steps if line.event == "attempt-failed"]
    sent = [fields for fields in failed if fields.get("sent") == "True"]
    runners = dict.fromkeys(
        f"{fields.get('runner')} (boot {fields.get('boot', '?')})" for fields in sent
    )
    nodes = {line.node for line in steps}
    blocked = sum(line.event == "request-blocked" for line in steps)
    refused = f"; {blocked} were not sent" if blocked else ""
    return (
        f"{requests} requests with this content, resource or part at "
        f"{len(nodes)} nodes: {len(sent)} attempts broke after they were sent, "
        f"at {', '.join(runners)}{refused}"
    )
