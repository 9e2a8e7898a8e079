"""Test how one node joins, is removed and joins again."""

from hawthornshelf.commands import RemoveNode
from hawthornshelf.effects import Finish
from tests.chaos import completion, configuration_of, make_world


def make_ready():
    world = make_world(21)
    world.start_all()
    world.configure(configuration_of(world))
    world.run(25)
    return world


def test_a_node_refuses_until_it_has_joined() -> None:
    world = make_world(21)
    for name in ("c0", "e0"):
        world.start(name)
    world.run(3)
    request = world.ask("e0", completion("early", 3))
    assert request.end is not None
    assert "not joined" in request.end.reason


def test_a_removed_node_joins_again_before_it_serves() -> None:
    world = make_ready()
    world.run_command("c0", RemoveNode("e0", "e0.1"))
    world.run_until(lambda: world.nodes["e0"].core.refusal(world.now), 3, "refusal")
    state = world.nodes["c0"].core.control.state
    world.run_until(lambda: "e0" in state.nodes, 5, "join")
    world.run(2)
    request = world.ask("e0", completion("again", 3))
    world.run(2)
    assert isinstance(request.end, Finish)


def test_removing_an_old_incarnation_keeps_its_successor() -> None:
    world = make_ready()
    world.run_command("c0", RemoveNode("e0", "another"))
    world.run(3)
    assert "e0" in world.nodes["c0"].core.control.state.nodes
