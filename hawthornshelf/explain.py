"""Tell the story of one request from the log lines of many nodes."""

import shlex
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["LogRow", "Story", "describe_story", "explain_request", "parse_line"]

BELIEFS = frozenset(
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
KEPT_BELIEFS = 6


class LogRow(NamedTuple):
    """Hold one log line; `place` is its position among the lines of its node."""

    node: str
    place: int
    event: str
    fields: dict[str, str]
    text: str


class Story(NamedTuple):
    """Hold what a node believed, what it did with a request, and the verdict."""

    request: str
    beliefs: tuple[LogRow, ...]
    steps: tuple[LogRow, ...]
    verdict: str


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


def explain_request(request: str, lines: Iterable[str]) -> Story:
    """Return the story of a request.

    Lines are ordered by their place within their node's log: the clocks of nodes
    differ, and one node alone has each request.
    """
    beliefs: dict[str, list[LogRow]] = {}
    places: dict[str, int] = {}
    steps: list[LogRow] = []
    known: tuple[LogRow, ...] = ()
    for text in lines:
        fields = parse_line(text)
        if fields is None:
            continue
        node = fields.get("node", "")
        places[node] = places.get(node, 0) + 1
        row = LogRow(node, places[node], fields["event"], fields, text.strip())
        if fields.get("request") == request:
            known = known or tuple(beliefs.get(node, ())[-KEPT_BELIEFS:])
            steps.append(row)
        elif row.event in BELIEFS:
            beliefs.setdefault(node, []).append(row)
    steps.sort(key=lambda row: (row.node, row.place))
    return Story(request, known, tuple(steps), _judge(steps))


def describe_story(story: Story) -> str:
    """Return a story as text: the verdict, what was believed, what was done."""
    parts = [f"{story.request}: {story.verdict}"]
    if story.beliefs:
        parts.append("what the node believed:")
        parts.extend(f"  {row.text}" for row in story.beliefs)
    if story.steps:
        parts.append("what it did:")
        parts.extend(f"  {row.text}" for row in story.steps)
    return "\n".join(parts)


def _judge(steps: list[LogRow]) -> str:
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
