"""Test what an entry node counts of the load that its callers offer."""

import asyncio
from dataclasses import replace

import pytest

from hawthornshelf.gateway.exchange import Prompt, PromptSegment
from hawthornshelf.gateway.runners import RunnerList
from hawthornshelf.serviceloads import ServiceLoad
from tests.gateway.fakes import (
    CLOCK,
    Attempt,
    Caller,
    FakeResponse,
    Fleet,
    broken,
    event,
    make_inbound,
    not_run,
    ok,
)

SHORT = Prompt(200, 50, (PromptSegment("x", 100), PromptSegment("own", 100)))
LONG = Prompt(9000, 5, (PromptSegment("x", 6000), PromptSegment("own", 3000)))


def stream(attempt: Attempt) -> FakeResponse:
    return FakeResponse(chunks=(event(0), event(1)), stream=True)


def counted(fleet: Fleet) -> ServiceLoad:
    (row,) = fleet.forwarder.measure_load("dc")
    assert (row.service, row.data_centre) == ("llm", "dc")
    return row


def without_prefillers(fleet: Fleet) -> Fleet:
    listed = tuple(r for r in fleet.listed if r.name != "p0")
    fleet.runners.load(RunnerList(listed, CLOCK.monotonic()))
    return fleet


def test_a_long_prompt_that_is_served_in_time_counts_with_its_own_tokens() -> None:
    fleet = without_prefillers(Fleet([stream]))
    assert fleet.ask("/talk/x", prompt=LONG).ended
    row = counted(fleet)
    assert (row.offered, row.on_time, row.late, row.refused) == (1, 1, 0, 0)
    assert (row.prompt_tokens, row.prefill_tokens) == (3000, 3000)
    assert 0 < row.prefill_seconds < 1
    assert (row.streams, row.long_streams, row.waiting) == (0, 0, 0)


def test_refused_requests_count_by_size() -> None:
    fleet = without_prefillers(Fleet([not_run]))
    assert fleet.ask("/talk/x", prompt=LONG).status == 503
    assert fleet.ask("/talk/x", prompt=SHORT).status == 503
    row = counted(fleet)
    assert (row.offered, row.refused, row.on_time, row.late) == (1, 1, 0, 0)
    assert (row.interactive_offered, row.interactive_missed) == (1, 1)


def test_a_prompt_whose_only_run_breaks_counts_as_late() -> None:
    fleet = without_prefillers(Fleet([broken(sent=True)]))
    assert fleet.ask("/read/x", prompt=LONG).status == 502
    assert (counted(fleet).late, counted(fleet).refused) == (1, 0)


def test_requests_are_open_while_they_run_and_not_after_their_caller_left() -> None:
    """Guards against streams that stay counted and keep idle engines."""
    fleet = without_prefillers(Fleet([stream]))

    async def leave() -> None:
        for prompt in (SHORT, LONG):
            inbound = make_inbound("/talk/x", prompt=prompt)
            task = asyncio.create_task(fleet.forwarder.serve(inbound, Caller()))
            await asyncio.sleep(0)
            row = counted(fleet)
            assert row.streams + row.long_streams == 1
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task

    asyncio.run(leave())
    row = counted(fleet)
    assert (row.offered, row.interactive_offered) == (1, 1)
    assert (row.streams, row.long_streams, row.refused, row.late) == (0, 0, 0, 0)


def test_requests_that_come_again_are_not_counted_twice() -> None:
    """Guards against paying for every retry of refused callers as for a new one."""
    fleet = without_prefillers(Fleet([not_run]))
    for _ in range(10):
        fleet.ask("/talk/x", prompt=LONG, seconds=5.0)
    before = counted(fleet)
    fleet.ask("/talk/x", prompt=LONG, seconds=3.0)
    assert counted(fleet) == before
    assert before.offered == before.refused == 10


def test_plain_services_and_relayed_requests_are_not_counted() -> None:
    fleet = Fleet([ok, stream])
    fleet.ask("/safe/x")
    relayed = replace(make_inbound("/talk/x", prompt=SHORT), relayed_runs=0)
    asyncio.run(fleet.forwarder.serve(relayed, Caller()))
    assert len(fleet.sent) == 2
    assert fleet.forwarder.measure_load("dc") == ()


def test_a_request_without_the_size_of_its_prompt_counts_as_interactive() -> None:
    """Guards against a fleet that is given up under load that nobody counts."""
    fleet = Fleet([not_run])
    fleet.ask("/talk/x")
    row = counted(fleet)
    assert (row.interactive_offered, row.interactive_missed, row.offered) == (1, 1, 0)
