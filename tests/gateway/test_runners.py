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
    held = RunnerTable("dc", random.Random(1))
    held.load(RunnerList((*engines, plain), 0.0))
    return held


def names(table: RunnerTable, now: float) -> list[str]:
    states = table.usable(now, "llm", (Stage.DECODE,), ())
    return [state.runner.name for state in states]


def test_a_runner_that_failed_is_left_out_longer_each_time(table: RunnerTable) -> None:
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


def test_all_are_tried_if_all_are_left_out(table: RunnerTable) -> None:
    for state in table.in_service("llm"):
        table.record_failure(0.0, state)
    assert names(table, 0.1) == ["d0", "d1", "d2"]


def test_a_share_of_failures_fades_and_shrinks_with_good_answers(
    table: RunnerTable,
) -> None:
    state = table.find("d0")
    assert state is not None
    for _ in range(10):
        table.record_error(0.0, state)
    at_first = state.current_error_rate(0.0)
    assert state.current_error_rate(ERROR_RATE_HALF_LIFE_SECONDS) == pytest.approx(
        at_first / 2
    )
    table.record_success(state)
    assert state.current_error_rate(0.0) < at_first


def test_only_conversations_at_engines_count_as_streams(table: RunnerTable) -> None:
    engine, plain = table.find("d0"), table.find("a0")
    assert engine is not None and plain is not None
    engine.in_flight, engine.long_requests, plain.in_flight = 5, 2, 4
    assert table.count_interactive_requests() == 3


def test_a_runner_at_another_address_starts_without_a_past(table: RunnerTable) -> None:
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
