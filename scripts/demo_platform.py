"""Show the platform's start program in front of stand-in runners, on loopback."""

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import msgspec

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

from tests.southernveil.fakes import (  # noqa: E402
    ENGINE_SERVICE,
    FakeRunner,
    FakeRunnerList,
    free_ports,
    make_manifest,
    make_settings,
)

IPS = ("127.0.0.1", "127.0.0.2")
HOST = "ficu95.example"
WAIT_SECONDS = 20.0
TURN_SECONDS = 0.1
LONG = {"X-Token-Counts": "9000,2", "X-Prompt-Prefix": "5c1e:6000,91bd:3000"}


@contextlib.asynccontextmanager
async def run_standins() -> AsyncIterator[FakeRunnerList]:
    """Run the platform's list and four runners."""
    runners = [
        FakeRunner(name="i-app"),
        FakeRunner(name="i-p", service=ENGINE_SERVICE, stage="prefill"),
        FakeRunner(name="i-d1", service=ENGINE_SERVICE, stage="decode"),
        FakeRunner(name="i-d2", service=ENGINE_SERVICE, stage="decode"),
    ]
    cloud = FakeRunnerList()
    for server in (*runners, cloud):
        await server.start()
    cloud.entries = [runner.entry() for runner in runners]
    yield cloud
    for server in (*runners, cloud):
        server.stop()


async def start(role: str, settings: Path, log: Path) -> asyncio.subprocess.Process:
    """Start one process of ours as the platform does."""
    environment = {**os.environ, "HAWTHORNSHELF_BOOT": str(settings)}
    with log.open("wb") as output:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "platform" / "serve.py"),
            role,
            env=environment,
            stdout=output,
            stderr=output,
        )


async def until(what: str, ask) -> None:  # type: ignore[no-untyped-def]
    """Wait until a call returns status 200."""
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                if await ask() == 200:
                    print(f"  {what}")
                    return
            await asyncio.sleep(TURN_SECONDS)


async def show(folder: Path, cloud: FakeRunnerList) -> None:
    """Start the fleet, serve, kill one node, serve on, and stop gracefully."""
    ports = free_ports(5)
    front, ready, operator, _, _ = ports
    processes = {}
    for role, ip in (("control", IPS[0]), ("entry", IPS[0]), ("entry", IPS[1])):
        make_settings(folder, ip, role, ports, cloud.address)
        settings = folder / f"{role}-{ip}.toml"
        log = folder / f"{role}-{ip}.log"
        processes[role, ip] = await start(role, settings, log)
    async with aiohttp.ClientSession() as client:

        async def replace() -> int:
            url = f"http://{IPS[0]}:{operator}/hawthornshelf/Config.Replace"
            body = msgspec.json.encode(make_manifest(1))
            async with client.post(url, data=body) as answer:
                return answer.status

        async def is_ready(ip: str) -> int:
            url = f"http://{ip}:{ready}/hawthornshelf/readyz"
            async with client.get(url) as answer:
                return answer.status

        async def ask(ip: str, path: str, **headers: str) -> None:
            fixed = {"Host": HOST, "X-Request-Id": path, "X-Deadline-Ms": "3000"}
            url = f"http://{ip}:{front}{path}"
            sent = {**fixed, **headers}
            async with client.post(url, data=b"hello", headers=sent) as answer:
                body = await answer.read()
                stamp = answer.headers.get("X-Answer-Stamp", "")
                print(f"  {ip} {path}: {answer.status}, {len(body)} bytes, {stamp}")

        await until("a manifest is in force", replace)
        for ip in IPS:
            await until(f"{ip} is ready", lambda ip=ip: is_ready(ip))
        for ip in IPS:
            await ask(ip, "/safe/schedule")
            await ask(ip, "/unsafe/booking")
            await ask(ip, "/read/history", **LONG)
        processes["entry", IPS[0]].kill()
        print(f"  {IPS[0]} is killed; callers turn to {IPS[1]}")
        await ask(IPS[1], "/safe/schedule-again")
    for (role, ip), process in processes.items():
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGTERM)
        print(f"  {role} at {ip} ended with {await process.wait()}")


async def main() -> None:
    """Run the demo in a folder of its own."""
    print("On the platform: two entry nodes, one control node, stand-in runners")
    with tempfile.TemporaryDirectory() as folder:
        async with run_standins() as cloud:
            await show(Path(folder), cloud)


if __name__ == "__main__":
    asyncio.run(main())
