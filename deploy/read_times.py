"""Tell from a played day's log how soon the fleet recovered: read_times.py LOG SECOND.

The log is what `fleetbench run --log all` prints; SECOND is when the trouble came.
"""

import argparse
import re
from collections import Counter, defaultdict
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

FIELD = re.compile(r'(\w+)=("[^"]*"|\S*)')
WINDOW_SECONDS = 10.0


class Line(NamedTuple):
    """Hold one line of a process, at the day's second."""

    second: float
    event: str
    fields: dict[str, str]


def read_lines(path: Path) -> Iterator[Line]:
    """Yield the lines that our processes wrote."""
    for text in path.read_text(errors="replace").splitlines():
        fields = dict(FIELD.findall(text))
        if "event" in fields:
            yield Line(float(text.split()[0]), fields["event"], fields)


def find_gap(lines: list[Line], second: float) -> tuple[float, float] | None:
    """Return the last acknowledgement before a second, and the first one after it."""
    acknowledged = sorted(
        line.second
        for line in lines
        if line.event == "routes-replaced" and line.fields["known"] == "True"
    )
    before = [at for at in acknowledged if at <= second]
    after = [at for at in acknowledged if at > second]
    return (before[-1], after[0]) if before and after else None


def find_voters(lines: list[Line], second: float) -> list[tuple[float, str]]:
    """Return when the voters changed after a second, as the leader saw it."""
    return [
        (line.second, line.fields["voters"])
        for line in lines
        if line.event == "voters-changed"
        and line.second > second
        and line.fields["leads"] == "True"
    ]


def count_extra(lines: list[Line]) -> tuple[int, int, float]:
    """Return the most extra sends in a window, its requests, and when it ended."""
    ends = [line for line in lines if line.event == "request-ended"]
    extra: dict[int, int] = defaultdict(int)
    asked: Counter[int] = Counter()
    for line in ends:
        window = int(line.second // WINDOW_SECONDS)
        extra[window] += max(0, int(line.fields["sends"]) - 1)
        asked[window] += 1
    worst = max(extra, key=lambda window: extra[window])
    return extra[worst], asked[worst], (worst + 1) * WINDOW_SECONDS


def main() -> None:
    """Print what a log tells."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", type=Path)
    parser.add_argument("second", type=float)
    options = parser.parse_args()
    lines = list(read_lines(options.log))
    gap = find_gap(lines, options.second)
    if gap is not None:
        print(f"acknowledged at {gap[0]:.3f} s and again at {gap[1]:.3f} s")
    for second, voters in find_voters(lines, options.second):
        print(f"voters at {second:.3f} s: {voters}")
    extra, asked, end = count_extra(lines)
    print(f"most extra sends: {extra} for {asked} requests in the 10 s to {end:.0f} s")


if __name__ == "__main__":
    main()
