"""Demonstrate platform/serve.py with fake runners on loopback addresses."""

import asyncio
import contextlib
import signal
import sys
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import msgspec

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

from tests.ports import free_ports  # noqa: E402
from tests.southernveil.fakes import (  # noqa: E402
    ENGINE_SERVICE,
    FakeRunner,
    FakeRunnerList,
    make_manifest,
    make_settings,
)
from tests.southernveil.processes import start_process  # noqa: E402

IPS = ("127.0.0.1", "127.0.0.2")
HOST = "ficu95.example"
WAIT_SECONDS = 20.0
POLL_SECONDS = 0.1
LONG_PROMPT = {"X-Token-Counts": "9000,2", "X-Prompt-Prefix": "5c1e:6000,91bd:3000"}


@contextlib.asynccontextmanager
async def run_fakes() -> AsyncIterator[FakeRunnerList]:
    """Run four fake runners and the platform's list of them."""
    runners = [
        FakeRunner(name="i-app"),
        FakeRunner(name="i-p", service=ENGINE_SERVICE, stage="prefill"),
        FakeRunner(name="i-d1", service=ENGINE_SERVICE, stage="decode"),
        FakeRunner(name="i-d2", service=ENGINE_SERVICE, stage="decode"),
    ]
    runner_list = FakeRunnerList()
    for server in (*runners, runner_list):
        await server.start()
    runner_list.entries = [runner.entry() for runner in runners]
    yield runner_list
    for server in (*runners, runner_list):
        server.stop()


async def wait_until(condition: str, call) -> None:  # type: ignore[no-untyped-def]
    """Wait until a call returns status 200, and print what became true."""
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                if await call() == 200:
                    print(f"  {condition}")
                    return
            await asyncio.sleep(POLL_SECONDS)


async def run_demo(folder: Path, runner_list: FakeRunnerList) -> None:
    """Start the fleet, kill one entry node, use the other, and stop gracefully."""
    ports = free_ports(5)
    front, ready, operator, _, _ = ports
    processes = {}
    for role, ip in (("control", IPS[0]), ("entry", IPS[0]), ("entry", IPS[1])):
        make_settings(folder, ip, role, ports, runner_list.address)
        settings = folder / f"{role}-{ip}.toml"
        log = folder / f"{role}-{ip}.log"
        processes[role, ip] = await start_process(role, settings, log)
    async with aiohttp.ClientSession() as client:

        async def replace() -> int:
            url = f"http://{IPS[0]}:{operator}/hawthornshelf/Config.Replace"
            body = msgspec.json.encode(make_manifest(1))
            async with client.post(url, data=body) as response:
                return response.status

        async def is_ready(ip: str) -> int:
            url = f"http://{ip}:{ready}/hawthornshelf/readyz"
            async with client.get(url) as response:
                return response.status

        async def send_request(ip: str, path: str, **headers: str) -> None:
            required = {"Host": HOST, "X-Request-Id": path, "X-Deadline-Ms": "3000"}
            url = f"http://{ip}:{front}{path}"
            all_headers = {**required, **headers}
            async with client.post(url, data=b"hello", headers=all_headers) as response:
                body = await response.read()
                stamp = response.headers.get("X-Answer-Stamp", "")
                print(f"  {ip} {path}: {response.status}, {len(body)} bytes, {stamp}")

        await wait_until("a manifest is in force", replace)
        for ip in IPS:
            await wait_until(f"{ip} is ready", lambda ip=ip: is_ready(ip))
        for ip in IPS:
            await send_request(ip, "/safe/schedule")
            await send_request(ip, "/unsafe/booking")
            await send_request(ip, "/read/history", **LONG_PROMPT)
        processes["entry", IPS[0]].kill()
        print(f"  {IPS[0]} is killed; callers use {IPS[1]}")
        await send_request(IPS[1], "/safe/schedule-again")
    for (role, ip), process in processes.items():
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGTERM)
        print(f"  {role} at {ip} ended with {await process.wait()}")


async def main() -> None:
    """Run the demo in a temporary folder."""
    print("On the platform: two entry nodes, one control node, fake runners")
    with tempfile.TemporaryDirectory() as folder:
        async with run_fakes() as runner_list:
            await run_demo(Path(folder), runner_list)


if __name__ == "__main__":
    asyncio.run(main())
