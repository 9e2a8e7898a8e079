"""Run two builds as one fleet, on data that the other build wrote."""

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


class Builds:
    """Run the nodes of one fleet, each from one of two installed builds."""

    def __init__(self, fleet: Fleet, programs: dict[str, str]) -> None:
        self.fleet = fleet
        self.programs = programs
        self.running: dict[str, str] = {}
        self.upstreams: tuple[dict[str, str], dict[str, str]] = ({}, {})
        self._models = itertools.count(1)

    def start(self, name: str, build: str) -> None:
        """Start a node from a build."""
        self.fleet.program = (self.programs[build],)
        self.fleet.start_node(name)
        self.running[name] = build

    async def restart(self, name: str, build: str) -> None:
        """Stop a node gracefully and start it from a build; raise RuntimeError."""
        self.fleet.terminate(name)
        process = self.fleet.processes[name]
        code = await asyncio.to_thread(process.wait, STOP_SECONDS)
        if code:
            raise RuntimeError(f"{name} stopped with exit code {code}")
        self.start(name, build)
        await wait_until(self.is_whole, START_SECONDS, f"{name} as {build}")

    def report(self, name: str) -> NodeReport:
        """Return what a node reports."""
        return porcelain.fetch_status([self.fleet.listen[name]], "")

    async def leader(self) -> str:
        """Return the control node that leads, or an empty name."""
        for name in CONTROL:
            report = await asyncio.to_thread(self.report, name)
            if report.control and report.control.role == "leader":
                return name
        return ""

    async def is_whole(self) -> bool:
        """Return whether a leader exists and all nodes serve at one version."""
        reports = [await asyncio.to_thread(self.report, name) for name in self.running]
        agreed = len({report.version for report in reports}) == 1
        serving = all(len([m for m in r.members if m.serving]) == 4 for r in reports)
        return bool(await self.leader()) and agreed and serving

    async def lead_with(self, build: str) -> str:
        """Restart leaders until a node of a build leads; return its name."""
        for _ in range(4 * len(CONTROL)):
            leader = await self.leader()
            if leader and self.running[leader] == build:
                return leader
            if leader:
                await self.restart(leader, self.running[leader])
        raise RuntimeError(f"no node of the build {build} came to lead")

    def configuration(self) -> Configuration:
        """Return a configuration with the next version of the model."""
        return make_configuration(*self.upstreams, version=str(next(self._models)))

    async def check(self, session: aiohttp.ClientSession) -> None:
        """Accept a configuration, drain an engine, and serve at every node."""
        at = list(self.fleet.listen.values())
        base = (await asyncio.to_thread(self.report, "c0")).version
        change = porcelain.make_change_id()
        result = await asyncio.to_thread(
            porcelain.propose_configuration,
            at,
            self.configuration(),
            base,
            change,
            "mixed",
            "",
        )
        print(f"  configuration on base {base}: {result}")
        await wait_until(self.has_loaded, START_SECONDS, "engines with the model")
        await asyncio.to_thread(porcelain.drain_upstream, at, "llm-0", "")
        await wait_until(self.has_drained, START_SECONDS, "a confirmed drain")
        await asyncio.to_thread(porcelain.release_upstream, at, "llm-0", "")
        for name in self.running:
            address = self.fleet.listen[name]
            reply = await complete(session, address, f"via {name}", 12)
            booked = await book(session, address, "visit-1")
            if (
                reply.outcome != "complete"
                or reply.pieces != 12
                or booked.outcome != "complete"
            ):
                raise RuntimeError(f"{name} did not serve: {reply} {booked}")
        runs = [r for r in self.fleet.records() if r["kind"] == "booked"]
        if len(runs) != 1:
            raise RuntimeError(f"the booking ran {len(runs)} times")
        print(f"  drained and released llm-0; served at {', '.join(self.running)}")

    async def has_loaded(self) -> bool:
        """Return whether every engine has finished its order and no drain is left."""
        report = await asyncio.to_thread(self.report, await self.leader())
        control = report.control
        done = control is not None and all(order.finished for order in control.orders)
        return done and len(control.orders) == 2 and not control.drains

    async def has_drained(self) -> bool:
        """Return whether the drain waits for no node any more."""
        report = await asyncio.to_thread(self.report, await self.leader())
        drains = report.control.drains if report.control else ()
        return len(drains) == 1 and not drains[0].awaited


async def run(builds: Builds) -> None:
    """Start the other build, then this one on its data, then both together."""
    fleet = builds.fleet
    engines = {n: fleet.start_engine(n, "--change=0.5") for n in ("llm-0", "llm-1")}
    builds.upstreams = (engines, {"app-0": fleet.start_service("app-0")})
    async with aiohttp.ClientSession() as session:
        print("all nodes: other build")
        for name in fleet.nodes:
            builds.start(name, "other")
        await wait_until(builds.is_whole, START_SECONDS, "a whole fleet")
        await builds.check(session)
        for name in fleet.nodes:
            fleet.terminate(name)
        for name in fleet.nodes:
            await asyncio.to_thread(fleet.processes[name].wait, STOP_SECONDS)
        print("all nodes: this build, on the data of the other")
        for name in fleet.nodes:
            builds.start(name, "this")
        await wait_until(builds.is_whole, START_SECONDS, "a whole fleet")
        await builds.check(session)
        for name, build in (("c0", "other"), ("e0", "other")):
            await builds.restart(name, build)
        for build in ("other", "this"):
            leader = await builds.lead_with(build)
            print(f"mixed {builds.running}: {leader} leads with the {build} build")
            await builds.check(session)


def main() -> None:
    """Run both builds in a folder of their own."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("other", help="the other build's hawthornshelf program")
    this = str(Path(sys.executable).parent / "hawthornshelf")
    programs = {"other": parser.parse_args().other, "this": this}
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), NODES, extra=("--linger=1",))
        builds = Builds(fleet, programs)
        try:
            asyncio.run(run(builds))
        except Exception:
            for name in builds.running:
                print(f"--- {name}\n{fleet.log(name)[-2000:]}", file=sys.stderr)
            raise
        finally:
            fleet.stop()
    print("both builds serve together")


if __name__ == "__main__":
    main()
