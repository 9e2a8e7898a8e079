import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hawthornshelf.commands import OpenClaim, OrderFleet, ProposeConfiguration
from hawthornshelf.errors import MalformedMessage
from hawthornshelf.log import EntryKind, LogEntry, Member, Membership, Snapshot
from hawthornshelf.messages import (
    CODEC,
    MemberRow,
    MemberStatus,
    Ping,
    UsageCounts,
    ViewUpdate,
)
from hawthornshelf.raftmessages import Append, InstallSnapshot
from hawthornshelf.serviceloads import ServiceLoad
from hawthornshelf.state import SharedView
from hawthornshelf.wire import Envelope
from tests.chaos import configuration_of, make_simulation

ROW = MemberRow("a", 3, MemberStatus.ALIVE, "p:1", "c:1", "dc", True, False)
MESSAGES = (
    Append("a", "b", 2, 1, 1, (LogEntry(2, 2, EntryKind.COMMAND, b"x"),), 1, 0.5),
    InstallSnapshot(
        "a", "b", 2, Snapshot(1, 1, Membership((Member("a", "n", True),))), 0
    ),
    Ping(1, "", 7, 0.5, (ROW,)),
    ViewUpdate(SharedView(4, 2, configuration_of(make_simulation(0)))),
    ProposeConfiguration("id", 1, "op", configuration_of(make_simulation(0))),
    OpenClaim("w", "k", "d", "a"),
    OrderFleet("s", "dc", True, 4, "load"),
    UsageCounts("e", "i", 5.0, (), loads=(ServiceLoad("s", "dc", 7),), loads_at=2.5),
)


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_a_message_round_trips(message: object) -> None:
    assert CODEC.decode(CODEC.encode(message)) == message


def test_an_envelope_round_trips() -> None:
    envelope = Envelope("main", "a", "127.0.0.1:1", MESSAGES)
    assert CODEC.unpack(CODEC.pack(envelope), "peer") == envelope


@settings(derandomize=True, max_examples=300, database=None)
@given(st.binary(max_size=200))
def test_random_bytes_are_refused_with_the_peer_address(data: bytes) -> None:
    with pytest.raises(MalformedMessage) as caught:
        CODEC.unpack(data, "10.0.0.9:1")
    assert caught.value.peer == "10.0.0.9:1"


@settings(derandomize=True, max_examples=300, database=None)
@given(st.integers(0, 10_000), st.integers(0, 255))
def test_a_changed_byte_raises_at_most_malformed_message(
    place: int, value: int
) -> None:
    data = bytearray(CODEC.pack(Envelope("main", "a", "127.0.0.1:1", MESSAGES)))
    data[place % len(data)] = value
    with contextlib.suppress(MalformedMessage):
        CODEC.unpack(bytes(data), "peer")


@pytest.mark.parametrize("kind", ["Unknown", "__class__", ""])
def test_an_unknown_kind_is_refused(kind: str) -> None:
    import msgspec

    with pytest.raises(MalformedMessage):
        CODEC.decode(msgspec.msgpack.encode((kind, {})))
