"""Compare the placement policy with baselines on every workload mix and seed."""

import argparse
import statistics
import sys
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from scripts.policies import POLICIES
from scripts.policysim import Outcomes, Run, run_policy
from scripts.workload import MIXES

HEADER = (
    f"{'mix':9} {'policy':16} {'useful':>7} {'min':>7} {'max':>7} "
    f"{'tokens':>7} {'urgent':>7} {'p50':>6} {'p95':>6} {'p99':>6} "
    f"{'refused':>8} {'attempts':>8} {'changes':>8} {'lost s':>7}"
)


def format_row(outcomes: list[Outcomes]) -> str:
    """Return a table row of medians over the seeds.

    The useful share also has its minimum and maximum, the urgent p99 its maximum.
    """
    useful = [o.useful / o.offered for o in outcomes]
    run = outcomes[0].run

    def median(values: list[float]) -> float:
        return statistics.median(values)

    return (
        f"{run.mix:9} {run.policy:16} {median(useful):7.1%} {min(useful):7.1%} "
        f"{max(useful):7.1%} {median([o.useful_tokens / 1e6 for o in outcomes]):6.2f}M "
        f"{median([o.urgent_useful / o.urgent_offered for o in outcomes]):7.1%} "
        f"{median([o.urgent_p50 for o in outcomes]):6.2f} "
        f"{median([o.urgent_p95 for o in outcomes]):6.2f} "
        f"{max(o.urgent_p99 for o in outcomes):6.2f} "
        f"{median([o.refusals for o in outcomes]):8.0f} "
        f"{median([o.attempts for o in outcomes]):8.2f} "
        f"{median([o.role_changes for o in outcomes]):8.0f} "
        f"{median([o.lost_seconds for o in outcomes]):7.0f}"
    )


def main() -> None:
    """Run all combinations in parallel and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1,2,3,4,5")
    parser.add_argument("--mixes", default=",".join(MIXES))
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--seconds", type=float, default=180.0)
    parser.add_argument("--workers", type=int, default=None)
    options = parser.parse_args()
    seeds = [int(seed) for seed in options.seeds.split(",")]
    runs = [
        Run(policy, mix, seed, options.seconds)
        for mix in options.mixes.split(",")
        for policy in options.policies.split(",")
        for seed in seeds
    ]
    print(
        f"seeds {options.seeds}; {options.seconds:g} s of arrivals; urgent p99: worst"
    )
    print(HEADER)
    grouped: dict[tuple[str, str], list[Outcomes]] = defaultdict(list)
    with ProcessPoolExecutor(options.workers) as pool:
        for outcome in pool.map(run_policy, runs):
            key = (outcome.run.mix, outcome.run.policy)
            grouped[key].append(outcome)
            if len(grouped[key]) == len(seeds):
                print(format_row(grouped[key]), flush=True)


if __name__ == "__main__":
    main()
