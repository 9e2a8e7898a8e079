"""Read the platform's list of engines for the node that orders them."""

import asyncio
from collections.abc import Callable, Iterable

from hawthornshelf.enginegroups import EngineCount, EngineKey
from hawthornshelf.events import EnginesListed, ServiceEngines
from hawthornshelf.gateway.contract import RunnerSource
from hawthornshelf.gateway.listreader import ListReader
from hawthornshelf.gateway.runners import Runner

__all__ = ["EngineLister", "count_engines"]

LIST_SECONDS = 2.0
"""Time between two reads of the list by the node that holds the duty."""

DUTY_POLL_SECONDS = 0.25


class EngineLister:
    """Read the list while this node holds the duty, and post the counts of engines."""

    def __init__(
        self,
        source: RunnerSource,
        holds_duty: Callable[[], bool],
        post: Callable[[EnginesListed], None],
    ) -> None:
        self._reader = ListReader(source)
        self._holds_duty = holds_duty
        self._post = post

    async def run(self) -> None:
        """Read the list regularly, until cancelled."""
        while True:
            if not self._holds_duty():
                await asyncio.sleep(DUTY_POLL_SECONDS)
                continue
            await self._read()
            await asyncio.sleep(LIST_SECONDS)

    async def _read(self) -> None:
        runner_list = await self._reader.read()
        if runner_list is not None:
            counts = count_engines(runner_list.runners)
            self._post(EnginesListed(counts, runner_list.read_at))


def count_engines(runners: Iterable[Runner]) -> tuple[ServiceEngines, ...]:
    """Return how many runners of each service, data centre and kind are listed."""
    counts: dict[tuple[str, EngineKey], EngineCount] = {}
    for runner in runners:
        key = EngineKey(runner.data_centre, runner.is_spot)
        count = counts.get((runner.service, key), EngineCount(*key, present=0))
        if runner.is_leaving:
            count = count._replace(leaving=count.leaving + 1)
        else:
            slots = count.slots + runner.slots
            count = count._replace(present=count.present + 1, slots=slots)
        counts[runner.service, key] = count
    return tuple(
        ServiceEngines(service, count) for (service, _), count in sorted(counts.items())
    )
