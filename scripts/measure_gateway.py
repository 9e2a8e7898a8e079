"""Measure the latency that a gateway adds, and profile it, on loopback."""

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
POLL_SECONDS = 0.05
PROFILED_FUNCTIONS = {
    "request to the runner": ("platform/southernveil/runnerclient.py", "_request"),
    "response to the caller": ("platform/southernveil/servers.py", "respond"),
    "log line and metrics": ("hawthornshelf/gateway/recorder.py", "record_end"),
    "decoding the request": ("platform/southernveil/servers.py", "_decode"),
    "the whole request": ("hawthornshelf/gateway/forwarder.py", "serve"),
}


async def measure(name: str, call: Callable[[], Awaitable[object]]) -> None:
    """Print the median and 99th percentile latency of sequential calls."""
    latencies_ms = []
    for _ in range(REQUESTS):
        started_at = time.perf_counter()
        await call()
        latencies_ms.append((time.perf_counter() - started_at) * 1000)
    latencies_ms.sort()
    p50, p99 = latencies_ms[REQUESTS // 2], latencies_ms[REQUESTS * 99 // 100]
    print(f"{name}: p50 {p50:.2f} ms, p99 {p99:.2f} ms, {REQUESTS} requests")


def print_profile(profile: cProfile.Profile) -> None:
    """Print the cumulative time per request of each profiled function."""
    stats = pstats.Stats(profile).stats  # type: ignore[attr-defined]
    for label, (file, function) in PROFILED_FUNCTIONS.items():
        for (path, _, name), (_, _, _, total, _) in stats.items():
            if path.endswith(file) and name == function:
                print(f"  {label}: {total / REQUESTS * 1000:.3f} ms, profiled")


async def measure_fleet(fleet: Fleet) -> None:
    """Measure a runner directly, then through the gateway."""
    headers = {"Host": "h", "X-Request-Id": "1", "X-Expect-Instance": "i-app"}
    url = f"http://{fleet.app.address}/safe/x"

    async def call_directly() -> None:
        async with fleet.client.post(url, data=b"in", headers=headers) as response:
            await response.read()

    await measure("runner alone", call_directly)
    await measure("through the gateway", lambda: fleet.ask("/safe/x"))
    profile = cProfile.Profile()
    profile.enable()
    for _ in range(REQUESTS):
        await fleet.ask("/safe/x")
    profile.disable()
    print_profile(profile)


async def main() -> None:
    """Run control, gateway and runner in one process and measure them."""
    with tempfile.TemporaryDirectory() as folder:
        async with run_fleet(Path(folder)) as fleet:
            while await fleet.replace(make_manifest(1)) != 200:
                await asyncio.sleep(POLL_SECONDS)
            await fleet.wait_until(fleet.is_ready)
            await measure_fleet(fleet)


if __name__ == "__main__":
    asyncio.run(main())
