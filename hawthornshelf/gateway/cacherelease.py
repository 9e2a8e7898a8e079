"""Release KV caches that no engine will fetch."""

import asyncio

from hawthornshelf.gateway.exchange import AttemptFailed, KvCacheHandle, RunnerClient
from hawthornshelf.gateway.ratelimiter import RateLimiter
from hawthornshelf.gateway.runners import RunnerTable
from hawthornshelf.logs import write_log

__all__ = ["CacheReleaser"]


class CacheReleaser:
    """Release KV caches in the background, within the rates that engines name."""

    def __init__(
        self, client: RunnerClient, runners: RunnerTable, limiter: RateLimiter
    ) -> None:
        self._client = client
        self._runners = runners
        self._limiter = limiter
        self._tasks: set[asyncio.Task[None]] = set()

    def release(self, source: KvCacheHandle) -> None:
        """Start to release a KV cache; the result is only logged."""
        task = asyncio.create_task(self._drop(source))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Cancel all releases."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _drop(self, source: KvCacheHandle) -> None:
        try:
            if not await self._may_drop(source):
                raise AttemptFailed("drop handle", source.address, "rate limit", False)
            await self._client.drop_handle(source)
        except AttemptFailed as error:
            write_log("handle-left", peer=error.peer, reason=error.reason)

    async def _may_drop(self, source: KvCacheHandle) -> bool:
        """Return whether the engine that keeps a KV cache takes a request now."""
        state = self._runners.find_address(source.address)
        return state is None or await self._limiter.acquire(state.runner)
