"""Measure how rate limits of runners hold, with permits and with equal shares."""

import asyncio
import random
import sys
import time
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from hawthornshelf.limitrecords import Permit  # noqa: E402
from hawthornshelf.messages import (  # noqa: E402
    CODEC,
    AskPermit,
    Message,
    PermitReply,
    RateLimitNews,
)
from hawthornshelf.permits import (  # noqa: E402
    IssuerStanding,
    PermitIssuer,
    order_issuers,
)
from tests.gateway.crashfleet import Entry, SimRunner  # noqa: E402
from tests.gateway.limitfleet import (  # noqa: E402
    LimitFleet,
    LimitTraffic,
    allowed_requests,
)

IDLE_SECONDS = {330: 60.0}
"""Time for which nodes have met before the traffic begins, 15 s if not given."""

BEFORE_SECONDS = 8.0
SECONDS = 16.0
RATE = 3.0
ROUNDS = 2000


class CountingFleet(LimitFleet):
    """Count the bytes of the messages on permits and limits."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.bytes_sent = 0
        self.asks = 0

    def deliver(self, sender: str, target: str, message: Message) -> None:
        """Count a message and deliver it."""
        if isinstance(message, AskPermit | PermitReply | RateLimitNews):
            self.bytes_sent += len(CODEC.encode(message))
            self.asks += isinstance(message, AskPermit)
        super().deliver(sender, target, message)


class SharingEntry(Entry):
    """Keep an equal share of each limit by itself, without asking anybody."""

    async def ask_permit(self, runner: str, max_wait: float) -> Permit:
        """Return a permit from this node's own bucket."""
        if not hasattr(self, "issuer"):
            self.issuer = PermitIssuer()
        now = self._fleet.clock.monotonic()
        rate = self.core.rate_limits.find(runner) or 0.0
        share = rate / max(1, self.core.members.live_entry_count())
        standing = IssuerStanding(True, 1, 1)
        return self.issuer.issue(now, runner, share, standing, max_wait)


def measure(nodes: int, demand: float, limited: int, is_shared: bool) -> None:
    """Print the worst window, the share used, the waits and the bytes."""
    fleet = CountingFleet(nodes=nodes, apps=3, engines=1)
    if is_shared:
        fleet.start_entry = lambda name: start_sharing(fleet, name)  # type: ignore[method-assign]
    traffic = LimitTraffic(fleet, rate=demand, seconds=BEFORE_SECONDS + SECONDS)

    idle = IDLE_SECONDS.get(nodes, 15.0)

    async def scenario(fleet: LimitFleet) -> None:
        await asyncio.sleep(idle)
        async with asyncio.TaskGroup() as group:
            group.create_task(traffic.send())
            await asyncio.sleep(BEFORE_SECONDS)
            for runner in find_apps(fleet)[:limited]:
                fleet.limit(runner, lambda: RATE)

    fleet.run(scenario)  # type: ignore[arg-type]
    until = 3.0 + idle + BEFORE_SECONDS + SECONDS
    worst = max(fleet.worst_window(key) for key in fleet.rates)
    used = [fleet.used_share(key, until) for key in fleet.rates]
    waits = sorted(traffic.waits)
    added = waits[int(0.99 * len(waits))] - waits[0]
    served = traffic.outcomes["200"] / traffic.outcomes.total()
    seconds = BEFORE_SECONDS + SECONDS
    way = "equal shares" if is_shared else "permits"
    allowed = allowed_requests(RATE)
    print(
        f"  {nodes} nodes, {demand:.0f} requests a second, {limited} of 3 runners, "
        f"{way}: worst window {worst} of {allowed:.0f}, "
        f"used {min(used):.2f} to {max(used):.2f}, served {served:.3f}, "
        f"p99 {1000 * added:.0f} ms added, {fleet.asks / seconds:.1f} questions "
        f"a second, {fleet.bytes_sent / nodes / seconds:.1f} B/s a node",
        flush=True,
    )


def find_apps(fleet: LimitFleet) -> list[SimRunner]:
    """Return the runners of the plain service."""
    return [runner for runner in fleet.runners if runner.service == "app"]


def start_sharing(fleet: LimitFleet, name: str) -> Entry:
    """Start a node that keeps an equal share of each limit."""
    fleet.entries[name] = SharingEntry(fleet, name)
    return fleet.entries[name]


def time_call(name: str, call: Callable[[], object]) -> None:
    """Print the mean time of a call."""
    started_at = time.perf_counter()
    for _ in range(ROUNDS):
        call()
    microseconds = (time.perf_counter() - started_at) / ROUNDS * 1e6
    print(f"  {name}: {microseconds:.2f} us")


def measure_times() -> None:
    """Print the processor time of the steps of a permit."""
    issuer, standing, rng = PermitIssuer(), IssuerStanding(True, 5, 5), random.Random(1)
    time_call("issue", lambda: issuer.issue(rng.random(), "i/1", 3.0, standing, 0.0))
    for nodes in (11, 81, 330):
        names = [f"10.0.{number // 250}.{number % 250}:7360" for number in range(nodes)]
        time_call(f"order of {nodes} nodes", lambda n=names: order_issuers("i/1", n))  # type: ignore[misc]


def main() -> None:
    """Print all measurements."""
    print("processor time")
    measure_times()
    print(f"runners that name {RATE:.0f} requests a second (virtual time, seed 1)")
    for nodes in (3, 5, 11, 81, 330):
        for limited in (1, 3):
            for is_shared in (False, True):
                measure(nodes, 40.0, limited, is_shared)
    for is_shared in (False, True):
        measure(11, 400.0, 3, is_shared)


if __name__ == "__main__":
    main()
