"""Check long bodies of callers and operators end to end, over loopback sockets."""

import asyncio
import json
import random
from pathlib import Path

import msgspec
import pytest
import uvloop

from tests.southernveil.fakes import make_manifest
from tests.southernveil.test_path import HOST, Fleet, run_scenario

LONG_BYTES = (60_000, 4_194_304)
MANIFEST_BYTES = (500_000, 3_000_000)
MANNERS = ("once", "chunks", "expect", "paced", "kept")
READ_PATH = "/hawthornshelf/Config.Get"
REPLACE_PATH = "/hawthornshelf/Config.Replace"
WAIT_SECONDS = 20.0


async def send(
    fleet: Fleet, address: str, path: str, body: bytes, manner: str, *lines: str
) -> tuple[int, bytes]:
    """Send one request in some manner, and return the status and body of its answer."""
    ip, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    is_chunked = manner == "chunks"
    framing = "Transfer-Encoding: chunked" if is_chunked else ""
    framing = framing or f"Content-Length: {len(body)}"
    expect = ["Expect: 100-continue"] if manner == "expect" else []
    head = "\r\n".join(
        (f"POST {path} HTTP/1.1", f"Host: {HOST}", framing, *expect, *lines, "", "")
    ).encode()
    if is_chunked:
        step = max(1, len(body) // 3)
        cuts = [body[start : start + step] for start in range(0, len(body), step)]
        body = b"".join(b"%x\r\n%s\r\n" % (len(cut), cut) for cut in cuts)
        body += b"0\r\n\r\n"
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            for _ in range(2 if manner == "kept" else 1):
                writer.write(head)
                if manner == "expect":
                    interim = await reader.readuntil(b"\r\n\r\n")
                    assert b" 100 " in interim
                if manner == "paced":
                    for start in range(0, len(body), 65_536):
                        writer.write(body[start : start + 65_536])
                        await asyncio.sleep(0.002)
                else:
                    writer.write(body)
                answer = (await reader.readuntil(b"\r\n\r\n")).lower()
                length = int(answer.partition(b"content-length: ")[2].split()[0])
                content = await reader.readexactly(length)
            return int(answer.split()[1]), content
    finally:
        writer.close()


@pytest.mark.parametrize("manner", MANNERS)
@pytest.mark.parametrize("seed", [1, 2])
def test_no_long_body_of_a_caller_stays_unanswered(
    tmp_path: Path, manner: str, seed: int
) -> None:
    async def scenario(fleet: Fleet) -> None:
        draws = random.Random(seed)
        for number in range(6):
            body = b"x" * draws.randint(*LONG_BYTES)
            status, content = await send(
                fleet,
                fleet.caller_address,
                f"/safe/{number}",
                body,
                manner,
                f"X-Request-Id: long-{manner}-{number}",
                "X-Deadline-Ms: 15000",
            )
            assert status == 200 and content == b"whole " + body

    run_scenario(tmp_path, scenario, uvloop.new_event_loop)


def test_no_long_manifest_stays_unanswered(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        draws = random.Random(3)
        for number in range(8):
            manifest = make_manifest(10 + number)
            manifest["Note"] = "n" * draws.randint(*MANIFEST_BYTES)
            body = json.dumps(manifest).encode()
            manner = MANNERS[number % len(MANNERS)]
            status, _ = await send(
                fleet, fleet.operator_address, REPLACE_PATH, body, manner
            )
            assert status == 200
            status, content = await fleet.get(fleet.operator_address, READ_PATH)
            assert status == 200 and msgspec.json.decode(content) == manifest

    run_scenario(tmp_path, scenario, uvloop.new_event_loop)


@pytest.mark.parametrize("size", [10, 300_000])
def test_a_body_that_stops_coming_gets_408_at_its_routes_timeout(
    tmp_path: Path, size: int
) -> None:
    async def scenario(fleet: Fleet) -> None:
        routes = make_manifest()["Routes"]
        assert isinstance(routes, list)
        short = [{**routes[0], "TimeoutMs": 300}, *routes[1:]]
        assert await fleet.replace(make_manifest(5, Routes=short)) == 200
        forwarder = fleet.entry.node.forwarder

        async def is_in_force() -> bool:
            return forwarder.route_number == 5

        await fleet.wait_until(is_in_force)
        for path, deadline in (("/safe/x", 15_000), ("/unsafe/x", 300)):
            ip, _, port = fleet.caller_address.partition(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            lines = (
                f"POST {path} HTTP/1.1",
                f"Host: {HOST}",
                "X-Request-Id: stopped",
                f"X-Deadline-Ms: {deadline}",
                f"Content-Length: {size + 1}",
            )
            writer.write("\r\n".join((*lines, "", "")).encode() + b"x" * size)
            async with asyncio.timeout(WAIT_SECONDS):
                answer = await reader.readuntil(b"\r\n\r\n")
                assert answer.startswith(b"HTTP/1.1 408 ")
                assert b"connection: close" in answer.lower()
                await reader.read()
            writer.close()
        assert fleet.app.received == []

    run_scenario(tmp_path, scenario)


def test_a_manifest_that_stops_coming_gets_408(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("hawthornshelf.inboundlimits.MAX_REQUEST_BODY_SECONDS", 0.3)

    async def scenario(fleet: Fleet) -> None:
        ip, _, port = fleet.operator_address.partition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        head = f"POST {REPLACE_PATH} HTTP/1.1\r\nHost: o\r\nContent-Length: 9\r\n\r\n"
        writer.write(head.encode() + b"{")
        async with asyncio.timeout(WAIT_SECONDS):
            assert (await reader.read()).startswith(b"HTTP/1.1 408 ")
        writer.close()
        assert (await fleet.get(fleet.operator_address, READ_PATH))[0] == 200

    run_scenario(tmp_path, scenario)
