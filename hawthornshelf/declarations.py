"""Load configurations declared in Python, and validate, print and compare them."""

import difflib
import ipaddress
import runpy
from collections.abc import Iterable, Iterator
from datetime import timedelta
from pathlib import Path

from hawthornshelf.configuration import (
    CallRule,
    Configuration,
    Deployment,
    EngineService,
    Model,
    Objective,
    PlainService,
    Runner,
    WorkClass,
)
from hawthornshelf.errors import DeclarationError

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
    "check_configuration",
    "diff_configurations",
    "find_errors",
    "load_declaration",
    "print_configuration",
    "read_declaration",
]

ROLES = ("mixed", "prefill", "decode")
METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")
MAX_SLOTS = 4096
MAX_RUNNERS = 5000
NAME_CHARACTERS = frozenset("abcdefghijklmnopqrstuvwxyz0123456789-._")


def load_declaration(path: Path) -> Configuration:
    """Run a Python file and return its valid `configuration`.

    Raise DeclarationError for a file that defines none, or an ExceptionGroup of
    DeclarationError for all errors in it.
    """
    configuration = read_declaration(path)
    check_configuration(configuration)
    return configuration


def read_declaration(path: Path) -> Configuration:
    """Run a Python file and return its `configuration`, unchecked.

    Raise DeclarationError for a file that defines none.
    """
    try:
        names = runpy.run_path(str(path))
    except Exception as error:
        reason = f"{type(error).__name__}: {error}"
        raise DeclarationError(str(path), reason) from error
    configuration = names.get("configuration")
    if not isinstance(configuration, Configuration):
        raise DeclarationError(str(path), "defines no Configuration `configuration`")
    return configuration


def check_configuration(configuration: Configuration) -> None:
    """Raise an ExceptionGroup with a DeclarationError for each error found."""
    errors = find_errors(configuration)
    if errors:
        raise ExceptionGroup("bad declaration", errors)


def find_errors(configuration: Configuration) -> list[DeclarationError]:
    """Return each error for which a proposal of a configuration would be refused."""
    return list(_find_errors(configuration))


def print_configuration(configuration: Configuration) -> str:
    """Return a configuration as text in a canonical order."""
    lines: list[str] = []
    for deployment in sorted(configuration.deployments):
        lines.extend(_print_deployment(deployment))
    return "\n".join(lines) + "\n" if lines else ""


def diff_configurations(old: Configuration, new: Configuration) -> str:
    """Return a unified diff of the printed configurations, empty if equal."""
    old_lines = print_configuration(old).splitlines()
    new_lines = print_configuration(new).splitlines()
    lines = difflib.unified_diff(
        old_lines, new_lines, "in force", "proposed", lineterm=""
    )
    return "".join(f"{line}\n" for line in lines)


def _print_deployment(deployment: Deployment) -> Iterator[str]:
    yield f"deployment {deployment.name}"
    yield f"  region {deployment.region}"
    for work in sorted(deployment.work):
        urgent = "urgent" if work.urgent else "bulk"
        yield f"  work {work.name}: {urgent}, deadline {_format_seconds(work.deadline)}"
    for objective in sorted(deployment.objectives):
        yield (
            f"  objective {objective.work}: {objective.target:.4%} "
            f"within {_format_seconds(objective.latency)}"
        )
    for engine in sorted(deployment.engines):
        yield from _print_engine_service(engine)
    for service in sorted(deployment.services):
        yield from _print_plain_service(service)


def _print_engine_service(service: EngineService) -> Iterator[str]:
    yield f"  engines {service.name}"
    model = service.model
    yield f"    model {model.name} version {model.version}"
    for adapter in sorted(model.adapters):
        yield f"    adapter {adapter}"
    for runner in sorted(service.runners):
        fencing = "checks fencing" if runner.checks_fencing else "ignores fencing"
        yield (
            f"    runner {runner.name} {runner.address} in {runner.data_centre}: "
            f"{runner.role}, {runner.slots} slots, {fencing}"
        )


def _print_plain_service(service: PlainService) -> Iterator[str]:
    yield f"  service {service.name}"
    for rule in service.calls:
        repeat = "idempotent" if rule.idempotent else "at most once"
        yield f"    call {rule.method} {rule.path}: {repeat}"
    yield "    call any other: at most once"
    for runner in sorted(service.runners):
        yield (
            f"    runner {runner.name} {runner.address} in {runner.data_centre}: "
            f"{runner.slots} slots"
        )


def _format_seconds(value: timedelta) -> str:
    return f"{value.total_seconds():g} s"


def _find_errors(configuration: Configuration) -> Iterator[DeclarationError]:
    yield from _find_duplicates(configuration)
    if len(configuration.runners()) > MAX_RUNNERS:
        yield DeclarationError("deployments", f"more than {MAX_RUNNERS} runners")
    for deployment in configuration.deployments:
        path = f"deployment {deployment.name}"
        yield from _check_names(path, (deployment.name, deployment.region))
        yield from _check_work_classes(path, deployment)
        for service in deployment.all_services():
            yield from _check_service(f"{path}.{service.name}", service)


def _check_work_classes(
    path: str, deployment: Deployment
) -> Iterator[DeclarationError]:
    names = {work.name for work in deployment.work}
    yield from _check_names(path, names)
    for work in deployment.work:
        if not timedelta(0) < work.deadline <= timedelta(seconds=600):
            reason = "deadline must be over 0 and at most 600 s"
            yield DeclarationError(f"{path}.{work.name}", reason)
    for objective in deployment.objectives:
        objective_path = f"{path}.objective {objective.work}"
        if objective.work not in names:
            yield DeclarationError(objective_path, "names no declared class of work")
        if not 0 < objective.target < 1:
            yield DeclarationError(objective_path, "target must be between 0 and 1")
        if objective.latency <= timedelta(0):
            yield DeclarationError(objective_path, "latency must be over 0")


def _check_service(
    path: str, service: EngineService | PlainService
) -> Iterator[DeclarationError]:
    yield from _check_names(path, (service.name,))
    if isinstance(service, EngineService):
        yield from _check_names(
            path, (service.model.name, service.model.version, *service.model.adapters)
        )
    else:
        for rule in service.calls:
            if rule.method not in METHODS or not rule.path.startswith("/"):
                reason = f"call {rule.method} {rule.path} is not a method and a path"
                yield DeclarationError(path, reason)
    for runner in service.runners:
        yield from _check_runner(f"{path}.{runner.name}", runner)


def _check_runner(path: str, runner: Runner) -> Iterator[DeclarationError]:
    yield from _check_names(path, (runner.name, runner.data_centre))
    host, _, port = runner.address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        if not 1 <= int(port) <= 65535:
            raise ValueError(port)
    except ValueError:
        yield DeclarationError(path, f"address {runner.address!r} is not ip:port")
    if not 1 <= runner.slots <= MAX_SLOTS:
        yield DeclarationError(path, f"slots must be 1 to {MAX_SLOTS}")
    if runner.role not in ROLES:
        yield DeclarationError(path, f"role must be one of {', '.join(ROLES)}")


def _check_names(path: str, names: Iterable[str]) -> Iterator[DeclarationError]:
    for name in names:
        if not name or not NAME_CHARACTERS.issuperset(name):
            reason = f"{name!r} is not a name of a-z, 0-9, -, . and _"
            yield DeclarationError(path, reason)


def _find_duplicates(configuration: Configuration) -> Iterator[DeclarationError]:
    names_by_kind: dict[str, list[str]] = {
        "deployment": [],
        "service": [],
        "runner": [],
        "work": [],
    }
    for deployment in configuration.deployments:
        names_by_kind["deployment"].append(deployment.name)
        names_by_kind["work"].extend(work.name for work in deployment.work)
        for service in deployment.all_services():
            names_by_kind["service"].append(service.name)
            names_by_kind["runner"].extend(runner.name for runner in service.runners)
    for kind, names in names_by_kind.items():
        for name in sorted({name for name in names if names.count(name) > 1}):
            yield DeclarationError(kind, f"{name} is declared more than once")
