"""Check recorded histories against what must always hold."""

from collections import Counter, defaultdict
from collections.abc import Sequence

from hawthornshelf.commands import (
    ChangeIdReused,
    ConfigurationAccepted,
    ConfigurationConflict,
    ProposeConfiguration,
)
from hawthornshelf.effects import Finish, Outcome, Refuse
from tests.simulation import CallerRequest, Operation, Simulation
from tests.upstreams import token

__all__ = ["check_all", "is_linearizable"]


ResultsByChangeId = dict[str, tuple[object, object]]
"""Hold the content and the first result of each change id."""


def check_all(simulation: Simulation) -> None:
    """Assert every invariant on what a simulation recorded."""
    check_configuration(simulation)
    check_versions_never_revert(simulation)
    check_orders(simulation)
    check_at_most_once(simulation)
    check_responses(simulation)
    check_not_run(simulation)


def check_configuration(simulation: Simulation) -> None:
    """Assert that proposals were linearizable, resends included."""
    open_operations = [
        Operation(node, command, began, float("inf"), None)
        for node, command, began in simulation.pending_operations.values()
    ]
    history = [*simulation.operations, *open_operations]
    assert is_linearizable(history), "configuration history is not linearizable"


def is_linearizable(operations: Sequence[Operation]) -> bool:
    """Search for one order of the proposals that explains every result.

    The register holds a version. A proposal succeeds if its base is the version
    and then raises it by one. A resend of a change id repeats its first result.
    Calls without a result may have taken effect at any later time, or never.
    """
    proposals = [c for c in operations if isinstance(c.command, ProposeConfiguration)]
    return _search(tuple(proposals), 0, {})


def _search(
    left: tuple[Operation, ...], version: int, known: ResultsByChangeId
) -> bool:
    open_operations = [operation for operation in left if operation.result is not None]
    if not open_operations:
        return True
    first_end = min(operation.ended for operation in open_operations)
    for operation in left:
        if operation.began > first_end:
            continue
        step = _apply(operation, version, known)
        if step is None:
            continue
        rest = tuple(other for other in left if other is not operation)
        if _search(rest, *step):
            return True
    return False


def _apply(
    operation: Operation, version: int, known: ResultsByChangeId
) -> tuple[int, ResultsByChangeId] | None:
    command = operation.command
    assert isinstance(command, ProposeConfiguration)
    content = (command.base_version, command.configuration)
    if command.change_id not in known:
        if command.base_version == version:
            version += 1
            first: object = ConfigurationAccepted(version)
        else:
            first = ConfigurationConflict(command.base_version, version)
        known = {**known, command.change_id: (content, first)}
    before, result = known[command.change_id]
    if before != content:
        result = ChangeIdReused(command.change_id)
    if operation.result is not None and operation.result != result:
        return None
    return version, known


def check_versions_never_revert(simulation: Simulation) -> None:
    """Assert that no node went back to an older version while it ran."""
    for node in simulation.nodes.values():
        assert node.versions == sorted(node.versions), node.name


def check_orders(simulation: Simulation) -> None:
    """Assert order by fencing number, one change at a time, and no cut request."""
    for engine in simulation.engines.values():
        fences = [order.fence for order in engine.orders]
        assert fences == sorted(fences), (engine.name, engine.orders)
        for order in engine.orders:
            assert order.in_flight == 0, (engine.name, order)
            assert not order.changing, (engine.name, order)


def check_at_most_once(simulation: Simulation) -> None:
    """Assert that each key ran at most once."""
    runs = Counter(r.key for s in simulation.services.values() for r in s.runs)
    twice = {key: count for key, count in runs.items() if count > 1}
    assert not twice, twice


def check_responses(simulation: Simulation) -> None:
    """Assert that each caller got its own whole answer, or a refusal."""
    by_key = _responses_by_key(simulation.requests.values())
    for request in simulation.requests.values():
        event = request.event
        if not isinstance(request.result, Finish):
            continue
        if event.is_engine:
            wanted = [token(event.digest, n) for n in range(event.max_tokens)]
            assert request.chunks == wanted, event.request
        elif event.key:
            assert request.result.answer is not None
            assert request.result.answer.body.startswith(event.key.encode())
            assert len(by_key[event.key]) == 1, by_key[event.key]


def _responses_by_key(requests: object) -> dict[str, set[bytes]]:
    found: dict[str, set[bytes]] = defaultdict(set)
    for request in requests:  # type: ignore[attr-defined]
        assert isinstance(request, CallerRequest)
        if isinstance(request.result, Finish) and request.result.answer:
            found[request.event.key].add(request.result.answer.body)
    return found


def check_not_run(simulation: Simulation) -> None:
    """Assert that what was refused as not run appears in no upstream's record."""
    ran = {
        run.request
        for upstream in (*simulation.engines.values(), *simulation.services.values())
        for run in upstream.runs
    }
    for request in simulation.requests.values():
        end = request.result
        if isinstance(end, Refuse) and end.outcome is Outcome.NOT_RUN:
            assert request.event.request not in ran, request
