"""Measure the memory, processor time and bytes of idle nodes, and the start time."""

import argparse
import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from scripts.harness import make_nodes, start_fleet
from tests.fleet import PROGRAM, ROOT, Fleet

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class Sample(NamedTuple):
    """Hold what the system accounts for one process."""

    at: float
    cpu: float
    memory_mb: float
    children: int


def read_sample(fleet: Fleet, name: str) -> Sample:
    """Read a process's accounts."""
    folder = Path(f"/proc/{fleet.processes[name].pid}")
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    cpu = (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
    status = (folder / "status").read_text()
    memory = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    kilobytes = int(memory.split()[1])
    children = len(fleet.children(name))
    return Sample(time.monotonic(), cpu, kilobytes / 1024, children)


def read_loopback_bytes() -> int:
    """Return the bytes sent over the loopback interface so far."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        if line.strip().startswith("lo:"):
            return int(line.split(":")[1].split()[8])
    return 0


async def measure(fleet: Fleet, seconds: float, started: float) -> None:
    """Print what each kind of node uses while nothing happens."""
    await start_fleet(fleet, engines=1, services=1)
    print(f"all serving {time.monotonic() - started:.1f} s after the first start")
    await asyncio.sleep(5)
    before = {name: read_sample(fleet, name) for name in fleet.nodes}
    sent = read_loopback_bytes()
    await asyncio.sleep(seconds)
    sent = read_loopback_bytes() - sent
    for name in fleet.nodes:
        old, new = before[name], read_sample(fleet, name)
        share = (new.cpu - old.cpu) / (new.at - old.at)
        print(
            f"{name:4} {fleet.nodes[name].roles:14} {new.memory_mb:6.1f} MB  "
            f"{share:6.2%} of a core  {new.children} children"
        )
    per_node = sent / seconds / len(fleet.nodes) / 1000
    print(f"{per_node:.1f} KB/s a node over the loopback, TCP and acks included")


def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=11)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--binary", action="store_true")
    options = parser.parse_args()
    program = (str(ROOT / "dist" / "hawthornshelf"),) if options.binary else PROGRAM
    nodes = make_nodes(3, options.nodes - 3)
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), nodes, program, ("--log-level=error",))
        try:
            asyncio.run(measure(fleet, options.seconds, time.monotonic()))
        finally:
            fleet.stop()


if __name__ == "__main__":
    main()
