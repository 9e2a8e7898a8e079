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
from tests.upstreams import token
from tests.world import Call, CallerRequest, World

__all__ = ["check_all", "is_linearizable"]


Known = dict[str, tuple[object, object]]
"""Hold the content and the first result of each change id."""


def check_all(world: World) -> None:
    """Assert every invariant on what a world recorded."""
    check_configuration(world)
    check_versions_never_revert(world)
    check_orders(world)
    check_at_most_once(world)
    check_answers(world)
    check_not_run(world)


def check_configuration(world: World) -> None:
    """Assert that proposals were linearizable, resends included."""
    open_calls = [
        Call(node, command, began, float("inf"), None)
        for node, command, began in world.pending.values()
    ]
    history = [*world.calls, *open_calls]
    assert is_linearizable(history), "configuration history is not linearizable"


def is_linearizable(calls: Sequence[Call]) -> bool:
    """Search for one order of the proposals that explains every result.

    The register holds a version. A proposal succeeds if its base is the version
    and then raises it by one. A resend of a change id repeats its first result.
    Calls without a result may have taken effect at any later time, or never.
    """
    proposals = [c for c in calls if isinstance(c.command, ProposeConfiguration)]
    return _search(tuple(proposals), 0, {})


def _search(left: tuple[Call, ...], version: int, known: Known) -> bool:
    open_calls = [call for call in left if call.result is not None]
    if not open_calls:
        return True
    first_end = min(call.ended for call in open_calls)
    for call in left:
        if call.began > first_end:
            continue
        step = _apply(call, version, known)
        if step is None:
            continue
        rest = tuple(other for other in left if other is not call)
        if _search(rest, *step):
            return True
    return False


def _apply(call: Call, version: int, known: Known) -> tuple[int, Known] | None:
    command = call.command
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
    if call.result is not None and call.result != result:
        return None
    return version, known


def check_versions_never_revert(world: World) -> None:
    """Assert that no node went back to an older version while it ran."""
    for node in world.nodes.values():
        assert node.versions == sorted(node.versions), node.name


def check_orders(world: World) -> None:
    """Assert order by fencing number, one change at a time, and no cut request."""
    for engine in world.engines.values():
        fences = [order.fence for order in engine.orders]
        assert fences == sorted(fences), (engine.name, engine.orders)
        for order in engine.orders:
            assert order.in_flight == 0, (engine.name, order)
            assert not order.changing, (engine.name, order)


def check_at_most_once(world: World) -> None:
    """Assert that each key ran at most once."""
    runs = Counter(r.key for s in world.services.values() for r in s.runs)
    twice = {key: count for key, count in runs.items() if count > 1}
    assert not twice, twice


def check_answers(world: World) -> None:
    """Assert that each caller got its own whole answer, or a refusal."""
    by_key = _answers_by_key(world.requests.values())
    for request in world.requests.values():
        event = request.event
        if not isinstance(request.end, Finish):
            continue
        if event.is_engine:
            wanted = [token(event.digest, n) for n in range(event.max_tokens)]
            assert request.pieces == wanted, event.request
        elif event.key:
            assert request.end.answer is not None
            assert request.end.answer.body.startswith(event.key.encode())
            assert len(by_key[event.key]) == 1, by_key[event.key]


def _answers_by_key(requests: object) -> dict[str, set[bytes]]:
    found: dict[str, set[bytes]] = defaultdict(set)
    for request in requests:  # type: ignore[attr-defined]
        assert isinstance(request, CallerRequest)
        if isinstance(request.end, Finish) and request.end.answer:
            found[request.event.key].add(request.end.answer.body)
    return found


def check_not_run(world: World) -> None:
    """Assert that what was refused as not run appears in no upstream's record."""
    ran = {
        run.request
        for upstream in (*world.engines.values(), *world.services.values())
        for run in upstream.runs
    }
    for request in world.requests.values():
        end = request.end
        if isinstance(end, Refuse) and end.outcome is Outcome.NOT_RUN:
            assert request.event.request not in ran, request
