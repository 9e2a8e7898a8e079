"""Look up the service, work class and deadline of a request."""

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
    """Represent the service and rules for a request.

    The deadline is in seconds from the arrival.
    """

    service: str
    urgent: bool
    idempotent: bool
    deadline: float


class Catalogue:
    """Index a configuration by model, service and work class."""

    def __init__(self, configuration: Configuration) -> None:
        self._engines: dict[str, EngineService] = {}
        self._services: dict[str, PlainService] = {}
        self._work_classes: dict[str, WorkClass] = {}
        for deployment in configuration.deployments:
            for engine in deployment.engines:
                for name in (engine.name, engine.model.name, *engine.model.adapters):
                    self._engines.setdefault(name, engine)
            self._services.update({s.name: s for s in deployment.services})
            self._work_classes.update({w.name: w for w in deployment.work})

    def find(self, request: RequestArrived) -> Route | None:
        """Return the route of a request, or None if no service matches."""
        work = self._work_classes.get(request.work, DEFAULT_WORK)
        seconds = request.deadline or work.deadline.total_seconds()
        deadline = min(seconds, MAX_DEADLINE_SECONDS)
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

    def has_work_class(self, name: str) -> bool:
        """Return whether a work class is declared; an empty name means the default."""
        return not name or name in self._work_classes


def _is_idempotent(service: PlainService, method: str, path: str) -> bool:
    for rule in service.calls:
        if rule.method == method and path.startswith(rule.path):
            return rule.idempotent
    return False
