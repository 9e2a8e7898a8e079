"""Run a fake engine as a process."""

import argparse
import asyncio
import json
import os
import secrets
import time
from collections import deque

from aiohttp import web

from tests.fakes.model import EngineModel, EngineRates, GeneratedToken, Sequence

STEP_SECONDS = 0.02
REPORT_SECONDS = 0.5
MAX_EVENTS = 1000
CRASH_MARKER = "CRASH-THE-ENGINE"  # a prompt with it crashes the engine after prefill


class Engine:
    """Serve completions, orders, load reports and cache events."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        rates = EngineRates(options.prefill, options.decode, options.slots)
        self.model = EngineModel(rates)
        self.boot = secrets.token_hex(4)
        self.streams: dict[str, asyncio.Queue[GeneratedToken | None]] = {}
        self.loaded = {"model": "", "version": "", "adapters": [], "role": "mixed"}
        if options.model:
            self.loaded.update(model=options.model, version=options.version)
        self.changing_until = 0.0
        self.target: dict[str, object] = {}
        self.last_order = 0
        self.last_fence = 0
        self.report = (time.monotonic(), 0, 0, 0)
        self.events: deque[tuple[int, str]] = deque(maxlen=MAX_EVENTS)
        self.event_number = 0

    def record(self, kind: str, **fields: object) -> None:
        """Append an event to the record file, which the tests check."""
        if not self.options.record:
            return
        line = {"kind": kind, "engine": self.options.name, "at": time.monotonic()}
        with open(self.options.record, "a") as file:
            file.write(json.dumps({**line, **fields}) + "\n")

    async def run_forever(self) -> None:
        """Advance the model in real time."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(STEP_SECONDS)
            now = time.monotonic()
            self._finish_change(now)
            if not self._is_changing(now):
                self._step(now - last)
            last = now
            if now - self.report[0] >= REPORT_SECONDS:
                model = self.model
                counts = (len(model.running), len(model.waiting))
                self.report = (now, *counts, model.waiting_tokens())

    def _step(self, seconds: float) -> None:
        previous_blocks = set(self.model.cache)
        for token in self.model.step(min(seconds, 0.5)):
            queue = self.streams.get(token.request)
            if queue is not None:
                queue.put_nowait(token)
        for block in self.model.cache.keys() - previous_blocks:
            self.event_number += 1
            self.events.append((self.event_number, block))
        for sequence in self.model.running.values():
            if CRASH_MARKER in sequence.prompt and sequence.prefill_left <= 0:
                self.record("crashed", request=sequence.request)
                os._exit(17)

    def _is_changing(self, now: float) -> bool:
        return now < self.changing_until

    def _finish_change(self, now: float) -> None:
        if self.target and not self._is_changing(now):
            self.loaded = {k: self.target[k] for k in self.loaded}
            self.record("changed", order=self.last_order, **self.loaded)
            self.target = {}

    async def complete(self, http: web.Request) -> web.StreamResponse:
        """Stream a completion."""
        body = await http.json()
        now = time.monotonic()
        served = (self.loaded["model"], *self.loaded["adapters"])
        if self._is_changing(now) or body["model"] not in served:
            return web.json_response({"error": "model not served"}, status=503)
        request = body["request_id"]
        offset = body.get("resume_from", 0)
        queue: asyncio.Queue[GeneratedToken | None] = asyncio.Queue()
        self.streams[request] = queue
        self.record("run", request=request, offset=offset, prompt=body["prompt"][:80])
        sequence = Sequence(
            request, body["prompt"], body["max_tokens"], offset, body["priority"]
        )
        headers = {"x-engine-boot": self.boot, "content-type": "text/event-stream"}
        response = web.StreamResponse(headers=headers)
        await response.prepare(http)
        try:
            if offset < body["max_tokens"]:
                self.model.submit(sequence)
                await self._stream(response, queue)
            await response.write(b"data: [DONE]\n\n")
            self.record("done", request=request)
        finally:
            self.model.cancel(request)
            self.streams.pop(request, None)
        return response

    async def _stream(
        self,
        response: web.StreamResponse,
        queue: "asyncio.Queue[GeneratedToken | None]",
    ) -> None:
        while (token := await queue.get()) is not None:
            frame = {"offset": token.offset, "choices": [{"text": token.text}]}
            await response.write(f"data: {json.dumps(frame)}\n\n".encode())
            if token.last:
                return
        raise ConnectionResetError("stream cut by an order")

    async def order(self, http: web.Request) -> web.Response:
        """Execute an order to load a model or to change role.

        Records a violation if the order arrives during another change or while
        requests are running; such an order cuts their streams.
        """
        body = await http.json()
        now = time.monotonic()
        fence, order = body["fence"], body["order"]
        if self.options.checks and fence < self.last_fence:
            self.record("refused", order=order, fence=fence)
            return web.json_response({"error": "old fencing number"}, status=409)
        if self._is_changing(now) and order != self.last_order:
            self.record("conflict", order=order, running=self.last_order)
        if self._is_changing(now) and order == self.last_order:
            return web.json_response({"status": "changing"}, status=202)
        if self.streams:
            self.record("cut", order=order, requests=len(self.streams))
            for queue in self.streams.values():
                queue.put_nowait(None)
        self.last_fence, self.last_order = max(fence, self.last_fence), order
        self.target = body
        self.changing_until = now + self.options.change
        self.record("order", order=order, fence=fence, role=body["role"])
        return web.json_response({"status": "changing"}, status=202)

    async def state(self, http: web.Request) -> web.Response:
        """Return the engine's state."""
        now = time.monotonic()
        body = {
            "boot": self.boot,
            "changing": self._is_changing(now),
            "last_order": self.last_order,
            **self.loaded,
        }
        return web.json_response(body)

    async def load(self, http: web.Request) -> web.Response:
        """Return the last load report, which is up to REPORT_SECONDS old."""
        reported_at, running, waiting, tokens = self.report
        body = {
            "boot": self.boot,
            "running": running,
            "waiting": waiting,
            "waiting_tokens": tokens,
            "role": self.loaded["role"],
            "age": time.monotonic() - reported_at,
        }
        return web.json_response(body)

    async def cache_events(self, http: web.Request) -> web.Response:
        """Return cache events without the last five and without every tenth.

        Nodes must tolerate late and missing events.
        """
        after = int(http.query.get("after", "0"))
        events = [
            {"number": number, "block": block}
            for number, block in list(self.events)[:-5]
            if number > after and number % 10
        ]
        return web.json_response({"boot": self.boot, "events": events})

    async def crash(self, http: web.Request) -> web.Response:
        """Crash on request."""
        self.record("crashed", request="")
        os._exit(17)


def main() -> None:
    """Run the engine until it is stopped."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--name", default="engine")
    parser.add_argument("--model", default="")
    parser.add_argument("--version", default="1")
    parser.add_argument("--checks", type=int, default=1)
    parser.add_argument("--change", type=float, default=2.0)
    parser.add_argument("--prefill", type=float, default=8000.0)
    parser.add_argument("--decode", type=float, default=60.0)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--record", default="")
    options = parser.parse_args()
    host, _, port = options.listen.rpartition(":")
    engine = Engine(options)
    app = web.Application(client_max_size=16 * 1024 * 1024)
    app.router.add_post("/v1/completions", engine.complete)
    app.router.add_post("/orders", engine.order)
    app.router.add_get("/state", engine.state)
    app.router.add_get("/load", engine.load)
    app.router.add_get("/cache/events", engine.cache_events)
    app.router.add_post("/crash", engine.crash)

    async def start(_: web.Application) -> None:
        app["task"] = asyncio.create_task(engine.run_forever())

    app.on_startup.append(start)
    web.run_app(app, host=host, port=int(port), print=None, access_log=None)


if __name__ == "__main__":
    main()
