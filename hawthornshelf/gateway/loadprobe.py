"""Choose the less loaded of two engines by what they say of themselves."""

import asyncio
import random
from collections.abc import Sequence

from hawthornshelf.gateway.exchange import AttemptFailed, RunnerClient
from hawthornshelf.gateway.runners import RunnerState
from hawthornshelf.logs import write_log

__all__ = ["LoadProbe"]

PROBE_TIMEOUT_SECONDS = 0.05
"""An engine answers within milliseconds; a conversation waits no longer than this."""

MIN_ENGINES = 3
"""With fewer engines to choose from, a node's own view of them is good enough."""


class LoadProbe:
    """Ask two engines drawn by lot how much they hold (power of two choices).

    Answers a fleet of many nodes, each of which has few conversations of its own and
    knows little of the others' choice.
    """

    def __init__(self, client: RunnerClient, rng: random.Random) -> None:
        self._client = client
        self._rng = rng

    async def choose(self, states: Sequence[RunnerState]) -> RunnerState | None:
        """Return the less loaded of two, or None if that can't be told."""
        if len(states) < MIN_ENGINES:
            return None
        pair = self._rng.sample(states, 2)
        loads = await asyncio.gather(*(self._read(state) for state in pair))
        known = [
            (load / state.runner.slots, number)
            for number, (state, load) in enumerate(zip(pair, loads, strict=True))
            if load is not None
        ]
        return pair[min(known)[1]] if known else None

    async def _read(self, state: RunnerState) -> int | None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                load = await self._client.read_load(state.runner)
        except AttemptFailed as error:
            write_log("load-unread", runner=error.peer, reason=error.reason)
            return None
        except TimeoutError:
            write_log("load-unread", runner=state.runner.name, reason="silence")
            return None
        return load.running + load.waiting
