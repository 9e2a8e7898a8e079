"""Test the callers' HTTP server in this process with a fake backend."""

import asyncio
import json
from collections.abc import Awaitable, Callable

import aiohttp
import pytest

from hawthornshelf.callerapi import CallerRequest
from hawthornshelf.callers import CallerServer, make_app
from hawthornshelf.commands import Answer
from hawthornshelf.effects import Finish, Outcome, Refuse, SendChunk
from tests.ports import free_port

Call = Callable[[aiohttp.ClientSession, str, "FakeBackend"], Awaitable[None]]


class FakeBackend:
    """Reply to each request with prepared replies, in place of the core."""

    def __init__(self) -> None:
        self.replies: list = []
        self.opened: list[CallerRequest] = []
        self.closed: list[bool] = []

    def new_request_id(self) -> str:
        return f"r{len(self.opened)}"

    def open(self, request: CallerRequest) -> asyncio.Queue:
        self.opened.append(request)
        queue: asyncio.Queue = asyncio.Queue()
        for reply in self.replies:
            queue.put_nowait(reply)
        return queue

    def close(self, request: str, finished: bool) -> None:
        self.closed.append(finished)

    def addresses(self) -> list[str]:
        return ["127.0.0.1:2"]


def serve(call: Call) -> FakeBackend:
    """Run a call against the server and return the backend that it used."""
    backend = FakeBackend()

    async def run() -> None:
        app = make_app(f"test-{id(backend)}")
        app.config.TOUCHUP = False
        CallerServer(app, backend)
        port = free_port()
        server = await app.create_server(
            host="127.0.0.1", port=port, access_log=False, return_asyncio_server=True
        )
        await server.startup()
        await server.start_serving()
        async with aiohttp.ClientSession() as session:
            await call(session, f"127.0.0.1:{port}", backend)
        server.close()

    asyncio.run(run())
    return backend


BODY = {"model": "chat", "prompt": "hi", "max_tokens": 2}


def test_a_stream_ends_with_done() -> None:
    async def call(
        session: aiohttp.ClientSession, address: str, backend: FakeBackend
    ) -> None:
        backend.replies = [
            SendChunk("r0", "a"),
            SendChunk("r0", "b"),
            Finish("r0", None),
        ]
        body = {**BODY, "stream": True}
        async with session.post(
            f"http://{address}/v1/completions", json=body
        ) as response:
            text = await response.text()
        assert text.endswith("data: [DONE]\n\n")
        assert text.count("data: {") == 2

    assert serve(call).closed == [True]


def test_a_refusal_in_a_stream_is_an_error_event_with_the_outcome() -> None:
    async def call(
        session: aiohttp.ClientSession, address: str, backend: FakeBackend
    ) -> None:
        refusal = Refuse("r0", 503, Outcome.UNKNOWN, "engine lost", 1.0)
        backend.replies = [SendChunk("r0", "a"), refusal]
        body = {**BODY, "stream": True}
        async with session.post(
            f"http://{address}/v1/completions", json=body
        ) as response:
            text = await response.text()
        assert "[DONE]" not in text
        assert '"outcome":"unknown"' in text

    serve(call)


def test_a_refusal_has_outcome_retry_after_and_addresses() -> None:
    async def call(
        session: aiohttp.ClientSession, address: str, backend: FakeBackend
    ) -> None:
        backend.replies = [Refuse("r0", 503, Outcome.NOT_RUN, "full", 2.4)]
        async with session.post(
            f"http://{address}/v1/completions", json=BODY
        ) as response:
            body = json.loads(await response.text())
        assert response.status == 503
        assert response.headers["x-outcome"] == "not-run"
        assert response.headers["retry-after"] == "2"
        assert body["addresses"] == ["127.0.0.1:2"]

    serve(call)


def test_a_service_response_keeps_its_status_and_body() -> None:
    async def call(
        session: aiohttp.ClientSession, address: str, backend: FakeBackend
    ) -> None:
        answer = Answer(201, "text/plain", b"booked")
        backend.replies = [Finish("r0", answer, replayed=True)]
        url = f"http://{address}/v1/services/app/bookings/today?q=1"
        async with session.put(url, data=b"x") as response:
            assert (response.status, await response.read()) == (201, b"booked")
            assert response.headers["idempotency-replayed"] == "true"
        outbound = backend.opened[0].outbound
        assert (outbound.method, outbound.path) == ("PUT", "/bookings/today?q=1")

    serve(call)


@pytest.mark.parametrize(
    ("body", "status"), [(b"{", 400), (b"x" * 9_000_000, 413)], ids=["broken", "large"]
)
def test_invalid_bodies_never_reach_the_core(body: bytes, status: int) -> None:
    async def call(
        session: aiohttp.ClientSession, address: str, backend: FakeBackend
    ) -> None:
        url = f"http://{address}/v1/completions"
        try:
            async with session.post(url, data=body) as response:
                assert response.status == status
        except aiohttp.ClientError:
            assert status == 413

    assert serve(call).opened == []


def test_the_server_keeps_serving_after_a_truncated_request() -> None:
    async def call(
        session: aiohttp.ClientSession, address: str, backend: FakeBackend
    ) -> None:
        host, _, port = address.rpartition(":")
        for fragment in (
            b"POST /v1/comp",
            b"POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\nx",
        ):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(fragment)
            await writer.drain()
            writer.close()
        backend.replies = [Finish("r0", None)]
        async with session.post(
            f"http://{address}/v1/completions", json=BODY
        ) as response:
            assert response.status == 200

    serve(call)


def test_a_disconnected_caller_is_reported() -> None:
    async def call(
        session: aiohttp.ClientSession, address: str, backend: FakeBackend
    ) -> None:
        task = asyncio.create_task(
            session.post(f"http://{address}/v1/completions", json=BODY)
        )
        while not backend.opened:
            await asyncio.sleep(0.01)
        task.cancel()
        while not backend.closed:
            await asyncio.sleep(0.01)

    assert serve(call).closed == [False]
