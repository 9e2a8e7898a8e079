"""Compare our policy with the baselines on every mix, over several seeds."""

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

HEAD = (
    f"{'mix':9} {'policy':16} {'useful':>7} {'least':>7} {'most':>7} "
    f"{'tokens':>7} {'urgent':>7} {'p50':>6} {'p95':>6} {'p99':>6} "
    f"{'refused':>8} {'attempts':>8} {'changes':>8} {'lost s':>7}"
)


def describe(outcomes: list[Outcomes]) -> str:
    """Return one line: medians over the seeds, with the spread of the useful."""
    useful = [o.useful / o.offered for o in outcomes]
    run = outcomes[0].run

    def middle(values: list[float]) -> float:
        return statistics.median(values)

    return (
        f"{run.mix:9} {run.policy:16} {middle(useful):7.1%} {min(useful):7.1%} "
        f"{max(useful):7.1%} {middle([o.useful_tokens / 1e6 for o in outcomes]):6.2f}M "
        f"{middle([o.urgent_useful / o.urgent_offered for o in outcomes]):7.1%} "
        f"{middle([o.urgent_p50 for o in outcomes]):6.2f} "
        f"{middle([o.urgent_p95 for o in outcomes]):6.2f} "
        f"{max(o.urgent_p99 for o in outcomes):6.2f} "
        f"{middle([o.refusals for o in outcomes]):8.0f} "
        f"{middle([o.attempts for o in outcomes]):8.2f} "
        f"{middle([o.role_changes for o in outcomes]):8.0f} "
        f"{middle([o.lost_seconds for o in outcomes]):7.0f}"
    )


def main() -> None:
    """Run all combinations on all cores and print the table."""
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
    print(HEAD)
    grouped: dict[tuple[str, str], list[Outcomes]] = defaultdict(list)
    with ProcessPoolExecutor(options.workers) as pool:
        for outcome in pool.map(run_policy, runs):
            key = (outcome.run.mix, outcome.run.policy)
            grouped[key].append(outcome)
            if len(grouped[key]) == len(seeds):
                print(describe(grouped[key]), flush=True)


if __name__ == "__main__":
    main()
