"""Run a stand-in engine as a process."""

import argparse
import asyncio
import json
import os
import secrets
import time
from collections import deque

from aiohttp import web

from tests.fakes.model import EngineModel, EngineRates, Piece, Sequence

STEP_SECONDS = 0.02
REPORT_SECONDS = 0.5
MAX_EVENTS = 1000
CRASH_MARK = "CRASH-THE-ENGINE"


class Engine:
    """Serve completions, orders, load reports and cache events."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        rates = EngineRates(options.prefill, options.decode, options.slots)
        self.model = EngineModel(rates)
        self.boot = secrets.token_hex(4)
        self.streams: dict[str, asyncio.Queue[Piece | None]] = {}
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
        """Append to this engine's own record of what happened."""
        if not self.options.record:
            return
        line = {"kind": kind, "engine": self.options.name, "at": time.monotonic()}
        with open(self.options.record, "a") as file:
            file.write(json.dumps({**line, **fields}) + "\n")

    async def run_forever(self) -> None:
        """Step the model in real time."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(STEP_SECONDS)
            now = time.monotonic()
            self._finish_change(now)
            if not self._changing(now):
                self._step(now - last)
            last = now
            if now - self.report[0] >= REPORT_SECONDS:
                model = self.model
                sizes = (len(model.running), len(model.waiting))
                self.report = (now, *sizes, model.waiting_tokens())

    def _step(self, seconds: float) -> None:
        before = set(self.model.cache)
        for piece in self.model.step(min(seconds, 0.5)):
            sequence_queue = self.streams.get(piece.request)
            if sequence_queue is not None:
                sequence_queue.put_nowait(piece)
        for block in self.model.cache.keys() - before:
            self.event_number += 1
            self.events.append((self.event_number, block))
        for sequence in self.model.running.values():
            if CRASH_MARK in sequence.prompt and sequence.prefill_left <= 0:
                self.record("crashed", request=sequence.request)
                os._exit(17)

    def _changing(self, now: float) -> bool:
        return now < self.changing_until

    def _finish_change(self, now: float) -> None:
        if self.target and not self._changing(now):
            self.loaded = {k: self.target[k] for k in self.loaded}
            self.record("changed", order=self.last_order, **self.loaded)
            self.target = {}

    async def complete(self, http: web.Request) -> web.StreamResponse:
        """Stream a completion."""
        body = await http.json()
        now = time.monotonic()
        served = (self.loaded["model"], *self.loaded["adapters"])
        if self._changing(now) or body["model"] not in served:
            return web.json_response({"error": "not serving that"}, status=503)
        request = body["request_id"]
        offset = body.get("resume_from", 0)
        queue: asyncio.Queue[Piece | None] = asyncio.Queue()
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
        self, response: web.StreamResponse, queue: "asyncio.Queue[Piece | None]"
    ) -> None:
        while (piece := await queue.get()) is not None:
            frame = {"offset": piece.offset, "choices": [{"text": piece.text}]}
            await response.write(f"data: {json.dumps(frame)}\n\n".encode())
            if piece.last:
                return
        raise ConnectionResetError("cut by a change")

    async def order(self, http: web.Request) -> web.Response:
        """Take an order to load or to change role."""
        body = await http.json()
        now = time.monotonic()
        fence, order = body["fence"], body["order"]
        if self.options.checks and fence < self.last_fence:
            self.record("refused", order=order, fence=fence)
            return web.json_response({"error": "old fencing number"}, status=409)
        if self._changing(now) and order != self.last_order:
            self.record("conflict", order=order, running=self.last_order)
        if self._changing(now) and order == self.last_order:
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
        """Report the engine's own state."""
        now = time.monotonic()
        body = {
            "boot": self.boot,
            "changing": self._changing(now),
            "last_order": self.last_order,
            **self.loaded,
        }
        return web.json_response(body)

    async def load(self, http: web.Request) -> web.Response:
        """Report the load as it was a while ago."""
        at, running, waiting, tokens = self.report
        body = {
            "boot": self.boot,
            "running": running,
            "waiting": waiting,
            "waiting_tokens": tokens,
            "role": self.loaded["role"],
            "age": time.monotonic() - at,
        }
        return web.json_response(body)

    async def cache_events(self, http: web.Request) -> web.Response:
        """Publish cache events late, and leave every tenth out."""
        after = int(http.query.get("after", "0"))
        events = [
            {"number": number, "block": block}
            for number, block in list(self.events)[:-5]
            if number > after and number % 10
        ]
        return web.json_response({"boot": self.boot, "events": events})

    async def crash(self, http: web.Request) -> web.Response:
        """Crash on demand."""
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
