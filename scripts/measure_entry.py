"""Measure the latency and requests a second that one entry node adds."""

import argparse
import asyncio
import statistics
import sys
import tempfile
import time
from pathlib import Path

import aiohttp

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from scripts.harness import make_nodes, start_fleet
from tests.fleet import Fleet


async def call_direct(session: aiohttp.ClientSession, fleet: Fleet) -> None:
    """Call the service itself."""
    async with session.get(f"http://{fleet.addresses['app-0']}/schedule") as response:
        await response.read()


async def call_entry(session: aiohttp.ClientSession, fleet: Fleet) -> None:
    """Call the service through an entry node."""
    url = f"http://{fleet.listen['e0']}/v1/services/app/schedule"
    async with session.get(url) as response:
        await response.read()
        if response.status != 200:
            raise RuntimeError(f"status {response.status}")


async def stream_direct(session: aiohttp.ClientSession, fleet: Fleet) -> None:
    """Stream 20 tokens from the engine itself."""
    body = {"model": "chat", "prompt": "x", "max_tokens": 20, "priority": 0}
    body["request_id"] = f"direct-{time.monotonic_ns()}"
    url = f"http://{fleet.addresses['llm-0']}/v1/completions"
    async with session.post(url, json=body) as response:
        await response.read()


async def stream_entry(session: aiohttp.ClientSession, fleet: Fleet) -> None:
    """Stream 20 tokens through an entry node."""
    body = {"model": "chat", "prompt": "x", "max_tokens": 20, "stream": True}
    url = f"http://{fleet.listen['e0']}/v1/completions"
    async with session.post(url, json=body) as response:
        await response.read()
        if response.status != 200:
            raise RuntimeError(f"status {response.status}")


async def time_calls(call, fleet: Fleet, seconds: float, workers: int) -> str:
    """Run workers side by side and describe what they saw."""
    latencies: list[float] = []
    until = time.monotonic() + seconds

    async def work(session: aiohttp.ClientSession) -> None:
        while time.monotonic() < until:
            began = time.monotonic()
            await call(session, fleet)
            latencies.append(time.monotonic() - began)

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(*(work(session) for _ in range(workers)))
    cuts = statistics.quantiles(latencies, n=100)
    return (
        f"{call.__name__:14} {workers:3} callers  {len(latencies) / seconds:8.0f}/s  "
        f"p50 {cuts[49] * 1000:7.2f} ms  p95 {cuts[94] * 1000:7.2f} ms  "
        f"p99 {cuts[98] * 1000:7.2f} ms"
    )


async def measure(fleet: Fleet, seconds: float) -> None:
    """Measure each way of calling, one caller and many."""
    await start_fleet(fleet, engines=1, services=1, slots=64)
    for workers in (1, 32):
        for call in (call_direct, call_entry, stream_direct, stream_entry):
            print(await time_calls(call, fleet, seconds, workers), flush=True)


def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), make_nodes(3, 1), extra=("--log-level=error",))
        try:
            asyncio.run(measure(fleet, options.seconds))
        finally:
            fleet.stop()


if __name__ == "__main__":
    main()
