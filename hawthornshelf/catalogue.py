"""Look up what a request asks for in the configuration in force."""

from datetime import timedelta
from typing import NamedTuple

from hawthornshelf.configuration import (
    Configuration,
    EngineService,
    PlainService,
    WorkClass,
)
from hawthornshelf.events import RequestArrived

__all__ = ["Catalogue", "Route"]

DEFAULT_WORK = WorkClass("default", urgent=False, deadline=timedelta(seconds=60))
MAX_DEADLINE_SECONDS = 600.0


class Route(NamedTuple):
    """Hold where a request goes and how; the deadline is in seconds."""

    service: str
    urgent: bool
    idempotent: bool
    deadline: float


class Catalogue:
    """Index a configuration by model, service and class of work."""

    def __init__(self, configuration: Configuration) -> None:
        self._engines: dict[str, EngineService] = {}
        self._services: dict[str, PlainService] = {}
        self._work: dict[str, WorkClass] = {}
        for deployment in configuration.deployments:
            for engine in deployment.engines:
                for name in (engine.name, engine.model.name, *engine.model.adapters):
                    self._engines.setdefault(name, engine)
            self._services.update({s.name: s for s in deployment.services})
            self._work.update({w.name: w for w in deployment.work})

    def find(self, request: RequestArrived) -> Route | None:
        """Return the route of a request, or None if nothing serves it."""
        work = self._work.get(request.work, DEFAULT_WORK)
        limit = request.deadline or work.deadline.total_seconds()
        deadline = min(limit, MAX_DEADLINE_SECONDS)
        if request.is_engine:
            engine = self._engines.get(request.target)
            if engine is None:
                return None
            return Route(engine.name, work.urgent, True, deadline)
        service = self._services.get(request.target)
        if service is None:
            return None
        idempotent = _is_idempotent(service, request.method, request.path)
        return Route(service.name, work.urgent, idempotent, deadline)

    def knows_work(self, name: str) -> bool:
        """Tell if a class of work is declared; no name means the default."""
        return not name or name in self._work


def _is_idempotent(service: PlainService, method: str, path: str) -> bool:
    for rule in service.calls:
        if rule.method == method and path.startswith(rule.path):
            return rule.idempotent
    return False
