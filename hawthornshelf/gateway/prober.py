"""Probe runners: whether one responds, and whether this node reaches any."""

import asyncio
import random
from collections.abc import Callable

from hawthornshelf.clock import Clock
from hawthornshelf.gateway.exchange import AttemptFailed, RunnerClient, RunnerReplaced
from hawthornshelf.gateway.ratelimiter import RateLimiter
from hawthornshelf.gateway.reachability import RunnerReachability
from hawthornshelf.gateway.runners import Runner, RunnerTable

__all__ = ["RunnerProber"]

REACHABILITY_TIMEOUT_SECONDS = 0.3
PERMIT_WAIT_SECONDS = 0.1
"""Longest wait for a permit to probe a lost runner that names a rate."""


class RunnerProber:
    """Probe runners by the health path of their service.

    `find_health_path` returns that path, empty for engines.
    """

    def __init__(
        self,
        client: RunnerClient,
        runners: RunnerTable,
        limiter: RateLimiter,
        reachability: RunnerReachability,
        clock: Clock,
        rng: random.Random,
        find_health_path: Callable[[str], str],
    ) -> None:
        self._client = client
        self._runners = runners
        self._limiter = limiter
        self._reachability = reachability
        self._clock = clock
        self._rng = rng
        self._find_health_path = find_health_path

    async def probe(self, runner: Runner) -> int:
        """Return the boot of a runner that responds; raise AttemptFailed."""
        if self._runners.is_paused(self._clock.monotonic(), runner):
            raise AttemptFailed("probe", runner.name, "paused", sent=False)
        if not await self._limiter.acquire(runner, PERMIT_WAIT_SECONDS):
            raise AttemptFailed("probe", runner.name, "rate limit", sent=False)
        path = self._find_health_path(runner.service)
        boot = await self._client.probe(runner, path)
        self._reachability.record_answer()
        return boot

    async def check_reachability(self) -> None:
        """Probe some runners if it is unclear whether this node reaches any."""
        count = self._reachability.count_probes()
        if not count:
            return
        now = self._clock.monotonic()
        open_runners = [
            runner
            for runner in self._runners.staying()
            if not self._limiter.is_limited(runner)
            and not self._runners.is_paused(now, runner)
        ]
        probed = self._rng.sample(open_runners, min(count, len(open_runners)))
        await asyncio.gather(*map(self.probe_reachability, probed))

    async def probe_reachability(self, runner: Runner) -> None:
        """Probe a runner; another one that answers at its address is in reach too."""
        try:
            async with asyncio.timeout(REACHABILITY_TIMEOUT_SECONDS):
                await self.probe(runner)
        except RunnerReplaced:
            self._reachability.record_answer()
        except (AttemptFailed, TimeoutError):
            self._reachability.record_failure(runner, len(self._runners.keys()))
