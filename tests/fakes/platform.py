"""Run a fake platform as a process: a delayed list of live and leaving VMs."""

import argparse
import time

from aiohttp import web


class Platform:
    """Store the states of VMs and list them as they were `lag` seconds ago."""

    def __init__(self, lag: float) -> None:
        self.lag = lag
        self.changes: list[tuple[float, str, str]] = []

    async def change(self, http: web.Request) -> web.Response:
        """Set the state of a VM: live, leaving or gone."""
        body = await http.json()
        self.changes.append((time.monotonic(), body["name"], body["state"]))
        return web.json_response({})

    async def vms(self, http: web.Request) -> web.Response:
        """Return the delayed list of VMs."""
        listed_until = time.monotonic() - self.lag
        states = {name: state for at, name, state in self.changes if at <= listed_until}
        vms = [{"name": n, "state": s} for n, s in states.items() if s != "gone"]
        return web.json_response({"vms": vms})


def main() -> None:
    """Run the platform until it is stopped."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--lag", type=float, default=1.0)
    options = parser.parse_args()
    host, _, port = options.listen.rpartition(":")
    platform = Platform(options.lag)
    app = web.Application()
    app.router.add_get("/vms", platform.vms)
    app.router.add_post("/vms", platform.change)
    web.run_app(app, host=host, port=int(port), print=None, access_log=None)


if __name__ == "__main__":
    main()
