"""Measure what a gateway adds to a request, and where its time goes, on loopback."""

import asyncio
import cProfile
import pstats
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

from tests.southernveil.fakes import make_manifest  # noqa: E402
from tests.southernveil.test_path import Fleet, run_fleet  # noqa: E402

REQUESTS = 500
TURN_SECONDS = 0.05
PARTS = {
    "request to the runner": ("platform/southernveil/runnerclient.py", "_request"),
    "answer to the caller": ("platform/southernveil/servers.py", "respond"),
    "log line and metrics": ("hawthornshelf/gateway/recorder.py", "record_end"),
    "decoding the request": ("platform/southernveil/servers.py", "_decode"),
    "all of a request": ("hawthornshelf/gateway/forwarder.py", "serve"),
}


async def measure(name: str, ask: Callable[[], Awaitable[object]]) -> None:
    """Print the median and the 99th percentile of one call after another."""
    times = []
    for _ in range(REQUESTS):
        began = time.perf_counter()
        await ask()
        times.append((time.perf_counter() - began) * 1000)
    times.sort()
    p50, p99 = times[REQUESTS // 2], times[REQUESTS * 99 // 100]
    print(f"{name}: p50 {p50:.2f} ms, p99 {p99:.2f} ms, {REQUESTS} requests")


def print_parts(profile: cProfile.Profile) -> None:
    """Print the processor time of each named part, per request."""
    stats = pstats.Stats(profile).stats  # type: ignore[attr-defined]
    for part, (file, function) in PARTS.items():
        for (path, _, name), (_, _, _, total, _) in stats.items():
            if path.endswith(file) and name == function:
                print(f"  {part}: {total / REQUESTS * 1000:.3f} ms, profiled")


async def show(fleet: Fleet) -> None:
    """Measure a fleet that serves."""
    headers = {"Host": "h", "X-Request-Id": "1", "X-Expect-Instance": "i-app"}
    url = f"http://{fleet.app.address}/safe/x"

    async def ask_directly() -> None:
        async with fleet.client.post(url, data=b"in", headers=headers) as answer:
            await answer.read()

    await measure("runner alone", ask_directly)
    await measure("through the gateway", lambda: fleet.ask("/safe/x"))
    profile = cProfile.Profile()
    profile.enable()
    for _ in range(REQUESTS):
        await fleet.ask("/safe/x")
    profile.disable()
    print_parts(profile)


async def main() -> None:
    """Run control, gateway and runner in one process and ask them."""
    with tempfile.TemporaryDirectory() as folder:
        async with run_fleet(Path(folder)) as fleet:
            while await fleet.replace(make_manifest(1)) != 200:
                await asyncio.sleep(TURN_SECONDS)
            await fleet.wait_until(fleet.is_ready)
            await show(fleet)


if __name__ == "__main__":
    asyncio.run(main())
