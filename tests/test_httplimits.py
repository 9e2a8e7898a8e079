import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Callable

import aiohttp
import pytest
import uvloop

from hawthornshelf.httplimits import (
    MAX_HEAD_BYTES,
    BoundedConnection,
    limit_connections,
    read_body,
)

UPLOADS = {"no upload": b"", "long upload": b"x" * 8_000_000}
LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
HEAD = b"HTTP/1.1 200 OK\r\n"
FRAMINGS = {
    "length": (b"Content-Length: 5\r\n\r\n", b"whole"),
    "chunks": (b"Transfer-Encoding: chunked\r\n\r\n", b"5\r\nwhole\r\n0\r\n\r\n"),
}


class EarlyServer:
    """Answer as soon as a head has come, and reset the connection when told to.

    It reads no byte of an upload after the first ones.
    """

    def __init__(self, answer: bytes, is_closed_first: bool = False) -> None:
        self._answer = answer
        self._is_closed_first = is_closed_first
        self.may_reset = asyncio.Event()

    async def serve(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        received = b""
        while b"\r\n\r\n" not in received:
            received += await loop.sock_recv(connection, 1000)
        await loop.sock_sendall(connection, self._answer)
        if self._is_closed_first:
            connection.shutdown(socket.SHUT_WR)
        await self.may_reset.wait()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.close()


def open_socket(info: "aiohttp.AddrInfoType") -> socket.socket:
    """Return a socket of which the system takes little before the peer reads."""
    opened = socket.socket(info[0], info[1], info[2])
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
    return opened


@contextlib.asynccontextmanager
async def start_server(server: EarlyServer) -> AsyncIterator[str]:
    loop = asyncio.get_running_loop()
    with socket.socket() as listener:
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()

        async def accept() -> None:
            connection, _ = await loop.sock_accept(listener)
            await server.serve(connection)

        task = asyncio.create_task(accept())
        yield f"http://127.0.0.1:{listener.getsockname()[1]}/"
        await task


async def fetch(server: EarlyServer, upload: bytes, reads_late: bool) -> bytes:
    """Upload to a server, which then resets the connection; return what it answers.

    With `reads_late` the body is read only once the connection has ended.
    """
    async with (
        asyncio.timeout(20.0),
        start_server(server) as url,
        aiohttp.ClientSession(
            connector=limit_connections(
                aiohttp.TCPConnector(socket_factory=open_socket)
            )
        ) as session,
        session.post(url, data=upload) as response,
    ):
        connection = response.connection
        protocol = connection.protocol if connection is not None else None
        server.may_reset.set()
        while reads_late and protocol is not None and not protocol.end:
            await asyncio.sleep(0.001)
        return await read_body(response)


def run(loop: str, main: Callable[[], "asyncio._CoroutineLike[bytes]"]) -> bytes:
    with asyncio.Runner(loop_factory=LOOPS[loop]) as runner:
        return runner.run(main())


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("reads_late", [False, True])
@pytest.mark.parametrize("upload", UPLOADS)
def test_a_part_of_a_body_that_a_reset_ended_is_not_whole(
    upload: str, reads_late: bool, loop: str
) -> None:
    def main() -> "asyncio._CoroutineLike[bytes]":
        server = EarlyServer(HEAD + b"\r\npart")
        return fetch(server, UPLOADS[upload], reads_late)

    with pytest.raises(aiohttp.ClientPayloadError):
        run(loop, main)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("reads_late", [False, True])
def test_a_part_of_a_body_before_a_close_and_a_reset_of_an_upload_is_not_whole(
    reads_late: bool, loop: str
) -> None:
    def main() -> "asyncio._CoroutineLike[bytes]":
        server = EarlyServer(HEAD + b"\r\npart", is_closed_first=True)
        return fetch(server, UPLOADS["long upload"], reads_late)

    with pytest.raises(aiohttp.ClientPayloadError):
        run(loop, main)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("reads_late", [False, True])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("upload", UPLOADS)
def test_a_body_with_a_stated_end_is_whole_whatever_ends_its_connection(
    upload: str, framing: str, reads_late: bool, loop: str
) -> None:
    def main() -> "asyncio._CoroutineLike[bytes]":
        server = EarlyServer(HEAD + b"".join(FRAMINGS[framing]))
        return fetch(server, UPLOADS[upload], reads_late)

    assert run(loop, main) == b"whole"


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("reads_late", [False, True])
def test_a_body_that_a_close_ends_is_whole(reads_late: bool, loop: str) -> None:
    def main() -> "asyncio._CoroutineLike[bytes]":
        server = EarlyServer(HEAD + b"\r\nwhole", is_closed_first=True)
        return fetch(server, b"", reads_late)

    assert run(loop, main) == b"whole"


@pytest.mark.parametrize("data", [b"no HTTP\r\n", b"x" * (MAX_HEAD_BYTES + 1)])
def test_bytes_before_the_first_request_are_bounded_and_checked(data: bytes) -> None:
    async def main() -> bool:
        connection = BoundedConnection(asyncio.get_running_loop())
        connection.data_received(data)
        return connection.should_close and connection.exception() is not None

    assert asyncio.run(main())
