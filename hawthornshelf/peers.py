"""Carry envelopes between nodes over gRPC."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any

import grpc

from hawthornshelf.errors import MalformedMessage
from hawthornshelf.logs import write_log
from hawthornshelf.messages import CODEC, Message
from hawthornshelf.wire import MAX_MESSAGE_BYTES, Envelope

__all__ = ["PeerClient", "PeerServer"]

METHOD = "/hawthornshelf.Peer/Deliver"
CALL_SECONDS = 1.0
MAX_QUEUED_MESSAGES = 1000
MAX_BATCH_MESSAGES = 128
IDLE_SECONDS = 60.0
_OPTIONS = (
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
)

Deliver = Callable[[str, Message], None]


class PeerServer:
    """Take in envelopes of the own group and hand over their messages.

    What the node has to say to the sender at once rides back in the response.
    """

    def __init__(self, group: str, deliver: Deliver, client: "PeerClient") -> None:
        self._group = group
        self._deliver = deliver
        self._client = client
        self._server = grpc.aio.server(options=_OPTIONS)
        self._server.add_generic_rpc_handlers((_Handler(self._on_call),))

    async def start(self, address: str) -> None:
        """Listen on an address; raise RuntimeError if it can't be bound."""
        if self._server.add_insecure_port(address) == 0:
            raise RuntimeError(f"can't listen on {address}")
        await self._server.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._server.stop(0.2)

    async def _on_call(self, data: bytes, context: Any) -> bytes:
        try:
            envelope = CODEC.unpack(data, context.peer())
        except MalformedMessage as error:
            write_log(
                "message-refused", step=error.step, peer=error.peer, reason=error.reason
            )
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, error.reason)
            raise
        if envelope.group != self._group:
            return b""
        with self._client.hold(envelope.address) as lane:
            for message in envelope.messages:
                self._deliver(envelope.sender, message)
            await asyncio.sleep(0)
            return lane.take_response()


class _Handler(grpc.GenericRpcHandler):
    def __init__(self, call: Any) -> None:
        self._method = grpc.unary_unary_rpc_method_handler(call)

    def service(self, handler_call_details: Any) -> Any:
        if handler_call_details.method == METHOD:
            return self._method
        return None


class PeerClient:
    """Send messages to nodes in order, batched; a failed batch is dropped."""

    def __init__(self, group: str, node: str, address: str, deliver: Deliver) -> None:
        self._group = group
        self._node = node
        self._address = address
        self._deliver = deliver
        self._lanes: dict[str, _Lane] = {}

    def send(self, address: str, message: Message) -> None:
        """Queue a message for an address."""
        self._find_lane(address).put(message)

    @contextlib.contextmanager
    def hold(self, address: str) -> Iterator["_Lane"]:
        """Keep messages for an address back, so that a response can take them."""
        lane = self._find_lane(address)
        lane.holds += 1
        try:
            yield lane
        finally:
            lane.holds -= 1
            lane.wake()

    def _find_lane(self, address: str) -> "_Lane":
        lane = self._lanes.get(address)
        if lane is None or lane.ended:
            lane = _Lane(address, self._pack, self._receive)
            self._lanes[address] = lane
        return lane

    async def drain(self, seconds: float) -> None:
        """Wait until the queues are empty, within a bound."""
        deadline = asyncio.get_running_loop().time() + seconds
        while any(lane.busy for lane in self._lanes.values()):
            if asyncio.get_running_loop().time() >= deadline:
                return
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """Drop what is queued and close all channels."""
        await asyncio.gather(*(lane.stop() for lane in self._lanes.values()))

    def _pack(self, messages: tuple[Message, ...]) -> bytes:
        return CODEC.pack(Envelope(self._group, self._node, self._address, messages))

    def _receive(self, data: bytes, address: str) -> None:
        """Hand over the messages that rode back in a response."""
        try:
            envelope = CODEC.unpack(data, address)
        except MalformedMessage as error:
            write_log("message-refused", peer=error.peer, reason=error.reason)
            return
        for message in envelope.messages:
            self._deliver(envelope.sender, message)


class _Lane:
    """Hold the queue, the channel and the sending task for one address."""

    def __init__(
        self,
        address: str,
        pack: Callable[[tuple[Message, ...]], bytes],
        receive: Callable[[bytes, str], None],
    ) -> None:
        self._address = address
        self._pack = pack
        self._receive = receive
        self.holds = 0
        self._queue: deque[Message] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self._wake = asyncio.Event()
        self._channel = grpc.aio.insecure_channel(address, options=_OPTIONS)
        self._call = self._channel.unary_unary(METHOD)
        self._sending = False
        self.ended = False
        self._task = asyncio.create_task(self._run())

    @property
    def busy(self) -> bool:
        """Tell if anything is queued or on its way."""
        return bool(self._queue) or self._sending

    def put(self, message: Message) -> None:
        """Queue a message; the oldest is dropped when the queue is full."""
        self._queue.append(message)
        self.wake()

    def wake(self) -> None:
        """Let the sending task look at the queue."""
        if self._queue and not self.holds:
            self._wake.set()

    def take_response(self) -> bytes:
        """Return the queued messages as the response to a call, or nothing."""
        batch = self._take_batch()
        return self._pack(batch) if batch else b""

    async def stop(self) -> None:
        """End the task and close the channel."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        await self._channel.close(None)

    async def _run(self) -> None:
        while True:
            try:
                await asyncio.wait_for(self._wake.wait(), IDLE_SECONDS)
            except TimeoutError:
                break
            self._wake.clear()
            while self._queue and not self.holds:
                await self._send_batch()
        self.ended = True
        await self._channel.close(None)

    async def _send_batch(self) -> None:
        batch = self._take_batch()
        self._sending = True
        try:
            response = await self._call(self._pack(batch), timeout=CALL_SECONDS)
        except grpc.aio.AioRpcError:
            return
        finally:
            self._sending = False
        if response:
            self._receive(response, self._address)

    def _take_batch(self) -> tuple[Message, ...]:
        count = min(len(self._queue), MAX_BATCH_MESSAGES)
        return tuple(self._queue.popleft() for _ in range(count))
