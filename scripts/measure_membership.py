"""Measure on a virtual clock how soon nodes drop out of the address answers."""

import statistics
import sys
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.chaos import configuration_of, make_world
from tests.world import World

SEEDS = range(1, 11)


def ready(seed: int, entries: int) -> World:
    """Return a fleet that serves."""
    world = make_world(seed, 3, entries)
    world.uses_platform = True
    world.listed = dict.fromkeys((*world.nodes, *world.engines), "live")
    world.start_all()
    world.configure(configuration_of(world))
    world.run(20)
    return world


def names_node(world: World, name: str) -> bool:
    """Tell if any running node still gives a node to callers."""
    for node in world.nodes.values():
        if node.core is None or node.frozen or node.name == name:
            continue
        if name in [row.node for row in node.core.members.serving()]:
            return True
    return False


def time_out(seed: int, entries: int, lose: Callable[[World, str], None]) -> float:
    """Return the seconds until no node names the lost one."""
    world = ready(seed, entries)
    lose(world, "e0")
    return world.run_until(lambda: not names_node(world, "e0"), 60, "end", 0.05)


def main() -> None:
    """Run each way of leaving on 11 nodes."""
    ways: dict[str, Callable[[World, str], None]] = {
        "killed": lambda world, name: world.kill(name),
        "frozen": lambda world, name: world.freeze(name),
        "cut off": lambda world, name: world.isolate(name),
        "stopping": lambda world, name: world.stop(name),
    }
    print(f"11 nodes, seeds {SEEDS.start}-{SEEDS.stop - 1}, virtual clock")
    for way, lose in ways.items():
        times = [time_out(seed, 8, lose) for seed in SEEDS]
        print(
            f"{way:9} least {min(times):.2f} s  median {statistics.median(times):.2f} s"
            f"  most {max(times):.2f} s"
        )


if __name__ == "__main__":
    main()
