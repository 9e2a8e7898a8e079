"""Call the system as callers do."""

import json
import time
from typing import NamedTuple

import aiohttp

__all__ = ["Reply", "book", "complete"]


class Reply(NamedTuple):
    """Hold what a caller got; times are in seconds."""

    status: int
    outcome: str
    text: str
    pieces: int
    first: float
    total: float
    retry_after: float = 0.0


async def complete(
    session: aiohttp.ClientSession,
    address: str,
    prompt: str,
    max_tokens: int = 20,
    model: str = "chat",
    work: str = "",
    stream: bool = True,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Ask for a completion and read it to its end."""
    began = time.monotonic()
    body = {"model": model, "prompt": prompt, "max_tokens": max_tokens}
    sent = {"x-work": work, **(headers or {})}
    async with session.post(
        f"http://{address}/v1/completions",
        json={**body, "stream": stream},
        headers=sent,
    ) as response:
        if response.status != 200 or not stream:
            return await _read_whole(response, began)
        return await _read_stream(response, began)


async def book(
    session: aiohttp.ClientSession, address: str, key: str, body: str = "visit"
) -> Reply:
    """Book a visit, which must not happen twice."""
    began = time.monotonic()
    async with session.post(
        f"http://{address}/v1/services/app/bookings",
        data=body,
        headers={"idempotency-key": key},
    ) as response:
        return await _read_whole(response, began)


async def _read_whole(response: aiohttp.ClientResponse, began: float) -> Reply:
    text = await response.text()
    took = time.monotonic() - began
    outcome = response.headers.get("x-outcome", "")
    retry_after = float(response.headers.get("retry-after", "0"))
    return Reply(response.status, outcome, text, 0, took, took, retry_after)


async def _read_stream(response: aiohttp.ClientResponse, began: float) -> Reply:
    first = 0.0
    pieces: list[str] = []
    outcome = "cut"
    failed = False
    async for line in response.content:
        if line.startswith(b"event: error"):
            failed = True
        if not line.startswith(b"data:"):
            continue
        first = first or time.monotonic() - began
        data = line[5:].strip()
        if failed:
            outcome = json.loads(data)["outcome"]
        elif data == b"[DONE]":
            outcome = "complete"
        else:
            pieces.append(json.loads(data)["choices"][0]["text"])
    total = time.monotonic() - began
    return Reply(200, outcome, "".join(pieces), len(pieces), first, total)
