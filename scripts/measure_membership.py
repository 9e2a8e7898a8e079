"""Measure on a virtual clock how soon nodes drop out of the address answers."""

import statistics
import sys
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.chaos import configuration_of, make_simulation
from tests.simulation import Simulation

SEEDS = range(1, 11)


def ready(seed: int, entries: int) -> Simulation:
    """Return a fleet that serves."""
    simulation = make_simulation(seed, 3, entries)
    simulation.uses_platform = True
    simulation.platform_states = dict.fromkeys(
        (*simulation.nodes, *simulation.engines), "live"
    )
    simulation.start_all()
    simulation.configure(configuration_of(simulation))
    simulation.run(20)
    return simulation


def names_node(simulation: Simulation, name: str) -> bool:
    """Tell if any running node still gives a node to callers."""
    for node in simulation.nodes.values():
        if node.core is None or node.frozen or node.name == name:
            continue
        if name in [row.node for row in node.core.members.serving()]:
            return True
    return False


def time_out(seed: int, entries: int, lose: Callable[[Simulation, str], None]) -> float:
    """Return the seconds until no node names the lost one."""
    simulation = ready(seed, entries)
    lose(simulation, "e0")
    return simulation.run_until(
        lambda: not names_node(simulation, "e0"), 60, "end", 0.05
    )


def main() -> None:
    """Run each way of leaving on 11 nodes."""
    ways: dict[str, Callable[[Simulation, str], None]] = {
        "killed": lambda simulation, name: simulation.kill(name),
        "frozen": lambda simulation, name: simulation.freeze(name),
        "cut off": lambda simulation, name: simulation.isolate(name),
        "stopping": lambda simulation, name: simulation.stop(name),
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
