"""Forward TCP connections to a node, and cut them on demand."""

import asyncio
import contextlib

__all__ = ["PartitionProxy"]


class PartitionProxy:
    """Stand before one address; while cut, all bytes towards it are lost."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._is_cut = False
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
        """Lose everything from now on, without telling either side."""
        self._is_cut = True

    def heal(self) -> None:
        """Forward again; connections from before the cut are reset."""
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
        mine = {writer}
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            mine.add(far_writer)
            self._writers.add(far_writer)
            await asyncio.gather(
                self._pump(reader, far_writer), self._pump(far_reader, writer)
            )
        except OSError:
            writer.transport.abort()
        finally:
            self._writers -= mine

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if not self._is_cut:
                    writer.write(data)
                    await writer.drain()
        writer.transport.abort()
