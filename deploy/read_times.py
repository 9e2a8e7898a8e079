"""Report from the log of a day how soon the fleet recovered: read_times.py LOG SECOND.

The log is what `fleetbench run --log all` prints; SECOND is when the fault occurred.
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
    """Represent a log line; `second` is its time since the start of the day."""

    second: float
    event: str
    fields: dict[str, str]


def read_lines(path: Path) -> Iterator[Line]:
    """Yield the log lines that processes of hawthornshelf wrote."""
    for text in path.read_text(errors="replace").splitlines():
        fields = dict(FIELD.findall(text))
        if "event" in fields:
            yield Line(float(text.split()[0]), fields["event"], fields)


def find_acknowledgement_gap(
    lines: list[Line], second: float
) -> tuple[float, float] | None:
    """Return the times of the last acknowledged manifest before and the first after."""
    acknowledged = sorted(
        line.second
        for line in lines
        if line.event == "routes-replaced" and line.fields["known"] == "True"
    )
    before = [time for time in acknowledged if time <= second]
    after = [time for time in acknowledged if time > second]
    return (before[-1], after[0]) if before and after else None


def find_voter_changes(lines: list[Line], second: float) -> list[tuple[float, str]]:
    """Return when the voters changed after a second, from the log of the leader."""
    return [
        (line.second, line.fields["voters"])
        for line in lines
        if line.event == "voters-changed"
        and line.second > second
        and line.fields["leads"] == "True"
    ]


def count_retries(lines: list[Line]) -> tuple[int, int, float]:
    """Return the retries, the requests and the end of the window with most retries.

    Windows are WINDOW_SECONDS long; the end is in seconds since the day's start.
    """
    ended = [line for line in lines if line.event == "request-ended"]
    retries: dict[int, int] = defaultdict(int)
    requests: Counter[int] = Counter()
    for line in ended:
        window = int(line.second // WINDOW_SECONDS)
        retries[window] += max(0, int(line.fields["sends"]) - 1)
        requests[window] += 1
    worst = max(retries, key=lambda window: retries[window])
    return retries[worst], requests[worst], (worst + 1) * WINDOW_SECONDS


def main() -> None:
    """Print the acknowledgement gap, the changes of voters and the most retries."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", type=Path)
    parser.add_argument("second", type=float)
    options = parser.parse_args()
    lines = list(read_lines(options.log))
    gap = find_acknowledgement_gap(lines, options.second)
    if gap is not None:
        print(f"acknowledged at {gap[0]:.3f} s and again at {gap[1]:.3f} s")
    for second, voters in find_voter_changes(lines, options.second):
        print(f"voters at {second:.3f} s: {voters}")
    retries, requests, end = count_retries(lines)
    print(f"most retries: {retries} for {requests} requests in the 10 s to {end:.0f} s")


if __name__ == "__main__":
    main()
