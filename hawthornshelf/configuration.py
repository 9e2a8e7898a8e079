"""Define a configuration: deployments, services, runners and work classes."""

from datetime import timedelta
from typing import NamedTuple

__all__ = [
    "CallRule",
    "Configuration",
    "Deployment",
    "EngineService",
    "Model",
    "Objective",
    "PlainService",
    "Runner",
    "WorkClass",
]


class Model(NamedTuple):
    """Declare the model, version and adapters that an engine serves."""

    name: str
    version: str
    adapters: tuple[str, ...] = ()


class Runner(NamedTuple):
    """Declare one upstream process; `slots` limits its concurrent requests."""

    name: str
    address: str
    data_centre: str
    slots: int = 8
    role: str = "mixed"
    checks_fencing: bool = True


class EngineService(NamedTuple):
    """Declare a model and the engines that serve it."""

    name: str
    model: Model
    runners: tuple[Runner, ...]


class CallRule(NamedTuple):
    """Declare whether calls with a method and path prefix may be repeated."""

    method: str
    path: str
    idempotent: bool


class PlainService(NamedTuple):
    """Declare a service that is not an engine; calls without a rule aren't repeated."""

    name: str
    runners: tuple[Runner, ...]
    calls: tuple[CallRule, ...] = ()


class WorkClass(NamedTuple):
    """Declare a work class with its urgency and deadline."""

    name: str
    urgent: bool
    deadline: timedelta


class Objective(NamedTuple):
    """Declare the share of a work class that must succeed within a latency."""

    work: str
    target: float
    latency: timedelta


class Deployment(NamedTuple):
    """Declare the services, work classes and objectives of one team."""

    name: str
    region: str
    engines: tuple[EngineService, ...]
    services: tuple[PlainService, ...] = ()
    work: tuple[WorkClass, ...] = ()
    objectives: tuple[Objective, ...] = ()

    def all_services(self) -> tuple[EngineService | PlainService, ...]:
        """Return the engine services, then the plain services."""
        return self.engines + self.services


class Configuration(NamedTuple):
    """Represent the deployments that are in force together."""

    deployments: tuple[Deployment, ...] = ()

    def runners(self) -> dict[str, Runner]:
        """Return all runners by name."""
        runners = {}
        for deployment in self.deployments:
            for service in deployment.all_services():
                runners.update({runner.name: runner for runner in service.runners})
        return runners

    def models(self) -> dict[str, Model]:
        """Return the model that each engine has to serve, by runner name."""
        return {
            runner.name: service.model
            for deployment in self.deployments
            for service in deployment.engines
            for runner in service.runners
        }
