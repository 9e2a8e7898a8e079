"""Find entries of a declaration without effect, and limits that contradict others."""

from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from hawthornshelf.configuration import (
    Configuration,
    Deployment,
    Objective,
    PlainService,
)

__all__ = ["DeclarationReview", "Finding", "FindingKind", "review_configuration"]


class FindingKind(StrEnum):
    """Name what is wrong with an entry that a proposal would not be refused for."""

    UNMATCHED = "never matches"
    CONTRADICTION = "contradicts"


class Finding(NamedTuple):
    """Represent one doubtful entry of a declaration, at the path of its field."""

    kind: FindingKind
    path: str
    reason: str


class DeclarationReview(NamedTuple):
    """Represent what a check of a declaration found.

    `errors` are what a proposal would be refused for. `version` is the version in force
    that `diff` compares with, None if no node was asked.
    """

    errors: tuple[str, ...]
    findings: tuple[Finding, ...]
    version: int | None = None
    diff: str = ""


def review_configuration(configuration: Configuration) -> tuple[Finding, ...]:
    """Return the doubtful entries of a configuration, which need not be valid."""
    found = [*_find_taken_names(configuration), *_find_shared_addresses(configuration)]
    for deployment in configuration.deployments:
        path = f"deployment {deployment.name}"
        found.extend(_find_empty_services(path, deployment))
        for service in deployment.services:
            found.extend(_find_covered_rules(f"{path}.{service.name}", service))
        found.extend(_find_late_objectives(path, deployment))
        found.extend(_find_implied_objectives(path, deployment))
    return tuple(found)


def _find_taken_names(configuration: Configuration) -> Iterator[Finding]:
    """Yield the models and adapters whose requests go to another service's engines.

    A request names a service, a model or an adapter; the first service with that name
    gets it.
    """
    owners: dict[str, str] = {}
    for deployment in configuration.deployments:
        for service in deployment.engines:
            model = service.model
            for name in dict.fromkeys((service.name, model.name, *model.adapters)):
                owner = owners.setdefault(name, service.name)
                if owner != service.name:
                    yield Finding(
                        FindingKind.UNMATCHED,
                        f"deployment {deployment.name}.{service.name}",
                        f"requests for {name} go to {owner}, which is declared first",
                    )


def _find_shared_addresses(configuration: Configuration) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    for deployment in configuration.deployments:
        for service in deployment.all_services():
            for runner in service.runners:
                owner = owners.setdefault(runner.address, runner.name)
                if owner != runner.name:
                    yield Finding(
                        FindingKind.CONTRADICTION,
                        f"deployment {deployment.name}.{service.name}.{runner.name}",
                        f"address {runner.address} is that of {owner}",
                    )


def _find_empty_services(path: str, deployment: Deployment) -> Iterator[Finding]:
    for service in deployment.all_services():
        if not service.runners:
            reason = "has no runner, so that all its requests are refused"
            yield Finding(FindingKind.UNMATCHED, f"{path}.{service.name}", reason)


def _find_covered_rules(path: str, service: PlainService) -> Iterator[Finding]:
    """Yield the rules that an earlier one covers; the first that matches applies."""
    for position, rule in enumerate(service.calls):
        for earlier in service.calls[:position]:
            if earlier.method != rule.method or not rule.path.startswith(earlier.path):
                continue
            is_same = earlier.idempotent == rule.idempotent
            kind = FindingKind.UNMATCHED if is_same else FindingKind.CONTRADICTION
            yield Finding(
                kind,
                f"{path}.call {rule.method} {rule.path}",
                f"call {earlier.method} {earlier.path} comes first and covers it, "
                f"{'idempotent' if earlier.idempotent else 'at most once'}",
            )
            break


def _find_late_objectives(path: str, deployment: Deployment) -> Iterator[Finding]:
    deadlines = {work.name: work.deadline for work in deployment.work}
    for objective in deployment.objectives:
        deadline = deadlines.get(objective.work)
        if deadline is not None and objective.latency > deadline:
            yield Finding(
                FindingKind.CONTRADICTION,
                f"{path}.objective {objective.work}",
                f"latency {objective.latency.total_seconds():g} s is over the deadline "
                f"of {deadline.total_seconds():g} s, at which a request has failed",
            )


def _find_implied_objectives(path: str, deployment: Deployment) -> Iterator[Finding]:
    """Yield the objectives that are met wherever another is, once for equal ones."""
    objectives = deployment.objectives
    for position, objective in enumerate(objectives):
        others = [
            *objectives[:position],
            *_without(objectives[position + 1 :], objective),
        ]
        stricter = next((o for o in others if _implies(o, objective)), None)
        if stricter is not None:
            yield Finding(
                FindingKind.CONTRADICTION,
                f"{path}.objective {objective.work}",
                f"{_describe(objective)} has no effect, "
                f"{_describe(stricter)} implies it",
            )


def _without(objectives: tuple[Objective, ...], left_out: Objective) -> list[Objective]:
    return [objective for objective in objectives if objective != left_out]


def _implies(one: Objective, other: Objective) -> bool:
    """Return whether the second objective is met wherever the first one is."""
    is_strict = one.target >= other.target and one.latency <= other.latency
    return one.work == other.work and is_strict


def _describe(objective: Objective) -> str:
    seconds = objective.latency.total_seconds()
    return f"{objective.target:.4%} within {seconds:g} s"
