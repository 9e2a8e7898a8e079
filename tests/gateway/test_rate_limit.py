"""Send requests to runners that name how many they take of all nodes together."""

import asyncio
from collections.abc import Callable

import pytest

from hawthornshelf.gateway.exchange import Prompt, PromptSegment
from hawthornshelf.gateway.runners import Stage
from tests.gateway.crashfleet import SimRunner
from tests.gateway.limitfleet import LimitFleet, LimitTraffic, allowed_requests

BEFORE_SECONDS = 3.0
SECONDS = 14.0


def play(
    fleet: LimitFleet,
    choose: Callable[[LimitFleet], list[SimRunner]],
    rate: float,
    traffic: LimitTraffic,
    disturb: Callable[[LimitFleet], object] | None = None,
) -> None:
    """Let some runners name a rate after a while; fail if one gets too much."""

    async def scenario(fleet: LimitFleet) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(traffic.send())
            await asyncio.sleep(BEFORE_SECONDS)
            for runner in choose(fleet):
                fleet.limit(runner, lambda: rate)
            if disturb is not None:
                group.create_task(disturb(fleet))  # type: ignore[arg-type]

    fleet.run(scenario)  # type: ignore[arg-type]
    check(fleet)


def check(fleet: LimitFleet) -> None:
    for key, rate in fleet.rates.items():
        assert fleet.counted(key), "nothing was sent, so nothing is shown"
        assert fleet.worst_window(key) <= allowed_requests(rate), key


def apps(count: int) -> Callable[[LimitFleet], list[SimRunner]]:
    return lambda fleet: [r for r in fleet.runners if r.service == "app"][:count]


@pytest.mark.parametrize("limited", [1, 3])
@pytest.mark.parametrize("nodes", [3, 5, 11, 81])
def test_a_runner_gets_no_more_than_it_takes_of_all_nodes_together(
    nodes: int, limited: int
) -> None:
    fleet = LimitFleet(nodes=nodes, apps=3, engines=1)
    play(fleet, apps(limited), 3.0, LimitTraffic(fleet, seconds=SECONDS))


@pytest.mark.parametrize("rate", [0.0, 0.3, 2.3, 8.0, 25.0])
def test_whatever_rate_a_runner_names_it_gets_no_more(rate: float) -> None:
    fleet = LimitFleet(nodes=11, apps=3, engines=1)
    play(fleet, apps(1), rate, LimitTraffic(fleet, rate=120.0, seconds=SECONDS))


def make_short(number: int) -> Prompt:
    segments = (PromptSegment("x", 100), PromptSegment(f"own{number}", 100))
    return Prompt(200, 50, segments)


def make_long(number: int) -> Prompt:
    shared = PromptSegment(f"s{number % 12}", 6000)
    return Prompt(9000, 5, (shared, PromptSegment(f"own{number}", 3000)))


@pytest.mark.parametrize(
    ("path", "make_prompt", "stage", "count"),
    [
        ("/talk/x", make_short, Stage.DECODE, 1),
        ("/talk/x", make_short, Stage.DECODE, 4),
        ("/read/x", make_long, Stage.DECODE, 1),
        ("/read/x", make_long, Stage.DECODE, 4),
        ("/read/x", make_long, Stage.PREFILL, 1),
        ("/read/x", make_long, Stage.PREFILL, 2),
    ],
)
def test_an_engine_gets_no_more_prefills_runs_and_reads_than_it_takes(
    path: str, make_prompt: Callable[[int], Prompt], stage: Stage, count: int
) -> None:
    fleet = LimitFleet(nodes=11, apps=1, engines=4, prefillers=2)

    def choose(fleet: LimitFleet) -> list[SimRunner]:
        return [r for r in fleet.runners if r.stage is stage][:count]

    play(fleet, choose, 2.3, LimitTraffic(fleet, path, 60.0, SECONDS, make_prompt, 4.0))
