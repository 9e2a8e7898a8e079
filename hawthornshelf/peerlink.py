"""Call another node, and connect to it anew where a connection has gone silent."""

import asyncio
from collections.abc import Callable

from hawthornshelf.errors import CallFailed
from hawthornshelf.logs import write_log
from hawthornshelf.peertransport import Connection

__all__ = ["PeerLink"]

CALL_TIMEOUT_SECONDS = 1.0
"""Time limit of a call, besides the time for its size."""

RESPONSE_SECONDS = 0.3
"""Time after which a second connection is tried; a lost packet alone costs 0.2 s."""

MIN_BYTES_PER_SECOND = 500_000
"""Slowest link that a large batch must get over, a little below one of 5 Mbit/s."""

SLOW_SECONDS = 5.0
"""Time for which no second connection is tried to a node that was found to be slow."""


class PeerLink:
    """Carry calls to one address, over one connection at a time.

    An open connection may go silent without an end. A call that gets no response for
    RESPONSE_SECONDS is made once more over a new connection, and the connection that
    responds first is kept. A call may thus arrive twice.
    """

    def __init__(self, address: str, connect: Callable[[str], Connection]) -> None:
        self._address = address
        self._connect = connect
        self._connection = connect(address)
        self._has_responded = False
        self._slow_until = float("-inf")

    async def call(self, data: bytes) -> bytes:
        """Send data and return the response; raise CallFailed."""
        extra = len(data) / MIN_BYTES_PER_SECOND
        first = self._start(self._connection, data)
        try:
            if self._may_be_silent():
                await asyncio.wait((first,), timeout=RESPONSE_SECONDS + extra)
                if not first.done():
                    return await self._call_again(first, data)
            response = await first
        except CallFailed as error:
            if error.is_timeout:
                await self._replace(self._connect(self._address))
            raise
        finally:
            first.cancel()
        self._has_responded = True
        return response

    async def close(self) -> None:
        """Close the connection."""
        await self._connection.close()

    def _start(self, connection: Connection, data: bytes) -> "asyncio.Task[bytes]":
        seconds = CALL_TIMEOUT_SECONDS + len(data) / MIN_BYTES_PER_SECOND
        return asyncio.ensure_future(connection.call(data, seconds))

    def _may_be_silent(self) -> bool:
        """Return whether a connection that has worked is to be doubted."""
        now = asyncio.get_running_loop().time()
        return self._has_responded and now >= self._slow_until

    async def _call_again(self, first: "asyncio.Task[bytes]", data: bytes) -> bytes:
        """Call over a new connection beside the first; return what comes first."""
        connection = self._connect(self._address)
        second = self._start(connection, data)
        try:
            await _wait_for_success(first, second)
            if not _has_succeeded(second):
                response = await first
                self._slow_until = asyncio.get_running_loop().time() + SLOW_SECONDS
                return response
            await self._replace(connection)
        finally:
            second.cancel()
            if connection is not self._connection:
                await connection.close()
        self._has_responded = True
        write_log("peer-reconnected", peer=self._address, bytes=len(data))
        return second.result()

    async def _replace(self, connection: Connection) -> None:
        old, self._connection = self._connection, connection
        self._has_responded = False
        await old.close()


async def _wait_for_success(*calls: "asyncio.Task[bytes]") -> None:
    """Wait until one call has succeeded or all have failed."""
    pending = set(calls)
    while pending and not any(_has_succeeded(call) for call in calls):
        _, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)


def _has_succeeded(call: "asyncio.Task[bytes]") -> bool:
    return call.done() and call.exception() is None
