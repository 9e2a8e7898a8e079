import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest

from hawthornshelf.crashrecords import MIN_QUARANTINE_SECONDS
from hawthornshelf.crashtable import SUSPECT_SECONDS
from hawthornshelf.gateway.exchange import Prompt
from tests.gateway.crashfleet import (
    CONTACT_SECONDS,
    LONG,
    POISON,
    SHORT,
    CrashFleet,
    Entry,
)

ROUTES: dict[str, tuple[str, Prompt | None]] = {
    "safe": ("/safe/x", None),
    "unsafe": ("/once/x", None),
    "resumable": ("/talk/x", SHORT),
    "prefilled": ("/read/x", LONG),
}
MAX_LATE_SENDS = 3
"""Sends that the platform allows later than its contact time after the third crash."""

PAUSE_SECONDS = 1.0


async def send_poison(fleet: CrashFleet, name: str, count: int = 24) -> None:
    """Send one request again and again at random nodes."""
    path, prompt = ROUTES[name]
    for _ in range(count):
        await fleet.draw_entry().ask(path, POISON, prompt)
        await asyncio.sleep(PAUSE_SECONDS)


async def send_neighbours(
    fleet: CrashFleet, name: str, rate: float, seconds: float
) -> Counter[str]:
    """Send other requests and count how they ended."""
    path, prompt = ROUTES[name]
    outcomes: Counter[str] = Counter()

    async def ask(number: int) -> None:
        caller = await fleet.draw_entry().ask(path, b"%d" % number, prompt, 4.0)
        if caller.retry_after > PAUSE_SECONDS:
            outcomes["quarantined"] += 1
        elif "held" in caller.reason:
            outcomes["held"] += 1
        else:
            outcomes["cut" if caller.aborted else str(caller.status)] += 1

    async with asyncio.TaskGroup() as group:
        for number in range(int(rate * seconds)):
            group.create_task(ask(number))
            await asyncio.sleep(fleet.rng.expovariate(rate))
    return outcomes


@pytest.mark.parametrize("name", ROUTES)
def test_a_request_that_crashed_three_runners_is_not_sent_on(name: str) -> None:
    fleet = CrashFleet(prefillers=2)
    fleet.run(lambda fleet: send_poison(fleet, name))
    assert len(fleet.crash_times()) >= 3
    assert fleet.sends_after_third_crash() <= MAX_LATE_SENDS


@pytest.mark.parametrize("name", ROUTES)
def test_a_request_that_crashes_runners_silently_is_not_sent_on(name: str) -> None:
    fleet = CrashFleet(prefillers=2, nodes=5)
    for runner in fleet.runners:
        runner.crashes_silently = True
    fleet.run(lambda fleet: send_poison(fleet, name))
    assert len(fleet.crash_times()) >= 3
    assert fleet.sends_after_third_crash() <= MAX_LATE_SENDS


@pytest.mark.parametrize("name", ROUTES)
def test_runners_that_restart_under_their_name_have_crashed_too(name: str) -> None:
    fleet = CrashFleet(prefillers=2, nodes=5)
    for runner in fleet.runners:
        runner.keeps_name = True
    fleet.run(lambda fleet: send_poison(fleet, name))
    assert fleet.sends_after_third_crash() <= MAX_LATE_SENDS


def test_a_stream_that_completes_after_it_crashed_a_runner_is_not_sent_on() -> None:
    fleet = CrashFleet(nodes=5, poison_events=-2)
    fleet.run(lambda fleet: send_poison(fleet, "resumable"))
    assert len(fleet.crash_times()) >= 3
    assert fleet.sends_after_third_crash() <= MAX_LATE_SENDS


def test_copies_sent_at_once_at_all_nodes_are_not_sent_on() -> None:
    fleet = CrashFleet(nodes=8)

    async def play(fleet: CrashFleet) -> None:
        for _ in range(10):
            entries = list(fleet.entries.values())
            await asyncio.gather(*(e.ask("/safe/x", POISON) for e in entries))
            await asyncio.sleep(PAUSE_SECONDS)

    fleet.run(play)
    assert len(fleet.crash_times()) >= 3
    assert fleet.sends_after_third_crash() <= MAX_LATE_SENDS


def test_retries_of_a_crashing_request_cost_three_runners() -> None:
    fleet = CrashFleet(nodes=5)
    fleet.run(lambda fleet: send_poison(fleet, "safe"))
    assert len(fleet.crash_times()) == 3


@pytest.mark.parametrize("name", ["safe", "unsafe", "resumable"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_neighbours_of_a_crashing_request_are_neither_held_nor_quarantined(
    name: str, seed: int
) -> None:
    fleet = CrashFleet(nodes=5, seed=seed)
    outcomes: Counter[str] = Counter()

    async def play(fleet: CrashFleet) -> None:
        poison = asyncio.create_task(send_poison(fleet, name, 15))
        outcomes.update(await send_neighbours(fleet, name, 60.0, 15.0))
        await poison

    fleet.run(play)
    assert fleet.sends_after_third_crash() <= MAX_LATE_SENDS
    assert not outcomes["quarantined"] and not outcomes["held"]
    assert outcomes["200"] >= 0.97 * outcomes.total()


async def reset_answers(fleet: CrashFleet) -> None:
    for entry in fleet.entries.values():
        entry.client.resets = lambda attempt: fleet.rng.random() < 0.3


async def silence_runners(fleet: CrashFleet) -> None:
    """Freeze runners, or cut links without a word, for up to six seconds."""
    for _ in range(8):
        for runner in fleet.rng.sample(fleet.runners, 2):
            seconds = fleet.rng.choice([0.5, 2.0, 6.0])
            runner.silent_until = fleet.clock.monotonic() + seconds
        await asyncio.sleep(3.0)


async def refuse_runners(fleet: CrashFleet) -> None:
    for _ in range(8):
        chosen = {runner.address for runner in fleet.rng.sample(fleet.runners, 2)}
        fleet.refuse_connections(chosen)
        await asyncio.sleep(2.0)
        fleet.refuse_connections(set())
        await asyncio.sleep(1.0)


async def reset_connections(fleet: CrashFleet) -> None:
    for _ in range(24):
        fleet.break_connections(fleet.rng.choice(fleet.runners))
        await asyncio.sleep(1.0)


async def replace_runners(fleet: CrashFleet) -> None:
    """Let one runner after the other leave as planned and come back."""
    for _ in range(6):
        runner = fleet.rng.choice(fleet.runners)
        runner.leave()
        await asyncio.sleep(3.5)
        runner.end()
        await asyncio.sleep(0.5)
        runner.restart()


Fault = Callable[[CrashFleet], Awaitable[None]]
FAULTS: dict[str, tuple[Fault, ...]] = {
    "lost and spoilt answers": (reset_answers,),
    "freezes and silent cuts": (silence_runners,),
    "refusing cuts": (refuse_runners,),
    "resets": (reset_connections,),
    "planned replacements": (replace_runners,),
    "all together": (
        reset_answers,
        silence_runners,
        refuse_runners,
        reset_connections,
        replace_runners,
    ),
}


@pytest.mark.parametrize("route", ["safe", "unsafe", "resumable"])
@pytest.mark.parametrize("name", FAULTS)
def test_a_request_is_not_quarantined_by_faults_that_are_no_crashes(
    name: str, route: str
) -> None:
    fleet = CrashFleet(nodes=5)
    path, prompt = ROUTES[route]
    blocked: list[float] = []

    async def repeat(number: int) -> None:
        while fleet.clock.monotonic() < 28.0:
            caller = await fleet.draw_entry().ask(path, b"%d" % number, prompt)
            if "runners crashed" in caller.reason:
                blocked.append(caller.retry_after)
            await asyncio.sleep(fleet.rng.uniform(0.1, 0.3))

    async def play(fleet: CrashFleet) -> None:
        async with asyncio.TaskGroup() as group:
            for fault in FAULTS[name]:
                group.create_task(fault(fleet))  # type: ignore[arg-type]
            for number in range(30):
                group.create_task(repeat(number))

    fleet.run(play)
    assert all(retry_after <= PAUSE_SECONDS for retry_after in blocked)
    assert name == "all together" or not blocked


def count_crashes(entry: Entry) -> int:
    return len(entry.standing("/safe/x", POISON).crashes)


def test_a_node_that_starts_after_the_third_crash_learns_of_it() -> None:
    fleet = CrashFleet(nodes=3)

    async def play(fleet: CrashFleet) -> None:
        await send_poison(fleet, "safe", 3)
        fleet.entries["n0"].kill()
        entry = fleet.start_entry("n0")
        assert count_crashes(entry) == 0
        await asyncio.sleep(1.0)
        caller = await entry.ask("/safe/x", POISON)
        assert caller.status == 503 and "3 runners crashed" in caller.reason
        assert len(fleet.crash_times()) == 3

    fleet.run(play)


def test_a_node_that_was_cut_off_learns_of_the_crashes_once_it_is_back() -> None:
    fleet = CrashFleet(nodes=4)

    async def play(fleet: CrashFleet) -> None:
        others = [name for name in fleet.entry_names if name != "n0"]
        fleet.cut = {("n0", name) for name in others}
        entry, lone = fleet.entries["n1"], fleet.entries["n0"]
        for _ in range(2):
            await entry.ask("/safe/x", POISON)
            await asyncio.sleep(0.5)
        assert count_crashes(entry) == 3 and count_crashes(lone) == 0
        await asyncio.sleep(20.0)
        fleet.cut = set()
        await asyncio.sleep(CONTACT_SECONDS)
        assert count_crashes(lone) == 3

    fleet.run(play)


def test_every_one_of_eighty_nodes_knows_a_crash_within_the_contact_time() -> None:
    fleet = CrashFleet(nodes=80)

    async def play(fleet: CrashFleet) -> None:
        for _ in range(8):
            if len(fleet.crash_times()) < 3:
                await send_poison(fleet, "unsafe", 1)
        known_at = fleet.crash_times()[2] + CONTACT_SECONDS
        await asyncio.sleep(max(0.0, known_at - fleet.clock.monotonic()))
        standings = [e.standing("/once/x", POISON) for e in fleet.entries.values()]
        assert [len(standing.crashes) for standing in standings] == [3] * 80

    fleet.run(play)


def test_a_quarantine_ends_and_a_request_that_is_harmless_by_then_is_served() -> None:
    fleet = CrashFleet(nodes=3)

    async def play(fleet: CrashFleet) -> None:
        await send_poison(fleet, "safe", 4)
        crashes = len(fleet.crash_times())
        fleet.is_poison_mended = True
        await asyncio.sleep(MIN_QUARANTINE_SECONDS)
        entry = fleet.draw_entry()
        assert (await entry.ask("/safe/x", POISON)).status == 200
        await asyncio.sleep(PAUSE_SECONDS)
        for entry in fleet.entries.values():
            assert entry.standing("/safe/x", POISON).crashes == ()
        assert len(fleet.crash_times()) == crashes

    fleet.run(play)


def test_a_request_that_crashes_again_after_its_quarantine_waits_longer() -> None:
    fleet = CrashFleet(nodes=3)

    async def play(fleet: CrashFleet) -> None:
        await send_poison(fleet, "safe", 4)
        await asyncio.sleep(MIN_QUARANTINE_SECONDS)
        await send_poison(fleet, "safe", 6)
        assert len(fleet.crash_times()) == 4
        caller = await fleet.draw_entry().ask("/safe/x", POISON)
        assert caller.retry_after > 3 * MIN_QUARANTINE_SECONDS

    fleet.run(play)


def test_suspects_are_forgotten_after_a_while() -> None:
    fleet = CrashFleet(nodes=3)

    async def play(fleet: CrashFleet) -> None:
        await fleet.draw_entry().ask("/once/x", POISON)
        await asyncio.sleep(PAUSE_SECONDS)
        assert all(len(e.core.crashes) == 1 for e in fleet.entries.values())
        await asyncio.sleep(SUSPECT_SECONDS + 2 * PAUSE_SECONDS)
        assert all(len(e.core.crashes) == 0 for e in fleet.entries.values())
        assert all(e.core.crashes.checksum == 0 for e in fleet.entries.values())

    fleet.run(play)


def test_a_fleet_without_crashes_sends_no_probes_and_no_news() -> None:
    fleet = CrashFleet(nodes=3)

    async def play(fleet: CrashFleet) -> None:
        await send_neighbours(fleet, "safe", 30.0, 5.0)

    fleet.run(play)
    assert fleet.probes == 0
    assert all(len(entry.core.crashes) == 0 for entry in fleet.entries.values())
