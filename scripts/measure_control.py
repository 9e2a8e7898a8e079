"""Measure the control group: leader loss, spread, claims and recovery."""

import argparse
import asyncio
import statistics
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from hawthornshelf.commands import ConfigurationAccepted
from hawthornshelf.configuration import Configuration
from hawthornshelf.errors import HawthornshelfError
from scripts.harness import fetch_report, find_leader, make_nodes, propose, start_fleet
from tests.client import book
from tests.fleet import Fleet, make_configuration, wait_until
from tests.partitionproxy import PartitionProxy

CONTROL = ("c0", "c1", "c2")


class Bench:
    """Hold a fleet and the version its operators last saw."""

    def __init__(self, fleet: Fleet, checks: Callable[[str], bool]) -> None:
        self.fleet = fleet
        self.checks = checks
        self.proxies: dict[str, PartitionProxy] = {}
        self.version = 1
        self.model = 1

    async def prepare(self, engines: int) -> None:
        """Put a proxy before each control node and start all."""
        for name in CONTROL:
            proxy = PartitionProxy(self.fleet.peer_listen[name])
            self.fleet.peer_proxies[name] = await proxy.start()
            self.proxies[name] = proxy
        await start_fleet(self.fleet, engines, 1, checks=self.checks)

    def configuration(self) -> Configuration:
        """Return a configuration with the next version of the model."""
        self.model += 1
        engines = {n: a for n, a in self.fleet.addresses.items() if "llm" in n}
        services = {n: a for n, a in self.fleet.addresses.items() if "app" in n}
        return make_configuration(engines, services, str(self.model), self.checks)

    async def accept(self, among: list[str]) -> float:
        """Propose until accepted and return the seconds it took."""
        began = time.monotonic()
        body = self.configuration()
        change = f"change-{self.model}"
        at = [self.fleet.listen[name] for name in among]
        while True:
            try:
                result = await propose(self.fleet, body, self.version, at, change)
                break
            except HawthornshelfError:
                await asyncio.sleep(0.02)
        if not isinstance(result, ConfigurationAccepted):
            raise RuntimeError(str(result))
        self.version = result.version
        return time.monotonic() - began

    async def next_order(self, since: float) -> float:
        """Return the seconds until an engine took the next order."""
        known = len(self._orders())
        await wait_until(lambda: len(self._orders()) > known, 30, "order", 0.02)
        return self._orders()[known]["at"] - since

    def _orders(self) -> list:
        return [r for r in self.fleet.records() if r["kind"] == "order"]

    async def settle(self) -> None:
        """Wait until all changes are done."""

        async def done() -> bool:
            leader = await find_leader(self.fleet, list(CONTROL))
            report = await fetch_report(self.fleet, leader)
            finished = all(o.finished for o in report.control.orders)
            return finished and not report.control.drains

        await wait_until(done, 60, "end of changes")
        await asyncio.sleep(1.5)


async def lose_leader(bench: Bench, how: str) -> tuple[float, float]:
    """Lose the leader; return the seconds to the next configuration and order."""
    fleet = bench.fleet
    leader = await find_leader(fleet, list(CONTROL))
    others = [name for name in CONTROL if name != leader]
    began = time.monotonic()
    match how:
        case "kill":
            fleet.kill(leader)
        case "freeze":
            fleet.freeze(leader)
        case "cut":
            bench.proxies[leader].cut()
    order = asyncio.create_task(bench.next_order(began))
    accepted = await bench.accept(others)
    ordered = await order
    match how:
        case "kill":
            fleet.start_node(leader)
        case "freeze":
            fleet.resume(leader)
        case "cut":
            bench.proxies[leader].heal()
    await bench.settle()
    return accepted, ordered


async def measure_leader_loss(rounds: int, checks: bool) -> None:
    """Measure each way of losing the leader."""
    kind = "check" if checks else "ignore"
    for how in ("kill", "freeze", "cut"):
        async with running(3, 2, checks, "control") as bench:
            await bench.prepare(2)
            results = [await lose_leader(bench, how) for _ in range(rounds)]
        accepted, ordered = zip(*results, strict=True)
        print(
            f"{how:7} engines that {kind:6} the number: "
            f"next configuration {describe(accepted)}, next order {describe(ordered)}",
            flush=True,
        )


async def measure_spread(rounds: int) -> None:
    """Measure how long a configuration takes to be in force on 11 nodes."""
    async with running(3, 8, True) as bench:
        await bench.prepare(1)
        accepted, spread = [], []
        names = list(bench.fleet.nodes)
        for _ in range(rounds):
            began = time.monotonic()
            accepted.append(await bench.accept(list(CONTROL)))
            await wait_until(lambda: _all_have(bench, names), 20, "spread", 0.01)
            spread.append(time.monotonic() - began)
            await bench.settle()
        print(f"accepted {describe(accepted)}, in force on 11 nodes {describe(spread)}")


async def _all_have(bench: Bench, names: list[str]) -> bool:
    reports = await asyncio.gather(*(fetch_report(bench.fleet, n) for n in names))
    return all(report.version >= bench.version for report in reports)


async def measure_claims(seconds: float) -> None:
    """Measure bookings, which need a claim and a recorded answer each."""
    async with running(3, 2, True) as bench:
        await bench.prepare(1)
        for workers in (1, 32):
            print(await _book_for(bench, seconds, workers), flush=True)
        runs = [r["key"] for r in bench.fleet.records() if r["kind"] == "booked"]
        print(f"{len(runs)} bookings ran, {len(runs) - len(set(runs))} of them twice")


async def _book_for(bench: Bench, seconds: float, workers: int) -> str:
    latencies: list[float] = []
    until = time.monotonic() + seconds
    address = bench.fleet.listen["e0"]

    async def work(session: aiohttp.ClientSession, worker: int) -> None:
        while time.monotonic() < until:
            key = f"{workers}-{worker}-{len(latencies)}-{time.monotonic_ns()}"
            reply = await book(session, address, key)
            if reply.outcome != "complete":
                raise RuntimeError(reply.text)
            latencies.append(reply.total)

    async with aiohttp.ClientSession() as session:
        await asyncio.gather(*(work(session, number) for number in range(workers)))
    cuts = statistics.quantiles(latencies, n=100)
    return (
        f"bookings {workers:3} callers  {len(latencies) / seconds:6.0f}/s  "
        f"p50 {cuts[49] * 1000:6.1f} ms  p99 {cuts[98] * 1000:6.1f} ms"
    )


async def measure_recovery(changes: int) -> None:
    """Measure a restart of the whole control group after many changes."""
    async with running(3, 0, True) as bench:
        await bench.prepare(1)
        began = time.monotonic()
        for _ in range(changes):
            await bench.accept(list(CONTROL))
        took = time.monotonic() - began
        version = bench.version
        for name in CONTROL:
            bench.fleet.kill(name)
        began = time.monotonic()
        for name in CONTROL:
            bench.fleet.start_node(name)
        await wait_until(lambda: _all_have(bench, list(CONTROL)), 30, "recovery", 0.02)
        back = time.monotonic() - began
        again = await bench.accept(list(CONTROL))
        print(
            f"{changes} changes in {took:.1f} s; restart of 3 replicas: version "
            f"{version} on all after {back:.2f} s, next change {again * 1000:.0f} ms"
        )


class running:  # noqa: N801
    """Run a bench for the length of a block."""

    def __init__(
        self, control: int, entries: int, checks: bool, roles: str = "entry,control"
    ) -> None:
        self._folder = tempfile.TemporaryDirectory()
        extra = ("--log-level=error", "--linger=1")
        nodes = make_nodes(control, entries, roles)
        self._fleet = Fleet(Path(self._folder.name), nodes, extra=extra)
        self._checks = checks

    async def __aenter__(self) -> Bench:
        """Return the bench."""
        self._bench = Bench(self._fleet, lambda name: self._checks)
        return self._bench

    async def __aexit__(self, *_: object) -> None:
        """Stop whatever still runs."""
        self._fleet.stop()
        for proxy in self._bench.proxies.values():
            await proxy.stop()
        self._folder.cleanup()


def describe(values: tuple[float, ...] | list[float]) -> str:
    """Return the least, the median and the greatest of some seconds."""
    middle = statistics.median(values)
    return f"{min(values):.2f} / {middle:.2f} / {max(values):.2f} s"


PARTS: dict[str, Callable[[argparse.Namespace], Awaitable[None]]] = {
    "leader-checked": lambda o: measure_leader_loss(o.rounds, True),
    "leader-unchecked": lambda o: measure_leader_loss(o.rounds, False),
    "spread": lambda o: measure_spread(o.rounds),
    "claims": lambda o: measure_claims(o.seconds),
    "recovery": lambda o: measure_recovery(o.changes),
}


def main() -> None:
    """Run the parts asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", default=list(PARTS))
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--changes", type=int, default=500)
    options = parser.parse_args()
    print("figures are least / median / greatest", flush=True)
    for part in options.parts:
        asyncio.run(PARTS[part](options))


if __name__ == "__main__":
    main()
