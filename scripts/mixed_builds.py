"""Run nodes of two builds as one fleet, on data that the other build wrote."""

import argparse
import asyncio
import itertools
import sys
import tempfile
from pathlib import Path

import aiohttp

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from hawthornshelf import porcelain
from hawthornshelf.configuration import Configuration
from hawthornshelf.status import NodeReport
from tests.client import book, complete
from tests.fleet import Fleet, NodeSpec, make_configuration, wait_until

NODES = (
    NodeSpec("c0", "entry,control", "dc-0"),
    NodeSpec("c1", "entry,control", "dc-1"),
    NodeSpec("c2", "entry,control", "dc-2"),
    NodeSpec("e0", "entry", "dc-0"),
)
CONTROL = ("c0", "c1", "c2")
START_SECONDS = 40.0
STOP_SECONDS = 30.0


class MixedFleet:
    """Run the nodes of a fleet, each with one of two installed builds.

    `programs` has the path of each build's program under "other" and "this".
    """

    def __init__(self, fleet: Fleet, programs: dict[str, str]) -> None:
        self.fleet = fleet
        self.programs = programs
        self.running: dict[str, str] = {}
        self.upstreams: tuple[dict[str, str], dict[str, str]] = ({}, {})
        self._model_versions = itertools.count(1)

    def start(self, name: str, build: str) -> None:
        """Start a node with a build."""
        self.fleet.program = (self.programs[build],)
        self.fleet.start_node(name)
        self.running[name] = build

    async def restart(self, name: str, build: str) -> None:
        """Stop a node gracefully and start it with a build.

        Raise RuntimeError if the exit code is not 0.
        """
        self.fleet.terminate(name)
        process = self.fleet.processes[name]
        code = await asyncio.to_thread(process.wait, STOP_SECONDS)
        if code:
            raise RuntimeError(f"{name} stopped with exit code {code}")
        self.start(name, build)
        await wait_until(
            self.is_serving, START_SECONDS, f"{name} restarted with build {build}"
        )

    def fetch_report(self, name: str) -> NodeReport:
        """Return the status report of a node."""
        return porcelain.fetch_status([self.fleet.listen[name]], "")

    async def find_leader(self) -> str:
        """Return the name of the leader, or an empty string."""
        for name in CONTROL:
            report = await asyncio.to_thread(self.fetch_report, name)
            if report.control and report.control.role == "leader":
                return name
        return ""

    async def is_serving(self) -> bool:
        """Return whether a leader exists and all nodes serve with the same version."""
        reports = [
            await asyncio.to_thread(self.fetch_report, name) for name in self.running
        ]
        same_version = len({report.version for report in reports}) == 1
        serving = all(len([m for m in r.members if m.serving]) == 4 for r in reports)
        return bool(await self.find_leader()) and same_version and serving

    async def wait_for_leader(self, build: str) -> str:
        """Restart leaders until a node with the given build leads; return its name."""
        for _ in range(4 * len(CONTROL)):
            leader = await self.find_leader()
            if leader and self.running[leader] == build:
                return leader
            if leader:
                await self.restart(leader, self.running[leader])
        raise RuntimeError(f"no node with {build} build became leader")

    def next_configuration(self) -> Configuration:
        """Return a configuration with the next version of the model."""
        return make_configuration(
            *self.upstreams, version=str(next(self._model_versions))
        )

    async def check(self, session: aiohttp.ClientSession) -> None:
        """Propose a configuration, drain an engine, and send requests to every node.

        Raise RuntimeError if a request fails or the booking runs more than once.
        """
        at = list(self.fleet.listen.values())
        base = (await asyncio.to_thread(self.fetch_report, "c0")).version
        change = porcelain.make_change_id()
        result = await asyncio.to_thread(
            porcelain.propose_configuration,
            at,
            self.next_configuration(),
            base,
            change,
            "mixed",
            "",
        )
        print(f"  configuration on base {base}: {result}")
        await wait_until(self.has_loaded, START_SECONDS, "loaded engines")
        await asyncio.to_thread(porcelain.drain_upstream, at, "llm-0", "")
        await wait_until(self.has_drained, START_SECONDS, "confirmed drain")
        await asyncio.to_thread(porcelain.release_upstream, at, "llm-0", "")
        for name in self.running:
            address = self.fleet.listen[name]
            reply = await complete(session, address, f"via {name}", 12)
            booking = await book(session, address, "visit-1")
            if (
                reply.outcome != "complete"
                or reply.chunks != 12
                or booking.outcome != "complete"
            ):
                raise RuntimeError(f"{name} did not serve: {reply} {booking}")
        runs = [r for r in self.fleet.read_records() if r["kind"] == "booked"]
        if len(runs) != 1:
            raise RuntimeError(f"the booking ran {len(runs)} times")
        print(f"  drained and released llm-0; served by {', '.join(self.running)}")

    async def has_loaded(self) -> bool:
        """Return whether every engine has finished its order and all drains ended."""
        report = await asyncio.to_thread(self.fetch_report, await self.find_leader())
        control = report.control
        finished = control is not None and all(
            order.finished for order in control.orders
        )
        return finished and len(control.orders) == 2 and not control.drains

    async def has_drained(self) -> bool:
        """Return whether every node has confirmed the drain."""
        report = await asyncio.to_thread(self.fetch_report, await self.find_leader())
        drains = report.control.drains if report.control else ()
        return len(drains) == 1 and not drains[0].awaited


async def run(mixed_fleet: MixedFleet) -> None:
    """Check a fleet of the other build, of this one on the same data, and of both."""
    fleet = mixed_fleet.fleet
    engines = {n: fleet.start_engine(n, "--change=0.5") for n in ("llm-0", "llm-1")}
    mixed_fleet.upstreams = (engines, {"app-0": fleet.start_service("app-0")})
    async with aiohttp.ClientSession() as session:
        print("all nodes: other build")
        for name in fleet.nodes:
            mixed_fleet.start(name, "other")
        await wait_until(mixed_fleet.is_serving, START_SECONDS, "serving fleet")
        await mixed_fleet.check(session)
        for name in fleet.nodes:
            fleet.terminate(name)
        for name in fleet.nodes:
            await asyncio.to_thread(fleet.processes[name].wait, STOP_SECONDS)
        print("all nodes: this build, on the data that the other wrote")
        for name in fleet.nodes:
            mixed_fleet.start(name, "this")
        await wait_until(mixed_fleet.is_serving, START_SECONDS, "serving fleet")
        await mixed_fleet.check(session)
        for name, build in (("c0", "other"), ("e0", "other")):
            await mixed_fleet.restart(name, build)
        for build in ("other", "this"):
            leader = await mixed_fleet.wait_for_leader(build)
            print(f"mixed {mixed_fleet.running}: leader {leader} runs {build} build")
            await mixed_fleet.check(session)


def main() -> None:
    """Run both builds in a temporary folder, and print the logs if a check fails."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("other", help="the other build's hawthornshelf program")
    this = str(Path(sys.executable).parent / "hawthornshelf")
    programs = {"other": parser.parse_args().other, "this": this}
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), NODES, extra_arguments=("--linger=1",))
        mixed_fleet = MixedFleet(fleet, programs)
        try:
            asyncio.run(run(mixed_fleet))
        except Exception:
            for name in mixed_fleet.running:
                print(f"--- {name}\n{fleet.read_log(name)[-2000:]}", file=sys.stderr)
            raise
        finally:
            fleet.stop()
    print("both builds serve as one fleet")


if __name__ == "__main__":
    main()
