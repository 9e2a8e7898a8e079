"""Send requests and orders to upstreams, and read their state, over HTTP."""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable, Mapping
from typing import NamedTuple

import aiohttp
import msgspec
from aiohttp.http_exceptions import HttpProcessingError

from hawthornshelf.clock import Clock
from hawthornshelf.commands import Answer
from hawthornshelf.effects import Dispatch, ReadEngineState, ReadLoad, SendOrder
from hawthornshelf.engineapi import (
    BOOT_HEADER,
    NOT_RUN_STATUSES,
    encode_order,
    parse_cache_events,
    parse_chunk,
    parse_engine_state,
    parse_load,
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
from hawthornshelf.httplimits import (
    MAX_PAGE_BYTES,
    MAX_REPORT_BYTES,
    limit_connections,
    read_body,
)

__all__ = ["OutboundRequest", "UpstreamClient"]

READ_TIMEOUT_SECONDS = 2.0
ATTEMPT_TIMEOUT_SECONDS = 900.0
CONNECT_TIMEOUT_SECONDS = 1.0
ORDER_USER_TIMEOUT_SECONDS = 1.0
ORDER_TIMEOUT_SECONDS = 5.0
MAX_LINE_BYTES = 256 * 1024

Post = Callable[[Event], None]


class OutboundRequest(NamedTuple):
    """Represent a caller's request in the form that is sent to an upstream.

    Engines get `fields` as JSON; services get `body` with `headers`.
    """

    is_engine: bool
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    fields: Mapping[str, object] = {}


class _SendDeadlineExceeded(Exception):
    """Indicate that the time limit for sending passed before the body was written."""


class UpstreamClient:
    """Perform effects for upstreams as HTTP calls, and post their results as events."""

    def __init__(self, clock: Clock, post: Post) -> None:
        self._clock = clock
        self._post = post
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()
        pooled = aiohttp.TCPConnector(limit=0, keepalive_timeout=30.0)
        single_use = aiohttp.TCPConnector(limit=0, force_close=True)
        orders = aiohttp.TCPConnector(
            limit=0, force_close=True, socket_factory=_make_order_socket
        )
        self._engines = _make_session(pooled)
        self._services = _make_session(single_use)
        self._orders = _make_session(orders)

    async def close(self) -> None:
        """Cancel all calls and close all connections."""
        tasks = [*self._tasks.values(), *self._background_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for session in (self._engines, self._services, self._orders):
            await session.close()

    def dispatch(self, effect: Dispatch, outbound: OutboundRequest) -> None:
        """Start an attempt at a request."""
        task = asyncio.create_task(self._attempt(effect, outbound))
        self._tasks[effect.attempt] = task
        task.add_done_callback(lambda _: self._tasks.pop(effect.attempt, None))

    def cancel(self, attempt: str) -> None:
        """Close an attempt's connection, which cancels it on the engine."""
        task = self._tasks.get(attempt)
        if task is not None:
            task.cancel()

    def read_load(self, effect: ReadLoad) -> None:
        """Read a load report, and post LoadReported."""
        self._start_task(self._read_load(effect))

    def read_engine_state(self, effect: ReadEngineState) -> None:
        """Read an engine's state, and post EngineStateRead."""
        self._start_task(self._read_engine_state(effect))

    def send_order(self, effect: SendOrder) -> None:
        """Send an order on a new connection, and post OrderEnded."""
        self._start_task(self._send_order(effect))

    def read_platform(self, url: str) -> None:
        """Read the platform's list of VMs; a failure posts nothing."""
        self._start_task(self._read_platform(url))

    def _start_task(self, coroutine: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _attempt(self, effect: Dispatch, outbound: OutboundRequest) -> None:
        sent = _SentFlag()
        try:
            if outbound.is_engine:
                await self._call_engine(effect, outbound, sent)
            else:
                await self._call_service(effect, outbound, sent)
        except _SendDeadlineExceeded:
            self._post(AttemptRefused(effect.attempt, "not sent in time"))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            reason = f"{type(error).__name__}: {error}"
            self._post(AttemptBroken(effect.attempt, sent.is_set, reason))
        except (msgspec.DecodeError, HttpProcessingError) as error:
            reason = f"malformed answer: {error}"
            self._post(AttemptBroken(effect.attempt, True, reason))

    async def _call_engine(
        self, effect: Dispatch, outbound: OutboundRequest, sent: "_SentFlag"
    ) -> None:
        fields = {
            **outbound.fields,
            "stream": True,
            "request_id": effect.attempt,
            "resume_from": effect.offset,
            "priority": 0 if effect.urgent else 1,
        }
        body = self._send_before(msgspec.json.encode(fields), effect.not_after, sent)
        url = f"http://{effect.address}/v1/completions"
        async with self._engines.post(
            url,
            data=body,
            headers={"content-type": "application/json"},
            allow_redirects=False,
        ) as response:
            if response.status in NOT_RUN_STATUSES:
                reason = f"upstream refused with {response.status}"
                self._post(AttemptRefused(effect.attempt, reason))
            elif response.status != 200:
                answer = await _read_response(response)
                end = AttemptCompleted(effect.attempt, answer, effect.offset)
                self._post(end)
            else:
                boot = response.headers.get(BOOT_HEADER, "")
                self._post(AttemptStarted(effect.attempt, boot))
                await self._read_stream(effect, response)

    async def _read_stream(
        self, effect: Dispatch, response: aiohttp.ClientResponse
    ) -> None:
        chunk_count = effect.offset
        async for line in response.content:
            chunk = parse_chunk(line)
            if chunk is None:
                continue
            if chunk.last:
                self._post(AttemptCompleted(effect.attempt, None, chunk_count))
                return
            chunk_count = max(chunk_count, chunk.offset + 1)
            self._post(ChunkReceived(effect.attempt, chunk.offset, chunk.text))
        self._post(AttemptBroken(effect.attempt, True, "stream closed early"))

    async def _call_service(
        self, effect: Dispatch, outbound: OutboundRequest, sent: "_SentFlag"
    ) -> None:
        body = self._send_before(outbound.body, effect.not_after, sent)
        url = f"http://{effect.address}{outbound.path}"
        async with self._services.request(
            outbound.method,
            url,
            data=body,
            headers=outbound.headers,
            allow_redirects=False,
        ) as response:
            answer = await _read_response(response)
        refused = response.headers.get("x-outcome") == "not-run"
        if refused and answer.status in NOT_RUN_STATUSES:
            reason = f"upstream refused with {answer.status}"
            self._post(AttemptRefused(effect.attempt, reason))
        else:
            self._post(AttemptCompleted(effect.attempt, answer))

    async def _send_before(
        self, body: bytes, not_after: float, sent: "_SentFlag"
    ) -> AsyncIterator[bytes]:
        """Yield the body unless `not_after` has passed.

        The check runs in the step in which the connection writes the body, so that
        no delay can come between them.
        """
        if self._clock.monotonic() >= not_after:
            raise _SendDeadlineExceeded
        sent.is_set = True
        yield body

    async def _read_load(self, effect: ReadLoad) -> None:
        url = f"http://{effect.address}/load"
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_SECONDS)
        try:
            async with self._engines.get(url, timeout=timeout) as response:
                report = parse_load(await read_body(response, MAX_REPORT_BYTES))
            report = await self._read_cache(effect, report)
        except aiohttp.ClientConnectorError as error:
            refused = isinstance(error.os_error, ConnectionRefusedError)
            self._post(LoadReported(effect.upstream, None, refused))
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            self._post(LoadReported(effect.upstream, None))
        else:
            self._post(LoadReported(effect.upstream, report))

    async def _read_cache(self, effect: ReadLoad, report: LoadReport) -> LoadReport:
        """Return the report with the engine's cache events, if it publishes them."""
        url = f"http://{effect.address}/cache/events?after={effect.after}"
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_SECONDS)
        async with self._engines.get(url, timeout=timeout) as response:
            if response.status != 200:
                return report
            data = await read_body(response, MAX_REPORT_BYTES)
        return parse_cache_events(data, report, effect.after)

    async def _read_engine_state(self, effect: ReadEngineState) -> None:
        url = f"http://{effect.address}/state"
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_SECONDS)
        try:
            async with self._engines.get(url, timeout=timeout) as response:
                data = await read_body(response, MAX_REPORT_BYTES)
                engine_state = parse_engine_state(data)
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            self._post(EngineStateRead(effect.upstream, None))
        else:
            self._post(EngineStateRead(effect.upstream, engine_state))

    async def _send_order(self, effect: SendOrder) -> None:
        data = encode_order(effect.order, effect.fence, effect.command)
        body = self._send_before(data, effect.not_after, _SentFlag())
        url = f"http://{effect.address}/orders"
        timeout = aiohttp.ClientTimeout(
            total=ORDER_TIMEOUT_SECONDS, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        try:
            async with self._orders.post(
                url, data=body, timeout=timeout, allow_redirects=False
            ) as response:
                answered, reason = True, f"status {response.status}"
        except _SendDeadlineExceeded:
            answered, reason = True, "the lease expired before the order was sent"
        except (aiohttp.ClientError, TimeoutError) as error:
            answered, reason = False, f"{type(error).__name__}: {error}"
        self._post(OrderEnded(effect.upstream, effect.order, answered, reason))

    async def _read_platform(self, url: str) -> None:
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_SECONDS)
        try:
            async with self._engines.get(f"{url}/vms", timeout=timeout) as response:
                data = await read_body(response, MAX_PAGE_BYTES)
                self._post(parse_platform(data))
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            return


class _SentFlag:
    """Track whether the body of a call was passed to the connection."""

    def __init__(self) -> None:
        self.is_set = False


def _make_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=limit_connections(connector),
        trust_env=False,
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(
            total=ATTEMPT_TIMEOUT_SECONDS, sock_connect=CONNECT_TIMEOUT_SECONDS
        ),
        read_bufsize=MAX_LINE_BYTES,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def _make_order_socket(info: "aiohttp.AddrInfoType") -> socket.socket:
    """Return a socket that drops unacknowledged data after a short time-out.

    TCP_USER_TIMEOUT bounds how late an order can still arrive at the engine.
    """
    family, kind, protocol, _, _ = info
    order_socket = socket.socket(family=family, type=kind, proto=protocol)
    order_socket.setblocking(False)
    milliseconds = int(ORDER_USER_TIMEOUT_SECONDS * 1000)
    order_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
    return order_socket


async def _read_response(response: aiohttp.ClientResponse) -> Answer:
    """Return a whole response; raise ResponseTooLarge if it is too large."""
    body = await read_body(response)
    content_type = response.headers.get("content-type", "application/octet-stream")
    return Answer(response.status, content_type, body)
