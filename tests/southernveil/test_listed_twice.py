"""Check that requests are served while the list names a runner twice."""

import asyncio
from pathlib import Path

import pytest

from tests.ports import free_ports
from tests.southernveil.test_path import LONG, SHORT, Fleet, run_scenario

LIST_SECONDS = 15.0
REQUESTS = 6


@pytest.mark.parametrize("is_earlier_first", [True, False])
def test_requests_are_served_while_an_earlier_start_of_each_runner_is_listed(
    tmp_path: Path, is_earlier_first: bool
) -> None:
    """All requests for such an engine were placed again and again, without end."""

    async def scenario(fleet: Fleet) -> None:
        entries: list[object] = []
        for runner in (fleet.app, fleet.prefiller, *fleet.decoders):
            address = f"127.0.0.1:{free_ports(1)[0]}"
            held = {**runner.entry(), "born": 1789256658049}
            earlier = {**held, "born": 1789256598049, "Address": address}
            pair = (earlier, held) if is_earlier_first else (held, earlier)
            entries.extend(pair)
        fleet.runner_list.entries = entries

        async def is_listed() -> bool:
            states = [fleet.entry.node.runners.find(n) for n in ("i-app", "i-d2")]
            return all(state and state.runner.boot for state in states)

        async with asyncio.timeout(LIST_SECONDS):
            await fleet.wait_until(is_listed)
        for number in range(REQUESTS):
            assert (await fleet.ask(f"/safe/{number}"))[0] == 200
            assert (await fleet.ask(f"/t/{number}", **SHORT))[0] == 200
            assert (await fleet.ask(f"/read/{number}", **LONG))[0] == 200

    run_scenario(tmp_path, scenario)
