"""Test that a route document is kept whatever its number is."""

import msgspec
import pytest

from hawthornshelf.commands import NotFound, ReadRoutes, ReplaceRoutes, RoutesInForce
from hawthornshelf.messages import CODEC, ViewUpdate
from hawthornshelf.state import SharedState, SharedView
from tests.simulation import Simulation

NUMBERS = [-(2**63), -1, 0, 1, 2**53, 2**63 - 1]
TIMEOUT_SECONDS = 20.0
BODY = b"document"


def apply(state: SharedState, index: int, number: int) -> object:
    return state.apply(1, index, 0.0, ReplaceRoutes(number, BODY))


@pytest.mark.parametrize("number", NUMBERS)
def test_a_first_document_is_not_lost_for_its_number(number: int) -> None:
    simulation = Simulation(1, control=3, entries=2, voters=3, compact_entries=10)
    simulation.start_all()
    simulation.run_until(simulation.leader, TIMEOUT_SECONDS, "leader")
    result = simulation.run_command("e0", ReplaceRoutes(number, BODY))
    assert isinstance(result, RoutesInForce)
    assert result.number == number and not result.is_absent
    document = RoutesInForce(number, BODY)
    assert simulation.run_command("e0", ReadRoutes()) == document
    for _ in range(12):
        simulation.run_command("e0", ReadRoutes())
    for name in simulation.nodes:
        simulation.kill(name)
    for name in simulation.nodes:
        simulation.start(name)
    simulation.run_until(simulation.leader, TIMEOUT_SECONDS, "leader")
    assert simulation.run_command("e1", ReadRoutes()) == document
    simulation.run(3.0)
    cores = [node.core for node in simulation.nodes.values()]
    assert [core.view.routes for core in cores if core is not None] == [document] * 5


@pytest.mark.parametrize("number", NUMBERS[:-1])
def test_only_a_higher_number_replaces_a_first_document(number: int) -> None:
    state = SharedState()
    apply(state, 1, number)
    state.apply(1, 2, 0.0, ReplaceRoutes(number, b"other content"))
    assert state.routes == RoutesInForce(number, BODY)
    state.apply(1, 3, 0.0, ReplaceRoutes(number + 1, b"newer"))
    assert state.routes == RoutesInForce(number + 1, b"newer")


@pytest.mark.parametrize("number", NUMBERS)
def test_a_snapshot_keeps_a_document_of_any_number(number: int) -> None:
    state = SharedState()
    assert SharedState.load(state.dump()).routes is None
    apply(state, 1, number)
    assert SharedState.load(state.dump()).routes == RoutesInForce(number, BODY)


def test_a_read_without_a_document_finds_none() -> None:
    result = SharedState().apply(1, 1, 0.0, ReadRoutes())
    assert isinstance(result, NotFound)


def test_a_snapshot_of_an_older_build_without_a_document_holds_none() -> None:
    values = msgspec.msgpack.decode(SharedState().dump())
    place = values.index({"number": 0, "body": b""})
    assert SharedState.load(msgspec.msgpack.encode(values)).routes is None
    values[place] = {"number": 0, "body": BODY}
    loaded = SharedState.load(msgspec.msgpack.encode(values)).routes
    assert loaded == RoutesInForce(0, BODY)


def test_a_view_of_an_older_build_without_a_document_holds_none() -> None:
    view = SharedView(3, 1, stored_routes=RoutesInForce(0, b""))
    received = CODEC.decode(CODEC.encode(ViewUpdate(view))).view
    assert received.routes is None and received.revision == 3


def test_views_and_snapshots_without_a_document_can_be_read_by_older_builds() -> None:
    """Older builds have no other form for it than number 0 without a body."""
    view = msgspec.msgpack.decode(msgspec.msgpack.encode(SharedState().view()))
    assert {"number": 0, "body": b""} in view
    assert {"number": 0, "body": b""} in msgspec.msgpack.decode(SharedState().dump())


@pytest.mark.parametrize("number", NUMBERS)
def test_a_stored_document_is_told_from_none_in_its_acknowledgement(
    number: int,
) -> None:
    result = apply(SharedState(), 1, number)
    received = CODEC.decode(CODEC.encode(result))
    assert received.number == number and not received.is_absent
    assert RoutesInForce(0, b"").is_absent
