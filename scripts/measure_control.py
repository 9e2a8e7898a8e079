"""Measure the control group: failover, propagation, claims and recovery."""

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


class Benchmark:
    """Manage a fleet and the configuration version that its operators last saw.

    `checks` returns whether an engine checks fencing numbers.
    """

    def __init__(self, fleet: Fleet, checks: Callable[[str], bool]) -> None:
        self.fleet = fleet
        self.checks = checks
        self.proxies: dict[str, PartitionProxy] = {}
        self.version = 1
        self.model_version = 1

    async def prepare(self, engines: int) -> None:
        """Put a proxy in front of each control node and start the fleet."""
        for name in CONTROL:
            proxy = PartitionProxy(self.fleet.peer_listen[name])
            self.fleet.peer_proxies[name] = await proxy.start()
            self.proxies[name] = proxy
        await start_fleet(self.fleet, engines, 1, checks=self.checks)

    def next_configuration(self) -> Configuration:
        """Return a configuration with the next version of the model."""
        self.model_version += 1
        engines = {n: a for n, a in self.fleet.addresses.items() if "llm" in n}
        services = {n: a for n, a in self.fleet.addresses.items() if "app" in n}
        return make_configuration(
            engines, services, str(self.model_version), self.checks
        )

    async def propose_until_accepted(self, among: list[str]) -> float:
        """Propose until accepted and return the seconds until then."""
        started_at = time.monotonic()
        body = self.next_configuration()
        change = f"change-{self.model_version}"
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
        return time.monotonic() - started_at

    async def next_order(self, since: float) -> float:
        """Return the seconds from `since` until an engine executes the next order."""
        known = len(self._orders())
        await wait_until(lambda: len(self._orders()) > known, 30, "order", 0.02)
        return self._orders()[known]["at"] - since

    def _orders(self) -> list:
        return [r for r in self.fleet.read_records() if r["kind"] == "order"]

    async def settle(self) -> None:
        """Wait until all orders are finished and all drains have ended."""

        async def is_settled() -> bool:
            leader = await find_leader(self.fleet, list(CONTROL))
            report = await fetch_report(self.fleet, leader)
            finished = all(o.finished for o in report.control.orders)
            return finished and not report.control.drains

        await wait_until(is_settled, 60, "end of changes")
        await asyncio.sleep(1.5)


async def disable_leader(benchmark: Benchmark, fault: str) -> tuple[float, float]:
    """Disable the leader; return the seconds to the next configuration and order.

    `fault` is "kill", "freeze" or "cut".
    """
    fleet = benchmark.fleet
    leader = await find_leader(fleet, list(CONTROL))
    others = [name for name in CONTROL if name != leader]
    started_at = time.monotonic()
    match fault:
        case "kill":
            fleet.kill(leader)
        case "freeze":
            fleet.freeze(leader)
        case "cut":
            benchmark.proxies[leader].cut()
    order = asyncio.create_task(benchmark.next_order(started_at))
    accepted = await benchmark.propose_until_accepted(others)
    ordered = await order
    match fault:
        case "kill":
            fleet.start_node(leader)
        case "freeze":
            fleet.resume(leader)
        case "cut":
            benchmark.proxies[leader].heal()
    await benchmark.settle()
    return accepted, ordered


async def measure_failover(rounds: int, checks: bool) -> None:
    """Measure the failover after each fault of the leader."""
    verb = "check" if checks else "ignore"
    for fault in ("kill", "freeze", "cut"):
        async with running(3, 2, checks, "control") as benchmark:
            await benchmark.prepare(2)
            results = [await disable_leader(benchmark, fault) for _ in range(rounds)]
        accepted, ordered = zip(*results, strict=True)
        print(
            f"{fault:7} engines that {verb:6} fencing: "
            f"next configuration {describe(accepted)}, next order {describe(ordered)}",
            flush=True,
        )


async def measure_propagation(rounds: int) -> None:
    """Measure the time until a configuration is in force on 11 nodes."""
    async with running(3, 8, True) as benchmark:
        await benchmark.prepare(1)
        accepted, propagated = [], []
        names = list(benchmark.fleet.nodes)
        for _ in range(rounds):
            started_at = time.monotonic()
            accepted.append(await benchmark.propose_until_accepted(list(CONTROL)))
            await wait_until(
                lambda: _all_have_version(benchmark, names), 20, "propagation", 0.01
            )
            propagated.append(time.monotonic() - started_at)
            await benchmark.settle()
        print(
            f"accepted {describe(accepted)}, "
            f"in force on 11 nodes {describe(propagated)}"
        )


async def _all_have_version(benchmark: Benchmark, names: list[str]) -> bool:
    reports = await asyncio.gather(*(fetch_report(benchmark.fleet, n) for n in names))
    return all(report.version >= benchmark.version for report in reports)


async def measure_claims(seconds: float) -> None:
    """Measure bookings, each of which needs a claim and a recorded response."""
    async with running(3, 2, True) as benchmark:
        await benchmark.prepare(1)
        for workers in (1, 32):
            print(await _measure_bookings(benchmark, seconds, workers), flush=True)
        runs = [
            r["key"] for r in benchmark.fleet.read_records() if r["kind"] == "booked"
        ]
        print(f"{len(runs)} bookings ran, {len(runs) - len(set(runs))} of them twice")


async def _measure_bookings(benchmark: Benchmark, seconds: float, workers: int) -> str:
    latencies: list[float] = []
    until = time.monotonic() + seconds
    address = benchmark.fleet.listen["e0"]

    async def book_repeatedly(session: aiohttp.ClientSession, worker: int) -> None:
        while time.monotonic() < until:
            key = f"{workers}-{worker}-{len(latencies)}-{time.monotonic_ns()}"
            reply = await book(session, address, key)
            if reply.outcome != "complete":
                raise RuntimeError(reply.text)
            latencies.append(reply.total)

    async with aiohttp.ClientSession() as session:
        await asyncio.gather(
            *(book_repeatedly(session, number) for number in range(workers))
        )
    percentiles = statistics.quantiles(latencies, n=100)
    return (
        f"bookings {workers:3} callers  {len(latencies) / seconds:6.0f}/s  "
        f"p50 {percentiles[49] * 1000:6.1f} ms  p99 {percentiles[98] * 1000:6.1f} ms"
    )


async def measure_recovery(changes: int) -> None:
    """Measure a restart of the whole control group after many changes."""
    async with running(3, 0, True) as benchmark:
        await benchmark.prepare(1)
        started_at = time.monotonic()
        for _ in range(changes):
            await benchmark.propose_until_accepted(list(CONTROL))
        change_seconds = time.monotonic() - started_at
        version = benchmark.version
        for name in CONTROL:
            benchmark.fleet.kill(name)
        started_at = time.monotonic()
        for name in CONTROL:
            benchmark.fleet.start_node(name)
        await wait_until(
            lambda: _all_have_version(benchmark, list(CONTROL)), 30, "recovery", 0.02
        )
        recovery_seconds = time.monotonic() - started_at
        next_seconds = await benchmark.propose_until_accepted(list(CONTROL))
        print(
            f"{changes} changes in {change_seconds:.1f} s; "
            f"restart of 3 replicas: version {version} on all "
            f"after {recovery_seconds:.2f} s, next change {next_seconds * 1000:.0f} ms"
        )


class running:  # noqa: N801
    """Provide a benchmark to a `with` block, and stop its processes afterwards."""

    def __init__(
        self, control: int, entries: int, checks: bool, roles: str = "entry,control"
    ) -> None:
        self._folder = tempfile.TemporaryDirectory()
        extra_arguments = ("--log-level=error", "--linger=1")
        nodes = make_nodes(control, entries, roles)
        self._fleet = Fleet(
            Path(self._folder.name), nodes, extra_arguments=extra_arguments
        )
        self._checks = checks

    async def __aenter__(self) -> Benchmark:
        """Return the benchmark."""
        self._benchmark = Benchmark(self._fleet, lambda name: self._checks)
        return self._benchmark

    async def __aexit__(self, *_: object) -> None:
        """Stop all processes and proxies."""
        self._fleet.stop()
        for proxy in self._benchmark.proxies.values():
            await proxy.stop()
        self._folder.cleanup()


def describe(values: tuple[float, ...] | list[float]) -> str:
    """Return the minimum, median and maximum of some seconds."""
    median = statistics.median(values)
    return f"{min(values):.2f} / {median:.2f} / {max(values):.2f} s"


MEASUREMENTS: dict[str, Callable[[argparse.Namespace], Awaitable[None]]] = {
    "leader-checked": lambda o: measure_failover(o.rounds, True),
    "leader-unchecked": lambda o: measure_failover(o.rounds, False),
    "spread": lambda o: measure_propagation(o.rounds),
    "claims": lambda o: measure_claims(o.seconds),
    "recovery": lambda o: measure_recovery(o.changes),
}


def main() -> None:
    """Run the selected measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", default=list(MEASUREMENTS))
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--changes", type=int, default=500)
    options = parser.parse_args()
    print("figures are minimum / median / maximum", flush=True)
    for part in options.parts:
        asyncio.run(MEASUREMENTS[part](options))


if __name__ == "__main__":
    main()
