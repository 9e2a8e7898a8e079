"""Run drawn faults on the simulated fleet while requests crash their runners."""

import argparse
import sys
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tests.gateway.crashsoak import run_soak  # noqa: E402
from tests.gateway.test_crash_soak import MAX_LATE_SENDS  # noqa: E402


def main() -> int:
    """Run the rounds, print each failed seed, and return 1 if one failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1000)
    parser.add_argument("--rounds", type=int, default=50)
    options = parser.parse_args()
    failed = 0
    totals: Counter[str] = Counter()
    crashes: Counter[int] = Counter()
    for seed in range(options.seed, options.seed + options.rounds):
        result = run_soak(seed)
        totals += result.outcomes
        crashes[result.crashes] += 1
        late = max(result.late_sends, result.late_part_sends)
        blocked = result.outcomes["quarantined"]
        is_wrong = blocked or result.short_streams or result.over_limit
        if late > MAX_LATE_SENDS or is_wrong:
            failed += 1
            print(f"seed {seed} failed: {result}")
    print(f"{options.rounds} rounds from seed {options.seed}: {failed} failed")
    print(f"crashes a round: {dict(sorted(crashes.items()))}")
    print(f"outcomes of other requests: {dict(totals)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
