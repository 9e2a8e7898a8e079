"""Let runners and nodes send events that the caller has, or that go back."""

import pytest

from tests.gateway.fakes import Caller, FakeResponse, Fleet, Reply, event
from tests.gateway.test_repeated_runs import (
    SHORT,
    PeerReply,
    Peers,
    break_off,
    make_fleet,
    run_whole,
)


def send(*ids: str, breaks: bool = False) -> Reply:
    """Reply with events of the given ids, one in each chunk."""
    chunks = tuple(f"id: {i}\ndata: {i}\n\n".encode() for i in ids)
    return lambda attempt: FakeResponse(chunks=chunks, breaks=breaks, stream=True)


def ask(fleet: Fleet, path: str, resume_after: str = "") -> tuple[Caller, list[str]]:
    """Ask for a stream; return the caller and the ids of the events that it got."""
    caller = fleet.ask(path, prompt=SHORT, resume_after=resume_after)
    lines = caller.data.decode().split("\n")
    return caller, [line[4:] for line in lines if line.startswith("id: ")]


@pytest.mark.parametrize("path", ["/talk/x", "/read/x"], ids=["resumed", "from-copy"])
@pytest.mark.parametrize("again", [("1", "2", "3"), ("2", "3")])
def test_a_stream_that_goes_on_with_an_event_that_the_caller_has_is_cut(
    path: str, again: tuple[str, ...]
) -> None:
    fleet = Fleet([send("1", "2", breaks=True), send(*again)])
    caller, ids = ask(fleet, path)
    assert ids == ["1", "2"] and caller.aborted and len(fleet.sent) == 2


def test_a_resumable_stream_that_goes_back_goes_on_at_another_runner() -> None:
    fleet = Fleet([send("1", "2", "2", "3"), send("3", "4")])
    caller, ids = ask(fleet, "/talk/x")
    assert ids == ["1", "2", "3", "4"] and caller.ended
    assert fleet.sent[1].resume_after == "2"


def test_a_stream_that_goes_back_and_may_run_once_goes_on_from_no_copy() -> None:
    """The copy is that of the run that came again, not of the one that came before."""
    fleet = Fleet([send("1", "2", "2", "3"), send("3", "4")])
    caller, ids = ask(fleet, "/read/x")
    assert ids == ["1", "2"] and caller.aborted and len(fleet.sent) == 1


def test_events_of_a_chunk_before_one_that_goes_back_are_passed_on() -> None:
    chunk = event(1) + event(2) + event(1)
    fleet = Fleet([lambda a: FakeResponse(chunks=(chunk,), stream=True), send("3")])
    caller, ids = ask(fleet, "/talk/x")
    assert ids == ["1", "2", "3"] and caller.ended


@pytest.mark.parametrize("first", ["4", "5"])
def test_an_event_that_the_caller_says_it_has_begins_no_response(first: str) -> None:
    fleet = Fleet([send(first, "6"), send("6", "7")])
    caller, ids = ask(fleet, "/talk/x", resume_after="5")
    assert ids == ["6", "7"] and caller.ended


def test_a_new_run_of_a_stream_that_is_never_resumed_comes_whole() -> None:
    """Its runner sends every event, whatever event id the caller names."""
    caller, ids = ask(Fleet([send("1", "2")]), "/read/x", resume_after="5")
    assert ids == ["1", "2"] and caller.ended


@pytest.mark.parametrize("again", [run_whole, break_off])
def test_a_node_that_sends_events_again_over_the_hop_is_not_passed_on(
    again: PeerReply,
) -> None:
    caller, ids = ask(make_fleet(Peers(break_off, again, again)), "/talk/x")
    assert ids == ["1", "2"] and caller.aborted


@pytest.mark.parametrize(
    "ids",
    [
        ("1", "5", "9", "10", "100"),
        ("0", "1"),
        ("", "", ""),
        ("a", "a", "-1", "-1"),
        ("2", "", "3"),
        ("9" * 5000, "9" * 5000),
    ],
    ids=["gaps", "zero", "none", "no-numbers", "some", "too-long"],
)
def test_events_in_order_or_without_numbers_are_passed_on(ids: tuple[str, ...]) -> None:
    caller, received = ask(Fleet([send(*ids)]), "/read/x")
    assert received == list(ids) and caller.ended


def test_a_number_counts_also_behind_an_id_that_is_none() -> None:
    fleet = Fleet([send("2", "a", breaks=True), send("2", "3")])
    caller, ids = ask(fleet, "/talk/x")
    assert ids == ["2", "a"] and caller.aborted
