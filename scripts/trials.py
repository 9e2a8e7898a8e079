"""Inject faults into real processes under load, and check the records of the fakes."""

import argparse
import asyncio
import random
import sys
import tempfile
from collections import Counter, defaultdict
from pathlib import Path

import aiohttp

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from hawthornshelf.commands import ConfigurationAccepted
from hawthornshelf.errors import HawthornshelfError
from scripts.harness import make_nodes, propose, start_fleet
from tests.client import Reply, book, complete
from tests.fakes.model import token_text
from tests.fleet import Fleet, make_configuration
from tests.partitionproxy import PartitionProxy

ENGINES = 4
CALLERS = 10
ENGINE_OPTIONS = ("--change=1.0", "--decode=40")


def checks_fencing(name: str) -> bool:
    """Return whether an engine checks fencing numbers: every other one does."""
    return int(name.rpartition("-")[2]) % 2 == 0


class Trial:
    """Run one trial and record the responses that its callers got."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.proxies: dict[str, PartitionProxy] = {}
        self.outcomes: Counter[str] = Counter()
        self.injected: list[str] = []
        self.responses: dict[str, set[str]] = defaultdict(set)
        self.not_run: Counter[str] = Counter()
        self.attempts: Counter[str] = Counter()
        self.version = 1

    async def run(self, seconds: float) -> None:
        """Run callers, an operator and fault injection concurrently."""
        for name in self.fleet.nodes:
            proxy = PartitionProxy(self.fleet.peer_listen[name])
            self.fleet.peer_proxies[name] = await proxy.start()
            self.proxies[name] = proxy
        await start_fleet(self.fleet, ENGINES, 2, 8, checks_fencing, ENGINE_OPTIONS)
        stop = asyncio.Event()
        tasks = [asyncio.create_task(self._run_caller(stop, n)) for n in range(CALLERS)]
        tasks.append(asyncio.create_task(self._run_operator(stop)))
        tasks.append(asyncio.create_task(self._inject_faults(stop)))
        await asyncio.sleep(seconds)
        stop.set()
        await asyncio.gather(*tasks)
        for proxy in self.proxies.values():
            await proxy.stop()

    async def _run_caller(self, stop: asyncio.Event, caller: int) -> None:
        timeout = aiohttp.ClientTimeout(total=30)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            number = 0
            while not stop.is_set():
                number += 1
                address = self.fleet.listen[self.rng.choice(list(self.fleet.nodes))]
                try:
                    if self.rng.random() < 0.5:
                        await self._book(session, address, caller, number)
                    else:
                        await self._stream(session, address, caller, number)
                except (aiohttp.ClientError, TimeoutError, OSError):
                    self.outcomes["no response"] += 1
                    await asyncio.sleep(0.1)

    async def _book(
        self, session: aiohttp.ClientSession, address: str, caller: int, number: int
    ) -> None:
        """Book under a key that this caller uses for three bookings in a row."""
        key = f"k-{caller}-{number // 3}"
        self.attempts[key] += 1
        reply = await book(session, address, key, body=key)
        self.outcomes[f"booking {reply.outcome}"] += 1
        if reply.outcome == "complete":
            self.responses[key].add(reply.text)
        elif reply.outcome == "not-run":
            self.not_run[key] += 1
            await asyncio.sleep(min(reply.retry_after, 1.0))

    async def _stream(
        self, session: aiohttp.ClientSession, address: str, caller: int, number: int
    ) -> None:
        prompt = f"caller {caller} asks {number}"
        count = self.rng.randrange(5, 80)
        reply: Reply = await complete(session, address, prompt, count, work="bulk")
        self.outcomes[f"stream {reply.outcome}"] += 1
        expected = "".join(token_text(prompt, n) for n in range(count))
        if reply.outcome == "complete" and reply.text != expected:
            self.outcomes["WRONG RESPONSE"] += 1
        if reply.outcome == "not-run":
            await asyncio.sleep(min(reply.retry_after, 1.0))

    async def _run_operator(self, stop: asyncio.Event) -> None:
        model_version = 1
        while not stop.is_set():
            await asyncio.sleep(self.rng.uniform(4, 8))
            model_version += 1
            addresses = self.fleet.addresses
            engines = {n: a for n, a in addresses.items() if n.startswith("llm")}
            services = {n: a for n, a in addresses.items() if n.startswith("app")}
            body = make_configuration(
                engines, services, str(model_version), checks_fencing
            )
            at = list(self.fleet.listen.values())
            self.rng.shuffle(at)
            try:
                result = await propose(
                    self.fleet, body, self.version, at, f"c-{model_version}"
                )
            except (HawthornshelfError, OSError):
                self.outcomes["proposal without response"] += 1
                continue
            if isinstance(result, ConfigurationAccepted):
                self.version = result.version
                self.outcomes["proposal accepted"] += 1
            else:
                self.version = result.current_version  # type: ignore[union-attr]
                self.outcomes["proposal refused"] += 1

    async def _inject_faults(self, stop: asyncio.Event) -> None:
        while not stop.is_set():
            await asyncio.sleep(self.rng.uniform(1, 4))
            kind = self.rng.choice(("kill", "freeze", "stop", "cut", "crash"))
            self.injected.append(kind)
            if kind == "crash":
                await self._crash_engine()
            else:
                await self._inject_node_fault(
                    kind, self.rng.choice(list(self.fleet.nodes))
                )

    async def _crash_engine(self) -> None:
        name = f"llm-{self.rng.randrange(ENGINES)}"
        self.fleet.kill(name)
        await asyncio.sleep(self.rng.uniform(0.1, 2))
        checks = f"--checks={int(checks_fencing(name))}"
        self.fleet.start_engine(name, "--slots=8", checks, *ENGINE_OPTIONS)

    async def _inject_node_fault(self, kind: str, name: str) -> None:
        fleet = self.fleet
        pause = self.rng.uniform(0.3, 6)
        match kind:
            case "kill":
                fleet.kill(name)
                await asyncio.sleep(pause)
                fleet.start_node(name)
            case "freeze":
                fleet.freeze(name)
                await asyncio.sleep(pause)
                fleet.resume(name)
            case "cut":
                self.proxies[name].cut()
                await asyncio.sleep(pause)
                self.proxies[name].heal()
            case "stop":
                fleet.terminate(name)
                code = await asyncio.to_thread(fleet.processes[name].wait, 60)
                self.outcomes[f"stop with code {code}"] += 1
                fleet.start_node(name)

    def find_violations(self) -> list[str]:
        """Return the violations of guarantees that the records of the fakes show."""
        records = self.fleet.read_records()
        violations = []
        runs = Counter(r["key"] for r in records if r["kind"] == "booked")
        violations += [f"{key} ran {n} times" for key, n in runs.items() if n > 1]
        for key, responses in self.responses.items():
            if len(responses) > 1:
                violations.append(f"{key} got {len(responses)} different responses")
            if runs[key] != 1:
                violations.append(f"{key} completed but ran {runs[key]} times")
        for key, refusals in self.not_run.items():
            if refusals == self.attempts[key] and runs[key]:
                violations.append(f"{key} was always refused as not run, but ran")
        violations += [f"{r}" for r in records if r["kind"] in ("cut", "conflict")]
        violations += self._find_order_violations(records)
        wrong = self.outcomes["WRONG RESPONSE"]
        return violations + ([f"{wrong} wrong responses"] if wrong else [])

    def _find_order_violations(self, records: list) -> list[str]:
        fences: dict[str, list[int]] = defaultdict(list)
        for record in records:
            if record["kind"] == "order":
                fences[record["engine"]].append(record["fence"])
        return [
            f"orders of {engine} out of sequence"
            for engine, numbers in fences.items()
            if numbers != sorted(numbers)
        ]


def run_trial(seed: int, seconds: float) -> list[str]:
    """Run one trial and return the violations found."""
    with tempfile.TemporaryDirectory() as folder:
        extra_arguments = ("--log-level=error", "--linger=1")
        fleet = Fleet(Path(folder), make_nodes(3, 2), extra_arguments=extra_arguments)
        trial = Trial(fleet, seed)
        try:
            asyncio.run(trial.run(seconds))
            violations = trial.find_violations()
        finally:
            fleet.stop()
    counts = ", ".join(f"{n} {kind}" for kind, n in sorted(trial.outcomes.items()))
    print(f"seed {seed}: injected faults {dict(Counter(trial.injected))}")
    print(f"  {counts}")
    print(f"  violations: {violations or 'none'}", flush=True)
    return violations


def main() -> int:
    """Run the selected trials; return 1 if any found a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=40.0)
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.rounds)
    failed = [seed for seed in seeds if run_trial(seed, options.seconds)]
    print(f"{options.rounds} trials of {options.seconds:g} s, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
