import asyncio
import random

from hawthornshelf.gateway.exchange import AttemptFailed, EngineLoad
from hawthornshelf.gateway.loadprobe import LoadProbe
from hawthornshelf.gateway.runners import Runner, RunnerState
from tests.gateway.fakes import Fleet


class Reports(Fleet):
    """Answer with given loads; without one an engine is silent or out of reach."""

    def __init__(self, loads: dict[str, int], silent: str = "") -> None:
        super().__init__([])
        self.loads = loads
        self.silent = silent
        self.reads = 0

    async def read_load(self, runner: Runner) -> EngineLoad:
        self.reads += 1
        if runner.name == self.silent:
            await asyncio.sleep(60)
        if runner.name not in self.loads:
            raise AttemptFailed("read load", runner.name, "refused", sent=False)
        return EngineLoad(self.loads[runner.name] - 1, 1)


def choose(client: Reports, count: int = 3) -> RunnerState | None:
    names = ("d0", "d1", "p0")[:count]
    states = [client.runners.find(name) for name in names]
    probe = LoadProbe(client, random.Random(1))
    return asyncio.run(probe.choose([state for state in states if state]))


def test_the_less_loaded_of_two_is_chosen() -> None:
    for _ in range(5):
        chosen = choose(Reports({"d0": 9, "d1": 30, "p0": 31}))
        assert chosen is not None and chosen.runner.name in ("d0", "d1")


def test_an_engine_that_cannot_be_asked_is_passed_over() -> None:
    loads = {"d0": 40, "d1": 40, "p0": 40}
    silent = choose(Reports(loads, silent="d1"))
    assert silent is not None and silent.runner.name != "d1"
    assert choose(Reports({})) is None


def test_few_engines_are_not_asked() -> None:
    client = Reports({"d0": 1, "d1": 2})
    assert choose(client, 2) is None
    assert client.reads == 0
