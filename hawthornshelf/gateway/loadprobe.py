"""Choose the less loaded of two random engines by the load that they report."""

import asyncio
import random
from collections.abc import Callable, Sequence

from hawthornshelf.gateway.exchange import AttemptFailed, RunnerClient
from hawthornshelf.gateway.runners import Runner, RunnerState
from hawthornshelf.logs import write_log

__all__ = ["MIN_ENGINES", "LoadProbe"]

PROBE_TIMEOUT_SECONDS = 0.05
"""Longest wait for a load report; an engine responds within milliseconds."""

MIN_ENGINES = 3
"""With fewer engines to choose from, a node's own view of their load suffices."""


class LoadProbe:
    """Read the load of two random engines (power of two choices).

    In a fleet of many nodes each one has few interactive requests of its own, and its
    counts leave out what the others have placed.
    """

    def __init__(
        self,
        client: RunnerClient,
        rng: random.Random,
        is_limited: Callable[[Runner], bool] = lambda runner: False,
    ) -> None:
        self._client = client
        self._rng = rng
        self._is_limited = is_limited

    async def choose(self, states: Sequence[RunnerState]) -> RunnerState | None:
        """Return the less loaded of two engines.

        Returns None if there are too few engines or if neither load is known.
        """
        if len(states) < MIN_ENGINES:
            return None
        pair = self._rng.sample(states, 2)
        loads = await asyncio.gather(*(self._read_load(state) for state in pair))
        known = [
            (max(load, state.in_flight) / state.runner.slots, number)
            for number, (state, load) in enumerate(zip(pair, loads, strict=True))
            if load is not None
        ]
        return pair[min(known)[1]] if known else None

    async def find_full(self, states: Sequence[RunnerState]) -> frozenset[str]:
        """Return the names of the engines whose slots are all taken.

        An engine whose load is unknown counts as one with room.
        """
        loads = await asyncio.gather(*(self._read_load(state) for state in states))
        return frozenset(
            state.runner.name
            for state, load in zip(states, loads, strict=True)
            if load is not None and max(load, state.in_flight) >= state.runner.slots
        )

    async def _read_load(self, state: RunnerState) -> int | None:
        """Return the load that an engine reports, or None.

        For one that names a rate it is this node's own, as reports count against it.
        """
        if self._is_limited(state.runner):
            return state.in_flight
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
