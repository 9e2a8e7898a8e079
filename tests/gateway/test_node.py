import asyncio
from pathlib import Path

from hawthornshelf.clock import SystemClock
from hawthornshelf.gateway.node import BUDGET_SETTLE_SECONDS
from tests.southernveil.test_path import run_fleet


def test_a_node_that_knows_no_others_yet_spends_no_shared_slack(tmp_path: Path) -> None:
    """After a restart of all nodes each one would otherwise spend the whole slack."""

    async def run() -> None:
        async with run_fleet(tmp_path) as fleet:
            node = fleet.entry.node
            now = SystemClock().monotonic()
            assert node.count_nodes(now) == 0
            assert node.count_nodes(now + BUDGET_SETTLE_SECONDS) >= 1

    asyncio.run(run())
