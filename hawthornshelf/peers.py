"""Send and receive the messages between nodes, in envelopes."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable, Iterator

from hawthornshelf.errors import CallFailed, MalformedMessage
from hawthornshelf.logs import write_log
from hawthornshelf.messages import CODEC, Message
from hawthornshelf.peerlink import PeerLink
from hawthornshelf.peertransport import Connection, Transport
from hawthornshelf.wire import Envelope

__all__ = ["PeerClient", "PeerServer"]

MAX_QUEUED_MESSAGES = 1000
MAX_BATCH_MESSAGES = 128
IDLE_TIMEOUT_SECONDS = 60.0

Deliver = Callable[[str, Message], None]


class PeerServer:
    """Receive envelopes of the node's own group and deliver their messages.

    Messages that the node queues for the sender while it processes a call are
    returned in the response.
    """

    def __init__(
        self,
        group: str,
        deliver: Deliver,
        client: "PeerClient",
        transport: Transport,
    ) -> None:
        self._group = group
        self._deliver = deliver
        self._client = client
        self._transport = transport

    async def start(self, address: str) -> None:
        """Listen on an address; raise RuntimeError if it can't be bound to."""
        await self._transport.listen(address, self._handle)

    async def stop(self) -> None:
        """Stop listening."""
        await self._transport.stop()

    async def _handle(self, data: bytes, peer: str) -> bytes:
        try:
            envelope = CODEC.unpack(data, peer)
        except MalformedMessage as error:
            write_log(
                "message-refused", step=error.step, peer=error.peer, reason=error.reason
            )
            raise
        if envelope.group != self._group:
            return b""
        with self._client.hold_sends(envelope.address) as queue:
            for message in envelope.messages:
                self._deliver(envelope.sender, message)
            await asyncio.sleep(0)
            return queue.take_response()


class PeerClient:
    """Send messages to each node in order and in batches; drop a failed batch."""

    def __init__(
        self,
        group: str,
        node: str,
        address: str,
        deliver: Deliver,
        transport: Transport,
    ) -> None:
        self._group = group
        self._node = node
        self._address = address
        self._deliver = deliver
        self._transport = transport
        self._queues: dict[str, _PeerQueue] = {}

    def send(self, address: str, message: Message) -> None:
        """Queue a message for an address."""
        self._find_queue(address).put(message)

    @contextlib.contextmanager
    def hold_sends(self, address: str) -> Iterator["_PeerQueue"]:
        """Hold back the messages for an address so that a response can carry them."""
        queue = self._find_queue(address)
        queue.hold_count += 1
        try:
            yield queue
        finally:
            queue.hold_count -= 1
            queue.notify()

    def _find_queue(self, address: str) -> "_PeerQueue":
        queue = self._queues.get(address)
        if queue is None or queue.is_closed:
            connect = self._transport.connect
            queue = _PeerQueue(address, connect, self._pack, self._receive)
            self._queues[address] = queue
        return queue

    def count_lost(self) -> int:
        """Return the number of addresses to which the last call failed."""
        return sum(queue.failures > 0 for queue in self._queues.values())

    async def drain(self, seconds: float) -> None:
        """Wait until all queues are empty, for at most the given seconds."""
        deadline = asyncio.get_running_loop().time() + seconds
        while any(queue.is_busy for queue in self._queues.values()):
            if asyncio.get_running_loop().time() >= deadline:
                return
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """Drop the queued messages and close all links."""
        await asyncio.gather(*(queue.stop() for queue in self._queues.values()))

    def _pack(self, messages: tuple[Message, ...]) -> bytes:
        return CODEC.pack(Envelope(self._group, self._node, self._address, messages))

    def _receive(self, data: bytes, address: str) -> None:
        """Deliver the messages that a response carried."""
        try:
            envelope = CODEC.unpack(data, address)
        except MalformedMessage as error:
            write_log("message-refused", peer=error.peer, reason=error.reason)
            return
        for message in envelope.messages:
            self._deliver(envelope.sender, message)


class _PeerQueue:
    """Manage the message queue, the link and the sending task of one address.

    The task ends after IDLE_TIMEOUT_SECONDS without messages.
    """

    def __init__(
        self,
        address: str,
        connect: Callable[[str], Connection],
        pack: Callable[[tuple[Message, ...]], bytes],
        receive: Callable[[bytes, str], None],
    ) -> None:
        self._address = address
        self._pack = pack
        self._receive = receive
        self.hold_count = 0
        self._messages: deque[Message] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self._ready = asyncio.Event()
        self._link = PeerLink(address, connect)
        self._is_sending = False
        self.is_closed = False
        self.failures = 0
        self._task = asyncio.create_task(self._run())

    @property
    def is_busy(self) -> bool:
        """Return whether any message is queued or being sent."""
        return bool(self._messages) or self._is_sending

    def put(self, message: Message) -> None:
        """Queue a message; drop the oldest one if the queue is full."""
        self._messages.append(message)
        self.notify()

    def notify(self) -> None:
        """Wake up the sending task if there are messages and sends aren't held back."""
        if self._messages and not self.hold_count:
            self._ready.set()

    def take_response(self) -> bytes:
        """Return a batch of queued messages as a response, or empty bytes."""
        batch = self._take_batch()
        return self._pack(batch) if batch else b""

    async def stop(self) -> None:
        """Cancel the sending task and close the link."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        await self._link.close()

    async def _run(self) -> None:
        while True:
            try:
                await asyncio.wait_for(self._ready.wait(), IDLE_TIMEOUT_SECONDS)
            except TimeoutError:
                break
            self._ready.clear()
            while self._messages and not self.hold_count:
                await self._send_batch()
        self.is_closed = True
        await self._link.close()

    async def _send_batch(self) -> None:
        batch = self._take_batch()
        data = self._pack(batch)
        self._is_sending = True
        try:
            response = await self._link.call(data)
        except CallFailed as error:
            self._record_failure(error, len(batch), len(data))
            return
        finally:
            self._is_sending = False
        self._record_success()
        if response:
            self._receive(response, self._address)

    def _record_failure(self, error: CallFailed, messages: int, size: int) -> None:
        """Log the first of several failed calls: the others have the same cause."""
        self.failures += 1
        if self.failures == 1:
            write_log(
                "peer-lost",
                peer=self._address,
                step=error.step,
                reason=error.reason,
                dropped=messages,
                bytes=size,
            )

    def _record_success(self) -> None:
        if self.failures:
            write_log("peer-regained", peer=self._address, failures=self.failures)
        self.failures = 0

    def _take_batch(self) -> tuple[Message, ...]:
        count = min(len(self._messages), MAX_BATCH_MESSAGES)
        return tuple(self._messages.popleft() for _ in range(count))
