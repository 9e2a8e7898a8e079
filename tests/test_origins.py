"""Test what is known of the build that began a stream."""

from collections.abc import Iterable

import pytest

from hawthornshelf.commands import (
    AdmitBuild,
    FindOrigin,
    OriginFound,
    RecordOrigins,
    RetireBuild,
)
from hawthornshelf.origins import (
    KEPT_SECONDS,
    MAX_ORIGINS,
    BuildRow,
    Continuation,
    Origin,
    OriginRow,
    OriginTable,
    decide_continuation,
    digest_request_id,
)
from hawthornshelf.state import SharedState

OLD, NEW = Origin("llm", "v1"), Origin("llm", "v2")
NOW = 1000.0
KEY = digest_request_id("first")


def make_table(*builds: Origin) -> OriginTable:
    table = OriginTable()
    for build in builds:
        table.admit(NOW, *build)
    return table


def find(
    table: OriginTable, now: float = NOW, listed: Iterable[Origin] = ()
) -> Origin | None:
    return table.find(now, KEY, ("llm",), set(listed))


def test_the_only_build_began_every_stream() -> None:
    assert find(make_table(OLD, Origin("other", "v9"))) == OLD


def test_without_a_record_none_of_two_builds_is_taken() -> None:
    assert find(make_table(OLD, NEW)) is None


def test_without_a_record_a_build_that_is_only_listed_counts_as_well() -> None:
    assert find(make_table(OLD), listed=[OLD, NEW]) is None
    assert find(make_table(), listed=[NEW]) == NEW


def test_a_retired_build_counts_until_its_streams_are_over() -> None:
    table = make_table(OLD, NEW)
    table.retire(NOW, *OLD)
    assert find(table, NOW + KEPT_SECONDS / 2) is None
    assert find(table, NOW + KEPT_SECONDS) == NEW


def test_a_record_tells_the_build_until_it_expires() -> None:
    table = make_table(OLD, NEW)
    table.record(NOW, [OriginRow(KEY, OLD)])
    assert find(table) == OLD
    table.record(NOW + KEPT_SECONDS, [])
    assert find(table) is None


def test_an_id_that_began_streams_at_two_builds_is_never_known() -> None:
    table = make_table(OLD, NEW)
    for origin in (OLD, NEW, OLD, OLD):
        table.record(NOW, [OriginRow(KEY, origin)])
    assert find(table) is None


@pytest.mark.parametrize("request_id", ["", "\udcff", "x" * 100_000, "first "])
def test_an_odd_name_is_that_of_no_stream(request_id: str) -> None:
    table = make_table(OLD, NEW)
    table.record(NOW, [OriginRow(KEY, OLD)])
    key = digest_request_id(request_id)
    assert table.find(NOW, key, ("llm",), set()) is None


def test_tables_are_bounded_and_lose_the_oldest() -> None:
    table = make_table(OLD, NEW)
    table.record(NOW, [OriginRow(KEY, OLD)])
    rows = [OriginRow(b"%d" % number, NEW) for number in range(MAX_ORIGINS)]
    table.record(NOW, rows)
    assert len(table.origins()) == MAX_ORIGINS and find(table) is None


def test_an_admitted_build_changes_the_view_once_and_lives_in_snapshots() -> None:
    state = SharedState()
    state.apply(1, 5, NOW, AdmitBuild(*OLD))
    state.apply(1, 6, NOW, AdmitBuild(*OLD))
    assert state.revision == 5 and state.view().builds == (BuildRow(*OLD),)
    state.apply(1, 7, NOW, AdmitBuild(*NEW))
    state.apply(1, 8, NOW, RecordOrigins((OriginRow(KEY, OLD),)))
    state.apply(1, 9, NOW, RetireBuild(*OLD))
    loaded = SharedState.load(state.dump())
    assert loaded.view() == state.view()
    command = FindOrigin(KEY, ("llm",), ())
    assert loaded.apply(1, 10, NOW, command) == OriginFound(OLD)


@pytest.mark.parametrize(
    ("origin", "services", "staying", "continuation"),
    [
        (OLD, ("llm",), {OLD, NEW}, Continuation.GO_ON),
        (OLD, ("llm",), {NEW}, Continuation.GONE),
        (OLD, ("app",), {OLD}, Continuation.MOVED),
        (None, ("llm",), {OLD}, Continuation.UNKNOWN),
    ],
)
def test_a_stream_goes_on_only_at_its_own_build(
    origin: Origin | None,
    services: tuple[str, ...],
    staying: set[Origin],
    continuation: Continuation,
) -> None:
    assert decide_continuation(origin, services, staying) is continuation
