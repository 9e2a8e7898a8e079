"""Kill, freeze, stop and cut real processes under load, and check the records."""

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
    """Tell which engines check the number: every other one."""
    return int(name.rpartition("-")[2]) % 2 == 0


class Trial:
    """Hold one trial and what its callers saw."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.proxies: dict[str, PartitionProxy] = {}
        self.outcomes: Counter[str] = Counter()
        self.faults: list[str] = []
        self.answers: dict[str, set[str]] = defaultdict(set)
        self.not_run: Counter[str] = Counter()
        self.tried: Counter[str] = Counter()
        self.version = 1

    async def run(self, seconds: float) -> None:
        """Run callers, an operator and faults side by side."""
        for name in self.fleet.nodes:
            proxy = PartitionProxy(self.fleet.peer_listen[name])
            self.fleet.peer_proxies[name] = await proxy.start()
            self.proxies[name] = proxy
        await start_fleet(self.fleet, ENGINES, 2, 8, checks_fencing, ENGINE_OPTIONS)
        stop = asyncio.Event()
        work = [asyncio.create_task(self._call(stop, n)) for n in range(CALLERS)]
        work.append(asyncio.create_task(self._operate(stop)))
        work.append(asyncio.create_task(self._break(stop)))
        await asyncio.sleep(seconds)
        stop.set()
        await asyncio.gather(*work)
        for proxy in self.proxies.values():
            await proxy.stop()

    async def _call(self, stop: asyncio.Event, caller: int) -> None:
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
                    self.outcomes["no answer"] += 1
                    await asyncio.sleep(0.1)

    async def _book(
        self, session: aiohttp.ClientSession, address: str, caller: int, number: int
    ) -> None:
        """Book under a key that is used several times."""
        key = f"k-{caller}-{number // 3}"
        self.tried[key] += 1
        reply = await book(session, address, key, body=key)
        self.outcomes[f"booking {reply.outcome}"] += 1
        if reply.outcome == "complete":
            self.answers[key].add(reply.text)
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
        wanted = "".join(token_text(prompt, n) for n in range(count))
        if reply.outcome == "complete" and reply.text != wanted:
            self.outcomes["WRONG ANSWER"] += 1
        if reply.outcome == "not-run":
            await asyncio.sleep(min(reply.retry_after, 1.0))

    async def _operate(self, stop: asyncio.Event) -> None:
        model = 1
        while not stop.is_set():
            await asyncio.sleep(self.rng.uniform(4, 8))
            model += 1
            addresses = self.fleet.addresses
            engines = {n: a for n, a in addresses.items() if n.startswith("llm")}
            services = {n: a for n, a in addresses.items() if n.startswith("app")}
            body = make_configuration(engines, services, str(model), checks_fencing)
            at = list(self.fleet.listen.values())
            self.rng.shuffle(at)
            try:
                result = await propose(self.fleet, body, self.version, at, f"c-{model}")
            except (HawthornshelfError, OSError):
                self.outcomes["proposal unanswered"] += 1
                continue
            if isinstance(result, ConfigurationAccepted):
                self.version = result.version
                self.outcomes["proposal accepted"] += 1
            else:
                self.version = result.current_version  # type: ignore[union-attr]
                self.outcomes["proposal refused"] += 1

    async def _break(self, stop: asyncio.Event) -> None:
        while not stop.is_set():
            await asyncio.sleep(self.rng.uniform(1, 4))
            kind = self.rng.choice(("kill", "freeze", "stop", "cut", "crash"))
            self.faults.append(kind)
            if kind == "crash":
                await self._crash_engine()
            else:
                await self._break_node(kind, self.rng.choice(list(self.fleet.nodes)))

    async def _crash_engine(self) -> None:
        name = f"llm-{self.rng.randrange(ENGINES)}"
        self.fleet.kill(name)
        await asyncio.sleep(self.rng.uniform(0.1, 2))
        checks = f"--checks={int(checks_fencing(name))}"
        self.fleet.start_engine(name, "--slots=8", checks, *ENGINE_OPTIONS)

    async def _break_node(self, kind: str, name: str) -> None:
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

    def find_faults(self) -> list[str]:
        """Return what the upstreams' own records say against us."""
        records = self.fleet.records()
        faults = []
        runs = Counter(r["key"] for r in records if r["kind"] == "booked")
        faults += [f"{key} ran {n} times" for key, n in runs.items() if n > 1]
        for key, answers in self.answers.items():
            if len(answers) > 1:
                faults.append(f"{key} got {len(answers)} answers")
            if runs[key] != 1:
                faults.append(f"{key} was answered but ran {runs[key]} times")
        for key, refusals in self.not_run.items():
            if refusals == self.tried[key] and runs[key]:
                faults.append(f"{key} was only ever refused as not run, but ran")
        faults += [f"{r}" for r in records if r["kind"] in ("cut", "conflict")]
        faults += self._find_order_faults(records)
        wrong = self.outcomes["WRONG ANSWER"]
        return faults + ([f"{wrong} wrong answers"] if wrong else [])

    def _find_order_faults(self, records: list) -> list[str]:
        fences: dict[str, list[int]] = defaultdict(list)
        for record in records:
            if record["kind"] == "order":
                fences[record["engine"]].append(record["fence"])
        return [
            f"orders of {engine} out of turn"
            for engine, numbers in fences.items()
            if numbers != sorted(numbers)
        ]


def run_trial(seed: int, seconds: float) -> list[str]:
    """Run one trial and return its faults."""
    with tempfile.TemporaryDirectory() as folder:
        extra = ("--log-level=error", "--linger=1")
        fleet = Fleet(Path(folder), make_nodes(3, 2), extra=extra)
        trial = Trial(fleet, seed)
        try:
            asyncio.run(trial.run(seconds))
            faults = trial.find_faults()
        finally:
            fleet.stop()
    counts = ", ".join(f"{n} {kind}" for kind, n in sorted(trial.outcomes.items()))
    print(f"seed {seed}: faults brought about {dict(Counter(trial.faults))}")
    print(f"  {counts}")
    print(f"  held against us: {faults or 'nothing'}", flush=True)
    return faults


def main() -> int:
    """Run the trials asked for; exit with 1 if any found a fault."""
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
