import random

import pytest

from hawthornshelf.gateway.runners import (
    DOWN_SECONDS,
    ERROR_RATE_HALF_LIFE_SECONDS,
    MAX_DOWN_SECONDS,
    Runner,
    RunnerList,
    RunnerTable,
    Stage,
)


@pytest.fixture
def table() -> RunnerTable:
    runners = [Runner(f"d{n}", "llm", f"h:{n}", "dc", 16, False) for n in range(3)]
    engines = [runner._replace(stage=Stage.DECODE) for runner in runners]
    plain = Runner("a0", "app", "h:9", "dc", 6)
    loaded = RunnerTable("dc", random.Random(1))
    loaded.load(RunnerList((*engines, plain), 0.0))
    return loaded


def names(table: RunnerTable, now: float) -> list[str]:
    states = table.available(now, "llm", (Stage.DECODE,), ())
    return [state.runner.name for state in states]


def test_a_failed_runner_is_excluded_for_longer_each_time(table: RunnerTable) -> None:
    state = table.find("d1")
    assert state is not None
    now, waits = 0.0, []
    for _ in range(4):
        waits.append(table.record_failure(now, state))
        assert "d1" not in names(table, now)
        now = state.down_until
        assert "d1" in names(table, now)
    assert waits == [DOWN_SECONDS, 2 * DOWN_SECONDS, MAX_DOWN_SECONDS, MAX_DOWN_SECONDS]
    table.record_success(state)
    assert table.record_failure(now, state) == DOWN_SECONDS


def test_all_runners_are_available_if_all_are_excluded(table: RunnerTable) -> None:
    for state in table.in_service("llm"):
        table.record_failure(0.0, state)
    assert names(table, 0.1) == ["d0", "d1", "d2"]


def test_the_error_rate_decays_and_falls_with_successful_responses(
    table: RunnerTable,
) -> None:
    state = table.find("d0")
    assert state is not None
    for _ in range(10):
        table.record_error(0.0, state)
    initial_rate = state.current_error_rate(0.0)
    assert state.current_error_rate(ERROR_RATE_HALF_LIFE_SECONDS) == pytest.approx(
        initial_rate / 2
    )
    table.record_success(state)
    assert state.current_error_rate(0.0) < initial_rate


def test_only_interactive_requests_at_engines_are_counted(table: RunnerTable) -> None:
    engine, plain = table.find("d0"), table.find("a0")
    assert engine is not None and plain is not None
    engine.in_flight, engine.long_requests, plain.in_flight = 5, 2, 4
    assert table.count_interactive_requests() == 3


def test_a_restart_under_the_old_name_is_reported(table: RunnerTable) -> None:
    runners = [Runner("d0", "llm", "h:0", "dc", 16, boot=boot) for boot in (5, 6)]
    table.load(RunnerList((runners[0],), 1.0))
    assert table.load(RunnerList((runners[1],), 2.0)) == (["d0"], ["d0"])
    assert table.load(RunnerList((runners[1],), 3.0)) == ([], [])


def test_a_runner_with_a_new_address_starts_with_new_state(table: RunnerTable) -> None:
    state = table.find("d0")
    assert state is not None
    table.record_failure(0.0, state)
    moved = state.runner._replace(address="h:77")
    came, went = table.load(RunnerList((moved,), 1.0))
    assert (came, went) == ([], ["a0", "d1", "d2"])
    new = table.find("d0")
    assert (
        new is not None
        and new.consecutive_failures == 0
        and new.runner.address == "h:77"
    )
