"""Measure how the costs of each role grow with the size of the fleet."""

import random
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from hawthornshelf.commands import (
    Answer,
    DrainReason,
    DrainUpstream,
    JoinNode,
    OpenClaim,
    RecordAnswer,
)
from hawthornshelf.configuration import Configuration
from hawthornshelf.entry import EntryCore
from hawthornshelf.events import RequestArrived
from hawthornshelf.membership import MembershipTable
from hawthornshelf.messages import CODEC, MemberRow, MemberStatus, ViewUpdate
from hawthornshelf.state import SharedState, SharedView
from hawthornshelf.submission import Submitter
from tests.fleet import make_configuration

ROUNDS = 200


def fit(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return the intercept and slope of the least-squares line through points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares
    return mean_y - slope * mean_x, slope


def print_fit(label: str, unit: str, points: Sequence[tuple[float, float]]) -> None:
    """Print the points and their linear fit."""
    base, slope = fit(points)
    values = "  ".join(f"{x:g}: {y:.4g}" for x, y in points)
    print(
        f"{label} ({unit})\n  {values}\n  fit {base:.4g} + {slope:.4g} each", flush=True
    )


def time_call(call: Callable[[int], object], rounds: int = ROUNDS) -> float:
    """Return the mean CPU time of a call in microseconds."""
    started_at = time.process_time()
    for number in range(rounds):
        call(number)
    return (time.process_time() - started_at) / rounds * 1e6


def make_view(runners: int) -> SharedView:
    """Return a view with some engines in services of at most 47."""
    configuration = Configuration()
    deployments = []
    for first in range(0, runners, 47):
        names = [f"r{n}" for n in range(first, min(runners, first + 47))]
        single = make_configuration(dict.fromkeys(names, "10.0.0.1:1"), {})
        deployment = single.deployments[0]
        service = deployment.engines[0]._replace(name=f"s{first}")
        model = service.model._replace(name=f"m{first}")
        deployments.append(
            deployment._replace(
                name=f"d{first}", engines=(service._replace(model=model),)
            )
        )
    configuration = Configuration(tuple(deployments))
    return SharedView(1, 1, configuration)


def make_entry(runners: int) -> EntryCore:
    """Return an entry core with a view of some runners."""
    core = EntryCore("e", "1", "dc", Submitter("e", ["c"]), random.Random(1))
    core.load_view(make_view(runners))
    return core


def make_request(number: int) -> RequestArrived:
    """Return a request for the first service."""
    return RequestArrived(
        f"r{number}",
        "w",
        "m0",
        is_engine=True,
        method="POST",
        path="/",
        work="bulk",
        key="",
        digest=str(number),
        deadline=0.0,
        max_tokens=10,
    )


def measure_entry() -> None:
    """Measure an entry node's ticks and arrivals by the number of runners."""
    ticks, arrivals, views, loads = [], [], [], []
    for runners in (50, 200, 400, 800):
        core = make_entry(runners)
        core.tick(0.0)
        ticks.append((runners, time_call(lambda n, c=core: c.tick(0.001 * n))))
        arrivals.append(
            (runners, time_call(lambda n, c=core: c.handle(0.2, make_request(n)), 30))
        )
        view = make_view(runners)
        views.append((runners, len(CODEC.encode(ViewUpdate(view))) / 1000))
        loads.append((runners, time_call(lambda n, r=runners: make_entry(r), 5) / 1000))
    print_fit("entry: one tick, 25 per second", "us by runners", ticks)
    print_fit("entry: one arrival", "us by runners", arrivals)
    print_fit("shared view", "KB by runners", views)
    print_fit("entry: load a new view", "ms by runners", loads)


def measure_gossip() -> None:
    """Measure the bytes and CPU time of gossip by the number of nodes."""
    sizes, costs = [], []
    for nodes in (11, 44, 110, 330):
        bytes_sent, seconds = run_gossip(nodes, 12.0)
        sizes.append((nodes, bytes_sent))
        costs.append((nodes, seconds * 1e6))
    print_fit("gossip sent", "bytes per second and node, by nodes", sizes)
    print_fit("gossip CPU time", "us per second and node, by nodes", costs)


def run_gossip(count: int, length: float) -> tuple[float, float]:
    """Run gossip among some nodes; return bytes and CPU seconds per node and second."""
    alive = MemberStatus.ALIVE
    rows = [
        MemberRow(
            f"n{n}", 1, alive, f"10.0.0.1:{n}", f"10.0.0.1:{n}", "dc", True, False
        )
        for n in range(count)
    ]
    tables = {
        r.node: MembershipTable(r, rows, random.Random(n)) for n, r in enumerate(rows)
    }
    total_bytes = 0
    started_at = time.process_time()
    for step in range(int(length * 25)):
        now = step * 0.04
        for name, table in tables.items():
            queue = [(name, item) for item in table.tick(now)]
            while queue:
                sender, item = queue.pop()
                data = CODEC.encode(item.message)
                total_bytes += len(data)
                target = item.member.node
                replies = tables[target].receive(now, sender, CODEC.decode(data))
                queue.extend((target, reply) for reply in replies)
    cpu_seconds = time.process_time() - started_at
    return total_bytes / length / count, cpu_seconds / length / count


def measure_state() -> None:
    """Measure the memory and CPU time of the replicated state by its claims."""
    memory, dumps, costs = [], [], []
    for claims in (1000, 5000, 20000):
        tracemalloc.start()
        state = SharedState()
        started_at = time.process_time()
        for number in range(claims):
            add_claim(state, number)
        costs.append((claims, (time.process_time() - started_at) / claims * 1e6))
        memory.append((claims, tracemalloc.get_traced_memory()[0] / 1e6))
        tracemalloc.stop()
        started_at = time.process_time()
        state.dump()
        dumps.append((claims, (time.process_time() - started_at) * 1000))
    print_fit(
        "control: memory of claims with responses of 100 bytes", "MB by claims", memory
    )
    print_fit("control: apply a claim and its response", "us by claims (traced)", costs)
    print_fit("control: dump for a snapshot", "ms by claims", dumps)
    measure_drain()


def add_claim(state: SharedState, number: int) -> None:
    """Open one claim and record its response."""
    key = f"key-{number}"
    state.apply(1, number, 0.0, OpenClaim("w", key, "d" * 32, f"a{number}"))
    answer = Answer(200, "application/json", b"x" * 100)
    state.apply(1, number, 0.0, RecordAnswer("w", key, f"a{number}", answer))


def measure_drain() -> None:
    """Measure the look-up of unconfirmed nodes by the number of nodes."""
    points = []
    for nodes in (11, 110, 330):
        state = SharedState()
        for number in range(nodes):
            state.apply(1, number, 0.0, JoinNode(f"n{number}", "1"))
        state.apply(1, 999, 0.0, DrainUpstream("r", DrainReason.ORDER))
        drain = state.find_drain("r", DrainReason.ORDER)
        assert drain is not None
        points.append((nodes, time_call(lambda n, s=state, d=drain: s.missing_acks(d))))
    print_fit(
        "control: find the nodes that have not confirmed a drain", "us by nodes", points
    )


def main() -> None:
    """Run all measurements."""
    measure_entry()
    measure_gossip()
    measure_state()


if __name__ == "__main__":
    main()
