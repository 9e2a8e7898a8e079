"""Measure how the cost of each role grows with the sizes of the fleet."""

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
    """Return the intercept and the slope of a line through points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope


def show(what: str, unit: str, points: Sequence[tuple[float, float]]) -> None:
    """Print the points and the fit."""
    base, slope = fit(points)
    shown = "  ".join(f"{x:g}: {y:.4g}" for x, y in points)
    print(
        f"{what} ({unit})\n  {shown}\n  fit {base:.4g} + {slope:.4g} each", flush=True
    )


def time_call(call: Callable[[int], object], rounds: int = ROUNDS) -> float:
    """Return the microseconds of one call."""
    began = time.process_time()
    for number in range(rounds):
        call(number)
    return (time.process_time() - began) / rounds * 1e6


def make_view(runners: int) -> SharedView:
    """Return a view with that many engines in services of about 47."""
    configuration = Configuration()
    deployments = []
    for first in range(0, runners, 47):
        names = [f"r{n}" for n in range(first, min(runners, first + 47))]
        one = make_configuration(dict.fromkeys(names, "10.0.0.1:1"), {})
        deployment = one.deployments[0]
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
    """Return an entry core with a view of that many runners."""
    core = EntryCore("e", "1", "dc", Submitter("e", ["c"]), random.Random(1))
    core.load_view(make_view(runners))
    return core


def request(number: int) -> RequestArrived:
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
    """Measure an entry node's sweep and arrivals against the runners."""
    sweeps, arrivals, views, loads = [], [], [], []
    for runners in (50, 200, 400, 800):
        core = make_entry(runners)
        core.tick(0.0)
        sweeps.append((runners, time_call(lambda n, c=core: c.tick(0.001 * n))))
        arrivals.append(
            (runners, time_call(lambda n, c=core: c.handle(0.2, request(n)), 30))
        )
        view = make_view(runners)
        views.append((runners, len(CODEC.encode(ViewUpdate(view))) / 1000))
        loads.append((runners, time_call(lambda n, r=runners: make_entry(r), 5) / 1000))
    show("entry: one sweep, 25 a second", "us by runners", sweeps)
    show("entry: one arrival", "us by runners", arrivals)
    show("shared view", "KB by runners", views)
    show("entry: take a new view", "ms by runners", loads)


def measure_gossip() -> None:
    """Measure gossip's bytes and processor time against the nodes."""
    sizes, costs = [], []
    for nodes in (11, 44, 110, 330):
        bytes_sent, seconds = run_gossip(nodes, 12.0)
        sizes.append((nodes, bytes_sent))
        costs.append((nodes, seconds * 1e6))
    show("gossip sent", "bytes a second a node, by nodes", sizes)
    show("gossip processor time", "us a second a node, by nodes", costs)


def run_gossip(count: int, length: float) -> tuple[float, float]:
    """Run tables against each other; return bytes and seconds a node a second."""
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
    total = 0
    began = time.process_time()
    for step in range(int(length * 25)):
        now = step * 0.04
        for name, table in tables.items():
            waiting = [(name, item) for item in table.tick(now)]
            while waiting:
                sender, item = waiting.pop()
                data = CODEC.encode(item.message)
                total += len(data)
                target = item.member.node
                replies = tables[target].receive(now, sender, CODEC.decode(data))
                waiting.extend((target, reply) for reply in replies)
    spent = time.process_time() - began
    return total / length / count, spent / length / count


def measure_state() -> None:
    """Measure the replicated state against claims, nodes and changes."""
    memory, dumps, costs = [], [], []
    for claims in (1000, 5000, 20000):
        tracemalloc.start()
        state = SharedState()
        began = time.process_time()
        for number in range(claims):
            fill_claim(state, number)
        costs.append((claims, (time.process_time() - began) / claims * 1e6))
        memory.append((claims, tracemalloc.get_traced_memory()[0] / 1e6))
        tracemalloc.stop()
        began = time.process_time()
        state.dump()
        dumps.append((claims, (time.process_time() - began) * 1000))
    show("control: memory of claims with answers of 100 bytes", "MB by claims", memory)
    show("control: apply a claim and its answer", "us by claims (traced)", costs)
    show("control: dump for a snapshot", "ms by claims", dumps)
    measure_drain()


def fill_claim(state: SharedState, number: int) -> None:
    """Claim and answer one request."""
    key = f"key-{number}"
    state.apply(1, number, 0.0, OpenClaim("w", key, "d" * 32, f"a{number}"))
    answer = Answer(200, "application/json", b"x" * 100)
    state.apply(1, number, 0.0, RecordAnswer("w", key, f"a{number}", answer))


def measure_drain() -> None:
    """Measure a drain's bookkeeping against the nodes that must confirm it."""
    points = []
    for nodes in (11, 110, 330):
        state = SharedState()
        for number in range(nodes):
            state.apply(1, number, 0.0, JoinNode(f"n{number}", "1"))
        state.apply(1, 999, 0.0, DrainUpstream("r", DrainReason.ORDER))
        drain = state.find_drain("r", DrainReason.ORDER)
        assert drain is not None
        points.append((nodes, time_call(lambda n, s=state, d=drain: s.missing_acks(d))))
    show("control: who is awaited", "us by nodes", points)


def main() -> None:
    """Run all measurements."""
    measure_entry()
    measure_gossip()
    measure_state()


if __name__ == "__main__":
    main()
