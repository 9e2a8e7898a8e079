"""Run a stand-in platform as a process: a lagging list of live and leaving VMs."""

import argparse
import time

from aiohttp import web


class Platform:
    """Hold the VMs; the list shows them as they were `lag` seconds ago."""

    def __init__(self, lag: float) -> None:
        self.lag = lag
        self.changes: list[tuple[float, str, str]] = []

    async def change(self, http: web.Request) -> web.Response:
        """Set a VM to live, leaving or gone."""
        body = await http.json()
        self.changes.append((time.monotonic(), body["name"], body["state"]))
        return web.json_response({})

    async def vms(self, http: web.Request) -> web.Response:
        """Return the list as it was a while ago."""
        seen = time.monotonic() - self.lag
        states = {name: state for at, name, state in self.changes if at <= seen}
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
