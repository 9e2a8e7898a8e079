"""Begin runs of requests of each kind, after ones that may have run or have not."""

import pytest

from hawthornshelf.gateway.context import OpenRun, RequestContext
from hawthornshelf.gateway.exchange import SecondRunRefused
from hawthornshelf.gateway.routes import RetryPolicy, Route, Split
from tests.gateway.fakes import Caller, Fleet, make_inbound

ONCE = (RetryPolicy.ONCE, False)
STREAM_ONCE = (RetryPolicy.STREAM, False)
SAFE = (RetryPolicy.SAFE, False)
RESUMABLE = (RetryPolicy.STREAM, True)


def make_context(retry_policy: RetryPolicy, resumable: bool) -> RequestContext:
    route = Route(
        "r",
        "h",
        "/r/",
        retry_policy,
        5.0,
        1.0,
        1,
        (Split("app", 1),),
        max_attempts=9,
        resumable=resumable,
    )
    return RequestContext(make_inbound("/r/x"), route, 1, "app", Caller(), 9.0, 1.0)


@pytest.mark.parametrize("kind", [ONCE, STREAM_ONCE])
def test_a_request_that_may_run_once_and_may_have_run_begins_no_second_run(
    kind: tuple[RetryPolicy, bool],
) -> None:
    context = make_context(*kind)
    assert not context.begin_run("a")
    with pytest.raises(SecondRunRefused):
        context.begin_run("b")


@pytest.mark.parametrize("kind", [ONCE, STREAM_ONCE])
def test_a_request_that_did_not_run_begins_another_run(
    kind: tuple[RetryPolicy, bool],
) -> None:
    context = make_context(*kind)
    context.may_have_run = context.begin_run("a")
    assert not context.begin_run("b")


@pytest.mark.parametrize("kind", [SAFE, RESUMABLE])
def test_a_repeatable_request_begins_further_runs(
    kind: tuple[RetryPolicy, bool],
) -> None:
    context = make_context(*kind)
    assert not context.begin_run("a")
    assert context.begin_run("b")


@pytest.mark.parametrize("kind", [STREAM_ONCE, RESUMABLE])
@pytest.mark.parametrize("is_elsewhere", [False, True])
def test_no_run_begins_while_an_engine_may_still_work_on_the_last_one(
    kind: tuple[RetryPolicy, bool], is_elsewhere: bool
) -> None:
    fleet = Fleet([])
    context = make_context(*kind)
    context.begin_run("d0")
    context.backup = fleet.runners.find("d1")
    context.open_run = None if is_elsewhere else OpenRun(fleet.listed[3])
    context.is_open_elsewhere = is_elsewhere
    with pytest.raises(SecondRunRefused):
        context.begin_run("d1", context.backup)
    context.open_run, context.is_open_elsewhere = None, False
    assert context.begin_run("d1", context.backup)


def test_a_run_from_the_copy_of_the_run_before_is_no_second_run() -> None:
    context = make_context(*STREAM_ONCE)
    context.begin_run("a")
    context.backup = copy = Fleet([]).states[0]
    assert context.begin_run("b", copy)


def test_a_run_from_a_copy_that_is_not_of_the_run_before_is_refused() -> None:
    context = make_context(*STREAM_ONCE)
    copy, other = Fleet([]).states[:2]
    context.backup = copy
    context.begin_run("a")
    with pytest.raises(SecondRunRefused):
        context.begin_run("b", copy)
    context.backup = copy
    with pytest.raises(SecondRunRefused):
        context.begin_run("b", other)


def test_the_copy_of_an_earlier_run_is_none_of_the_next_one() -> None:
    context = make_context(*RESUMABLE)
    context.begin_run("a")
    context.backup = Fleet([]).states[0]
    context.begin_run("b")
    assert context.backup is None
