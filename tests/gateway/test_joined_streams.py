"""Break streams off while engines of several builds serve, and take them up."""

import asyncio
from collections.abc import Callable

import pytest

from tests.gateway.buildfleet import BuildFleet, StreamTraffic
from tests.gateway.crashfleet import CONTACT_SECONDS

RATE = 16.0
SECONDS = 8.0
SETTLE_SECONDS = 4.0
"""Time from the start of all nodes until they are in touch."""

SHORT_EVENT_SECONDS = 0.05
MIN_TAKE_UPS = 12
MIN_SERVING = 2
"""Runners of a build beside which the streams that it began are to go on."""

MIN_SHARE = 0.5
"""Share of what new streams get that those taken up must get, by the platform."""

Disturb = Callable[[StreamTraffic], object]


def play(
    disturb: Disturb,
    nodes: int = 5,
    seed: int = 1,
    engines: int = 4,
    builds: tuple[str, ...] = ("v1.1", "v1.2"),
) -> StreamTraffic:
    """Begin streams at engines of two builds, and disturb them."""
    fleet = BuildFleet(
        seed=seed, nodes=nodes, engines=engines, apps=0, retry_slack=200.0
    )
    fleet.set_builds(*builds)
    traffic = StreamTraffic(fleet)

    async def scenario(fleet: BuildFleet) -> None:
        await asyncio.sleep(SETTLE_SECONDS)
        async with asyncio.TaskGroup() as group:
            group.create_task(traffic.send(SECONDS, RATE))
            group.create_task(disturb(traffic))  # type: ignore[arg-type]

    fleet.run(scenario)  # type: ignore[arg-type]
    return traffic


async def break_engines(traffic: StreamTraffic) -> None:
    """Let the engines of one build cut their streams, again and again."""
    for _ in range(int(SECONDS / 0.7)):
        await asyncio.sleep(0.7)
        for runner in traffic.fleet.of_build("v1.1"):
            traffic.fleet.break_connections(runner)


async def break_off(traffic: StreamTraffic) -> None:
    """Let callers lose some of their connections, again and again."""
    for _ in range(int(SECONDS / 0.3)):
        await asyncio.sleep(0.3)
        traffic.break_off(share=0.15)


async def kill_some(traffic: StreamTraffic) -> None:
    """Kill a tenth of the nodes, then others."""
    names = traffic.fleet.entry_names
    size = max(1, len(names) // 10)
    for first in range(0, 5 * size, size):
        await asyncio.sleep(1.0)
        await traffic.kill_nodes(names[first : first + size], 0.5)


async def kill_all(traffic: StreamTraffic) -> None:
    await asyncio.sleep(4.0)
    await traffic.kill_nodes(traffic.fleet.entry_names, 1.0)


async def leave_before_kill(traffic: StreamTraffic) -> None:
    """Let one build leave the list while its streams still run; then kill all."""
    await asyncio.sleep(3.0)
    for runner in traffic.fleet.of_build("v1.1"):
        runner.leave()
    await asyncio.sleep(1.5)
    await traffic.kill_nodes(traffic.fleet.entry_names, 1.0)


async def end_before_kill(traffic: StreamTraffic) -> None:
    """End one build for good just before all nodes are killed."""
    await asyncio.sleep(4.0)
    for runner in traffic.fleet.of_build("v1.1"):
        traffic.fleet.remove(runner)
    await traffic.kill_nodes(traffic.fleet.entry_names, 2.0)


async def release_before_kill(traffic: StreamTraffic) -> None:
    """Replace all engines by a new build, and kill all nodes in the middle of it."""
    fleet = traffic.fleet
    old = list(fleet.runners)
    await asyncio.sleep(2.0)
    for number, runner in enumerate(old):
        fleet.add_engine(f"new{number}", "v1.3")
        await asyncio.sleep(0.4)
        runner.leave()
    await traffic.kill_nodes(fleet.entry_names, 1.0)
    await asyncio.sleep(0.5)
    for runner in old:
        fleet.remove(runner)


async def replace_at_address(traffic: StreamTraffic) -> None:
    """Let engines come back at their old address with another build."""
    for number, runner in enumerate(list(traffic.fleet.runners)):
        await asyncio.sleep(1.0)
        runner.down_seconds = 0.5
        runner.build = f"v1.{3 + number}"
        runner.crash()


DISTURBANCES = [
    break_engines,
    break_off,
    kill_some,
    kill_all,
    leave_before_kill,
    end_before_kill,
    release_before_kill,
    replace_at_address,
]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("nodes", [5, 80])
@pytest.mark.parametrize("disturb", DISTURBANCES, ids=lambda d: d.__name__)
def test_no_stream_holds_events_of_two_builds(
    disturb: Disturb, nodes: int, seed: int
) -> None:
    traffic = play(disturb, nodes, seed)
    assert len(traffic.joined()) == 0
    assert len(traffic.broken_content()) == 0


@pytest.mark.parametrize("nodes", [5, 80])
@pytest.mark.parametrize("disturb", [break_off, kill_some], ids=lambda d: d.__name__)
def test_streams_taken_up_go_on_while_runners_of_their_build_serve(
    disturb: Disturb, nodes: int
) -> None:
    traffic = play(disturb, nodes, 3)
    assert len(traffic.taken_up()) >= MIN_TAKE_UPS
    assert traffic.share_going_on() >= MIN_SHARE * traffic.share_beginning()


@pytest.mark.parametrize("nodes", [5, 40])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_suspect_of_a_crash_that_is_taken_up_goes_on_at_its_build(
    seed: int, nodes: int
) -> None:
    """A suspect has one engine to run at; that of another build is none to go on at."""

    async def crash_engines(traffic: StreamTraffic) -> None:
        for _ in range(4):
            await asyncio.sleep(1.5)
            for runner in traffic.fleet.of_build("v1.1")[:-MIN_SERVING]:
                runner.down_seconds = 1.0
                runner.crash()
            await asyncio.sleep(0.1)
            traffic.break_off()

    builds = ("v1.1", "v1.2", "v1.2", "v1.2")
    traffic = play(crash_engines, nodes, seed, 20, builds)
    taken_up = traffic.take_ups["v1.1"]
    assert len(taken_up) >= MIN_TAKE_UPS
    assert sum(taken_up) / len(taken_up) >= MIN_SHARE * traffic.share_beginning()
    assert len(traffic.joined()) == 0


@pytest.mark.parametrize("nodes", [5, 80])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_short_stream_that_breaks_off_goes_on_when_taken_up_at_once(
    seed: int, nodes: int
) -> None:
    """Nodes record origins several times a second; a short stream breaks before."""

    async def break_often(traffic: StreamTraffic) -> None:
        for runner in traffic.fleet.runners:
            runner.event_seconds = SHORT_EVENT_SECONDS
        for _ in range(int(SECONDS / SHORT_EVENT_SECONDS)):
            await asyncio.sleep(SHORT_EVENT_SECONDS)
            traffic.break_off(share=0.2)

    traffic = play(break_often, nodes, seed)
    taken_up = [went_on for tries in traffic.take_ups.values() for went_on in tries]
    assert len(taken_up) >= MIN_TAKE_UPS
    assert sum(taken_up) / len(taken_up) >= MIN_SHARE * traffic.share_beginning()
    assert len(traffic.joined()) == 0


def test_streams_taken_up_after_a_kill_of_all_nodes_go_on() -> None:
    """The first tries are refused; those after the contact time count."""

    async def kill_long(traffic: StreamTraffic) -> None:
        await asyncio.sleep(4.0)
        names = traffic.fleet.entry_names
        await traffic.kill_nodes(names, 0.2)
        traffic.break_off()
        for _ in range(8):
            await asyncio.sleep(CONTACT_SECONDS / 3)
            traffic.break_off(share=0.3)

    traffic = play(kill_long, 5, 4)
    assert len(traffic.taken_up()) >= MIN_TAKE_UPS
    assert traffic.share_going_on() >= MIN_SHARE * traffic.share_beginning()
    assert len(traffic.joined()) == 0
