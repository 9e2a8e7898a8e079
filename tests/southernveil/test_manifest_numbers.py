"""Check manifests of all numbers end to end, over loopback sockets."""

import asyncio
from pathlib import Path

import msgspec
import pytest
from southernveil.headers import decode_route_number

from hawthornshelf.commands import Command, Result, RoutesInForce
from tests.southernveil.fakes import make_manifest
from tests.southernveil.test_path import Fleet, run_fleet

READ_PATH = "/hawthornshelf/Config.Get"
WAIT_SECONDS = 15.0


async def serve_first(fleet: Fleet, number: int) -> None:
    manifest = make_manifest(number)
    while await fleet.replace(manifest) != 200:
        await asyncio.sleep(0.1)
    status, body = await fleet.get(fleet.operator_address, READ_PATH)
    assert status == 200 and msgspec.json.decode(body) == manifest
    await fleet.wait_until(fleet.is_ready)
    assert (await fleet.ask("/safe/x"))[0] == 200
    assert fleet.entry.node.gauges()["routes_number"] == float(number)


@pytest.mark.parametrize("number", [-(2**63), -7, 0, 1, 2**63 - 1])
def test_an_acknowledged_first_manifest_is_read_back_and_served(
    tmp_path: Path, number: int
) -> None:
    async def check() -> None:
        async with asyncio.timeout(WAIT_SECONDS), run_fleet(tmp_path) as fleet:
            await serve_first(fleet, number)

    asyncio.run(check())


@pytest.mark.parametrize("number", [-(2**63) - 1, 2**63])
def test_a_number_that_can_not_be_kept_is_refused_with_a_reason(
    tmp_path: Path, number: int
) -> None:
    async def check() -> None:
        async with asyncio.timeout(WAIT_SECONDS), run_fleet(tmp_path) as fleet:
            url = f"http://{fleet.operator_address}/hawthornshelf/Config.Replace"
            body = msgspec.json.encode(make_manifest(1)).replace(
                b'"Version":1,', b'"Version":%d,' % number, 1
            )
            async with fleet.client.post(url, data=body) as response:
                assert response.status == 400
                assert "Version" in await response.text()

    asyncio.run(check())


def test_a_manifest_that_a_leader_of_an_older_build_dropped_is_not_acknowledged(
    tmp_path: Path,
) -> None:
    """An older build acknowledges a number up to 0 as `0`, and keeps nothing."""

    async def check() -> None:
        async with asyncio.timeout(WAIT_SECONDS), run_fleet(tmp_path) as fleet:
            node = fleet.control.node

            async def run_command(command: Command) -> Result:
                return RoutesInForce(0, b"")

            node.run_command = run_command
            for number in (0, -3):
                assert await fleet.replace(make_manifest(number)) == 503
            status, _ = await fleet.get(fleet.operator_address, READ_PATH)
            assert status == 503

    asyncio.run(check())


@pytest.mark.parametrize(
    ("text", "number"),
    [(None, None), ("", None), ("x", None), ("1 ", None), ("0", 0), ("-4", -4)],
)
def test_a_header_without_a_number_is_no_document(
    text: str | None, number: int | None
) -> None:
    assert decode_route_number(text) == number
