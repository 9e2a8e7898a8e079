"""Forward TCP connections to a node, and partition it from its peers on demand."""

import asyncio
import contextlib

__all__ = ["PartitionProxy"]


class PartitionProxy:
    """Forward connections to one address, and drop all bytes while cut."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._is_cut = False
        self._silent: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> str:
        """Listen on a free port and return its address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
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
            await asyncio.gather(
                self._copy(reader, target_writer), self._copy(target_reader, writer)
            )
        except OSError:
            writer.transport.abort()
        finally:
            self._writers -= own_writers

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if not self._is_cut and writer not in self._silent:
                    writer.write(data)
                    await writer.drain()
        writer.transport.abort()
