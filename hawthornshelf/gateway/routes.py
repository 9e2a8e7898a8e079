"""Define and check route tables, and look up the route of a request."""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from hawthornshelf.enginegroups import EngineLimits, check_limits
from hawthornshelf.errors import DeclarationError
from hawthornshelf.workspaces import Workspace, WorkspaceIndex, check_workspaces

__all__ = [
    "CallerLimits",
    "EngineProfile",
    "RetryPolicy",
    "Route",
    "RouteIndex",
    "RouteTable",
    "ServiceSpec",
    "Split",
    "check_table",
    "find_scaling",
    "is_newer",
]


class RetryPolicy(Enum):
    """Name whether and how a request may run again.

    SAFE requests may, ONCE requests may not, and STREAM requests may if their route
    is resumable.
    """

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"


class EngineProfile(NamedTuple):
    """Describe what all engines of a service have in common.

    `kv_cache_tokens` is the size of the KV cache; `handle_seconds` is the lifetime of
    a KV cache handle. `stops_runs` means that an engine stops a run when it is asked
    to, `copies_runs` that it copies one to another engine as it goes on.
    """

    slots: int
    kv_cache_tokens: int
    handle_seconds: float = 5.0
    switch_seconds: float = 3.0
    stops_runs: bool = True
    copies_runs: bool = True


class ServiceSpec(NamedTuple):
    """Describe a service; plain services have no engine profile.

    `scaling` limits the engines that are ordered for it, None if none are.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 0
    engine: EngineProfile | None = None
    scaling: EngineLimits | None = None


class Split(NamedTuple):
    """Represent a service's share of a route's requests."""

    service: str
    weight: int


class Route(NamedTuple):
    """Describe one route; durations are in seconds, priority 0 is the most urgent.

    `timeout` limits a request, `target` is the objective for its first byte or token,
    and `max_attempts` limits its runs. `stall_limit` is the longest pause between two
    events that callers of a stream wait for. `allows_anonymous` lets callers without a
    known API key in, where workspaces are in force.
    """

    name: str
    host: str
    prefix: str
    retry_policy: RetryPolicy
    timeout: float
    target: float
    priority: int
    splits: tuple[Split, ...]
    max_attempts: int = 1
    resumable: bool = False
    is_generation: bool = False
    stall_limit: float = 2.0
    allows_anonymous: bool = False


class CallerLimits(NamedTuple):
    """Limit what a caller may send; sizes are in bytes, durations in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class RouteTable(NamedTuple):
    """Store the routes and services of one route document with its number.

    `number` is None if there is no document. `workspaces` is None if the document has
    none: then callers need no API key.
    """

    number: int | None = None
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[Workspace, ...] | None = None


def is_newer(number: int, other: int | None) -> bool:
    """Return whether a route document replaces another one, None for no document."""
    return other is None or number > other


def check_table(table: RouteTable) -> list[DeclarationError]:
    """Return every fault of a table."""
    faults: list[DeclarationError] = []
    services = {service.name for service in table.services}
    places: set[tuple[str, str]] = set()
    for position, route in enumerate(table.routes):
        path = f"routes[{position}]"
        faults.extend(_check_route(path, route, services))
        if (route.host, route.prefix) in places:
            faults.append(DeclarationError(path, "host and prefix are taken"))
        places.add((route.host, route.prefix))
    faults.extend(check_workspaces(table.workspaces or ()))
    for position, service in enumerate(table.services):
        if service.scaling is not None:
            path = f"services[{position}].scaling"
            reasons = check_limits(service.scaling)
            faults.extend(DeclarationError(path, reason) for reason in reasons)
    return faults


def find_scaling(table: RouteTable) -> dict[str, EngineLimits]:
    """Return the limits of the services whose engines may be ordered.

    Load is measured of generation requests only; other services would look idle.
    """
    measured = {
        split.service
        for route in table.routes
        if route.is_generation
        for split in route.splits
    }
    return {
        service.name: service.scaling
        for service in table.services
        if service.scaling is not None
        and service.engine is not None
        and service.name in measured
    }


def _check_route(
    path: str, route: Route, services: set[str]
) -> Iterable[DeclarationError]:
    for split in route.splits:
        if split.service not in services:
            yield DeclarationError(path, f"unknown service {split.service}")
        if split.weight < 0:
            yield DeclarationError(path, "a weight is negative")
    if sum(split.weight for split in route.splits) <= 0:
        yield DeclarationError(path, "the weights add up to 0")
    if route.timeout <= 0:
        yield DeclarationError(path, "the timeout is 0")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield DeclarationError(path, "a prefix begins and ends with a slash")


class RouteIndex:
    """Index routes by host and prefix.

    A lookup takes time proportional to the depth of the path.
    """

    def __init__(self, table: RouteTable = RouteTable()) -> None:
        self.table = table
        self.workspaces = (
            None if table.workspaces is None else WorkspaceIndex(table.workspaces)
        )
        self._hosts: dict[str, dict[str, Route]] = {}
        self._health_paths = {
            service.name: service.health_path
            for service in table.services
            if service.engine is None
        }
        self._engines = {
            service.name: service.engine
            for service in table.services
            if service.engine is not None
        }
        for route in table.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route

    def health_path(self, service: str) -> str:
        """Return the path of a plain service's liveness check, empty for engines."""
        return self._health_paths.get(service, "")

    def find_engine(self, service: str) -> EngineProfile | None:
        """Return what the engines of a service have in common, None without any."""
        return self._engines.get(service)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None."""
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
