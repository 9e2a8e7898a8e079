"""Run a stand-in plain service as a process: bookings and a schedule."""

import argparse
import asyncio
import json
import time

from aiohttp import web


class Service:
    """Take bookings, which must not be repeated, and answer look-ups."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.bookings: list[str] = []

    async def book(self, http: web.Request) -> web.Response:
        """Book a visit and append it to the record."""
        body = (await http.read()).decode()
        key = http.headers.get("idempotency-key", "")
        self.bookings.append(body)
        self._record(key, body)
        await asyncio.sleep(self.options.seconds)
        answer = {"booking": len(self.bookings), "runner": self.options.name}
        return web.json_response(answer, status=201)

    async def schedule(self, http: web.Request) -> web.Response:
        """Return the schedule."""
        return web.json_response({"visits": self.bookings[-10:]})

    def _record(self, key: str, body: str) -> None:
        if self.options.record:
            line = {"kind": "booked", "key": key, "body": body, "at": time.monotonic()}
            with open(self.options.record, "a") as file:
                file.write(json.dumps({**line, "runner": self.options.name}) + "\n")


def main() -> None:
    """Run the service until it is stopped."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--name", default="service")
    parser.add_argument("--seconds", type=float, default=0.01)
    parser.add_argument("--record", default="")
    options = parser.parse_args()
    host, _, port = options.listen.rpartition(":")
    service = Service(options)
    app = web.Application()
    app.router.add_post("/bookings", service.book)
    app.router.add_get("/schedule", service.schedule)
    web.run_app(app, host=host, port=int(port), print=None, access_log=None)


if __name__ == "__main__":
    main()
