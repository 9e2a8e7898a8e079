import pytest
from hypothesis import given
from hypothesis import strategies as st

from hawthornshelf.effects import LogLine
from hawthornshelf.limitrecords import RateLimitRow
from hawthornshelf.ratelimits import (
    KEPT_SECONDS,
    MAX_LIMITS,
    UNBOUNDED_RATE,
    RateLimitTable,
)

RUNNER, OTHER_BOOT = "i-1/17", "i-1/18"


def events(lines: list[LogLine]) -> list[str]:
    return [line.event for line in lines]


def test_a_limit_holds_until_a_later_answer_names_another_or_none() -> None:
    table = RateLimitTable()
    assert table.find(RUNNER) is None
    for at, rate in enumerate((3.5, 0.0, 120.0, None)):
        table.learn(9.0, RUNNER, rate, float(at))
        assert table.find(RUNNER) == rate
        assert table.count == (rate is not None)


def test_an_answer_that_comes_late_does_not_bring_back_an_older_limit() -> None:
    table = RateLimitTable()
    table.learn(5.0, RUNNER, 3.5, 4.0)
    table.learn(6.0, RUNNER, None, 3.9)
    assert table.find(RUNNER) == 3.5
    table.learn(6.0, RUNNER, None, 4.1)
    table.learn(6.0, RUNNER, 3.5, 4.05)
    assert table.find(RUNNER) is None


def test_a_new_boot_starts_without_a_limit() -> None:
    table = RateLimitTable()
    table.learn(1.0, RUNNER, 3.5, 1.0)
    assert table.find(OTHER_BOOT) is None


def test_a_limit_that_no_runner_can_reach_binds_nothing() -> None:
    table = RateLimitTable()
    table.learn(1.0, RUNNER, UNBOUNDED_RATE, 1.0)
    assert table.find(RUNNER) is None and table.count == 0


def test_an_answer_without_a_limit_is_no_news_of_a_runner_without_one() -> None:
    table = RateLimitTable()
    table.learn(1.0, RUNNER, None, 1.0)
    assert table.row(1.0, RUNNER) is None
    assert not table.take_news(1.0) and not table.take_lines()


def test_small_changes_of_a_limit_are_kept_and_not_told() -> None:
    table = RateLimitTable()
    table.learn(1.0, RUNNER, 10.0, 1.0)
    assert events(table.take_lines()) == ["rate-limit-learnt"]
    assert table.take_news(2.0) == (RateLimitRow(RUNNER, 10.0, 1.0),)
    table.learn(2.0, RUNNER, 10.5, 2.0)
    assert table.find(RUNNER) == 10.5
    assert not table.take_news(2.0) and not table.take_lines()
    table.learn(3.0, RUNNER, 11.5, 3.0)
    assert table.take_news(3.0) == (RateLimitRow(RUNNER, 11.5, 0.0),)
    table.learn(4.0, RUNNER, None, 4.0)
    assert events(table.take_lines()) == ["rate-limit-learnt", "rate-limit-ended"]


def test_limits_are_bounded_and_forgotten_with_their_runners() -> None:
    table = RateLimitTable()
    for number in range(MAX_LIMITS + 5):
        table.learn(1.0, f"r{number}/1", 2.0, 1.0)
    assert table.count == MAX_LIMITS and table.find("r0/1") is None
    table.retain(2.0 + KEPT_SECONDS, ["r9/1"])
    assert table.count == 1 and table.find("r9/1") == 2.0
    table.learn(1000.0, "r9/1", None, 900.0)
    table.retain(901.0 + KEPT_SECONDS, ["r9/1"])
    assert table.row(1000.0, "r9/1") is None and table.count == 0


ROWS = st.lists(
    st.builds(
        RateLimitRow,
        st.sampled_from(["a/1", "b/1"]),
        st.one_of(st.none(), st.floats(0.0, 100.0)),
        st.sampled_from([0.0, 1.0, 2.0, 3.0, 4.0]),
    ),
    max_size=8,
)


@given(ROWS, st.randoms())
def test_nodes_that_learn_in_another_order_know_the_same(
    rows: list[RateLimitRow], rng: object
) -> None:
    latest = {(row.runner, row.age): row for row in rows}
    one, other = RateLimitTable(), RateLimitTable()
    shuffled = list(latest.values())
    rng.shuffle(shuffled)  # type: ignore[attr-defined]
    for table, order in ((one, latest.values()), (other, shuffled)):
        table.merge(9.0, RateLimitRow("a/1", 1.0, 9.0), "test")
        table.merge(9.0, RateLimitRow("b/1", 1.0, 9.0), "test")
        for row in order:
            table.merge(9.0, row, "test")
    for runner in ("a/1", "b/1"):
        assert one.row(9.0, runner) == other.row(9.0, runner)


@pytest.mark.parametrize("rate", [0.0, 0.25, 3.5])
def test_a_row_carries_its_age_from_node_to_node(rate: float) -> None:
    one, other = RateLimitTable(), RateLimitTable()
    one.learn(5.0, RUNNER, rate, 4.0)
    for row in one.take_news(5.5):
        other.merge(100.0, row, "peer")
    assert other.row(100.0, RUNNER) == RateLimitRow(RUNNER, rate, 1.5)
