import asyncio
import random

import pytest

from hawthornshelf.gateway.cacherelease import CacheReleaser
from hawthornshelf.gateway.exchange import KvCacheHandle
from hawthornshelf.gateway.ratelimiter import RateLimiter
from hawthornshelf.limitrecords import Permit
from hawthornshelf.ratelimits import RateLimitTable
from tests.gateway.fakes import Fleet
from tests.gateway.load import VirtualClock, run_in_virtual_time

ENGINE = "p0"


def release(address: str, is_granted: bool) -> tuple[list[KvCacheHandle], list[str]]:
    """Return what was dropped and the runners for which permits were asked.

    The engine ENGINE names a rate.
    """
    clock, table, asked = VirtualClock(), RateLimitTable(), []
    fleet = Fleet([])
    state = fleet.runners.find(ENGINE)
    assert state is not None
    table.learn(0.0, state.runner.key, 1.0, 0.0)

    async def ask(runner: str, max_wait: float) -> Permit:
        asked.append(runner)
        return Permit(is_granted, 0.0)

    limiter = RateLimiter(table, ask, clock, random.Random(1))
    releaser = CacheReleaser(fleet, fleet.runners, limiter)

    async def main() -> None:
        releaser.release(KvCacheHandle(address, "handle"))
        await asyncio.sleep(1.0)
        assert asyncio.all_tasks() == {asyncio.current_task()}

    run_in_virtual_time(clock, main())
    return fleet.dropped, asked


@pytest.mark.parametrize("is_granted", [True, False])
def test_a_cache_of_a_rate_limited_engine_is_released_with_a_permit_only(
    is_granted: bool,
) -> None:
    dropped, asked = release("h:12", is_granted)
    assert asked == [f"{ENGINE}/0"]
    assert bool(dropped) is is_granted


@pytest.mark.parametrize("address", ["h:10", "gone:1"])
def test_other_caches_are_released_without_a_permit(address: str) -> None:
    dropped, asked = release(address, is_granted=False)
    assert [handle.address for handle in dropped] == [address]
    assert not asked


def test_no_release_outlives_the_stop_of_its_node() -> None:
    clock = VirtualClock()
    fleet = Fleet([])

    async def hang(handle: KvCacheHandle) -> None:
        await asyncio.sleep(60.0)

    fleet.drop_handle = hang  # type: ignore[method-assign]

    async def ask(runner: str, max_wait: float) -> Permit:
        raise AssertionError(runner)

    limiter = RateLimiter(RateLimitTable(), ask, clock, random.Random(1))
    releaser = CacheReleaser(fleet, fleet.runners, limiter)

    async def main() -> None:
        releaser.release(KvCacheHandle("h:12", "handle"))
        await asyncio.sleep(0.1)
        await releaser.stop()
        assert asyncio.all_tasks() == {asyncio.current_task()}

    run_in_virtual_time(clock, main())
