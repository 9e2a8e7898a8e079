"""Bound responses and tell whole ones from broken ones, for every HTTP client."""

import asyncio
from collections.abc import Mapping
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from hawthornshelf.responseheads import MalformedHead, ResponseHeads

__all__ = [
    "BoundedConnection",
    "ByteBudget",
    "MAX_BODY_BYTES",
    "MAX_BUFFERED_BYTES",
    "MAX_EVENT_BYTES",
    "MAX_HEAD_BYTES",
    "MAX_PAGE_BYTES",
    "MAX_REPORT_BYTES",
    "MAX_RESPONSE_BYTES",
    "ResponseTooLarge",
    "ends_with_connection",
    "limit_connections",
    "read_body",
    "read_held_body",
    "release_body",
]

MAX_HEAD_BYTES = 64 * 1024
"""Status line and headers, those of interim responses included."""

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
"""All bytes of a response, also chunk extensions, trailers and streams."""

MAX_BODY_BYTES = 8 * 1024 * 1024
"""A body that is read whole."""

MAX_REPORT_BYTES = 256 * 1024
"""The body of a load report, a probe or an engine's answer to a call."""

MAX_PAGE_BYTES = 4 * 1024 * 1024
"""One page of a list of VMs or runners."""

MAX_EVENT_BYTES = 64 * 1024
"""One event of a stream, which is kept until it is whole."""

MAX_BUFFERED_BYTES = 32 * 1024 * 1024
"""All bodies that a process reads whole, or passes on, at the same time."""

SMALL_BODY_BYTES = 64 * 1024
"""A body up to this size does not fail for the size of others."""


class ResponseTooLarge(aiohttp.ClientPayloadError):
    """Signal a response beyond a limit; its connection is closed."""


class BoundedConnection(ResponseHandler):
    """Close a connection whose response exceeds a limit or has a malformed head.

    `end` tells how the connection ended, once it has.
    """

    end = ""
    _head_bytes = 0
    _response_bytes = 0
    _body: aiohttp.StreamReader | None = None

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self._heads = ResponseHeads()

    def set_response_params(self, **params: Any) -> None:
        """Begin to count for the next response."""
        self._head_bytes = self._response_bytes = 0
        self._heads = ResponseHeads()
        super().set_response_params(**params)

    def feed_data(self, message: Any, size: int = 0) -> None:
        """Note a body that only the end of the connection marks as whole."""
        head, body = message
        self._body = body if ends_with_connection(head.headers) else None
        super().feed_data(message, size)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a response, unless it is malformed or has become too large."""
        self._response_bytes += len(data)
        if not self._heads.is_whole:
            self._head_bytes += len(data)
        try:
            self._heads.feed(data)
        except MalformedHead as error:
            self._abort(error)
            return
        is_sound, body = self._exception is None, self._payload
        super().data_received(data)
        if is_sound and self._exception is not None and body is not None:
            _fail_body(body, repr(self._exception), self._exception)
        if not self._heads.is_whole and self._head_bytes > MAX_HEAD_BYTES:
            reason = f"no final response within {MAX_HEAD_BYTES} bytes"
            self._abort(ResponseTooLarge(reason))
        elif self._response_bytes > MAX_RESPONSE_BYTES:
            reason = f"a response of more than {MAX_RESPONSE_BYTES} bytes"
            self._abort(ResponseTooLarge(reason))

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record how the connection ended, and fail a body that a reset cut off.

        The library takes any end of the connection for the end of such a body. The body
        itself has to fail: once it has ended, its response names no connection.
        """
        self.end = "closed" if exc is None else "reset"
        if exc is not None and self._body is not None:
            _fail_body(self._body, "the connection was reset", exc)
        super().connection_lost(exc)

    def _abort(self, error: aiohttp.ClientPayloadError) -> None:
        if self._payload is not None:
            self._payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


def _fail_body(body: aiohttp.StreamReader, reason: str, cause: BaseException) -> None:
    """Fail a body that is not whole.

    The library leaves whoever reads one that goes on with bytes that are no HTTP
    waiting, and takes one that a reset cut off for whole.
    """
    if not body.is_eof() and body.exception() is None:
        body.set_exception(aiohttp.ClientPayloadError(reason), cause)


def limit_connections(
    connector: aiohttp.TCPConnector,
    connection: type[BoundedConnection] = BoundedConnection,
) -> aiohttp.TCPConnector:
    """Return a connector whose connections are bounded; call it in a running loop."""
    loop = asyncio.get_running_loop()
    connector._factory = lambda: connection(loop=loop)  # type: ignore[assignment]
    return connector


def ends_with_connection(headers: Mapping[str, str]) -> bool:
    """Return whether a body with these headers has neither a length nor chunks."""
    return "Content-Length" not in headers and "Transfer-Encoding" not in headers


class ByteBudget:
    """Count bytes that a process holds, up to a limit."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._count = 0

    @property
    def is_exceeded(self) -> bool:
        """Return whether more is held than the limit."""
        return self._count > self._limit

    def take(self, size: int) -> None:
        """Count bytes that are held from now on."""
        self._count += size

    def give_back(self, size: int) -> None:
        """Count bytes that are held no more."""
        self._count -= size


_buffered = ByteBudget(MAX_BUFFERED_BYTES)


async def read_body(
    response: aiohttp.ClientResponse, limit: int = MAX_BODY_BYTES
) -> bytes:
    """Return a whole body as read_held_body does, and count it no longer."""
    body = await read_held_body(response, limit)
    release_body(body)
    return body


def release_body(body: bytes) -> None:
    """Count a body no longer that is held."""
    _buffered.give_back(len(body))


async def read_held_body(
    response: aiohttp.ClientResponse, limit: int = MAX_BODY_BYTES
) -> bytes:
    """Return a whole body, which counts as held until it is released.

    Close the connection and raise ResponseTooLarge if it is longer than `limit` bytes,
    or large while all that are held exceed MAX_BUFFERED_BYTES. Raise ClientPayloadError
    for a body that is not whole.
    """
    parts: list[bytes] = []
    size = 0
    is_whole = False
    try:
        async for part in response.content.iter_any():
            parts.append(part)
            size += len(part)
            _buffered.take(len(part))
            if size > limit or (_buffered.is_exceeded and size > SMALL_BODY_BYTES):
                response.close()
                # The traceback of the error would keep the parts alive.
                parts.clear()
                raise ResponseTooLarge(f"a body of {size} bytes so far")
        is_whole = True
    finally:
        if not is_whole:
            _buffered.give_back(size)
    return b"".join(parts)
