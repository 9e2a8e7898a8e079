import pytest
from hypothesis import given
from hypothesis import strategies as st

from hawthornshelf.gateway.eventstream import EventSplitter
from hawthornshelf.httplimits import MAX_EVENT_BYTES

STREAM = b"id: 1\ndata: a\n\n" + b"id: 2\ndata: b\ndata: c\n\n" + b"data: d\n\n"


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_events_are_whole_however_the_bytes_are_split(cuts: list[int]) -> None:
    splitter = EventSplitter()
    edges = [0, *sorted(cuts), len(STREAM)]
    chunks = [STREAM[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    events = [event for chunk in chunks for event in splitter.feed(chunk)]
    assert b"".join(event.data for event in events) == STREAM
    assert [event.event_id for event in events] == ["1", "2", ""]
    assert splitter.take_remainder() == b""


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@given(data=st.data())
def test_events_with_any_line_end_are_whole_however_they_are_split(
    line_end: bytes, data: st.DataObject
) -> None:
    stream = STREAM.replace(b"\n", line_end)
    cuts = data.draw(st.lists(st.integers(0, len(stream)), max_size=8))
    splitter = EventSplitter()
    edges = [0, *sorted(cuts), len(stream)]
    chunks = [stream[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    events = [event for chunk in chunks for event in splitter.feed(chunk)]
    rest = splitter.take_remainder()
    assert b"".join(event.data for event in events) + rest == stream
    assert [event.event_id for event in events] == ["1", "2", ""]
    assert rest in (b"", b"\n")


def test_a_line_break_of_two_bytes_is_not_an_empty_line() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\r") == []
    assert splitter.feed(b"\ndata: x\r") == []
    assert splitter.feed(b"\n") == []


def test_an_event_with_crlf_line_ends_is_not_whole_one_byte_before_its_end() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\r\ndata: x\r\n\r") == []
    assert splitter.is_inside_event
    (event,) = splitter.feed(b"\n")
    assert event.data == b"id: 1\r\ndata: x\r\n\r\n"
    assert not splitter.is_inside_event and splitter.unfinished_bytes == 0


def test_an_empty_line_of_cr_alone_ends_an_event_once_another_byte_follows() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\r\n\r") == []
    (event,) = splitter.feed(b"id: 2")
    assert event.data == b"id: 1\r\n\r"


def test_an_incomplete_event_stays_in_the_buffer() -> None:
    splitter = EventSplitter()
    assert len(splitter.feed(STREAM[:-3])) == 2
    assert splitter.take_remainder() == b"data: "


def test_carriage_returns_end_events_too() -> None:
    splitter = EventSplitter()
    events = splitter.feed(b"id: 7\r\ndata: x\r\n\r\nid")
    assert [event.event_id for event in events] == ["7"]


def test_an_endless_event_is_refused() -> None:
    with pytest.raises(ValueError, match="too long"):
        EventSplitter().feed(b"x" * (MAX_EVENT_BYTES + 1))
