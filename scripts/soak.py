"""Run random fault schedules against the simulated fleet, in parallel."""

import argparse
import random
import sys
import traceback
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.chaos import FAULTS, Fault, run_chaos

MAX_FAULTS = 9


def make_schedule(seed: int) -> list[Fault]:
    """Return the fault schedule of a seed."""
    rng = random.Random(seed * 7919)
    return [
        Fault(
            round(rng.uniform(0, 35), 2),
            rng.choice(FAULTS),
            rng.randrange(5),
            round(rng.uniform(0.2, 12), 2),
        )
        for _ in range(rng.randrange(1, MAX_FAULTS))
    ]


def run_seed(seed: int) -> str:
    """Run one seed and return a description of its failure, or an empty string."""
    try:
        run_chaos(seed, make_schedule(seed))
    except Exception as error:
        frame = traceback.extract_tb(error.__traceback__)[-1]
        name = Path(frame.filename).name
        text = f"{type(error).__name__} {error}"[:200]
        return f"seed {seed}: {name}:{frame.lineno} {text}"
    return ""


def main() -> int:
    """Run the selected seeds; return 1 if any failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=100)
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.rounds)
    with ProcessPoolExecutor() as pool:
        failures = [text for text in pool.map(run_seed, seeds) if text]
    for text in failures:
        print(text)
    print(f"{len(seeds)} rounds from seed {options.seed}, {len(failures)} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
