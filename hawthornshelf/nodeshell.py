"""Run a node core with a clock, peer connections, a disk and operators' commands."""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from hawthornshelf.clock import Clock
from hawthornshelf.commands import Command, Result
from hawthornshelf.diskwriter import DiskWriter
from hawthornshelf.effects import (
    CommandEnded,
    Effect,
    LogLine,
    PermitEnded,
    ReplicaChangeEnded,
    Send,
)
from hawthornshelf.errors import StorageCorrupt, StorageFailed
from hawthornshelf.events import (
    CommandRequested,
    Event,
    MessageReceived,
    ReplicaChangeRequested,
    StorageLost,
)
from hawthornshelf.log import Persist, RecoveredState
from hawthornshelf.logs import write_log
from hawthornshelf.messages import Message
from hawthornshelf.node import NodeCore, NodeSettings
from hawthornshelf.operatorapi import ReplicaAnswer
from hawthornshelf.peers import PeerClient, PeerServer
from hawthornshelf.peertransport import GrpcTransport, Transport
from hawthornshelf.storage import DiskStorage

__all__ = ["FLUSH_TIMEOUT_SECONDS", "NodeShell", "PeerSettings", "keep_running"]

TICK_SECONDS = 0.05
FLUSH_TIMEOUT_SECONDS = 1.0
STORAGE_RETRY_SECONDS = 0.5
TASK_RETRY_SECONDS = 1.0


async def keep_running(run: Callable[[], Awaitable[None]]) -> None:
    """Run background work until cancelled; log an error of it, and start it again.

    Without that, what it keeps up to date would silently be out of date for ever.
    """
    while True:
        try:
            await run()
        except Exception as error:
            task = getattr(run, "__qualname__", "")
            write_log("task-failed", level="error", task=task, reason=repr(error))
        await asyncio.sleep(TASK_RETRY_SECONDS)


class PeerSettings(NamedTuple):
    """Store the addresses for peer connections and the name of the node's group."""

    group: str
    listen: str
    advertise: str


class NodeShell:
    """Run a node core and perform the effects that all kinds of node have.

    Subclasses perform the other effects. With `recovers_storage`, storage that fails
    is recovered in the background; without it, a failure to load is raised. Nodes speak
    over gRPC unless another transport is given.
    """

    def __init__(
        self,
        settings: NodeSettings,
        peer: PeerSettings,
        storage: DiskStorage | None,
        clock: Clock,
        rng: random.Random,
        recovers_storage: bool = False,
        transport: Transport | None = None,
    ) -> None:
        self.node_settings = settings
        self._peer = peer
        self._clock = clock
        self._rng = rng
        self._recovers_storage = recovers_storage
        self._events: list[Event] = []
        self._step_scheduled = False
        self._stopped = asyncio.Event()
        self._failure: Exception | None = None
        self._pending: dict[str, asyncio.Future[Any]] = {}
        self._numbers = itertools.count(1)
        self._tasks: list[asyncio.Task[None]] = []
        self._storage = storage
        self._writer: DiskWriter | None = None
        recovered = self._load_storage()
        self._core = NodeCore(settings, recovered, rng, clock.monotonic())
        transport = transport or GrpcTransport()
        self._peer_client = PeerClient(
            peer.group, settings.node, peer.advertise, self._on_message, transport
        )
        self._peer_server = PeerServer(
            peer.group, self._on_message, self._peer_client, transport
        )

    def _load_storage(self) -> RecoveredState | None:
        """Return what the storage holds, or None if it is to be recovered later."""
        if self._storage is None:
            return None
        try:
            recovered = self._storage.load()
        except (OSError, StorageCorrupt) as error:
            if not self._recovers_storage:
                raise
            write_log("storage-lost", level="error", reason=str(error))
            return None
        self._writer = DiskWriter(self._storage, self.post)
        _log_recovered("storage-loaded", recovered)
        return recovered

    @property
    def core(self) -> NodeCore:
        """Return the core, for reading its state."""
        return self._core

    def post(self, event: Event) -> None:
        """Queue an event and schedule a step of the core."""
        self._events.append(event)
        if not self._step_scheduled:
            self._step_scheduled = True
            asyncio.get_running_loop().call_soon(self._step)

    def new_request_id(self) -> str:
        """Return a unique request id."""
        number = next(self._numbers)
        return f"{self.node_settings.node}-{self.node_settings.incarnation}-{number}"

    async def run_command(self, command: Command) -> Result | None:
        """Commit a command and return its result, or None if it timed out."""
        request = f"operator-{self.new_request_id()}"
        return await self._await_result(request, CommandRequested(request, command))

    async def change_replica(self, node: str, admit: bool) -> ReplicaAnswer:
        """Admit or remove the replica of a node."""
        request = f"operator-{self.new_request_id()}"
        return await self._await_result(
            request, ReplicaChangeRequested(request, node, admit)
        )

    async def start_peers(self) -> None:
        """Start to listen for other nodes and to step the core periodically."""
        await self._peer_server.start(self._peer.listen)
        self._tasks.append(asyncio.create_task(self._tick_forever()))
        if self._storage is not None and self._writer is None:
            self._schedule_storage_recovery()

    async def stop_peers(self) -> None:
        """Send queued messages, stop all tasks, and close connections and storage."""
        await self._peer_client.drain(FLUSH_TIMEOUT_SECONDS)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._peer_server.stop()
        await self._peer_client.stop()
        if self._writer:
            self._writer.close()

    def count_lost_peers(self) -> int:
        """Return the number of nodes to which the last call failed."""
        return self._peer_client.count_lost()

    async def wait_stopped(self) -> None:
        """Wait until the node stops; raise the exception if it failed."""
        await self._stopped.wait()
        if self._failure is not None:
            raise self._failure

    def perform_effect(self, effect: Effect) -> None:
        """Perform an effect that only some kinds of node have."""

    def on_step(self) -> None:
        """Run after each step of the core."""

    async def _await_result(self, request: str, event: Event) -> Any:
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending[request] = future
        self.post(event)
        try:
            return await future
        finally:
            self._pending.pop(request, None)

    def _step(self) -> None:
        self._step_scheduled = False
        events, self._events = self._events, []
        wall = self._clock.now().timestamp()
        try:
            effects = self._core.step(self._clock.monotonic(), wall, events)
        except Exception as error:
            self._fail(error)
            return
        if any(isinstance(event, StorageLost) for event in events):
            self._schedule_storage_recovery()
        for effect in effects:
            self._perform_effect(effect)
        self.on_step()

    def _fail(self, error: Exception) -> None:
        """Stop the process: the state of a core that raised may be inconsistent."""
        write_log("core-failed", level="error", reason=repr(error))
        self._failure = self._failure or error
        self._stopped.set()

    def _perform_effect(self, effect: Effect) -> None:
        match effect:
            case Send(_, address, message):
                self._peer_client.send(address, message)
            case Persist():
                if self._writer:
                    self._writer.write(effect)
            case CommandEnded(request, result):
                self._resolve(request, result)
            case PermitEnded(request, permit):
                self._resolve(request, permit)
            case ReplicaChangeEnded(request, accepted, reason):
                self._resolve(request, ReplicaAnswer(accepted, reason))
            case LogLine(event, fields):
                write_log(event, **{field.key: field.value for field in fields})
            case _:
                self.perform_effect(effect)

    def _resolve(self, request: str, result: Any) -> None:
        future = self._pending.get(request)
        if future is not None and not future.done():
            future.set_result(result)

    def _on_message(self, sender: str, message: Message) -> None:
        self.post(MessageReceived(sender, message))

    async def _tick_forever(self) -> None:
        while True:
            self._step()
            await asyncio.sleep(TICK_SECONDS)

    # Storage recovery

    def _schedule_storage_recovery(self) -> None:
        if self._recovers_storage and self._storage is not None:
            self._tasks.append(asyncio.create_task(self._recover_storage()))

    async def _recover_storage(self) -> None:
        """Rewrite the storage until that succeeds, then restart the control replica."""
        assert self._storage is not None
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(STORAGE_RETRY_SECONDS)
            try:
                recovered = await loop.run_in_executor(None, self._storage.recover)
            except (OSError, StorageFailed, StorageCorrupt) as error:
                write_log("storage-still-lost", level="debug", reason=str(error))
            except Exception as error:
                # An end of the attempts would leave a process without its replica.
                write_log("storage-still-lost", level="error", reason=repr(error))
            else:
                break
        if self._writer is not None:
            self._writer.abandon()
        self._writer = DiskWriter(self._storage, self.post)
        self._core.restart_control(self._clock.monotonic(), recovered)
        _log_recovered("storage-regained", recovered)


def _log_recovered(event: str, recovered: RecoveredState) -> None:
    """Log what a replica starts with, to compare with what it had before."""
    snapshot, entries = recovered.snapshot, recovered.entries
    write_log(
        event,
        replica=recovered.replica,
        term=recovered.term,
        voted_for=recovered.voted_for,
        snapshot=snapshot.index,
        last=entries[-1].index if entries else snapshot.index,
    )
