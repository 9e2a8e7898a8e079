"""Run a stand-in for a runner as a process of its own, which may be stopped."""

import asyncio
import json
import secrets
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple, TextIO

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

from tests.southernveil.fakes import FakeRunner  # noqa: E402

__all__ = ["COPY_PATH", "StubEngine"]

COPY_PATH = "/stub/copy"
BACKLOG = 2
"""Connections that the kernel completes while the process is stopped; others hang."""

PREFILL_SECONDS = 0.02
WORK_SECONDS = 0.06
COPY_SECONDS = 0.15
COPY_TIMEOUT_SECONDS = 1.0
HANDLE_TTL_SECONDS = 5.0


class Copy(NamedTuple):
    """Represent the copy of a run at another engine, as of a monotonic time."""

    run: str
    made: int
    updated_at: float


@dataclass
class Run:
    """Represent a run of a request; `made` is the number of its last event."""

    request: str
    token: str
    made: int


@dataclass
class StubEngine(FakeRunner):
    """Stream numbered events, keep copies for others, and record each run.

    A stream runs from its first event on, a plain request from its arrival on. Each
    event names its run. `gap_seconds` lies between two events; `bare_share` is the
    share of plain runs that end with a 503 that doesn't say "not run".
    """

    record: TextIO = sys.stdout
    slots: int = 16
    gap_seconds: float = 0.05
    bare_share: float = 0.0
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    _copies: dict[str, Copy] = field(default_factory=dict)
    _used: set[str] = field(default_factory=set)
    _running: int = 0

    async def listen(self, port: int) -> None:
        """Listen with a small backlog."""
        self._session = aiohttp.ClientSession()
        self._protocol = web.Server(self.handle, handler_cancellation=True)
        self._server = await asyncio.get_running_loop().create_server(
            self._protocol, "127.0.0.1", port, backlog=BACKLOG
        )

    def write(self, what: str, request: str, **fields: object) -> None:
        """Write one line of the record."""
        line = {"at": time.time(), "what": what, "request": request} | fields
        self.record.write(json.dumps(line | {"engine": self.name}) + "\n")
        self.record.flush()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        body = await request.read()
        if request.path == COPY_PATH:
            return self._keep_copy(request.method, json.loads(body))
        headers = {"X-Instance-Id": self.name}
        if request.path in ("/hawthornshelf/report", "/healthz"):
            report = {"Running": self._running, "Waiting": 0, "Stage": self.stage}
            report |= {"Busy": False, "Seq": 0, "born": self.born}
            return web.Response(body=json.dumps(report).encode(), headers=headers)
        name = request.headers.get("X-Request-Id", "")
        self.write("arrives", name, port=_peer_port(request))
        headers |= {"X-Request-Id": name}
        refusal = self._refuse(request, name)
        if refusal:
            self.write("refused", name, status=refusal)
            headers["X-Not-Executed"] = "1"
            return web.Response(status=refusal, headers=headers)
        self._running += 1
        try:
            if self.stage:
                return await self._stream_run(request, name, headers)
            return await self._work(name, headers)
        finally:
            self._running -= 1

    def _refuse(self, request: web.BaseRequest, name: str) -> int:
        """Return the status with which a request is refused, or 0."""
        if request.headers.get("X-Expect-Instance", self.name) != self.name:
            return 421
        source = request.headers.get("X-Kv-Source", "")
        if source and not self._has_copy(name, source):
            return 503
        return 503 if self._running >= self.slots else 0

    def _has_copy(self, request: str, source: str) -> bool:
        copy = self._copies.get(request)
        if copy is None or source != f"{self.address}/{request}":
            return False
        return time.monotonic() < copy.updated_at + HANDLE_TTL_SECONDS

    def _keep_copy(self, method: str, part: dict[str, str | int]) -> web.Response:
        """Keep, extend or drop a copy; one that was used takes no more."""
        request, token, made = str(part["request"]), str(part["run"]), int(part["made"])
        if method == "DELETE":
            self._copies.pop(request, None)
        elif request in self._used:
            return web.Response(status=503)
        else:
            self._copies[request] = Copy(token, made, time.monotonic())
        return web.Response()

    async def _work(self, request: str, headers: dict[str, str]) -> web.Response:
        token = secrets.token_hex(4)
        self.write("begins", request, run=token, first=1, copied=False)
        how = "closed"
        try:
            await asyncio.sleep(WORK_SECONDS)
            how = "whole"
        finally:
            self.write("ends", request, run=token, how=how, last=1)
        if secrets.randbelow(1000) < 1000 * self.bare_share:
            return web.Response(status=503, headers=headers)
        headers["X-Answer-Stamp"] = token
        return web.Response(body=f"{token} {request}".encode(), headers=headers)

    async def _stream_run(
        self, request: web.BaseRequest, name: str, headers: dict[str, str]
    ) -> web.StreamResponse:
        after = int(request.headers.get("Last-Event-Id") or 0)
        copy = None
        if request.headers.get("X-Kv-Source"):
            copy = self._copies.pop(name)
            self._used.add(name)
        await asyncio.sleep(PREFILL_SECONDS)
        run = Run(name, copy.run if copy else secrets.token_hex(4), after)
        backup = request.headers.get("X-Kv-Backup", "")
        self.write(
            "begins",
            name,
            run=run.token,
            first=after + 1,
            copied=copy is not None,
            backup=backup,
        )
        copying = asyncio.create_task(self._copy_run(run, backup)) if backup else None
        how = "closed"
        try:
            response = await self._stream_events(request, run, headers)
            how = "whole"
            return response
        finally:
            self.write("ends", name, run=run.token, how=how, last=run.made)
            if copying is not None:
                copying.cancel()
                if how == "whole":
                    await self._send_copy("DELETE", run, backup)

    async def _stream_events(
        self, request: web.BaseRequest, run: Run, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Stream the events behind the last one made, which bear the run's token."""
        counts = request.headers["X-Token-Counts"]
        total = int(counts.partition(",")[2])
        headers |= {"X-Answer-Stamp": run.token, "Content-Type": "text/event-stream"}
        headers["X-Weight-Versions"] = "1"
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        while run.made < total:
            run.made += 1
            data = f"id: {run.made}\ndata: {run.token} {run.request}\n\n"
            await response.write(data.encode())
            await asyncio.sleep(self.gap_seconds)
        await response.write_eof()
        return response

    async def _copy_run(self, run: Run, backup: str) -> None:
        while True:
            await self._send_copy("POST", run, backup)
            await asyncio.sleep(COPY_SECONDS)

    async def _send_copy(self, method: str, run: Run, backup: str) -> None:
        """Send how far a run is, unless the other engine is out of reach."""
        part = {"request": run.request, "run": run.token, "made": run.made}
        url = f"http://{backup}{COPY_PATH}"
        limit = aiohttp.ClientTimeout(COPY_TIMEOUT_SECONDS)
        try:
            async with self._session.request(method, url, json=part, timeout=limit):
                pass
        except (aiohttp.ClientError, OSError, TimeoutError):
            return


def _peer_port(request: web.BaseRequest) -> int:
    peer = request.transport.get_extra_info("peername") if request.transport else None
    return peer[1] if peer else 0


async def main() -> None:
    """Serve with the options in the first argument, a JSON object, until killed."""
    options = json.loads(sys.argv[1])
    port, path = options.pop("port"), options.pop("record")
    with Path(path).open("a") as record:
        await StubEngine(record=record, **options).listen(port)
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
