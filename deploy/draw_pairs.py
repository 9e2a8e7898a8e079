"""Write day files that bring drawn pairs of troubles together."""

import argparse
import itertools
import random
from pathlib import Path
from typing import NamedTuple

PAIR_SECONDS = (5.0, 13.0, 21.0, 28.0)
"""When the pairs of a day begin: each has some seconds for itself."""

APART_SECONDS = 1.5
"""The second of a pair begins at most so long after the first."""


class Trouble(NamedTuple):
    """Hold one kind of trouble as the bench writes it, planned work or a fault."""

    kind: str
    rest: str = ""
    is_plan: bool = False


TROUBLES = (
    Trouble("burst", 'x = 1.8, for_s = 4.0, class = "@c0"'),
    Trouble("retry_abuse", "x = 3.0, share = 0.3, for_s = 4.0"),
    Trouble("give_up", "share = 0.3, for_s = 4.0"),
    Trouble("srv_crash", 'share = 0.2, for_s = 3.0, service = "@s0"'),
    Trouble("srv_crash", 'share = 0.2, for_s = 3.0, service = "@s0", how = "dark"'),
    Trouble("srv_grey", 'share = 0.2, x = 0.4, for_s = 5.0, how = "errors"'),
    Trouble("srv_grey", 'share = 0.2, x = 0.4, for_s = 5.0, how = "mute"'),
    Trouble("srv_grey", 'share = 0.2, x = 0.4, for_s = 5.0, how = "shed"'),
    Trouble("srv_slow", "share = 0.2, x = 4.0, for_s = 4.0"),
    Trouble("srv_cut", 'share = 0.2, for_s = 4.0, how = "fronts"'),
    Trouble("srv_cut", 'share = 0.2, for_s = 4.0, how = "reborn"'),
    Trouble("replace_with_reuse", "share = 0.15"),
    Trouble("answer_lost", "share = 0.5, x = 0.03, for_s = 5.0"),
    Trouble("garble", 'share = 0.5, x = 0.03, for_s = 5.0, how = "extra"'),
    Trouble("garble", 'share = 0.5, x = 0.03, for_s = 5.0, how = "early"'),
    Trouble("node_kill", "share = 0.2, for_s = 2.0"),
    Trouble("node_kill", 'on = "core", count = 1, for_s = 2.0, how = "leader"'),
    Trouble("node_freeze", "share = 0.2, for_s = 3.0"),
    Trouble("node_freeze", 'on = "core", count = 1, for_s = 3.0, how = "leader race"'),
    Trouble("node_slow", "share = 0.2, x = 5.0, for_s = 4.0"),
    Trouble("node_cut", "share = 0.2, for_s = 4.0"),
    Trouble("node_cut", 'share = 0.2, for_s = 4.0, how = "all"'),
    Trouble("herd_kill", 'share = 0.6, for_s = 1.5, how = "power"'),
    Trouble("after_ack_wipe", "for_s = 2.0"),
    Trouble("after_ack_kill", 'for_s = 2.0, how = "timed"'),
    Trouble("disk_full", "count = 1, for_s = 4.0"),
    Trouble("disk_slow", "count = 1, x = 30.0, for_s = 4.0"),
    Trouble("disk_stall", "count = 1, for_s = 3.0"),
    Trouble("reset_conns", "share = 0.4, x = 0.5"),
    Trouble("core_cut", 'count = 1, for_s = 4.0, how = "leader race"'),
    Trouble("core_cut", 'for_s = 4.0, how = "split"'),
    Trouble("core_cut", 'count = 1, for_s = 4.0, how = "one_way"'),
    Trouble("core_cut", 'count = 1, for_s = 4.0, how = "seeds"'),
    Trouble("lossy", 'x = 0.03, for_s = 4.0, zone = "@z0"'),
    Trouble("ack_lost", "x = 0.7, for_s = 5.0"),
    Trouble("applied_late", "x = 0.5, for_s = 5.0"),
    Trouble("kv_slow", 'share = 0.3, for_s = 4.0, service = "@s0"'),
    Trouble("handle_short", 'share = 0.4, for_s = 4.0, service = "@s0"'),
    Trouble("clock_step", "x = 2000.0, share = 0.3, for_s = 3.0"),
    Trouble("clock_step", 'x = 2000.0, share = 0.3, for_s = 3.0, how = "back"'),
    Trouble("release", "share = 0.5, x = 1.0, gap_s = 0.7", is_plan=True),
    Trouble("scale_out", "share = 0.3, gap_s = 1.0", is_plan=True),
    Trouble("scale_in", "share = 0.15", is_plan=True),
    Trouble("scale_in", 'share = 0.15, how = "spot"', is_plan=True),
    Trouble("roll_term", "share = 0.4, x = 1.0, gap_s = 1.0", is_plan=True),
    Trouble("replace_core", "x = 1.0", is_plan=True),
    Trouble("replace_core", 'x = 1.0, how = "planned"', is_plan=True),
    Trouble("seed_turnover", is_plan=True),
    Trouble("hup", "share = 0.6, gap_s = 1.0", is_plan=True),
    Trouble("config_change", 'how = "route"', is_plan=True),
    Trouble("config_change", 'how = "timeout"', is_plan=True),
    Trouble("config_storm", "for_s = 3.0, gap_s = 0.4", is_plan=True),
    Trouble("config_race", "count = 2, gap_s = 1.0", is_plan=True),
    Trouble("bad_config", 'count = 2, gap_s = 0.7, how = "cut_short"', is_plan=True),
    Trouble("big_config", "count = 300", is_plan=True),
)

CLOSINGS = (
    '{ kind = "kill_all", down_s = 1.0 }',
    '{ kind = "power_off_all", down_s = 1.0 }',
    '{ kind = "wipe_after_ack", down_s = 1.0, how = "aimed all synced" }',
)


def draw_day(
    rng: random.Random, name: str, pairs: list[tuple[Trouble, Trouble]]
) -> str:
    """Return the text of a day that plays some pairs one after the other."""
    lines: dict[bool, list[str]] = {True: [], False: []}
    for begin, pair in zip(PAIR_SECONDS, pairs, strict=False):
        for trouble, wait in zip(
            pair, (0.0, rng.uniform(0, APART_SECONDS)), strict=True
        ):
            rest = f", {trouble.rest}" if trouble.rest else ""
            at = f"at = {begin + wait:.2f}"
            lines[trouble.is_plan].append(
                f'  {{ kind = "{trouble.kind}", {at}{rest} }},'
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
    """Return day files by name; no pair comes twice."""
    rng = random.Random(seed)
    pairs = list(itertools.combinations(TROUBLES, 2))
    rng.shuffle(pairs)
    size = len(PAIR_SECONDS)
    days: dict[str, str] = {}
    for number in range(count):
        name = f"pairs-{seed}-{number}"
        chosen = pairs[number * size : (number + 1) * size]
        days[name] = draw_day(rng, name, chosen)
    return days


def main() -> None:
    """Write the files."""
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
