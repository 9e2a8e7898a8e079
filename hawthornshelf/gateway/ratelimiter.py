"""Keep the requests to runners within the rates that they name."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence

from hawthornshelf.clock import Clock
from hawthornshelf.gateway.exchange import RateLimitNotice
from hawthornshelf.gateway.runners import Runner, RunnerState
from hawthornshelf.limitrecords import Permit
from hawthornshelf.permits import MIN_RATE
from hawthornshelf.ratelimits import RateLimitTable

__all__ = ["AskPermit", "RateLimiter"]

RETRY_SECONDS = 0.02
"""Shortest time after which a node asks again for a permit that it did not get."""

AskPermit = Callable[[str, float], Awaitable[Permit]]
"""Ask for a permit for a boot of a runner, free within some seconds."""


class RateLimiter:
    """Ask for a permit before each request to a runner that names a rate.

    `ask` asks the node that issues the runner's permits. What it answered tells when to
    ask again, so that most requests need not ask.
    """

    def __init__(
        self, table: RateLimitTable, ask: AskPermit, clock: Clock, rng: random.Random
    ) -> None:
        self._table = table
        self._ask = ask
        self._clock = clock
        self._rng = rng
        self._free_at: dict[str, float] = {}

    def record(self, notice: RateLimitNotice) -> None:
        """Record what an answer says of its runner's rate.

        Only an answer to a request that was run ends a limit, if it was sent after the
        runner had last named one: others may not say all that the runner would.
        """
        now = self._clock.monotonic()
        if notice.rate is not None:
            self._table.learn(now, notice.runner.key, notice.rate, notice.answered_at)
        elif notice.has_run:
            self._table.learn(now, notice.runner.key, None, notice.sent_at)

    def retain(self, runners: frozenset[str]) -> None:
        """Forget the limits of boots of runners that have been gone for long."""
        self._table.retain(self._clock.monotonic(), runners)
        self._free_at = {k: at for k, at in self._free_at.items() if k in runners}

    def is_limited(self, runner: Runner) -> bool:
        """Return whether a runner takes requests with a permit only."""
        return self._table.find(runner.key) is not None

    def limited(self, states: Iterable[RunnerState]) -> list[RunnerState]:
        """Return the runners that take requests with a permit only."""
        if not self._table.count:
            return []
        return [state for state in states if self.is_limited(state.runner)]

    def exhausted(self, states: Iterable[RunnerState]) -> frozenset[str]:
        """Return the names of the runners for which no permit is free now."""
        now = self._clock.monotonic()
        return frozenset(
            state.runner.name
            for state in self.limited(states)
            if now < self._free_at.get(state.runner.key, now)
        )

    def first_free(self, states: Iterable[RunnerState]) -> RunnerState | None:
        """Return the runner for which a permit is free first, as far as is known."""
        return min(states, key=self._find_free_at, default=None)

    def retry_after(self, states: Sequence[RunnerState]) -> float:
        """Return after how many seconds a refused caller may find a permit.

        The permits that others have got in advance tell the demand; callers that were
        refused together are spread.
        """
        free_at = min(map(self._find_free_at, states))
        rates = [self._table.find(state.runner.key) or 0.0 for state in states]
        interval = 1.0 / max(MIN_RATE, sum(rates))
        wait = max(interval, free_at - self._clock.monotonic())
        return wait * self._rng.uniform(1.0, 2.0)

    async def acquire(self, runner: Runner, max_wait: float = 0.0) -> bool:
        """Return whether a request may go to a runner now, after waiting its turn.

        A runner without a limit needs no permit. `max_wait` is in seconds.
        """
        if not self.is_limited(runner):
            return True
        key, now = runner.key, self._clock.monotonic()
        if now + max_wait < self._free_at.get(key, now):
            return False
        permit = await self._ask(key, max_wait)
        self._remember(key, permit)
        if permit.is_granted and permit.wait > 0.0:
            await asyncio.sleep(permit.wait)
        return permit.is_granted

    def _remember(self, key: str, permit: Permit) -> None:
        """Remember when the next permit may be free."""
        rate = self._table.find(key)
        pause = RETRY_SECONDS
        if permit.is_granted:
            pause = 1.0 / max(rate, MIN_RATE) if rate is not None else 0.0
        self._free_at[key] = self._clock.monotonic() + permit.wait + pause

    def _find_free_at(self, state: RunnerState) -> float:
        return self._free_at.get(state.runner.key, 0.0)
