"""Implement the steps of the scenarios in `features`, one per requirement."""

from types import SimpleNamespace

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from hawthornshelf.commands import (
    ConfigurationAccepted,
    ConfigurationConflict,
    ProposeConfiguration,
)
from hawthornshelf.effects import Finish, Outcome, Refuse
from tests.chaos import configuration_of, make_booking, make_completion, make_simulation
from tests.invariants import check_all, check_orders
from tests.simulation import Simulation
from tests.upstreams import POISON

scenarios("features")


@pytest.fixture
def context() -> SimpleNamespace:
    return SimpleNamespace(streams=[], requests=[], results=[], command=None)


def _start_fleet(simulation: Simulation) -> Simulation:
    simulation.start_all()
    simulation.configure(configuration_of(simulation))
    simulation.run_until(
        lambda: all(e.version == "1" for e in simulation.engines.values()),
        60,
        "engines",
    )
    simulation.run(3)
    return simulation


def _running_nodes(simulation: Simulation) -> list[str]:
    return [n for n, node in simulation.nodes.items() if node.core and not node.frozen]


@given('a fleet with version "1" in force', target_fixture="simulation")
def start_fleet() -> Simulation:
    return _start_fleet(make_simulation(seed=11))


@given(
    'a fleet with a platform list and version "1" in force', target_fixture="simulation"
)
def start_fleet_with_platform() -> Simulation:
    simulation = make_simulation(seed=12)
    simulation.uses_platform = True
    names = (*simulation.nodes, *simulation.engines, *simulation.services)
    simulation.platform_states = dict.fromkeys(names, "live")
    return _start_fleet(simulation)


@given(parsers.parse("callers keep {count:d} long streams running"))
def start_streams(simulation: Simulation, context: SimpleNamespace, count: int) -> None:
    names = sorted(simulation.nodes)
    for number in range(count):
        event = make_completion(f"stream-{number}", 200)
        context.streams.append(
            simulation.send_request(names[number % len(names)], event)
        )
    simulation.run(0.5)


@when(parsers.parse("{seconds:d} seconds pass"))
def pass_time(simulation: Simulation, seconds: int) -> None:
    simulation.run(seconds)


@when(parsers.parse('an operator proposes version "{version}"'))
@then(parsers.parse('an operator can propose version "{version}"'))
def propose(simulation: Simulation, version: str) -> None:
    leader = simulation.leader()
    base = simulation.nodes[leader].core.view.version
    body = configuration_of(simulation, version)
    command = ProposeConfiguration(f"to-{version}", base, "op", body)
    assert isinstance(simulation.run_command(leader, command), ConfigurationAccepted)


@when(parsers.parse('an operator at another control node proposes version "{version}"'))
def propose_at_another_node(
    simulation: Simulation, context: SimpleNamespace, version: str
) -> None:
    other = next(n for n in sorted(simulation.control) if n != context.old_leader)
    body = configuration_of(simulation, version)
    base = simulation.nodes[other].core.view.version
    command = ProposeConfiguration(f"to-{version}", base, "op", body)
    assert isinstance(simulation.run_command(other, command), ConfigurationAccepted)


@when(parsers.parse("the leader is isolated for {seconds:d} seconds"))
def isolate_leader(
    simulation: Simulation, context: SimpleNamespace, seconds: int
) -> None:
    context.old_leader = simulation.leader()
    simulation.isolate(context.old_leader)
    simulation.schedule(seconds, simulation.heal)


@when(parsers.parse("the leader is frozen for {seconds:d} seconds"))
def freeze_leader(simulation: Simulation, seconds: int) -> None:
    leader = simulation.leader()
    simulation.freeze(leader)
    simulation.schedule(seconds, lambda: simulation.resume(leader))


@when(parsers.parse('entry node "{name}" is frozen for {seconds:d} seconds'))
def freeze_entry(simulation: Simulation, name: str, seconds: int) -> None:
    simulation.freeze(name)
    simulation.schedule(seconds, lambda: simulation.resume(name))


@when(parsers.parse('engine "{name}" crashes during its change'))
def crash_in_change(simulation: Simulation, name: str) -> None:
    engine = simulation.engines[name]
    simulation.run_until(lambda: simulation.now < engine.changing_until, 40, "change")
    engine.crash(simulation)


@when("two operators propose concurrently on the same base version")
def propose_concurrently(simulation: Simulation, context: SimpleNamespace) -> None:
    before = len(simulation.operations)
    for number, name in enumerate(("c0", "c1")):
        body = configuration_of(simulation, f"{number + 2}")
        simulation.submit(name, ProposeConfiguration(f"race-{number}", 1, name, body))
    simulation.run_until(
        lambda: len(simulation.operations) == before + 2, 15, "results"
    )
    context.results = [operation.result for operation in simulation.operations[before:]]


@then("one proposal is accepted and the other conflicts")
def one_is_accepted(context: SimpleNamespace) -> None:
    kinds = {type(result) for result in context.results}
    assert kinds == {ConfigurationAccepted, ConfigurationConflict}


@when("an operator's proposal is accepted but the response is lost")
def lose_response(simulation: Simulation, context: SimpleNamespace) -> None:
    body = configuration_of(simulation, "2")
    context.command = ProposeConfiguration("lost", 1, "op", body)
    simulation.submit("e0", context.command)
    simulation.run_until(
        lambda: simulation.nodes[simulation.leader()].core.view.version == 2,
        5,
        "version",
    )


@when("all nodes are killed and restarted")
def restart_all(simulation: Simulation) -> None:
    simulation.run(1)
    for name in simulation.nodes:
        simulation.kill(name)
    simulation.start_all()


@when("the operator resends the proposal")
def resend_proposal(simulation: Simulation, context: SimpleNamespace) -> None:
    simulation.run_until(simulation.leader, 20, "leader")
    context.results = [simulation.run_command("e1", context.command)]


@then("the resend gets the first response")
def got_first_response(context: SimpleNamespace) -> None:
    assert context.results == [ConfigurationAccepted(2)]


@when(parsers.parse('entry node "{name}" is cut off from all control nodes'))
def cut_from_control(simulation: Simulation, name: str) -> None:
    simulation.isolate(name, simulation.control)


@when(parsers.parse('entry node "{name}" is cut off from the leader only'))
def cut_from_leader(simulation: Simulation, name: str) -> None:
    simulation.isolate(name, [simulation.leader()])


@when(
    parsers.parse('entry node "{name}" is cut off from all nodes and from the platform')
)
def cut_from_all(simulation: Simulation, name: str) -> None:
    simulation.isolate(name)
    simulation.cut(name, "platform")


@when(parsers.parse('control node "{name}" loses its disk and restarts'))
def lose_disk(simulation: Simulation, name: str) -> None:
    simulation.wipe(name)
    simulation.run(2)
    simulation.start(name)


@when("its replica has become a voter")
def wait_for_voter(simulation: Simulation) -> None:
    def has_voters() -> bool:
        leader = simulation.leader()
        if not leader:
            return False
        raft = simulation.nodes[leader].core.control.raft
        replicas = {node.disk.load().replica for node in _control_nodes(simulation)}
        return set(raft.membership.voters()) == replicas

    simulation.run_until(has_voters, 30, "voter")


def _control_nodes(simulation: Simulation) -> list:
    return [simulation.nodes[name] for name in simulation.control]


@when(parsers.parse('control node "{name}" loses its disk and stays down'))
def lose_second_disk(simulation: Simulation, name: str) -> None:
    simulation.wipe(name)


@then(parsers.parse('version "{version}" is in force on every running node'))
def is_in_force(simulation: Simulation, version: str) -> None:
    for name in _running_nodes(simulation):
        models = simulation.nodes[name].core.view.configuration.models()
        assert {model.version for model in models.values()} == {version}


@when(parsers.parse("{count:d} changes are accepted in sequence"))
def make_changes(simulation: Simulation, count: int) -> None:
    for number in range(count):
        body = configuration_of(simulation, "1")
        command = ProposeConfiguration(f"many-{number}", number + 1, "op", body)
        result = simulation.run_command(simulation.leader(), command)
        assert result == ConfigurationAccepted(number + 2)


@then(parsers.parse("every node has version number {version:d} within 20 seconds"))
def has_version(simulation: Simulation, version: int) -> None:
    cores = [node.core for node in simulation.nodes.values()]
    simulation.run_until(
        lambda: {core.view.version for core in cores} == {version}, 20, "version"
    )


@then("every node has the same version")
@then("every node has the same version within 5 seconds")
def have_same_version(simulation: Simulation) -> None:
    def versions_agree() -> bool:
        versions = {
            simulation.nodes[name].core.view.version
            for name in _running_nodes(simulation)
        }
        return len(versions) == 1

    simulation.run_until(versions_agree, 5, "one version")


@then(parsers.parse('every engine serves version "{version}"'))
def engines_serve(simulation: Simulation, version: str) -> None:
    for engine in simulation.engines.values():
        engine.read_state(simulation.now)
        assert engine.version == version, engine.name


@then(parsers.parse('no engine serves version "{version}"'))
def no_engine_serves(simulation: Simulation, version: str) -> None:
    for engine in simulation.engines.values():
        engine.read_state(simulation.now)
        assert engine.version != version, engine.name


@then("no engine received an order out of sequence")
def orders_in_sequence(simulation: Simulation) -> None:
    check_orders(simulation)


@then(parsers.parse('the status names "{name}" as not yet confirmed'))
def has_not_confirmed(simulation: Simulation, name: str) -> None:
    state = simulation.nodes[simulation.leader()].core.control.state
    unconfirmed = [state.missing_acks(drain) for drain in state.drains.values()]
    assert unconfirmed
    assert all(names == (name,) for names in unconfirmed)


@then("every stream is complete")
def streams_complete(simulation: Simulation, context: SimpleNamespace) -> None:
    for stream in context.streams:
        assert isinstance(stream.result, Finish), stream
    check_all(simulation)


@when(parsers.parse('entry node "{name}" is asked to stop'))
def stop_entry(simulation: Simulation, name: str) -> None:
    simulation.stop(name)


@when("the leader is asked to stop")
def stop_leader(simulation: Simulation) -> None:
    simulation.stop(simulation.leader())


@then(parsers.parse('node "{name}" has stopped'))
def has_stopped(simulation: Simulation, name: str) -> None:
    assert simulation.nodes[name].stopped


@when(parsers.parse('the platform lists engine "{name}" as leaving'))
def list_as_leaving(simulation: Simulation, name: str) -> None:
    simulation.platform_states[name] = "leaving"


@when(parsers.parse("callers ask every node for {count:d} completions"))
def ask_all_nodes(simulation: Simulation, count: int) -> None:
    for name in simulation.nodes:
        for number in range(count):
            simulation.send_request(name, make_completion(f"ask-{name}-{number}", 5))
    simulation.run(2.5)


@then(
    parsers.parse('engine "{name}" received no request in the last {seconds:d} seconds')
)
def has_no_recent_request(simulation: Simulation, name: str, seconds: int) -> None:
    recent = [
        r for r in simulation.engines[name].runs if r.at > simulation.now - seconds
    ]
    assert not recent
    others = [e for n, e in simulation.engines.items() if n != name]
    assert any(engine.runs for engine in others)


@when(parsers.parse('a caller asks "{name}" for a completion'))
def ask_for_completion(
    simulation: Simulation, context: SimpleNamespace, name: str
) -> None:
    context.requests.append(simulation.send_request(name, make_completion("one", 5)))
    simulation.run(0.2)


@then("the request is refused at once as not run")
def refused_not_run(simulation: Simulation, context: SimpleNamespace) -> None:
    result = context.requests[-1].result
    assert isinstance(result, Refuse)
    assert result.outcome is Outcome.NOT_RUN
    assert result.retry_after > 0
    check_all(simulation)


@when(parsers.parse('a caller asks "{name}" for {tokens:d} tokens'))
def ask_tokens(
    simulation: Simulation, context: SimpleNamespace, name: str, tokens: int
) -> None:
    context.requests.append(
        simulation.send_request(name, make_completion("long", tokens))
    )
    simulation.run(0.5)


@when("the engine that runs it crashes")
def crash_running_engine(simulation: Simulation) -> None:
    engine = next(e for e in simulation.engines.values() if e.running)
    engine.crash(simulation, down_seconds=5)


@then("the caller got the complete response")
def response_complete(simulation: Simulation, context: SimpleNamespace) -> None:
    assert isinstance(context.requests[-1].result, Finish)
    check_all(simulation)


@then(parsers.parse("the request ran on {count:d} engines"))
def ran_on(simulation: Simulation, context: SimpleNamespace, count: int) -> None:
    request = context.requests[-1].event.request
    ran = [
        engine.name
        for engine in simulation.engines.values()
        if any(run.request == request for run in engine.runs)
    ]
    assert len(ran) == count


@when(parsers.parse('a caller books "{key}" at "{name}"'))
def book(simulation: Simulation, context: SimpleNamespace, key: str, name: str) -> None:
    request = simulation.send_request(name, make_booking(f"{key}-{name}", key))
    context.requests.append(request)
    simulation.run_until(lambda: request.result, 10, "response")


@when(parsers.parse('a caller books "{key}" with a different body at "{name}"'))
def book_different_body(
    simulation: Simulation, context: SimpleNamespace, key: str, name: str
) -> None:
    event = make_booking(f"{key}-{name}", key)
    other = type(event)(
        **{f: getattr(event, f) for f in event.__slots__ if f != "digest"},
        digest="other",
    )
    request = simulation.send_request(name, other)
    context.requests.append(request)
    simulation.run_until(lambda: request.result, 10, "response")


@when(
    parsers.parse(
        'a caller books "{key}" at "{name}" and the node dies before it responds'
    )
)
def book_and_die(simulation: Simulation, key: str, name: str) -> None:
    simulation.send_request(name, make_booking(f"{key}-{name}", key))
    has_run = lambda: any(s.runs for s in simulation.services.values())  # noqa: E731
    simulation.run_until(has_run, 5, "run")
    simulation.kill(name)
    simulation.run(130)


@then("both requests got the same response")
def have_same_response(context: SimpleNamespace) -> None:
    first, second = (request.result for request in context.requests)
    assert isinstance(first, Finish)
    assert isinstance(second, Finish)
    assert first.answer == second.answer
    assert second.replayed


@then(parsers.parse('"{key}" ran once'))
def ran_once(simulation: Simulation, key: str) -> None:
    runs = [r for s in simulation.services.values() for r in s.runs if r.key == key]
    assert len(runs) == 1


@then("the request is refused as unknown")
def refused_unknown(context: SimpleNamespace) -> None:
    result = context.requests[-1].result
    assert isinstance(result, Refuse)
    assert result.outcome is Outcome.UNKNOWN


@then(parsers.parse("the request is refused with status {status:d}"))
def refused_status(context: SimpleNamespace, status: int) -> None:
    result = context.requests[-1].result
    assert isinstance(result, Refuse)
    assert result.status == status


@when("a request that crashes engines is sent to each node in turn")
def send_crashing_request(simulation: Simulation, context: SimpleNamespace) -> None:
    for name in sorted(simulation.nodes):
        event = make_completion(f"poison-{name}", 50, digest=POISON)
        request = simulation.send_request(name, event)
        context.requests.append(request)
        simulation.run_until(lambda r=request: r.result, 61, "final response")


@then(parsers.parse("at most {count:d} engines crashed"))
def crashed(simulation: Simulation, count: int) -> None:
    assert sum(engine.crashes for engine in simulation.engines.values()) <= count


@then("the crashing request was refused with no retry")
def refused_without_retry(context: SimpleNamespace) -> None:
    for request in context.requests:
        assert isinstance(request.result, Refuse)
        assert request.result.status == 422
        assert request.result.retry_after == 0
