"""Keep the requests to runners within the rates that they name."""

from hawthornshelf.clock import Clock
from hawthornshelf.gateway.exchange import RateLimitNotice
from hawthornshelf.ratelimits import RateLimitTable

__all__ = ["RateLimiter"]


class RateLimiter:
    """Record the rates that runners name in their answers."""

    def __init__(self, table: RateLimitTable, clock: Clock) -> None:
        self._table = table
        self._clock = clock

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
