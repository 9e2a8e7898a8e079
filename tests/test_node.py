"""Check how one node joins, is struck off and joins again."""

from hawthornshelf.commands import RemoveNode
from hawthornshelf.effects import Finish
from tests.chaos import configuration_of, make_completion, make_simulation


def ready():
    simulation = make_simulation(21)
    simulation.start_all()
    simulation.configure(configuration_of(simulation))
    simulation.run(25)
    return simulation


def test_a_node_refuses_until_it_has_joined() -> None:
    simulation = make_simulation(21)
    for name in ("c0", "e0"):
        simulation.start(name)
    simulation.run(3)
    request = simulation.send_request("e0", make_completion("early", 3))
    assert request.result is not None
    assert "not joined" in request.result.reason


def test_a_node_that_was_struck_off_joins_again_before_it_serves() -> None:
    simulation = ready()
    simulation.run_command("c0", RemoveNode("e0", "e0.1"))
    simulation.run_until(
        lambda: simulation.nodes["e0"].core.refusal(simulation.now), 3, "refusal"
    )
    state = simulation.nodes["c0"].core.control.state
    simulation.run_until(lambda: "e0" in state.nodes, 5, "join")
    simulation.run(2)
    request = simulation.send_request("e0", make_completion("again", 3))
    simulation.run(2)
    assert isinstance(request.result, Finish)


def test_a_struck_off_incarnation_does_not_remove_its_successor() -> None:
    simulation = ready()
    simulation.run_command("c0", RemoveNode("e0", "another"))
    simulation.run(3)
    assert "e0" in simulation.nodes["c0"].core.control.state.nodes
