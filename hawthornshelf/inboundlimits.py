"""Bound what callers and operators send, for every HTTP server."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

from aiohttp import HttpVersion11, web
from aiohttp.web_protocol import RequestHandler

from hawthornshelf.httplimits import ByteBudget

__all__ = [
    "BodiesCrowded",
    "BodyTooLarge",
    "BodyTooSlow",
    "BoundedRequestHandler",
    "MAX_REQUEST_BODY_BYTES",
    "MAX_REQUEST_BODY_SECONDS",
    "hold_body",
]

MAX_REQUEST_HEAD_BYTES = 32 * 1024
"""Request line and headers, twice what a route document allows by default."""

MAX_REQUEST_BODY_BYTES = 8 * 1024 * 1024

MAX_REQUEST_BODY_SECONDS = 60.0
"""Longest time from a request's head to the end of its body."""

MAX_HELD_BODY_BYTES = 32 * 1024 * 1024
"""All bodies of requests that a process holds at the same time."""

SMALL_BODY_BYTES = 64 * 1024
"""A body up to this size is taken whatever the size of others."""

PIECE_BYTES = 16 * 1024
"""Bytes that are parsed at a time while a head is due.

Small headers take far more memory once they are parsed.
"""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)

_held = ByteBudget(MAX_HELD_BODY_BYTES)


class BodyTooLarge(Exception):
    """Signal a request body beyond the limit."""


class BodyTooSlow(Exception):
    """Signal a request body that was not whole in time."""


class BodiesCrowded(Exception):
    """Signal a body for which there is no room beside those of other requests."""


class BoundedRequestHandler(RequestHandler):
    """Close a connection whose request has a head that is too large, or is no HTTP."""

    _head_bytes = 0
    _payload: Any = None
    _is_refused = False

    def data_received(self, data: bytes) -> None:
        """Parse bytes of requests, in pieces while a head is due.

        The library calls this without data to go on with what it kept while it paused.
        """
        if not data and not self._is_refused:
            self._receive(data)
        while data and not self._is_refused:
            size = PIECE_BYTES if self._is_head_due else len(data)
            piece, data = data[:size], data[size:]
            self._receive(piece)

    @property
    def _is_head_due(self) -> bool:
        return self._payload is None or self._payload.is_eof()

    def _receive(self, piece: bytes) -> None:
        count = self._request_count
        was_due = self._is_head_due
        super().data_received(piece)
        if self._request_count > count and self._messages:
            message, self._payload = self._messages[-1]
            self._head_bytes = 0
            # What follows bytes that are no HTTP can't be told apart any more.
            self._is_refused = not hasattr(message, "headers")
        elif was_due:
            self._head_bytes += len(piece)
        if self._head_bytes > MAX_REQUEST_HEAD_BYTES:
            self._refuse()

    def _refuse(self) -> None:
        """Refuse a head that is too large, if no response is being written."""
        self._is_refused = True
        transport = self.transport
        if transport is None:
            return
        if self._current_request is None:
            transport.write(HEAD_TOO_LARGE)
        self.force_close()


@contextlib.asynccontextmanager
async def hold_body(
    request: web.BaseRequest,
    limit: int = MAX_REQUEST_BODY_BYTES,
    allow_seconds: Callable[[], float] = lambda: MAX_REQUEST_BODY_SECONDS,
) -> AsyncIterator[bytes]:
    """Read the body of a request and hold it.

    Raise BodyTooLarge, BodyTooSlow or BodiesCrowded. `limit` is in bytes;
    `allow_seconds` is asked for the time limit if the body is not whole at once. A body
    that is large fails while all that are held exceed MAX_HELD_BODY_BYTES.
    """
    parts: list[bytes] = []
    size = 0
    if _awaits_invitation(request):
        await request.writer.write(CONTINUE)
    try:
        async with _limit_time(request, allow_seconds):
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


def _awaits_invitation(request: web.BaseRequest) -> bool:
    """Return whether a sender holds its body back until it is told to go on."""
    expectation = request.headers.get("Expect", "").lower()
    return expectation == "100-continue" and request.version >= HttpVersion11


@contextlib.asynccontextmanager
async def _limit_time(
    request: web.BaseRequest, allow_seconds: Callable[[], float]
) -> AsyncIterator[None]:
    """Raise BodyTooSlow if reading a body takes too long."""
    if request.content.is_eof():
        yield
        return
    seconds = min(MAX_REQUEST_BODY_SECONDS, allow_seconds())
    try:
        async with asyncio.timeout(seconds):
            yield
    except TimeoutError as error:
        raise BodyTooSlow from error
