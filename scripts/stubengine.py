"""Run a stand-in for a runner as a process of its own, which may be stopped."""

import asyncio
import contextlib
import json
import secrets
import sys
import time
from typing import Any

import aiohttp
from aiohttp import web

COPY_PATH = "/stub/copy"
BACKLOG = 2
"""Connections that the kernel completes while the process is stopped; others hang."""

PREFILL_SECONDS = 0.02
WORK_SECONDS = 0.06
GAP_SECONDS = 0.05
COPY_SECONDS = 0.15
COPY_TIMEOUT = aiohttp.ClientTimeout(1.0)
HANDLE_TTL_SECONDS = 5.0


class StubEngine:
    """Stream numbered events, keep copies for others, and record each run.

    A stream runs from its first event on, a plain request from its arrival on. Each
    event names its run. The option `bare` is the share of plain runs that end with a
    503 that doesn't say "not run".
    """

    def __init__(self, options: dict[str, Any]) -> None:
        self.options = options
        self.born = int(time.time() * 1000)
        self.copies: dict[str, tuple[str, float]] = {}
        self.used: set[str] = set()
        self.running = 0

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
        name = request.headers.get("X-Request-Id", "")
        headers = {"X-Instance-Id": self.options["name"], "X-Request-Id": name}
        if request.path in ("/hawthornshelf/report", "/healthz"):
            report = {"Running": self.running, "Waiting": 0, "Busy": False, "Seq": 0}
            report |= {"Stage": self.options["stage"], "born": self.born}
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
        self.running += 1
        try:
            if self.options["stage"]:
                return await self._run_stream(request, name, headers)
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

    async def _work(self, request: str, headers: dict[str, str]) -> web.Response:
        run = secrets.token_hex(4)
        self.write("begins", request, run=run, first=1, source="")
        await asyncio.sleep(WORK_SECONDS)
        self.write("ends", request, run=run, how="whole", last=1)
        if secrets.randbelow(1000) < 1000 * self.options["bare"]:
            return web.Response(status=503, headers=headers)
        headers["X-Answer-Stamp"] = run
        return web.Response(body=f"{run} {request}".encode(), headers=headers)

    async def _run_stream(
        self, request: web.BaseRequest, name: str, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Stream the events behind the last one that the request names."""
        last = int(request.headers.get("Last-Event-Id") or 0)
        total = int(request.headers["X-Token-Counts"].partition(",")[2])
        source = request.headers.get("X-Kv-Source", "")
        run, how = secrets.token_hex(4), "closed"
        if source:
            run, _ = self.copies.pop(name)
            self.used.add(name)
        await asyncio.sleep(PREFILL_SECONDS)
        backup, first = request.headers.get("X-Kv-Backup", ""), last + 1
        self.write("begins", name, run=run, first=first, source=source, backup=backup)
        copying = asyncio.create_task(self._copy_run(name, run, backup))
        headers |= {"X-Answer-Stamp": run, "Content-Type": "text/event-stream"}
        response = web.StreamResponse(headers=headers | {"X-Weight-Versions": "1"})
        response.enable_chunked_encoding()
        try:
            await response.prepare(request)
            while last < total:
                last += 1
                await response.write(f"id: {last}\ndata: {run} {name}\n\n".encode())
                await asyncio.sleep(GAP_SECONDS)
            await response.write_eof()
            how = "whole"
        finally:
            self.write("ends", name, run=run, how=how, last=last)
            copying.cancel()
        await self._send_copy("DELETE", name, run, backup)
        return response

    async def _copy_run(self, request: str, run: str, backup: str) -> None:
        while backup:
            await self._send_copy("POST", request, run, backup)
            await asyncio.sleep(COPY_SECONDS)

    async def _send_copy(self, method: str, request: str, run: str, to: str) -> None:
        """Send a part of a copy, unless the other engine is out of reach."""
        url, part = f"http://{to}{COPY_PATH}", [request, run]
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            sending = self.session.request(method, url, json=part, timeout=COPY_TIMEOUT)
            (await sending).release()


if __name__ == "__main__":
    asyncio.run(StubEngine(json.loads(sys.argv[1])).serve())
