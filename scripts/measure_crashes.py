"""Measure what the quarantine of crashing requests costs, and what it costs without."""

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from hawthornshelf.crashrecords import (  # noqa: E402
    PART_DIGEST_BYTES,
    Evidence,
    Standing,
)
from hawthornshelf.crashtable import CrashTable  # noqa: E402
from hawthornshelf.gateway.context import RequestContext  # noqa: E402
from hawthornshelf.gateway.exchange import (  # noqa: E402
    InboundRequest,
    Prompt,
    PromptSegment,
)
from hawthornshelf.gateway.identity import digest_parts, digest_request  # noqa: E402
from hawthornshelf.gateway.quarantine import Quarantine  # noqa: E402
from hawthornshelf.messages import (  # noqa: E402
    CODEC,
    CrashNews,
    Message,
    PullCrashes,
)
from tests.gateway.crashfleet import (  # noqa: E402
    CONTACT_SECONDS,
    POISON,
    SHORT,
    CrashFleet,
)
from tests.gateway.test_changing_request import (  # noqa: E402
    CHANGES,
    SETTLED_SECONDS,
    SOUND,
    Repeats,
    make_fleet,
    play_several,
)
from tests.gateway.test_part_quarantine import (  # noqa: E402
    DEPTHS,
    Traffic,
    settled_at,
)

ROUNDS = 2000
SEEDS = range(1, 11)


def time_call(name: str, call, rounds: int = ROUNDS) -> None:  # type: ignore[no-untyped-def]
    """Print the mean time of a call."""
    started_at = time.perf_counter()
    for _ in range(rounds):
        call()
    microseconds = (time.perf_counter() - started_at) / rounds * 1e6
    print(f"  {name}: {microseconds:.2f} us")


def measure_times() -> None:
    """Print the times that a request takes more."""
    print("processor time")
    for size in (0, 800, 20_000, 4_000_000):
        body = bytes(size)
        inbound = InboundRequest("id", "POST", "/a/b", "h", (), body, 0.0, 1.0)
        rounds = 20 if size > 1_000_000 else ROUNDS
        time_call(
            f"digest of {size} bytes", lambda i=inbound: digest_request(i), rounds
        )
    table = CrashTable()
    time_call("look-up while nothing is suspect", lambda: table.has_suspects)
    for crash in range(8):
        digests = [b"%014d%02d" % (number, crash) for number in range(1000)]
        table.report(0.0, f"r{crash}/1", 0.0, Evidence.GONE, digests)
    digest = b"%014d%02d" % (7, 3)
    time_call("standing of a suspect", lambda: table.standing(1.0, digest))
    segments = tuple(PromptSegment(f"{number:08x}", 500) for number in range(4))
    prompt = Prompt(2000, 5, segments, "m")
    parts = digest_parts(prompt)
    time_call("digests of 3 parts", lambda: digest_parts(prompt))
    time_call(
        "completion of a request with 3 parts", lambda: table.complete(1.0, parts)
    )
    for crash in range(5):
        table.report(0.0, f"r{crash}/1", 0.0, Evidence.GONE, [bytes(PART_DIGEST_BYTES)])
    time_call("culprits of 8000 suspects, after a change", lambda: blame(table), 200)
    time_call("culprits, unchanged", lambda: table.culprits(1.0))
    time_call("expiry of 8000 suspects", lambda: expire(table), 200)


def blame(table: CrashTable) -> None:
    """Find the culprits as if the table had changed."""
    table._culprits_due = 0.0
    table.culprits(1.0)


def expire(table: CrashTable) -> None:
    """Expire a table as if its next turn had come."""
    table._expire_due = 0.0
    table.expire(1.0)


class CountingFleet(CrashFleet):
    """Count the bytes of messages on crashes."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.bytes_sent = 0
        self.messages = 0

    def deliver(self, sender: str, target: str, message: Message) -> None:
        """Count a message and deliver it."""
        if isinstance(message, CrashNews | PullCrashes):
            self.bytes_sent += len(CODEC.encode(message))
            self.messages += 1
        super().deliver(sender, target, message)


def measure_spread(nodes: int, suspects: int) -> None:
    """Print the time and the bytes until all nodes know of a crash.

    Each of 128 nodes at most reports its share of the suspects.
    """
    fleet = CountingFleet(nodes=nodes, engines=1, apps=1)

    async def play(fleet: CrashFleet) -> None:
        await asyncio.sleep(3.0)
        started_at = fleet.clock.monotonic()
        digests = [b"%016d" % number for number in range(suspects)]
        reporters = list(fleet.entries.values())[:128]
        for number, entry in enumerate(reporters):
            share = digests[number :: len(reporters)]
            table = entry.core.crashes
            if share:
                table.report(started_at, "r/1", started_at, Evidence.REFUSED, share)
        tables = [entry.core.crashes for entry in fleet.entries.values()]
        while any(len(table.suspects()) < suspects for table in tables):
            await asyncio.sleep(0.01)
        seconds = fleet.clock.monotonic() - started_at
        await asyncio.sleep(2.0)
        assert isinstance(fleet, CountingFleet)
        print(
            f"  {nodes} nodes, {suspects} suspects: all know after {seconds:.2f} s; "
            f"{fleet.bytes_sent / nodes / 1000:.1f} KB and "
            f"{fleet.messages / nodes:.1f} messages sent a node"
        )

    fleet.run(play)


def ignore_crashes(quarantine: Quarantine, context: RequestContext) -> Standing:
    """Hold nothing against any request."""
    return Standing()


def measure_harm(engines: int, slots: int, rate: float, is_on: bool = True) -> None:
    """Print the runners lost, and how neighbours fared, over several seeds.

    Without `is_on`, no request is held to be a suspect.
    """
    check = Quarantine.check
    if not is_on:
        Quarantine.check = ignore_crashes  # type: ignore[method-assign]
    try:
        _measure_harm(engines, slots, rate, is_on)
    finally:
        Quarantine.check = check  # type: ignore[method-assign]


def _measure_harm(engines: int, slots: int, rate: float, is_on: bool) -> None:
    crashes: Counter[int] = Counter()
    outcomes: Counter[str] = Counter()
    late = 0
    for seed in SEEDS:
        fleet = CrashFleet(seed=seed, nodes=5, engines=engines, apps=1)
        for runner in fleet.runners:
            runner.slots = slots

        async def ask(fleet: CrashFleet, number: int) -> None:
            caller = await fleet.draw_entry().ask("/talk/x", b"%d" % number, SHORT, 4.0)
            blocked = "runners crashed" in caller.reason
            cut = "cut" if caller.aborted else str(caller.status)
            outcomes["blocked" if blocked else cut] += 1

        async def play(fleet: CrashFleet) -> None:
            rng = random.Random(fleet.seed)
            async with asyncio.TaskGroup() as group:
                for number in range(int(rate * 12)):
                    group.create_task(ask(fleet, number))
                    await asyncio.sleep(rng.expovariate(rate))
                    if number % int(rate) == int(rate) // 2:
                        entry = fleet.draw_entry()
                        group.create_task(entry.ask("/talk/x", POISON, SHORT))

        fleet.run(play)
        crashes[len(fleet.crash_times())] += 1
        late += fleet.sends_after_third_crash()
    shares = {name: count / outcomes.total() for name, count in outcomes.items()}
    described = ", ".join(f"{name} {share:.4f}" for name, share in shares.items())
    print(
        f"  {'with' if is_on else 'without'} quarantine, {engines} engines of {slots} "
        f"slots, {rate:.0f} neighbours a second, {len(SEEDS)} seeds: "
        f"crashes {dict(crashes)}, sends {CONTACT_SECONDS:.0f} s after the third "
        f"{late}; neighbours: {described}"
    )


def measure_part(
    nodes: int, engines: int, sound_rate: float, poison_rate: float, seeds: range
) -> None:
    """Print the runners lost to a part of prompts, and how sound requests fared."""
    crashes: Counter[int] = Counter()
    outcomes: Counter[str] = Counter()
    late, served, bytes_sent = 0, [], 0
    for seed in seeds:
        fleet = CountingFleet(seed=seed, nodes=nodes, engines=engines, apps=1)
        shape = DEPTHS["second"]
        traffic = Traffic(fleet, "/talk/x", shape, sound_rate, poison_rate)
        fleet.run(lambda fleet, traffic=traffic: traffic.send())  # type: ignore[misc]
        crashes[len(fleet.crash_times())] += 1
        late += len(fleet.late_part_sends("poison"))
        served.append(traffic.served_after(settled_at(fleet)))
        outcomes.update(outcome for _, outcome in traffic.outcomes)
        bytes_sent += fleet.bytes_sent
    shares = {name: count / outcomes.total() for name, count in outcomes.items()}
    described = ", ".join(f"{name} {share:.4f}" for name, share in shares.items())
    kilobytes = bytes_sent / len(seeds) / nodes / 1000
    print(
        f"  {nodes} nodes, {engines} engines, {sound_rate:.0f} sound and "
        f"{poison_rate:.0f} crashing a second, {len(seeds)} seeds: crashes "
        f"{dict(sorted(crashes.items()))}, late sends {late}; sound ones served from "
        f"6 s after the fifth crash {min(served):.4f} at least, all the time: "
        f"{described}; {kilobytes:.1f} KB sent a node in 24 s"
    )


def measure_change(name: str, nodes: int, seeds: range) -> None:
    """Print the runners lost to a request that changes as it is repeated."""
    crashes: Counter[int] = Counter()
    late: Counter[int] = Counter()
    for seed in seeds:
        fleet = make_fleet(seed=seed, nodes=nodes)
        repeats = Repeats(fleet, CHANGES[name])
        fleet.run(lambda fleet, repeats=repeats: repeats.send())  # type: ignore[misc]
        crashes[len(fleet.crash_times())] += 1
        late[len(fleet.late_sends())] += 1
    print(
        f"  {name}, {nodes} nodes, {len(seeds)} seeds: "
        f"crashes {dict(sorted(crashes.items()))}, late sends {dict(late)}"
    )


def measure_sound(name: str, apps: int, rate: float) -> None:
    """Print how sound requests of a crashing request's path fare."""
    served = []
    late: Counter[int] = Counter()
    for seed in SEEDS:
        fleet = make_fleet(seed=seed, apps=apps)
        poison, sound = SOUND[name]
        repeats = Repeats(fleet, poison, rate=rate, sound=sound)
        fleet.run(lambda fleet, repeats=repeats: repeats.send())  # type: ignore[misc]
        settled = fleet.crash_times()[2] + SETTLED_SECONDS
        served.append(repeats.served_after(settled))
        late[len(fleet.late_sends())] += 1
    print(
        f"  {name}, {apps} runners, {rate:.0f} sound a second, {len(SEEDS)} seeds: "
        f"served from 6 s after the third crash {min(served):.3f} at least, "
        f"{sum(served) / len(served):.3f} on average; late sends {dict(late)}"
    )


def measure_several(count: int, apps: int, prefix: str, name: str) -> None:
    """Print the runners lost to several crashing requests at once."""
    bodies = [b"request %d" % number for number in range(count)]
    crashes: Counter[int] = Counter()
    late: Counter[int] = Counter()
    for seed in SEEDS:
        fleet = make_fleet(seed=seed, apps=apps)
        late.update(play_several(fleet, CHANGES[name], prefix, bodies))
        crashes[len(fleet.crash_times())] += 1
    print(
        f"  {count} requests, {apps} runners, {prefix}, {name}, {len(SEEDS)} seeds: "
        f"crashes {dict(sorted(crashes.items()))}, "
        f"late sends of each {dict(sorted(late.items()))}"
    )


def measure_changes() -> None:
    """Print what a request costs that changes, and what it costs others."""
    print("a request repeated every 0.15 s at a pool of three, one field changed")
    for name in CHANGES:
        measure_change(name, 11, SEEDS)
    for nodes in (3, 16, 80):
        measure_change("all", nodes, range(1, 4))
    print("sound requests of its path")
    for name in SOUND:
        for apps, rate in ((3, 20.0), (5, 20.0), (5, 1.0)):
            measure_sound(name, apps, rate)
    print("several requests repeated every 0.15 s each, one field changed")
    for count, apps in ((2, 3), (2, 5), (3, 3), (3, 5)):
        for prefix in ("/safe/", "/once/"):
            for name in ("id", "query", "method"):
                measure_several(count, apps, prefix, name)


def main() -> None:
    """Print all measurements, or only those that are named."""
    if "changes" in sys.argv[1:]:
        measure_changes()
        return
    measure_times()
    print("spread of one crash (virtual time)")
    for nodes, suspects in ((11, 48), (80, 48), (80, 128), (330, 128)):
        measure_spread(nodes, suspects)
    print("a resumable stream that crashes its engine, once a second")
    for engines, slots, rate in ((5, 16, 60.0), (5, 128, 300.0), (24, 24, 300.0)):
        for is_on in (False, True):
            measure_harm(engines, slots, rate, is_on)
    print("a part of prompts that crashes engines, in requests that are never alike")
    for nodes, engines, sound, poison in (
        (11, 3, 80.0, 3.0),
        (11, 5, 80.0, 3.0),
        (11, 5, 80.0, 80.0),
        (16, 16, 150.0, 10.0),
        (80, 24, 150.0, 3.0),
    ):
        measure_part(nodes, engines, sound, poison, SEEDS)
    measure_part(330, 40, 150.0, 5.0, range(1, 2))
    measure_changes()


if __name__ == "__main__":
    main()
