"""Carry the calls between nodes over connections, by gRPC."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any

import grpc

from hawthornshelf.errors import CallFailed, MalformedMessage
from hawthornshelf.wire import MAX_MESSAGE_BYTES

__all__ = ["METHOD", "Connection", "GrpcTransport", "Handler", "Transport"]

METHOD = "/hawthornshelf.Peer/Deliver"
SERVER_IDLE_MILLISECONDS = 120_000
"""Time after which a server closes an idle connection, whose end may never arrive.

It is longer than that of clients, which close theirs first.
"""

STOP_SECONDS = 0.2

_OPTIONS = (
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
)

_CLIENT_OPTIONS = (
    *_OPTIONS,
    # A new channel would else get the connection of the one that it replaces.
    ("grpc.use_local_subchannel_pool", 1),
)
_SERVER_OPTIONS = (
    *_OPTIONS,
    ("grpc.max_connection_idle_ms", SERVER_IDLE_MILLISECONDS),
)

Handler = Callable[[bytes, str], Awaitable[bytes]]
"""Process the data of a call from a peer, and return the data of the response."""


class Connection(ABC):
    """Carry calls to one address; it may go silent without an end."""

    @abstractmethod
    async def call(self, data: bytes, seconds: float) -> bytes:
        """Send data and return the response; raise CallFailed."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connection, and let the calls on it fail."""


class Transport(ABC):
    """Open connections to other nodes, and accept theirs."""

    @abstractmethod
    def connect(self, address: str) -> Connection:
        """Return a new connection, which shares nothing with others to the address."""

    @abstractmethod
    async def listen(self, address: str, handle: Handler) -> None:
        """Accept calls; raise RuntimeError if the address can't be bound to.

        A call whose handler raises MalformedMessage is refused.
        """

    @abstractmethod
    async def stop(self) -> None:
        """Stop accepting calls."""


class GrpcTransport(Transport):
    """Carry calls as unary gRPC calls of bytes."""

    def __init__(self) -> None:
        self._server: Any = None

    def connect(self, address: str) -> Connection:
        """Return a channel of its own."""
        return _GrpcConnection(address)

    async def listen(self, address: str, handle: Handler) -> None:
        """Start a server; raise RuntimeError if the address can't be bound to."""
        self._server = grpc.aio.server(options=_SERVER_OPTIONS)
        self._server.add_generic_rpc_handlers((_GrpcHandler(handle),))
        if self._server.add_insecure_port(address) == 0:
            raise RuntimeError(f"can't listen on {address}")
        await self._server.start()

    async def stop(self) -> None:
        """Stop the server."""
        if self._server is not None:
            await self._server.stop(STOP_SECONDS)


class _GrpcConnection(Connection):
    def __init__(self, address: str) -> None:
        self._address = address
        self._channel = grpc.aio.insecure_channel(address, options=_CLIENT_OPTIONS)
        self._call = self._channel.unary_unary(METHOD)

    async def call(self, data: bytes, seconds: float) -> bytes:
        try:
            response: bytes = await self._call(data, timeout=seconds)
        except grpc.aio.AioRpcError as error:
            is_timeout = error.code() is grpc.StatusCode.DEADLINE_EXCEEDED
            reason = error.code().name
            raise CallFailed("deliver", self._address, reason, is_timeout) from error
        return response

    async def close(self) -> None:
        await self._channel.close(None)


class _GrpcHandler(grpc.GenericRpcHandler):
    def __init__(self, handle: Handler) -> None:
        self._handle = handle
        self._method = grpc.unary_unary_rpc_method_handler(self._on_call)

    def service(self, handler_call_details: Any) -> Any:
        if handler_call_details.method == METHOD:
            return self._method
        return None

    async def _on_call(self, data: bytes, context: Any) -> bytes:
        try:
            return await self._handle(data, context.peer())
        except MalformedMessage as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, error.reason)
            raise
