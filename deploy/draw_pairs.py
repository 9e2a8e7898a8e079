"""Generate fleetbench day files in which random pairs of disturbances overlap."""

import argparse
import itertools
import random
from pathlib import Path
from typing import NamedTuple

PAIR_START_SECONDS = (5.0, 13.0, 21.0, 28.0)
"""Start times of the pairs of a day, spaced so that pairs don't overlap."""

MAX_DELAY_SECONDS = 1.5
"""Longest delay from the first to the second disturbance of a pair."""


class Disturbance(NamedTuple):
    """Represent a fault or a planned operation, in the syntax of a day file."""

    kind: str
    parameters: str = ""
    is_planned: bool = False


DISTURBANCES = (
    Disturbance("burst", 'x = 1.8, for_s = 4.0, class = "@c0"'),
    Disturbance("retry_abuse", "x = 3.0, share = 0.3, for_s = 4.0"),
    Disturbance("give_up", "share = 0.3, for_s = 4.0"),
    Disturbance("srv_crash", 'share = 0.2, for_s = 3.0, service = "@s0"'),
    Disturbance("srv_crash", 'share = 0.2, for_s = 3.0, service = "@s0", how = "dark"'),
    Disturbance("srv_grey", 'share = 0.2, x = 0.4, for_s = 5.0, how = "errors"'),
    Disturbance("srv_grey", 'share = 0.2, x = 0.4, for_s = 5.0, how = "mute"'),
    Disturbance("srv_grey", 'share = 0.2, x = 0.4, for_s = 5.0, how = "shed"'),
    Disturbance("srv_slow", "share = 0.2, x = 4.0, for_s = 4.0"),
    Disturbance("srv_cut", 'share = 0.2, for_s = 4.0, how = "fronts"'),
    Disturbance("srv_cut", 'share = 0.2, for_s = 4.0, how = "reborn"'),
    Disturbance("replace_with_reuse", "share = 0.15"),
    Disturbance("answer_lost", "share = 0.5, x = 0.03, for_s = 5.0"),
    Disturbance("garble", 'share = 0.5, x = 0.03, for_s = 5.0, how = "extra"'),
    Disturbance("garble", 'share = 0.5, x = 0.03, for_s = 5.0, how = "early"'),
    Disturbance("node_kill", "share = 0.2, for_s = 2.0"),
    Disturbance("node_kill", 'on = "core", count = 1, for_s = 2.0, how = "leader"'),
    Disturbance("node_freeze", "share = 0.2, for_s = 3.0"),
    Disturbance(
        "node_freeze", 'on = "core", count = 1, for_s = 3.0, how = "leader race"'
    ),
    Disturbance("node_slow", "share = 0.2, x = 5.0, for_s = 4.0"),
    Disturbance("node_cut", "share = 0.2, for_s = 4.0"),
    Disturbance("node_cut", 'share = 0.2, for_s = 4.0, how = "all"'),
    Disturbance("herd_kill", 'share = 0.6, for_s = 1.5, how = "power"'),
    Disturbance("after_ack_wipe", "for_s = 2.0"),
    Disturbance("after_ack_kill", 'for_s = 2.0, how = "timed"'),
    Disturbance("disk_full", "count = 1, for_s = 4.0"),
    Disturbance("disk_slow", "count = 1, x = 30.0, for_s = 4.0"),
    Disturbance("disk_stall", "count = 1, for_s = 3.0"),
    Disturbance("reset_conns", "share = 0.4, x = 0.5"),
    Disturbance("core_cut", 'count = 1, for_s = 4.0, how = "leader race"'),
    Disturbance("core_cut", 'for_s = 4.0, how = "split"'),
    Disturbance("core_cut", 'count = 1, for_s = 4.0, how = "one_way"'),
    Disturbance("core_cut", 'count = 1, for_s = 4.0, how = "seeds"'),
    Disturbance("lossy", 'x = 0.03, for_s = 4.0, zone = "@z0"'),
    Disturbance("ack_lost", "x = 0.7, for_s = 5.0"),
    Disturbance("applied_late", "x = 0.5, for_s = 5.0"),
    Disturbance("kv_slow", 'share = 0.3, for_s = 4.0, service = "@s0"'),
    Disturbance("handle_short", 'share = 0.4, for_s = 4.0, service = "@s0"'),
    Disturbance("clock_step", "x = 2000.0, share = 0.3, for_s = 3.0"),
    Disturbance("clock_step", 'x = 2000.0, share = 0.3, for_s = 3.0, how = "back"'),
    Disturbance("release", "share = 0.5, x = 1.0, gap_s = 0.7", is_planned=True),
    Disturbance("scale_out", "share = 0.3, gap_s = 1.0", is_planned=True),
    Disturbance("scale_in", "share = 0.15", is_planned=True),
    Disturbance("scale_in", 'share = 0.15, how = "spot"', is_planned=True),
    Disturbance("roll_term", "share = 0.4, x = 1.0, gap_s = 1.0", is_planned=True),
    Disturbance("replace_core", "x = 1.0", is_planned=True),
    Disturbance("replace_core", 'x = 1.0, how = "planned"', is_planned=True),
    Disturbance("seed_turnover", is_planned=True),
    Disturbance("hup", "share = 0.6, gap_s = 1.0", is_planned=True),
    Disturbance("config_change", 'how = "route"', is_planned=True),
    Disturbance("config_change", 'how = "timeout"', is_planned=True),
    Disturbance("config_storm", "for_s = 3.0, gap_s = 0.4", is_planned=True),
    Disturbance("config_race", "count = 2, gap_s = 1.0", is_planned=True),
    Disturbance(
        "bad_config", 'count = 2, gap_s = 0.7, how = "cut_short"', is_planned=True
    ),
    Disturbance("big_config", "count = 300", is_planned=True),
)

CLOSINGS = (
    '{ kind = "kill_all", down_s = 1.0 }',
    '{ kind = "power_off_all", down_s = 1.0 }',
    '{ kind = "wipe_after_ack", down_s = 1.0, how = "aimed all synced" }',
)
"""Values for the `closing` field of a day file; each day gets one."""


def draw_day(
    rng: random.Random, name: str, pairs: list[tuple[Disturbance, Disturbance]]
) -> str:
    """Return the text of a day file that runs the pairs one after the other."""
    lines: dict[bool, list[str]] = {True: [], False: []}
    for start, pair in zip(PAIR_START_SECONDS, pairs, strict=False):
        for disturbance, delay in zip(
            pair, (0.0, rng.uniform(0, MAX_DELAY_SECONDS)), strict=True
        ):
            parameters = f", {disturbance.parameters}" if disturbance.parameters else ""
            at = f"at = {start + delay:.2f}"
            lines[disturbance.is_planned].append(
                f'  {{ kind = "{disturbance.kind}", {at}{parameters} }},'
            )
    return "\n".join(
        [
            "[[day]]",
            f'name = "{name}"',
            'slot = "trouble"',
            f"seed = {rng.randrange(10**9)}",
            "one = 0.5",
            "zero = 0.1",
            "goal = { floor = 0.2 }",
            f"closing = {rng.choice(CLOSINGS)}",
            "plan = [",
            *lines[True],
            "]",
            "faults = [",
            *lines[False],
            "]",
            "",
        ]
    )


def draw_days(seed: int, count: int) -> dict[str, str]:
    """Return the texts of day files by name; each pair occurs at most once."""
    rng = random.Random(seed)
    pairs = list(itertools.combinations(DISTURBANCES, 2))
    rng.shuffle(pairs)
    size = len(PAIR_START_SECONDS)
    days: dict[str, str] = {}
    for number in range(count):
        name = f"pairs-{seed}-{number}"
        day_pairs = pairs[number * size : (number + 1) * size]
        days[name] = draw_day(rng, name, day_pairs)
    return days


def main() -> None:
    """Write the day files to a folder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seed", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("folder", type=Path)
    options = parser.parse_args()
    options.folder.mkdir(parents=True, exist_ok=True)
    for name, text in draw_days(options.seed, options.count).items():
        (options.folder / f"{name}.toml").write_text(text)


if __name__ == "__main__":
    main()
