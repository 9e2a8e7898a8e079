"""Run a stand-in for a runner as a process of its own, which may be stopped."""

import asyncio
import contextlib
import json
import secrets
import sys
import time
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from aiohttp import web

COPY_PATH = "/stub/copy"
MOVE_PATH = "/hawthornshelf/kv-move"
BACKLOG = 2
"""Connections that the kernel completes while the process is stopped; others hang."""

PREFILL_SECONDS = 0.02
WORK_SECONDS = 0.06
GAP_SECONDS = 0.05
COPY_SECONDS = 0.15
COPY_TIMEOUT = aiohttp.ClientTimeout(1.0)
HANDLE_TTL_SECONDS = 5.0


@dataclass(eq=False)
class Run:
    """Represent a run that makes events up to `total`, with a connection or without."""

    request: str
    token: str
    total: int
    last: int
    backup: str
    how: str = ""
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def advance(self) -> None:
        """Make one more event."""
        self.last += 1
        self._notify()

    def end(self, how: str) -> None:
        """End the run, unless it has ended."""
        self.how = self.how or how
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class StubEngine:
    """Stream numbered events, keep copies for others, and record each run.

    A stream runs from its first event on, a plain request from its arrival on. Each
    event names its run. The option `bare` is the share of plain runs that end with a
    503 that doesn't say "not run", `notice` the seconds after which a run ends whose
    connection has closed, None if it goes on.
    """

    def __init__(self, options: dict[str, Any]) -> None:
        self.options = options
        self.born = int(time.time() * 1000)
        self.copies: dict[str, tuple[str, float]] = {}
        self.used: set[str] = set()
        self.runs: dict[str, Run] = {}
        self.running = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def serve(self) -> None:
        """Listen with a small backlog until killed."""
        server = web.Server(self.handle, handler_cancellation=True)
        loop, port = asyncio.get_running_loop(), self.options["port"]
        async with aiohttp.ClientSession() as self.session:
            await loop.create_server(server, "127.0.0.1", port, backlog=BACKLOG)
            await asyncio.Event().wait()

    def write(self, what: str, request: str, **fields: object) -> None:
        """Write one line of the record."""
        line = {"at": time.time(), "what": what, "engine": self.options["name"]}
        sys.stdout.write(json.dumps(line | {"request": request} | fields) + "\n")
        sys.stdout.flush()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        body = await request.read()
        if request.path == COPY_PATH:
            return self._keep_copy(request.method, *json.loads(body))
        if request.path == MOVE_PATH:
            return await self._stop(request, json.loads(body))
        name = request.headers.get("X-Request-Id", "")
        headers = {"X-Instance-Id": self.options["name"], "X-Request-Id": name}
        if request.path in ("/hawthornshelf/report", "/healthz"):
            report = {"Running": self.running, "Waiting": 0, "Busy": False, "Seq": 0}
            report |= {"Stage": self.options["stage"], "born": self.born}
            report["Runs"] = [[r.request, 100, r.last, 5] for r in self.runs.values()]
            return web.Response(body=json.dumps(report).encode(), headers=headers)
        source = request.headers.get("X-Kv-Source", "")
        self.write("arrives", name, source=source)
        is_full = self.running >= self.options["slots"]
        refusal = 503 if is_full or (source and not self._has_copy(name, source)) else 0
        if request.headers.get("X-Expect-Instance") != self.options["name"]:
            refusal = 421
        if refusal:
            self.write("refused", name, status=refusal, source=source)
            headers["X-Not-Executed"] = "1"
            return web.Response(status=refusal, headers=headers)
        if self.options["stage"]:
            return await self._stream(request, name, headers)
        self.running += 1
        try:
            return await self._work(name, headers)
        finally:
            self.running -= 1

    def _has_copy(self, request: str, source: str) -> bool:
        copied_at = self.copies.get(request, ("", float("-inf")))[1]
        is_kept = time.monotonic() < copied_at + HANDLE_TTL_SECONDS
        return is_kept and source.endswith(f"/{request}")

    def _keep_copy(self, method: str, request: str, run: str) -> web.Response:
        """Keep, extend or drop a copy; one that was used takes no more."""
        if method == "DELETE":
            self.copies.pop(request, None)
        elif request not in self.used:
            self.copies[request] = (run, time.monotonic())
        return web.Response(status=503 if request in self.used else 200)

    async def _stop(self, request: web.BaseRequest, body: Any) -> web.Response:
        """Stop a run and move its memory; the handle is the id of the request."""
        if request.headers.get("X-Expect-Instance") != self.options["name"]:
            return web.Response(status=421)
        run = self.runs.get(body["Id"])
        self.write("asked to stop", body["Id"], found=run is not None)
        if run is None:
            return web.Response(status=404)
        if body.get("Last"):
            run.end("stopped")
        await self._send_copy("POST", run, body["To"])
        answer = {"KvHandle": run.request, "made": run.last}
        return web.Response(body=json.dumps(answer).encode())

    async def _work(self, request: str, headers: dict[str, str]) -> web.Response:
        run = secrets.token_hex(4)
        self.write("begins", request, run=run, first=1, source="")
        await asyncio.sleep(WORK_SECONDS)
        self.write("ends", request, run=run, how="whole", last=1)
        if secrets.randbelow(1000) < 1000 * self.options["bare"]:
            return web.Response(status=503, headers=headers)
        headers["X-Answer-Stamp"] = run
        return web.Response(body=f"{run} {request}".encode(), headers=headers)

    async def _stream(
        self, request: web.BaseRequest, name: str, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Stream the events of a new run, or of the one that a copy is of."""
        last = int(request.headers.get("Last-Event-Id") or 0)
        total = int(request.headers["X-Token-Counts"].partition(",")[2])
        token, source = secrets.token_hex(4), request.headers.get("X-Kv-Source", "")
        if source:
            token, _ = self.copies.pop(name)
            self.used.add(name)
        run = Run(name, token, total, last, request.headers.get("X-Kv-Backup", ""))
        seconds = int(request.headers["X-Deadline-Ms"]) / 1000
        asyncio.get_running_loop().call_later(seconds, run.end, "deadline")
        task = asyncio.create_task(self._make_events(run, source))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        try:
            return await self._send_events(request, run, last, headers)
        except (asyncio.CancelledError, OSError) as error:
            notice = self.options["notice"]
            if notice is not None:
                asyncio.get_running_loop().call_later(notice, run.end, "closed")
            raise asyncio.CancelledError from error

    async def _send_events(
        self,
        request: web.BaseRequest,
        run: Run,
        sent: int,
        headers: dict[str, str],
    ) -> web.StreamResponse:
        """Send events as the run makes them; break off if it is stopped."""
        headers |= {"X-Answer-Stamp": run.token, "Content-Type": "text/event-stream"}
        response = web.StreamResponse(headers=headers | {"X-Weight-Versions": "1"})
        response.enable_chunked_encoding()
        while run.last == sent and not run.how:
            await run.changed.wait()
        await response.prepare(request)
        while sent < run.last or not run.how:
            if sent == run.last:
                await run.changed.wait()
                continue
            sent += 1
            event = f"id: {sent}\ndata: {run.token} {run.request}\n\n"
            await response.write(event.encode())
        if run.how != "whole" and request.transport is not None:
            request.transport.abort()
            return response
        await response.write_eof()
        return response

    async def _make_events(self, run: Run, source: str) -> None:
        """Make the events of a run until it ends, and copy it meanwhile."""
        self.running += 1
        self.runs[run.request] = run
        await asyncio.sleep(PREFILL_SECONDS)
        if not run.how:
            await self._generate(run, source)
        self.running -= 1
        if self.runs.get(run.request) is run:
            del self.runs[run.request]
        if run.how == "whole" and run.backup:
            await self._send_copy("DELETE", run, run.backup)

    async def _generate(self, run: Run, source: str) -> None:
        first, backup = run.last + 1, run.backup
        fields = {"run": run.token, "first": first, "source": source, "backup": backup}
        self.write("begins", run.request, **fields)
        copying = asyncio.create_task(self._copy_run(run))
        while run.last < run.total and not run.how:
            run.advance()
            await asyncio.sleep(GAP_SECONDS)
        run.end("whole")
        self.write("ends", run.request, run=run.token, how=run.how, last=run.last)
        copying.cancel()

    async def _copy_run(self, run: Run) -> None:
        while run.backup:
            await self._send_copy("POST", run, run.backup)
            await asyncio.sleep(COPY_SECONDS)

    async def _send_copy(self, method: str, run: Run, to: str) -> None:
        """Send a part of a copy, unless the other engine is out of reach."""
        url, part = f"http://{to}{COPY_PATH}", [run.request, run.token]
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            sending = self.session.request(method, url, json=part, timeout=COPY_TIMEOUT)
            (await sending).release()


if __name__ == "__main__":
    asyncio.run(StubEngine(json.loads(sys.argv[1])).serve())
