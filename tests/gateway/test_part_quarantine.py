"""Send requests whose prompts share a part that crashes each runner."""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

import pytest

from hawthornshelf.gateway.exchange import Prompt, PromptSegment
from tests.gateway.crashfleet import CONTACT_SECONDS, POISON, CrashFleet
from tests.gateway.crashsoak import FAULTS

MAX_LATE_SENDS = 3
"""Sends that the platform allows later than its contact time after the fifth crash."""

MIN_SERVED = 0.95
"""Share of sound requests served at the first attempt, of that before the crashes."""

SECONDS = 24.0
BEFORE_SECONDS = 2.0
SUBJECTS = 12

DEPTHS: dict[str, tuple[str, ...]] = {
    "first": ("POISON", "s1"),
    "second": ("system", "POISON"),
    "last": ("system", "s1", "s2", "POISON"),
    "after-new-part": ("system", "NEW", "POISON"),
    "before-new-part": ("system", "POISON", "NEW"),
}


def make_prompt(*parts: str, tokens: int = 100, model: str = "") -> Prompt:
    segments = tuple(PromptSegment(part, tokens) for part in parts)
    return Prompt(tokens * len(parts), 50, segments, model)


@dataclass
class Traffic:
    """Send sound and poison requests at random nodes, and record how they ended."""

    fleet: CrashFleet
    path: str
    shape: tuple[str, ...]
    sound_rate: float = 60.0
    poison_rate: float = 3.0
    seconds: float = SECONDS
    tokens: int = 100
    poison: tuple[str, ...] = ("poison",)
    models: tuple[str, ...] = ("",)
    outcomes: list[tuple[float, str]] = field(default_factory=list)
    numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    async def send(self) -> None:
        """Send both kinds of requests until the time is over."""
        self.fleet.poison_parts.update(self.poison)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_sound(group))
            group.create_task(self._send_poison(group))

    async def _send_sound(self, group: asyncio.TaskGroup) -> None:
        rng, clock = self.fleet.rng, self.fleet.clock
        until = clock.monotonic() + BEFORE_SECONDS + self.seconds
        while clock.monotonic() < until:
            subject = f"s{int(SUBJECTS * rng.random() ** 2)}"
            group.create_task(self._ask_sound("system", subject))
            await asyncio.sleep(rng.expovariate(self.sound_rate))

    async def _ask_sound(self, *parts: str) -> None:
        number = next(self.numbers)
        prompt = make_prompt(*parts, f"own{number}", tokens=self.tokens)
        now = self.fleet.clock.monotonic()
        entry = self.fleet.draw_entry()
        caller = await entry.ask(self.path, b"%d" % number, prompt)
        blocked = "runners crashed" in caller.reason
        outcome = "cut" if caller.aborted else str(caller.status)
        self.outcomes.append((now, "blocked" if blocked else outcome))

    async def _send_poison(self, group: asyncio.TaskGroup) -> None:
        rng, clock = self.fleet.rng, self.fleet.clock
        until = clock.monotonic() + BEFORE_SECONDS + self.seconds
        await asyncio.sleep(BEFORE_SECONDS)
        while self.poison and clock.monotonic() < until:
            number = next(self.numbers)
            poison = rng.choice(self.poison)
            names = {"POISON": poison, "NEW": f"new{number}"}
            parts = [names.get(part, part) for part in self.shape]
            prompt = make_prompt(
                *parts,
                f"own{number}",
                tokens=self.tokens,
                model=self.models[number % len(self.models)],
            )
            entry = self.fleet.draw_entry()
            group.create_task(entry.ask(self.path, b"%d" % number, prompt))
            await asyncio.sleep(rng.expovariate(self.poison_rate))

    def served_after(self, at: float) -> float:
        """Return the share of sound requests sent after a time that were served."""
        counts = Counter(outcome for sent, outcome in self.outcomes if sent > at)
        return counts["200"] / counts.total()

    def blocked(self) -> int:
        return sum(outcome == "blocked" for _, outcome in self.outcomes)


def settled_at(fleet: CrashFleet) -> float:
    """Return from when on the platform counts sound requests that are not served."""
    crashes = sorted(at for times in fleet.part_crashes.values() for at in times)
    return crashes[: 5 * len(fleet.part_crashes)][-1] + 2 * CONTACT_SECONDS


def play(fleet: CrashFleet, traffic: Traffic) -> None:
    fleet.run(lambda fleet: traffic.send())
    assert fleet.part_crashes
    for part in traffic.poison:
        assert len(fleet.late_part_sends(part)) <= MAX_LATE_SENDS
    assert traffic.served_after(settled_at(fleet)) >= MIN_SERVED


@pytest.mark.parametrize("depth", DEPTHS)
@pytest.mark.parametrize("path", ["/talk/x", "/read/x"])
def test_a_part_that_crashed_five_runners_is_not_sent_on(path: str, depth: str) -> None:
    fleet = CrashFleet(nodes=5)
    play(fleet, Traffic(fleet, path, DEPTHS[depth]))


@pytest.mark.parametrize("path", ["/talk/x", "/read/x"])
def test_a_part_of_prefilled_prompts_is_not_sent_on(path: str) -> None:
    fleet = CrashFleet(nodes=5, prefillers=2)
    play(fleet, Traffic(fleet, path, DEPTHS["second"], tokens=3000))


@pytest.mark.parametrize(
    ("nodes", "engines", "sound", "poison"),
    [(11, 3, 80.0, 3.0), (11, 5, 80.0, 80.0), (16, 16, 150.0, 10.0)],
)
def test_a_crashing_part_is_found_at_the_rates_of_a_site(
    nodes: int, engines: int, sound: float, poison: float
) -> None:
    fleet = CrashFleet(nodes=nodes, engines=engines)
    play(fleet, Traffic(fleet, "/talk/x", DEPTHS["second"], sound, poison))


def test_a_part_that_crashes_runners_whatever_the_model_is_not_sent_on() -> None:
    fleet = CrashFleet(nodes=5)
    models = tuple(f"m{number}" for number in range(17))
    play(fleet, Traffic(fleet, "/talk/x", DEPTHS["second"], models=models))


def test_a_part_is_served_under_a_model_that_it_does_not_crash() -> None:
    fleet = CrashFleet(nodes=5)
    fleet.sound_model = "sound"
    traffic = Traffic(fleet, "/talk/x", DEPTHS["second"], models=("m",))
    outcomes: list[tuple[float, int]] = []

    async def ask_sound() -> None:
        while fleet.clock.monotonic() < SECONDS:
            number = next(traffic.numbers)
            prompt = make_prompt("system", "poison", f"own{number}", model="sound")
            now = fleet.clock.monotonic()
            caller = await fleet.draw_entry().ask("/talk/x", b"%d" % number, prompt)
            outcomes.append((now, caller.status))
            await asyncio.sleep(0.1)

    async def scenario(fleet: CrashFleet) -> None:
        await asyncio.gather(traffic.send(), ask_sound())

    fleet.run(scenario)
    assert len(fleet.late_part_sends("poison")) <= MAX_LATE_SENDS
    after = [status for at, status in outcomes if at > settled_at(fleet)]
    assert after.count(200) >= MIN_SERVED * len(after)


def test_two_crashing_parts_at_once_are_not_sent_on() -> None:
    fleet = CrashFleet(nodes=5)
    poison = ("poison", "venom")
    play(fleet, Traffic(fleet, "/talk/x", DEPTHS["second"], poison=poison))


def test_a_part_that_an_outsider_puts_beside_a_crashing_one_is_served_again() -> None:
    """The part is new to the fleet when the outsider's requests name it."""
    fleet = CrashFleet(nodes=5)
    traffic = Traffic(fleet, "/talk/x", ("system", "victim", "POISON"))
    outcomes: list[str] = []

    async def ask_victim() -> None:
        await asyncio.sleep(BEFORE_SECONDS + 2 * CONTACT_SECONDS)
        for number in range(12):
            prompt = make_prompt("system", "victim", f"mine{number}")
            body = b"victim %d" % number
            caller = await fleet.draw_entry().ask("/talk/x", body, prompt)
            outcomes.append(str(caller.status))
            await asyncio.sleep(1.0)

    async def scenario(fleet: CrashFleet) -> None:
        await asyncio.gather(traffic.send(), ask_victim())

    fleet.run(scenario)
    assert len(fleet.late_part_sends("poison")) <= MAX_LATE_SENDS
    assert outcomes.count("200") >= 6 and outcomes[-4:] == ["200"] * 4


def test_nodes_that_start_and_are_cut_off_during_the_crashes_send_no_more() -> None:
    fleet = CrashFleet(nodes=7)
    traffic = Traffic(fleet, "/talk/x", DEPTHS["second"], poison_rate=6.0)

    async def disturb() -> None:
        for step in range(6):
            name, other = fleet.rng.sample(fleet.entry_names, 2)
            fleet.entries[name].kill()
            fleet.cut = {(other, peer) for peer in fleet.entry_names if peer != other}
            await asyncio.sleep(0.5 * (step + 1))
            fleet.start_entry(name)
            fleet.entries[other].disturbed_at = fleet.clock.monotonic()
            fleet.cut = set()
            await asyncio.sleep(1.0)

    async def scenario(fleet: CrashFleet) -> None:
        await asyncio.gather(traffic.send(), disturb())

    fleet.run(scenario)
    assert len(fleet.late_part_sends("poison")) <= MAX_LATE_SENDS
    assert traffic.served_after(settled_at(fleet)) >= MIN_SERVED


def test_after_all_nodes_started_again_a_crashing_part_is_found_anew() -> None:
    fleet = CrashFleet(nodes=5)
    traffic = Traffic(fleet, "/talk/x", DEPTHS["second"])

    async def restart_all() -> None:
        await asyncio.sleep(BEFORE_SECONDS + 6.0)
        for entry in list(fleet.entries.values()):
            entry.kill()
        for name in fleet.entry_names:
            fleet.start_entry(name)

    async def scenario(fleet: CrashFleet) -> None:
        await asyncio.gather(traffic.send(), restart_all())

    fleet.run(scenario)
    assert len(fleet.late_part_sends("poison")) <= MAX_LATE_SENDS
    assert traffic.served_after(settled_at(fleet)) >= MIN_SERVED


def test_a_part_is_served_again_once_it_crashes_no_more() -> None:
    fleet = CrashFleet(nodes=5)
    traffic = Traffic(fleet, "/talk/x", DEPTHS["second"], seconds=50.0)
    outcomes: list[tuple[float, int]] = []

    async def mend() -> None:
        await asyncio.sleep(BEFORE_SECONDS + 10.0)
        fleet.poison_parts.clear()
        while fleet.clock.monotonic() < 52.0:
            number = next(traffic.numbers)
            prompt = make_prompt("system", "poison", f"own{number}")
            body = b"%d" % number
            caller = await fleet.draw_entry().ask("/talk/x", body, prompt)
            outcomes.append((fleet.clock.monotonic(), caller.status))
            await asyncio.sleep(0.5)

    async def scenario(fleet: CrashFleet) -> None:
        await asyncio.gather(traffic.send(), mend())

    fleet.run(scenario)
    last = [status for at, status in outcomes if at > 47.0]
    assert last and set(last) == {200}
    assert {status for at, status in outcomes if at < 30.0} == {503}


def test_a_crashing_part_beside_a_crashing_request_is_found() -> None:
    fleet = CrashFleet(nodes=5)
    traffic = Traffic(fleet, "/talk/x", DEPTHS["second"])

    async def send_request() -> None:
        await asyncio.sleep(BEFORE_SECONDS)
        for _ in range(20):
            prompt = make_prompt("system", "s1", "own")
            await fleet.draw_entry().ask("/talk/x", POISON, prompt)
            await asyncio.sleep(1.0)

    async def scenario(fleet: CrashFleet) -> None:
        await asyncio.gather(traffic.send(), send_request())

    fleet.run(scenario)
    assert len(fleet.late_part_sends("poison")) <= MAX_LATE_SENDS
    assert len([a for a in fleet.arrivals if a.body == POISON]) <= 3 + MAX_LATE_SENDS
    assert traffic.served_after(settled_at(fleet)) >= MIN_SERVED


async def crash_runners(fleet: CrashFleet, rng: random.Random) -> None:
    """Let engines crash by themselves, two at a time."""
    for _ in range(3):
        engines = [r for r in fleet.runners if r.is_up and r.service == "llm"]
        for runner in rng.sample(engines, 2):
            runner.crash()
        await asyncio.sleep(rng.uniform(2.0, 5.0))


ALARMS = {fault.__name__.strip("_"): (fault,) for fault in (*FAULTS, crash_runners)}


@pytest.mark.parametrize("name", [*ALARMS, "all-together"])
def test_no_part_is_blocked_for_faults_that_it_does_not_cause(name: str) -> None:
    fleet = CrashFleet(nodes=5, engines=8)
    traffic = Traffic(fleet, "/talk/x", DEPTHS["second"], poison=())
    faults = ALARMS.get(name) or tuple(fault for (fault,) in ALARMS.values())

    async def disturb() -> None:
        rng = random.Random(7)
        await asyncio.sleep(BEFORE_SECONDS)
        for _ in range(4):
            await asyncio.gather(*(fault(fleet, rng) for fault in faults))
            await asyncio.sleep(1.0)

    async def scenario(fleet: CrashFleet) -> None:
        await asyncio.gather(traffic.send(), disturb())

    fleet.run(scenario)
    assert traffic.blocked() == 0
