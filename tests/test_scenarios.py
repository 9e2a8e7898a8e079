"""Run the scripted scenarios, one for each point that must hold."""

from types import SimpleNamespace

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from hawthornshelf.commands import (
    ConfigurationAccepted,
    ConfigurationConflict,
    ProposeConfiguration,
)
from hawthornshelf.effects import Finish, Outcome, Refuse
from tests.chaos import booking, completion, configuration_of, make_world
from tests.invariants import check_all, check_orders
from tests.upstreams import POISON
from tests.world import World

scenarios("features")


@pytest.fixture
def notes() -> SimpleNamespace:
    return SimpleNamespace(streams=[], requests=[], results=[], command=None)


def _ready(world: World) -> World:
    world.start_all()
    world.configure(configuration_of(world))
    world.run_until(
        lambda: all(e.version == "1" for e in world.engines.values()), 60, "engines"
    )
    world.run(3)
    return world


def _running(world: World) -> list[str]:
    return [n for n, node in world.nodes.items() if node.core and not node.frozen]


@given('a fleet with version "1" in force', target_fixture="world")
def fleet() -> World:
    return _ready(make_world(seed=11))


@given('a fleet with a platform list and version "1" in force', target_fixture="world")
def fleet_with_platform() -> World:
    world = make_world(seed=12)
    world.uses_platform = True
    names = (*world.nodes, *world.engines, *world.services)
    world.listed = dict.fromkeys(names, "live")
    return _ready(world)


@given(parsers.parse("callers keep {count:d} long streams running"))
def streams(world: World, notes: SimpleNamespace, count: int) -> None:
    names = sorted(world.nodes)
    for number in range(count):
        event = completion(f"stream-{number}", 200)
        notes.streams.append(world.ask(names[number % len(names)], event))
    world.run(0.5)


@when(parsers.parse("{seconds:d} seconds pass"))
def pass_time(world: World, seconds: int) -> None:
    world.run(seconds)


@when(parsers.parse('an operator proposes version "{version}"'))
@then(parsers.parse('an operator can propose version "{version}"'))
def propose(world: World, version: str) -> None:
    leader = world.leader()
    base = world.nodes[leader].core.view.version
    body = configuration_of(world, version)
    command = ProposeConfiguration(f"to-{version}", base, "op", body)
    assert isinstance(world.run_command(leader, command), ConfigurationAccepted)


@when(parsers.parse('an operator at another control node proposes version "{version}"'))
def propose_elsewhere(world: World, notes: SimpleNamespace, version: str) -> None:
    other = next(n for n in sorted(world.control) if n != notes.old_leader)
    body = configuration_of(world, version)
    base = world.nodes[other].core.view.version
    command = ProposeConfiguration(f"to-{version}", base, "op", body)
    assert isinstance(world.run_command(other, command), ConfigurationAccepted)


@when(parsers.parse("the leader is isolated for {seconds:d} seconds"))
def isolate_leader(world: World, notes: SimpleNamespace, seconds: int) -> None:
    notes.old_leader = world.leader()
    world.isolate(notes.old_leader)
    world.after(seconds, world.heal)


@when(parsers.parse("the leader is frozen for {seconds:d} seconds"))
def freeze_leader(world: World, seconds: int) -> None:
    leader = world.leader()
    world.freeze(leader)
    world.after(seconds, lambda: world.wake(leader))


@when(parsers.parse('entry node "{name}" is frozen for {seconds:d} seconds'))
def freeze_entry(world: World, name: str, seconds: int) -> None:
    world.freeze(name)
    world.after(seconds, lambda: world.wake(name))


@when(parsers.parse('engine "{name}" crashes in the middle of its change'))
def crash_in_change(world: World, name: str) -> None:
    engine = world.engines[name]
    world.run_until(lambda: world.now < engine.changing_until, 40, "change")
    engine.crash(world)


@when("two operators propose on the same base at once")
def race(world: World, notes: SimpleNamespace) -> None:
    before = len(world.calls)
    for number, name in enumerate(("c0", "c1")):
        body = configuration_of(world, f"{number + 2}")
        world.give(name, ProposeConfiguration(f"race-{number}", 1, name, body))
    world.run_until(lambda: len(world.calls) == before + 2, 15, "results")
    notes.results = [call.result for call in world.calls[before:]]


@then("one is accepted and the other gets a conflict")
def one_wins(notes: SimpleNamespace) -> None:
    kinds = {type(result) for result in notes.results}
    assert kinds == {ConfigurationAccepted, ConfigurationConflict}


@when("an operator's proposal is accepted but the answer is lost")
def lose_answer(world: World, notes: SimpleNamespace) -> None:
    body = configuration_of(world, "2")
    notes.command = ProposeConfiguration("lost", 1, "op", body)
    world.give("e0", notes.command)
    world.run_until(
        lambda: world.nodes[world.leader()].core.view.version == 2, 5, "version"
    )


@when("all nodes are killed and started again")
def restart_all(world: World) -> None:
    world.run(1)
    for name in world.nodes:
        world.kill(name)
    world.start_all()


@when("the operator sends it again")
def send_again(world: World, notes: SimpleNamespace) -> None:
    world.run_until(world.leader, 20, "leader")
    notes.results = [world.run_command("e1", notes.command)]


@then("it gets the first answer")
def first_answer(notes: SimpleNamespace) -> None:
    assert notes.results == [ConfigurationAccepted(2)]


@when(parsers.parse('entry node "{name}" is cut off from all control nodes'))
def cut_from_control(world: World, name: str) -> None:
    world.isolate(name, world.control)


@when(parsers.parse('entry node "{name}" is cut off from the leader only'))
def cut_from_leader(world: World, name: str) -> None:
    world.isolate(name, [world.leader()])


@when(
    parsers.parse('entry node "{name}" is cut off from all nodes and from the platform')
)
def cut_from_all(world: World, name: str) -> None:
    world.isolate(name)
    world.cut(name, "platform")


@when(parsers.parse('control node "{name}" loses its disk and comes back'))
def lose_disk(world: World, name: str) -> None:
    world.wipe(name)
    world.run(2)
    world.start(name)


@when("its replica has become a voter")
def becomes_voter(world: World) -> None:
    def settled() -> bool:
        leader = world.leader()
        if not leader:
            return False
        raft = world.nodes[leader].core.control.raft
        replicas = {node.disk.load().replica for node in _control_nodes(world)}
        return set(raft.membership.voters()) == replicas

    world.run_until(settled, 30, "voter")


def _control_nodes(world: World) -> list:
    return [world.nodes[name] for name in world.control]


@when(parsers.parse('control node "{name}" loses its disk and stays away'))
def lose_second_disk(world: World, name: str) -> None:
    world.wipe(name)


@then(parsers.parse('version "{version}" is in force on every running node'))
def in_force(world: World, version: str) -> None:
    for name in _running(world):
        models = world.nodes[name].core.view.configuration.models()
        assert {model.version for model in models.values()} == {version}


@when(parsers.parse("{count:d} changes are accepted one after the other"))
def many_changes(world: World, count: int) -> None:
    for number in range(count):
        body = configuration_of(world, "1")
        command = ProposeConfiguration(f"many-{number}", number + 1, "op", body)
        result = world.run_command(world.leader(), command)
        assert result == ConfigurationAccepted(number + 2)


@then(parsers.parse("every node has version number {version:d} within 20 seconds"))
def has_version(world: World, version: int) -> None:
    cores = [node.core for node in world.nodes.values()]
    world.run_until(
        lambda: {core.view.version for core in cores} == {version}, 20, "version"
    )


@then("every node has the same version")
@then("every node has the same version within 5 seconds")
def same_version(world: World) -> None:
    def settled() -> bool:
        versions = {world.nodes[name].core.view.version for name in _running(world)}
        return len(versions) == 1

    world.run_until(settled, 5, "one version")


@then(parsers.parse('every engine serves version "{version}"'))
def engines_serve(world: World, version: str) -> None:
    for engine in world.engines.values():
        engine.read(world.now)
        assert engine.version == version, engine.name


@then(parsers.parse('no engine serves version "{version}"'))
def no_engine_serves(world: World, version: str) -> None:
    for engine in world.engines.values():
        engine.read(world.now)
        assert engine.version != version, engine.name


@then("no engine had an order out of turn")
def orders_in_turn(world: World) -> None:
    check_orders(world)


@then(parsers.parse('the status names "{name}" as awaited'))
def status_names(world: World, name: str) -> None:
    state = world.nodes[world.leader()].core.control.state
    awaited = [state.missing_acks(drain) for drain in state.drains.values()]
    assert awaited
    assert all(names == (name,) for names in awaited)


@then("every stream got its whole answer")
def streams_whole(world: World, notes: SimpleNamespace) -> None:
    for stream in notes.streams:
        assert isinstance(stream.end, Finish), stream
    check_all(world)


@when(parsers.parse('entry node "{name}" is asked to stop'))
def stop_entry(world: World, name: str) -> None:
    world.stop(name)


@when("the leader is asked to stop")
def stop_leader(world: World) -> None:
    world.stop(world.leader())


@then(parsers.parse('node "{name}" has stopped'))
def has_stopped(world: World, name: str) -> None:
    assert world.nodes[name].stopped


@when(parsers.parse('the platform lists engine "{name}" as leaving'))
def lists_leaving(world: World, name: str) -> None:
    world.listed[name] = "leaving"


@when(parsers.parse("callers ask every node for {count:d} answers"))
def ask_all(world: World, count: int) -> None:
    for name in world.nodes:
        for number in range(count):
            world.ask(name, completion(f"ask-{name}-{number}", 5))
    world.run(2.5)


@then(parsers.parse('engine "{name}" got no work in the last {seconds:d} seconds'))
def no_recent_work(world: World, name: str, seconds: int) -> None:
    recent = [r for r in world.engines[name].runs if r.at > world.now - seconds]
    assert not recent
    others = [e for n, e in world.engines.items() if n != name]
    assert any(engine.runs for engine in others)


@when(parsers.parse('a caller asks "{name}" for an answer'))
def ask_one(world: World, notes: SimpleNamespace, name: str) -> None:
    notes.requests.append(world.ask(name, completion("one", 5)))
    world.run(0.2)


@then("it is refused at once as not run")
def refused_not_run(world: World, notes: SimpleNamespace) -> None:
    end = notes.requests[-1].end
    assert isinstance(end, Refuse)
    assert end.outcome is Outcome.NOT_RUN
    assert end.retry_after > 0
    check_all(world)


@when(parsers.parse('a caller asks "{name}" for {tokens:d} tokens'))
def ask_tokens(world: World, notes: SimpleNamespace, name: str, tokens: int) -> None:
    notes.requests.append(world.ask(name, completion("long", tokens)))
    world.run(0.5)


@when("the engine that runs it crashes")
def crash_runner(world: World) -> None:
    engine = next(e for e in world.engines.values() if e.running)
    engine.crash(world, back_after=5)


@then("the caller got its whole answer")
def caller_whole(world: World, notes: SimpleNamespace) -> None:
    assert isinstance(notes.requests[-1].end, Finish)
    check_all(world)


@then(parsers.parse("it ran on {count:d} engines"))
def ran_on(world: World, notes: SimpleNamespace, count: int) -> None:
    request = notes.requests[-1].event.request
    ran = [
        engine.name
        for engine in world.engines.values()
        if any(run.request == request for run in engine.runs)
    ]
    assert len(ran) == count


@when(parsers.parse('a caller books "{key}" at "{name}"'))
def book(world: World, notes: SimpleNamespace, key: str, name: str) -> None:
    request = world.ask(name, booking(f"{key}-{name}", key))
    notes.requests.append(request)
    world.run_until(lambda: request.end, 10, "answer")


@when(parsers.parse('a caller books "{key}" with another body at "{name}"'))
def book_other(world: World, notes: SimpleNamespace, key: str, name: str) -> None:
    event = booking(f"{key}-{name}", key)
    other = type(event)(
        **{f: getattr(event, f) for f in event.__slots__ if f != "digest"},
        digest="other",
    )
    request = world.ask(name, other)
    notes.requests.append(request)
    world.run_until(lambda: request.end, 10, "answer")


@when(parsers.parse('a caller books "{key}" at "{name}" and its node dies first'))
def book_and_die(world: World, key: str, name: str) -> None:
    world.ask(name, booking(f"{key}-{name}", key))
    runs = lambda: any(s.runs for s in world.services.values())  # noqa: E731
    world.run_until(runs, 5, "run")
    world.kill(name)
    world.run(130)


@then("both got the same answer")
def same_answer(notes: SimpleNamespace) -> None:
    first, second = (request.end for request in notes.requests)
    assert isinstance(first, Finish)
    assert isinstance(second, Finish)
    assert first.answer == second.answer
    assert second.replayed


@then(parsers.parse('"{key}" ran once'))
def ran_once(world: World, key: str) -> None:
    runs = [r for s in world.services.values() for r in s.runs if r.key == key]
    assert len(runs) == 1


@then("it is refused as unknown")
def refused_unknown(notes: SimpleNamespace) -> None:
    end = notes.requests[-1].end
    assert isinstance(end, Refuse)
    assert end.outcome is Outcome.UNKNOWN


@then(parsers.parse("it is refused with status {status:d}"))
def refused_status(notes: SimpleNamespace, status: int) -> None:
    end = notes.requests[-1].end
    assert isinstance(end, Refuse)
    assert end.status == status


@when("a request that crashes engines is sent through every node in turn")
def send_poison(world: World, notes: SimpleNamespace) -> None:
    for name in sorted(world.nodes):
        event = completion(f"poison-{name}", 50, digest=POISON)
        request = world.ask(name, event)
        notes.requests.append(request)
        world.run_until(lambda r=request: r.end, 61, "final answer")


@then(parsers.parse("at most {count:d} engines crashed"))
def crashed(world: World, count: int) -> None:
    assert sum(engine.crashes for engine in world.engines.values()) <= count


@then("the crashing request was refused for good")
def refused_for_good(notes: SimpleNamespace) -> None:
    for request in notes.requests:
        assert isinstance(request.end, Refuse)
        assert request.end.status == 422
        assert request.end.retry_after == 0
