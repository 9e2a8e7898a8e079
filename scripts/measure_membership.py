"""Measure on a virtual clock how soon lost nodes leave the address lists."""

import statistics
import sys
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.chaos import configuration_of, make_simulation
from tests.simulation import Simulation

SEEDS = range(1, 11)


def start_simulation(seed: int, entries: int) -> Simulation:
    """Return a simulated fleet that serves requests."""
    simulation = make_simulation(seed, 3, entries)
    simulation.uses_platform = True
    simulation.platform_states = dict.fromkeys(
        (*simulation.nodes, *simulation.engines), "live"
    )
    simulation.start_all()
    simulation.configure(configuration_of(simulation))
    simulation.run(20)
    return simulation


def is_listed(simulation: Simulation, name: str) -> bool:
    """Check whether any other running node still lists a node for callers."""
    for node in simulation.nodes.values():
        if node.core is None or node.frozen or node.name == name:
            continue
        if name in [row.node for row in node.core.members.serving()]:
            return True
    return False


def measure_removal(
    seed: int, entries: int, disable: Callable[[Simulation, str], None]
) -> float:
    """Return the seconds until no other node lists the disabled one for callers."""
    simulation = start_simulation(seed, entries)
    disable(simulation, "e0")
    return simulation.run_until(
        lambda: not is_listed(simulation, "e0"),
        60,
        "removal from the address lists",
        0.05,
    )


def main() -> None:
    """Measure the removal of one of 11 nodes after each fault and after a stop."""
    faults: dict[str, Callable[[Simulation, str], None]] = {
        "killed": lambda simulation, name: simulation.kill(name),
        "frozen": lambda simulation, name: simulation.freeze(name),
        "cut off": lambda simulation, name: simulation.isolate(name),
        "stopping": lambda simulation, name: simulation.stop(name),
    }
    print(f"11 nodes, seeds {SEEDS.start}-{SEEDS.stop - 1}, virtual clock")
    for fault, disable in faults.items():
        times = [measure_removal(seed, 8, disable) for seed in SEEDS]
        print(
            f"{fault:9} minimum {min(times):.2f} s  "
            f"median {statistics.median(times):.2f} s  maximum {max(times):.2f} s"
        )


if __name__ == "__main__":
    main()
