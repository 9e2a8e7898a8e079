"""Check the invariants on the histories that a simulation recorded."""

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
"""Map each change id to the content and the result of its first proposal."""


def check_all(simulation: Simulation) -> None:
    """Assert every invariant on a simulation's records."""
    check_configuration(simulation)
    check_versions_never_revert(simulation)
    check_orders(simulation)
    check_at_most_once(simulation)
    check_responses(simulation)
    check_not_run(simulation)


def check_configuration(simulation: Simulation) -> None:
    """Assert that proposals, resends included, were linearizable."""
    open_operations = [
        Operation(node, command, invoked_at, float("inf"), None)
        for node, command, invoked_at in simulation.pending_operations.values()
    ]
    history = [*simulation.operations, *open_operations]
    assert is_linearizable(history), "configuration history is not linearizable"


def is_linearizable(operations: Sequence[Operation]) -> bool:
    """Return whether some sequential order of the proposals explains every result.

    The model is a register that stores a version. A proposal succeeds if its base
    equals the version, and then increments it. A resend under the same change id
    gets its first result again. An operation without a result may take effect at
    any time after its invocation, or never.
    """
    proposals = [c for c in operations if isinstance(c.command, ProposeConfiguration)]
    return _search(tuple(proposals), 0, {})


def _search(
    remaining: tuple[Operation, ...], version: int, known: ResultsByChangeId
) -> bool:
    completed = [operation for operation in remaining if operation.result is not None]
    if not completed:
        return True
    first_return = min(operation.returned_at for operation in completed)
    for operation in remaining:
        if operation.invoked_at > first_return:
            continue
        step = _apply(operation, version, known)
        if step is None:
            continue
        rest = tuple(other for other in remaining if other is not operation)
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
    """Assert that no running node reverted to an older version."""
    for node in simulation.nodes.values():
        assert node.versions == sorted(node.versions), node.name


def check_orders(simulation: Simulation) -> None:
    """Assert that each engine changed in fencing order and one change at a time.

    An order that takes effect while the engine runs requests interrupts them.
    """
    for engine in simulation.engines.values():
        fences = [order.fence for order in engine.orders]
        assert fences == sorted(fences), (engine.name, engine.orders)
        for order in engine.orders:
            assert order.in_flight == 0, (engine.name, order)
            assert not order.changing, (engine.name, order)


def check_at_most_once(simulation: Simulation) -> None:
    """Assert that each idempotency key ran at most once."""
    runs = Counter(r.key for s in simulation.services.values() for r in s.runs)
    repeated = {key: count for key, count in runs.items() if count > 1}
    assert not repeated, repeated


def check_responses(simulation: Simulation) -> None:
    """Assert that each completed request got its own complete response.

    All requests with the same idempotency key must get the same response.
    """
    by_key = _responses_by_key(simulation.requests.values())
    for request in simulation.requests.values():
        event = request.event
        if not isinstance(request.result, Finish):
            continue
        if event.is_engine:
            expected = [token(event.digest, n) for n in range(event.max_tokens)]
            assert request.chunks == expected, event.request
        elif event.key:
            assert request.result.answer is not None
            assert request.result.answer.body.startswith(event.key.encode())
            assert len(by_key[event.key]) == 1, by_key[event.key]


def _responses_by_key(requests: object) -> dict[str, set[bytes]]:
    responses: dict[str, set[bytes]] = defaultdict(set)
    for request in requests:  # type: ignore[attr-defined]
        assert isinstance(request, CallerRequest)
        if isinstance(request.result, Finish) and request.result.answer:
            responses[request.event.key].add(request.result.answer.body)
    return responses


def check_not_run(simulation: Simulation) -> None:
    """Assert that no upstream ran a request that was refused as not run."""
    ran = {
        run.request
        for upstream in (*simulation.engines.values(), *simulation.services.values())
        for run in upstream.runs
    }
    for request in simulation.requests.values():
        result = request.result
        if isinstance(result, Refuse) and result.outcome is Outcome.NOT_RUN:
            assert request.event.request not in ran, request
