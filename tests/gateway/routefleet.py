"""Simulate a fleet whose route document changes, and check which one is applied."""

import asyncio
import math
import zlib
from dataclasses import dataclass, field

from hawthornshelf.commands import ReplaceRoutes
from hawthornshelf.gateway.forwarder import Forwarder
from hawthornshelf.gateway.routes import RouteTable, ServiceSpec, Split, is_newer
from tests.gateway import fakes
from tests.gateway.controlfleet import ControlFleet
from tests.gateway.crashfleet import CONTACT_SECONDS, Entry, SimRunner

__all__ = ["RouteFleet", "RouteTraffic"]

CONFIG_SECONDS = 2.0
"""The platform's bound on the time until a change is in force everywhere."""

ROLLBACK_SECONDS = 0.25
"""The platform's bound on how long a node may apply the document before."""

SERVICES = 3
RUNNERS_PER_SERVICE = 2
MOVED = "/moved/x"
BUDGET_SECONDS = 1.5


def make_table(number: int) -> RouteTable:
    """Return a document that moves one route and adds another to each before it.

    A service serves the moved route in each third document.
    """
    route = fakes.TABLE.routes[0]
    moved = Split(f"s{number % SERVICES}", 1)
    kept = Split("s0", 1)
    routes = [route._replace(name="moved", prefix="/moved/", splits=(moved,))]
    routes += [
        route._replace(name=f"added{n}", prefix=f"/added{n}/", splits=(kept,))
        for n in range(1, number + 1)
    ]
    services = tuple(ServiceSpec(f"s{n}") for n in range(SERVICES))
    return RouteTable(number, tuple(routes), services)


class RouteFleet(ControlFleet):
    """Simulate a fleet whose first `unreached` nodes reach no runner."""

    def __post_init__(self) -> None:
        self.engines = self.apps = 0
        super().__post_init__()
        for number in range(SERVICES * RUNNERS_PER_SERVICE):
            service = f"s{number % SERVICES}"
            self.runners.append(SimRunner(self.clock, f"r{number}", service))
        self.by_address = {runner.address: runner for runner in self.runners}
        self.services = {runner.name: runner.service for runner in self.runners}
        self.unreached = 0
        self.published_at: list[float] = [-math.inf]

        self.publish()

    def load_first_routes(self, forwarder: Forwarder) -> None:
        """Load nothing: the control group tells a node its routes."""

    def publish(self) -> None:
        """Put the next document into force."""
        number = len(self.published_at)
        self.published_at.append(self.clock.monotonic())
        self.apply(ReplaceRoutes(number, zlib.compress(b"%d" % number)))

    def follow_view(self, entry: Entry) -> None:
        """Load the routes of a node's view if they are new, as a gateway node does."""
        routes = entry.core.view.routes
        if routes and is_newer(routes.number, entry.forwarder.route_number):
            entry.forwarder.load(make_table(routes.number))

    def newest_at(self, at: float) -> int:
        """Return the number of the newest document that was published by some time."""
        numbers = range(len(self.published_at))
        return max(n for n in numbers if self.published_at[n] <= at)


@dataclass
class Sent:
    """Record one request and how it was handled; `boot` is that of the node."""

    node: str
    boot: str
    at: float
    path: str
    body: bytes
    is_excused: bool
    status: int = 0


@dataclass
class RouteTraffic:
    """Send requests at nodes, and find those that an old document was applied to."""

    fleet: RouteFleet
    sent: list[Sent] = field(default_factory=list)

    async def send(self, seconds: float, rate: float, names: list[str]) -> None:
        """Send requests at the named nodes that are up."""
        clock, rng = self.fleet.clock, self.fleet.rng
        until = clock.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            while clock.monotonic() < until:
                entry = self.fleet.entries[rng.choice(names)]
                if entry.is_up:
                    group.create_task(self._ask(entry))
                await asyncio.sleep(rng.expovariate(rate))

    async def _ask(self, entry: Entry) -> None:
        now = self.fleet.clock.monotonic()
        added = self.fleet.newest_at(now - CONFIG_SECONDS)
        path = self.fleet.rng.choice((MOVED, f"/added{max(1, added)}/x"))
        body = b"%d" % next(self.fleet.numbers)
        boot = entry.core.settings.incarnation
        is_excused = now < entry.disturbed_at + CONTACT_SECONDS
        sent = Sent(entry.name, boot, now, path, body, is_excused)
        self.sent.append(sent)
        caller = await entry.ask(path, body, budget=BUDGET_SECONDS)
        sent.status = caller.status

    def served(self, names: list[str], since: float = 0.0) -> float:
        """Return the share of the requests at some nodes that succeeded."""
        statuses = [s.status for s in self.sent if s.node in names and s.at > since]
        assert len(statuses) > 20, "too few requests to show anything"
        return statuses.count(200) / len(statuses)

    def find_late(self) -> list[Sent]:
        """Return requests that a document from before CONFIG_SECONDS handled."""
        return [
            sent
            for sent, _, number in self._find_runs()
            if not sent.is_excused
            and number < self.fleet.newest_at(sent.at - CONFIG_SECONDS)
        ]

    def find_missing(self) -> list[Sent]:
        """Return requests on routes that were added in time and were not found."""
        return [s for s in self.sent if s.status == 404 and not s.is_excused]

    def find_back(self) -> list[Sent]:
        """Return requests that a node handled by an older document than one before."""
        back: list[Sent] = []
        runs = list(self._find_runs())
        for sent, _, number in runs:
            seen = [
                other_number
                for other, at, other_number in runs
                if other.boot == sent.boot and at + ROLLBACK_SECONDS < sent.at
            ]
            if number < max(seen, default=0):
                back.append(sent)
        return back

    def _find_runs(self) -> list[tuple[Sent, float, int]]:
        """Return the runs of requests on the moved route, with the document's number.

        Which of several documents it was is clear as long as one node is not three
        of them behind.
        """
        arrivals = {arrival.body: arrival for arrival in self.fleet.arrivals}
        runs = []
        for sent in self.sent:
            arrival = arrivals.get(sent.body)
            if sent.path != MOVED or arrival is None:
                continue
            service = int(self.fleet.services[arrival.runner].removeprefix("s"))
            newest = self.fleet.newest_at(arrival.at)
            runs.append((sent, arrival.at, newest - (newest - service) % SERVICES))
        return runs
