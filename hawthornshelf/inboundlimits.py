"""Bound what callers and operators send, for every HTTP server."""

import contextlib
from collections.abc import AsyncIterator

from aiohttp import web

from hawthornshelf.httplimits import ByteBudget

__all__ = [
    "BodiesCrowded",
    "BodyTooLarge",
    "MAX_REQUEST_BODY_BYTES",
    "hold_body",
]

MAX_REQUEST_BODY_BYTES = 8 * 1024 * 1024

MAX_HELD_BODY_BYTES = 32 * 1024 * 1024
"""All bodies of requests that a process holds at the same time."""

SMALL_BODY_BYTES = 64 * 1024
"""A body up to this size is taken whatever the size of others."""

_held = ByteBudget(MAX_HELD_BODY_BYTES)


class BodyTooLarge(Exception):
    """Signal a request body beyond the limit."""


class BodiesCrowded(Exception):
    """Signal a body for which there is no room beside those of other requests."""


@contextlib.asynccontextmanager
async def hold_body(
    request: web.BaseRequest, limit: int = MAX_REQUEST_BODY_BYTES
) -> AsyncIterator[bytes]:
    """Read the body of a request and hold it; raise BodyTooLarge or BodiesCrowded.

    `limit` is in bytes. A body that is large fails while all that are held exceed
    MAX_HELD_BODY_BYTES.
    """
    parts: list[bytes] = []
    size = 0
    try:
        async for part in request.content.iter_any():
            parts.append(part)
            size += len(part)
            _held.take(len(part))
            if size > limit:
                raise BodyTooLarge
            if size > SMALL_BODY_BYTES and _held.is_exceeded:
                raise BodiesCrowded
        body = b"".join(parts)
        parts.clear()
        yield body
    finally:
        parts.clear()
        _held.give_back(size)
