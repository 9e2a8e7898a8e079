"""Send requests, orders and readings to upstreams over HTTP."""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable, Mapping
from typing import NamedTuple

import aiohttp
import msgspec

from hawthornshelf.clock import Clock
from hawthornshelf.commands import Answer
from hawthornshelf.effects import Dispatch, ReadEngineState, ReadLoad, SendOrder
from hawthornshelf.engineapi import (
    BOOT_HEADER,
    NOT_RUN_STATUSES,
    encode_order,
    parse_cache_events,
    parse_engine_state,
    parse_load,
    parse_piece,
    parse_platform,
)
from hawthornshelf.events import (
    AttemptBroken,
    AttemptCompleted,
    AttemptRefused,
    AttemptStarted,
    ChunkReceived,
    EngineStateRead,
    Event,
    LoadReport,
    LoadReported,
    OrderEnded,
)

__all__ = ["OutboundRequest", "UpstreamClient"]

READ_SECONDS = 2.0
ATTEMPT_SECONDS = 900.0
CONNECT_SECONDS = 1.0
ORDER_USER_TIMEOUT_SECONDS = 1.0
ORDER_ANSWER_SECONDS = 5.0
MAX_LINE_BYTES = 256 * 1024
MAX_ANSWER_BYTES = 8 * 1024 * 1024

Post = Callable[[Event], None]


class OutboundRequest(NamedTuple):
    """Hold what a caller sent, as it goes out to an upstream."""

    is_engine: bool
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    fields: Mapping[str, object] = {}


class _SendTooLate(Exception):
    """Report that the bound for sending passed before the body was written."""


class UpstreamClient:
    """Turn effects for upstreams into HTTP calls, and their ends into events."""

    def __init__(self, clock: Clock, post: Post) -> None:
        self._clock = clock
        self._post = post
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._others: set[asyncio.Task[None]] = set()
        kept = aiohttp.TCPConnector(limit=0, keepalive_timeout=30.0)
        fresh = aiohttp.TCPConnector(limit=0, force_close=True)
        orders = aiohttp.TCPConnector(
            limit=0, force_close=True, socket_factory=_make_order_socket
        )
        self._engines = _make_session(kept)
        self._services = _make_session(fresh)
        self._orders = _make_session(orders)

    async def close(self) -> None:
        """Cancel all calls and close the connections."""
        tasks = [*self._tasks.values(), *self._others]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for session in (self._engines, self._services, self._orders):
            await session.close()

    def dispatch(self, effect: Dispatch, outbound: OutboundRequest) -> None:
        """Start an attempt."""
        task = asyncio.create_task(self._attempt(effect, outbound))
        self._tasks[effect.attempt] = task
        task.add_done_callback(lambda _: self._tasks.pop(effect.attempt, None))

    def cancel(self, attempt: str) -> None:
        """Drop an attempt's connection, by which the engine cancels it."""
        task = self._tasks.get(attempt)
        if task is not None:
            task.cancel()

    def read_load(self, effect: ReadLoad) -> None:
        """Fetch a load report."""
        self._start(self._read_load(effect))

    def read_engine_state(self, effect: ReadEngineState) -> None:
        """Fetch an engine's own state."""
        self._start(self._read_engine(effect))

    def send_order(self, effect: SendOrder) -> None:
        """Send an order on a fresh connection."""
        self._start(self._send_order(effect))

    def read_platform(self, url: str) -> None:
        """Fetch the platform's list of VMs; a failure posts nothing."""
        self._start(self._read_platform(url))

    def _start(self, work: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.create_task(work)
        self._others.add(task)
        task.add_done_callback(self._others.discard)

    async def _attempt(self, effect: Dispatch, outbound: OutboundRequest) -> None:
        sent = _Mark()
        try:
            if outbound.is_engine:
                await self._run_engine(effect, outbound, sent)
            else:
                await self._run_service(effect, outbound, sent)
        except _SendTooLate:
            self._post(AttemptRefused(effect.attempt, "not sent in time"))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            reason = f"{type(error).__name__}: {error}"
            self._post(AttemptBroken(effect.attempt, sent.done, reason))
        except msgspec.DecodeError as error:
            reason = f"malformed answer: {error}"
            self._post(AttemptBroken(effect.attempt, True, reason))

    async def _run_engine(
        self, effect: Dispatch, outbound: OutboundRequest, sent: "_Mark"
    ) -> None:
        fields = {
            **outbound.fields,
            "stream": True,
            "request_id": effect.attempt,
            "resume_from": effect.offset,
            "priority": 0 if effect.urgent else 1,
        }
        body = self._guard(msgspec.json.encode(fields), effect.not_after, sent)
        url = f"http://{effect.address}/v1/completions"
        async with self._engines.post(
            url, data=body, headers={"content-type": "application/json"}
        ) as response:
            if response.status in NOT_RUN_STATUSES:
                reason = f"upstream refused with {response.status}"
                self._post(AttemptRefused(effect.attempt, reason))
            elif response.status != 200:
                answer = await _read_answer(response)
                end = AttemptCompleted(effect.attempt, answer, effect.offset)
                self._post(end)
            else:
                boot = response.headers.get(BOOT_HEADER, "")
                self._post(AttemptStarted(effect.attempt, boot))
                await self._read_stream(effect, response)

    async def _read_stream(
        self, effect: Dispatch, response: aiohttp.ClientResponse
    ) -> None:
        pieces = effect.offset
        async for line in response.content:
            piece = parse_piece(line)
            if piece is None:
                continue
            if piece.last:
                self._post(AttemptCompleted(effect.attempt, None, pieces))
                return
            pieces = max(pieces, piece.offset + 1)
            self._post(ChunkReceived(effect.attempt, piece.offset, piece.text))
        self._post(AttemptBroken(effect.attempt, True, "stream closed early"))

    async def _run_service(
        self, effect: Dispatch, outbound: OutboundRequest, sent: "_Mark"
    ) -> None:
        body = self._guard(outbound.body, effect.not_after, sent)
        url = f"http://{effect.address}{outbound.path}"
        async with self._services.request(
            outbound.method, url, data=body, headers=outbound.headers
        ) as response:
            answer = await _read_answer(response)
        refused = response.headers.get("x-outcome") == "not-run"
        if refused and answer.status in NOT_RUN_STATUSES:
            reason = f"upstream refused with {answer.status}"
            self._post(AttemptRefused(effect.attempt, reason))
        else:
            self._post(AttemptCompleted(effect.attempt, answer))

    async def _guard(
        self, body: bytes, not_after: float, sent: "_Mark"
    ) -> AsyncIterator[bytes]:
        """Give out the body only before the bound, in the step that writes it."""
        if self._clock.monotonic() >= not_after:
            raise _SendTooLate
        sent.done = True
        yield body

    async def _read_load(self, effect: ReadLoad) -> None:
        url = f"http://{effect.address}/load"
        timeout = aiohttp.ClientTimeout(total=READ_SECONDS)
        try:
            async with self._engines.get(url, timeout=timeout) as response:
                report = parse_load(await response.read())
            report = await self._read_cache(effect, report)
        except aiohttp.ClientConnectorError as error:
            refused = isinstance(error.os_error, ConnectionRefusedError)
            self._post(LoadReported(effect.upstream, None, refused))
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            self._post(LoadReported(effect.upstream, None))
        else:
            self._post(LoadReported(effect.upstream, report))

    async def _read_cache(self, effect: ReadLoad, report: LoadReport) -> LoadReport:
        """Return the report with the engine's cache events, if it has any."""
        url = f"http://{effect.address}/cache/events?after={effect.after}"
        timeout = aiohttp.ClientTimeout(total=READ_SECONDS)
        async with self._engines.get(url, timeout=timeout) as response:
            if response.status != 200:
                return report
            data = await response.read()
        return parse_cache_events(data, report, effect.after)

    async def _read_engine(self, effect: ReadEngineState) -> None:
        url = f"http://{effect.address}/state"
        timeout = aiohttp.ClientTimeout(total=READ_SECONDS)
        try:
            async with self._engines.get(url, timeout=timeout) as response:
                reading = parse_engine_state(await response.read())
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            self._post(EngineStateRead(effect.upstream, None))
        else:
            self._post(EngineStateRead(effect.upstream, reading))

    async def _send_order(self, effect: SendOrder) -> None:
        data = encode_order(effect.order, effect.fence, effect.command)
        body = self._guard(data, effect.not_after, _Mark())
        url = f"http://{effect.address}/orders"
        timeout = aiohttp.ClientTimeout(
            total=ORDER_ANSWER_SECONDS, sock_connect=CONNECT_SECONDS
        )
        try:
            async with self._orders.post(url, data=body, timeout=timeout) as response:
                answered, reason = True, f"status {response.status}"
        except _SendTooLate:
            answered, reason = True, "lease ran out before it was sent"
        except (aiohttp.ClientError, TimeoutError) as error:
            answered, reason = False, f"{type(error).__name__}: {error}"
        self._post(OrderEnded(effect.upstream, effect.order, answered, reason))

    async def _read_platform(self, url: str) -> None:
        timeout = aiohttp.ClientTimeout(total=READ_SECONDS)
        try:
            async with self._engines.get(f"{url}/vms", timeout=timeout) as response:
                self._post(parse_platform(await response.read()))
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            return


class _Mark:
    """Remember if the body of a call was handed to the connection."""

    def __init__(self) -> None:
        self.done = False


def _make_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        trust_env=False,
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(
            total=ATTEMPT_SECONDS, sock_connect=CONNECT_SECONDS
        ),
        read_bufsize=MAX_LINE_BYTES,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def _make_order_socket(info: "aiohttp.AddrInfoType") -> socket.socket:
    """Make a socket whose unacknowledged bytes die within the order time-out."""
    family, kind, protocol, _, _ = info
    made = socket.socket(family=family, type=kind, proto=protocol)
    made.setblocking(False)
    milliseconds = int(ORDER_USER_TIMEOUT_SECONDS * 1000)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
    return made


async def _read_answer(response: aiohttp.ClientResponse) -> Answer:
    """Read a whole answer; raise ClientPayloadError if it is too large."""
    body = bytearray()
    async for part in response.content.iter_any():
        body.extend(part)
        if len(body) > MAX_ANSWER_BYTES:
            raise aiohttp.ClientPayloadError("answer is too large")
    kind = response.headers.get("content-type", "application/octet-stream")
    return Answer(response.status, kind, bytes(body))
