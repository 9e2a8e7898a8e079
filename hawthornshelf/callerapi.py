"""Parse what callers send and build what they get."""

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import NamedTuple

import msgspec

from hawthornshelf.effects import Refuse
from hawthornshelf.errors import RequestRefused
from hawthornshelf.events import RequestArrived
from hawthornshelf.upstreamclient import OutboundRequest

__all__ = [
    "CallerRequest",
    "build_completion",
    "build_frame",
    "build_problem",
    "parse_completion",
    "parse_service_call",
    "split_blocks",
]

MAX_PROMPT_CHARACTERS = 1_000_000
MAX_OUTPUT_TOKENS = 32_768
MAX_HEADER_CHARACTERS = 256
BLOCK_CHARACTERS = 64
MAX_BLOCKS = 2000
CHARACTERS_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 256
DEFAULT_URGENCY = 3
_FORWARDED = ("content-type", "accept", "idempotency-key")


class CallerRequest(NamedTuple):
    """Hold a request as the core sees it and as an upstream gets it."""

    event: RequestArrived
    outbound: OutboundRequest
    stream: bool
    model: str


class _Completion(msgspec.Struct):
    model: str
    prompt: str
    max_tokens: int = DEFAULT_OUTPUT_TOKENS
    stream: bool = False


def parse_completion(
    request: str, headers: Mapping[str, str], body: bytes
) -> CallerRequest:
    """Return a request for a completion; raise RequestRefused."""
    try:
        completion = msgspec.json.decode(body, type=_Completion)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _refused(str(error)) from error
    if len(completion.prompt) > MAX_PROMPT_CHARACTERS:
        raise _refused(f"prompt is over {MAX_PROMPT_CHARACTERS} characters", 413)
    if not 1 <= completion.max_tokens <= MAX_OUTPUT_TOKENS:
        raise _refused(f"max_tokens must be 1 to {MAX_OUTPUT_TOKENS}")
    fields = {
        "model": completion.model,
        "prompt": completion.prompt,
        "max_tokens": completion.max_tokens,
    }
    digest = _digest(msgspec.json.encode(fields))
    basis = _parse_headers(request, headers, completion.model, digest)
    arrived = replace(
        basis,
        is_engine=True,
        method="POST",
        path="/v1/completions",
        prompt_blocks=split_blocks(completion.prompt),
        prompt_tokens=len(completion.prompt) // CHARACTERS_PER_TOKEN + 1,
        max_tokens=completion.max_tokens,
    )
    outbound = OutboundRequest(True, "POST", "/v1/completions", {}, b"", fields)
    return CallerRequest(arrived, outbound, completion.stream, completion.model)


def parse_service_call(
    request: str,
    service: str,
    method: str,
    path: str,
    query: str,
    headers: Mapping[str, str],
    body: bytes,
) -> CallerRequest:
    """Return a request for a plain service; raise RequestRefused."""
    target = f"{path}?{query}" if query else path
    digest = _digest(f"{method} {service} {target}\n".encode() + body)
    basis = _parse_headers(request, headers, service, digest)
    arrived = replace(basis, method=method, path=path)
    kept = {name: headers[name] for name in _FORWARDED if name in headers}
    kept["x-request-id"] = request
    outbound = OutboundRequest(False, method, target, kept, body)
    return CallerRequest(arrived, outbound, stream=False, model="")


def build_frame(request: str, model: str, text: str) -> bytes:
    """Return one event of a caller's stream."""
    body = {
        "id": request,
        "object": "text_completion",
        "model": model,
        "choices": [{"index": 0, "text": text, "finish_reason": None}],
    }
    return b"data: " + msgspec.json.encode(body) + b"\n\n"


def build_completion(request: str, model: str, pieces: Sequence[str]) -> bytes:
    """Return a whole completion."""
    body = {
        "id": request,
        "object": "text_completion",
        "model": model,
        "choices": [{"index": 0, "text": "".join(pieces), "finish_reason": "stop"}],
        "usage": {"completion_tokens": len(pieces)},
    }
    return msgspec.json.encode(body)


def build_problem(refusal: Refuse, addresses: Sequence[str]) -> bytes:
    """Return the problem body (RFC 9457) of a refusal."""
    body = {
        "type": "about:blank",
        "title": refusal.outcome.value,
        "status": refusal.status,
        "detail": refusal.reason,
        "outcome": refusal.outcome.value,
        "addresses": list(addresses),
    }
    return msgspec.json.encode(body)


def _parse_headers(
    request: str, headers: Mapping[str, str], target: str, digest: str
) -> RequestArrived:
    for name in ("x-workspace", "x-work", "idempotency-key"):
        if len(headers.get(name, "")) > MAX_HEADER_CHARACTERS:
            raise _refused(f"{name} is over {MAX_HEADER_CHARACTERS} characters", 431)
    return RequestArrived(
        request=request,
        workspace=headers.get("x-workspace", "default"),
        target=target,
        is_engine=False,
        method="",
        path="",
        work=headers.get("x-work", ""),
        key=headers.get("idempotency-key", ""),
        digest=digest,
        deadline=_parse_deadline(headers.get("x-deadline-seconds", "")),
        urgency=_parse_urgency(headers.get("priority", "")),
    )


def _parse_deadline(text: str) -> float:
    if not text:
        return 0.0
    try:
        seconds = float(text)
    except ValueError as error:
        raise _refused("x-deadline-seconds must be a number") from error
    if not 0 < seconds <= 600:
        raise _refused("x-deadline-seconds must be over 0 and at most 600")
    return seconds


def _parse_urgency(text: str) -> int:
    """Return the urgency of a Priority header (RFC 9218); others are ignored."""
    for item in text.split(","):
        name, _, value = item.strip().partition("=")
        if name == "u" and value.isdigit() and int(value) <= 7:
            return int(value)
    return DEFAULT_URGENCY


def split_blocks(prompt: str) -> tuple[str, ...]:
    """Return a digest for each whole block, which covers all before it."""
    running = hashlib.blake2b(digest_size=8)
    blocks = []
    whole = len(prompt) // BLOCK_CHARACTERS
    for number in range(min(whole, MAX_BLOCKS)):
        start = number * BLOCK_CHARACTERS
        running.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        blocks.append(running.hexdigest())
    return tuple(blocks)


def _digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def _refused(reason: str, status: int = 400) -> RequestRefused:
    return RequestRefused("parse request", "caller", reason, status)
