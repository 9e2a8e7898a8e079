"""Send requests with long bodies, all within the limits of the manifest."""

import asyncio
import contextlib
import random
import sys
from dataclasses import dataclass
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit2 import (  # noqa: E402
    HOST,
    TROUBLE,
    ZONES,
    CannotRun,
    Deployment,
    Record,
    deploy,
    make_manifest,
    run_case,
)

REQUESTS = 60
PAUSE_SECONDS = 0.25
MAX_BODY_BYTES = 4_194_304
"""Limit of the manifest in force."""

LONG_BYTES = (262_144, MAX_BODY_BYTES)
SHORT_BYTES = (1_024, 102_400)
TIMEOUT_SECONDS = 2.0
"""TimeoutMs of both routes."""

LATE_SECONDS = 0.5
DEADLINE_SECONDS = 4.0
"""X-Deadline-Ms of the consumer, beyond the timeout of the route."""

MIN_UNANSWERED = 8


@dataclass(frozen=True)
class Outcome:
    """Store the size of a request, its status, and when the answer was whole.

    The time is in seconds from when the last byte had been sent.
    """

    size: int
    status: int
    seconds: float


async def send(deployment: Deployment, record: Record, number: int) -> Outcome:
    """Send one request on a new connection, and wait for its answer."""
    size = random.randint(*(LONG_BYTES if TROUBLE else SHORT_BYTES))
    path = "/pufi791/2f" if number % 2 else "/lohu930/2f"
    name = f"{number:016x}"
    addresses = await deployment.resolve(random.choice(ZONES))
    if not addresses:
        raise CannotRun("the directory gives no address")
    ip, _, port = addresses[0].partition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    lines = (
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {name}",
        f"X-Deadline-Ms: {int(DEADLINE_SECONDS * 1000)}",
        f"Content-Length: {size}",
    )
    writer.write("\r\n".join((*lines, "", "")).encode() + b"x" * size)
    began = record.now()
    status, text = 0, "no answer"
    with contextlib.suppress(TimeoutError, OSError, asyncio.IncompleteReadError):
        async with asyncio.timeout(DEADLINE_SECONDS):
            await writer.drain()
            began = record.now()
            answer = await reader.readuntil(b"\r\n\r\n")
            status = int(answer.split()[1])
            length = answer.lower().partition(b"content-length: ")[2].split()[0]
            text = (await reader.readexactly(int(length))).decode()
    seconds = record.now() - began
    unread = find_unread(ip, int(port), writer)
    writer.transport.abort()
    record.note(
        f"consumer {name} to {ip}{path}: {size} B, status {status} after"
        f" {seconds:.3f} s, {unread} B not read by the process, {text}"
    )
    return Outcome(size, status, seconds)


def find_unread(ip: str, port: int, writer: asyncio.StreamWriter) -> int:
    """Return the bytes that a process has not read from a connection, or -1."""
    own_ip, own_port = writer.get_extra_info("sockname")[:2]
    local, remote = make_key(ip, port), make_key(own_ip, own_port)
    with contextlib.suppress(OSError):
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if (fields[1], fields[2]) == (local, remote):
                return int(fields[4].partition(":")[2], 16)
    return -1


def make_key(ip: str, port: int) -> str:
    """Return an address as the system lists it."""
    number = bytes(map(int, ip.split(".")))
    return f"{int.from_bytes(number, sys.byteorder):08X}:{port:04X}"


async def case(record: Record) -> bool:
    """Return whether half of the requests past their route's time are answered."""
    async with deploy(record) as (deployment, runners):
        await deployment.start_all()
        await deployment.replace_until_acknowledged(make_manifest(7))
        await deployment.wait_ready()
        await asyncio.sleep(1.0)
        tasks = []
        for number in range(REQUESTS):
            tasks.append(asyncio.create_task(send(deployment, record, number)))
            await asyncio.sleep(PAUSE_SECONDS)
        outcomes = await asyncio.gather(*tasks)
        runs = sum(len(runner.runs) for runner in runners)
    served = sum(outcome.status == 200 for outcome in outcomes)
    late = [o for o in outcomes if not o.status or o.seconds > TIMEOUT_SECONDS]
    never = [
        o for o in late if not o.status or o.seconds > TIMEOUT_SECONDS + LATE_SECONDS
    ]
    record.say(f"sent {len(outcomes)}, answered with 200: {served}, runs: {runs}")
    record.say(f"unanswered at TimeoutMs: {len(late)}, 0.5 s later: {len(never)}")
    return len(late) < MIN_UNANSWERED or len(never) <= len(late) / 2


run_case(str(HERE), case)
