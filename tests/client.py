"""Send completion and booking requests to an entry node, as a caller does."""

import json
import time
from typing import NamedTuple

import aiohttp

__all__ = ["Reply", "book", "complete"]


class Reply(NamedTuple):
    """Store the response to a request; times are in seconds."""

    status: int
    outcome: str
    text: str
    chunks: int
    ttft: float
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
    """Request a completion and read the whole response."""
    started_at = time.monotonic()
    body = {"model": model, "prompt": prompt, "max_tokens": max_tokens}
    request_headers = {"x-work": work, **(headers or {})}
    async with session.post(
        f"http://{address}/v1/completions",
        json={**body, "stream": stream},
        headers=request_headers,
    ) as response:
        if response.status != 200 or not stream:
            return await _read_whole(response, started_at)
        return await _read_stream(response, started_at)


async def book(
    session: aiohttp.ClientSession, address: str, key: str, body: str = "visit"
) -> Reply:
    """Book a visit, which must run at most once per key."""
    started_at = time.monotonic()
    async with session.post(
        f"http://{address}/v1/services/app/bookings",
        data=body,
        headers={"idempotency-key": key},
    ) as response:
        return await _read_whole(response, started_at)


async def _read_whole(response: aiohttp.ClientResponse, started_at: float) -> Reply:
    text = await response.text()
    elapsed = time.monotonic() - started_at
    outcome = response.headers.get("x-outcome", "")
    retry_after = float(response.headers.get("retry-after", "0"))
    return Reply(response.status, outcome, text, 0, elapsed, elapsed, retry_after)


async def _read_stream(response: aiohttp.ClientResponse, started_at: float) -> Reply:
    ttft = 0.0
    chunks: list[str] = []
    outcome = "cut"
    failed = False
    async for line in response.content:
        if line.startswith(b"event: error"):
            failed = True
        if not line.startswith(b"data:"):
            continue
        ttft = ttft or time.monotonic() - started_at
        data = line[5:].strip()
        if failed:
            outcome = json.loads(data)["outcome"]
        elif data == b"[DONE]":
            outcome = "complete"
        else:
            chunks.append(json.loads(data)["choices"][0]["text"])
    total = time.monotonic() - started_at
    return Reply(200, outcome, "".join(chunks), len(chunks), ttft, total)
