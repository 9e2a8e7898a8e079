"""Forward TCP connections to a node, and partition it from its peers on demand."""

import asyncio
import contextlib
import random
import socket
from collections import Counter

__all__ = ["FaultProxy", "PartitionProxy"]

HOLD_POLL_SECONDS = 0.02
DELAY_SECONDS = (0.05, 0.5)
RESET_SHARE = 0.5


class PartitionProxy:
    """Forward connections to one address, and drop all bytes while cut."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._is_cut = False
        self._silent: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._callers: dict[asyncio.StreamWriter, asyncio.StreamWriter] = {}
        self.address = ""

    async def start(self, port: int = 0) -> str:
        """Listen on a port, by default a free one, and return its address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self.address

    def cut(self) -> None:
        """Drop all bytes from now on; both connections stay open."""
        self._is_cut = True

    def silence(self) -> None:
        """Drop all bytes on the connections open now, for good; new ones are sound."""
        self._silent |= self._writers

    def heal(self) -> None:
        """Forward new connections again, and reset the open ones."""
        self._is_cut = False
        for writer in self._writers:
            writer.transport.abort()

    async def stop(self) -> None:
        """Stop forwarding and wait for the connections to end."""
        if self._server is not None:
            self._server.close()
        while self._writers:
            for writer in list(self._writers):
                writer.transport.abort()
            await asyncio.sleep(0.01)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        own_writers = {writer}
        self._writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            own_writers.add(target_writer)
            self._writers.add(target_writer)
            self._callers[target_writer] = writer
            await asyncio.gather(
                self._copy(reader, target_writer), self._copy(target_reader, writer)
            )
        except OSError:
            writer.transport.abort()
        finally:
            self._writers -= own_writers
            for own in own_writers:
                self._callers.pop(own, None)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if not self._is_cut and writer not in self._silent:
                    writer.write(data)
                    await writer.drain()
        writer.transport.abort()


class FaultProxy(PartitionProxy):
    """Forward to an engine; delay, hold back, reset or refuse on demand."""

    def __init__(self, target: str, rng: random.Random) -> None:
        super().__init__(target)
        self._harms: Counter[str] = Counter()
        self._rng = rng
        self._half_open: set[asyncio.StreamWriter] = set()

    async def harm(self, what: str, change: int) -> None:
        """Begin to do a harm, or end it; open connections survive a refusal."""
        self._harms[what] += change
        if what == "refuse" and self._harms[what] == (change > 0):
            assert self._server is not None
            self._server.close()
            if change < 0:
                await self.start(int(self.address.rpartition(":")[2]))

    def reset(self, is_half: bool = False) -> None:
        """Reset a share of the open connections.

        With `is_half` the engine's side of each stays open, as after a reset on the
        way whose other half was lost.
        """
        for writer in sorted(self._writers, key=id):
            if self._is_answer(writer) and self._rng.random() < RESET_SHARE:
                if is_half:
                    self._half_open.add(writer)
                linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
                sock = writer.get_extra_info("socket")
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()

    def _is_answer(self, writer: asyncio.StreamWriter) -> bool:
        own = writer.get_extra_info("sockname")
        return own is not None and self.address.endswith(f":{own[1]}")

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        is_answer = self._is_answer(writer)
        hold = "hold answers" if is_answer else "hold requests"
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if writer in self._half_open:
                    continue
                while self._harms[hold] or self._harms["stall"]:
                    await asyncio.sleep(HOLD_POLL_SECONDS)
                if self._harms["delay"]:
                    await asyncio.sleep(self._rng.uniform(*DELAY_SECONDS))
                writer.write(data)
                await writer.drain()
        if self._callers.get(writer) not in self._half_open:
            writer.transport.abort()
