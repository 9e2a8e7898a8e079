"""Define the bodies that engines, services and the platform exchange with us."""

from typing import NamedTuple

import msgspec

from hawthornshelf.commands import PlaceOrder
from hawthornshelf.events import EngineState, LoadReport, PlatformListed

__all__ = [
    "BOOT_HEADER",
    "NOT_RUN_STATUSES",
    "StreamPiece",
    "encode_order",
    "parse_cache_events",
    "parse_load",
    "parse_piece",
    "parse_platform",
    "parse_engine_state",
]

BOOT_HEADER = "x-engine-boot"
NOT_RUN_STATUSES = frozenset({429, 503})
_DONE = b"[DONE]"
_DATA = b"data:"


class StreamPiece(NamedTuple):
    """Hold one piece of an engine's stream; `last` marks the end mark."""

    offset: int
    text: str
    last: bool = False


class _Choice(msgspec.Struct):
    text: str = ""


class _Frame(msgspec.Struct):
    offset: int
    choices: list[_Choice]


class _Load(msgspec.Struct):
    boot: str
    running: int
    waiting: int
    waiting_tokens: int
    role: str
    age: float


class _CacheEvent(msgspec.Struct):
    number: int
    block: str


class _CacheEvents(msgspec.Struct):
    boot: str
    events: list[_CacheEvent]


class _Reading(msgspec.Struct):
    boot: str
    model: str
    version: str
    adapters: list[str]
    role: str
    changing: bool
    last_order: int


class _Vm(msgspec.Struct):
    name: str
    state: str


class _Vms(msgspec.Struct):
    vms: list[_Vm]


def parse_piece(line: bytes) -> StreamPiece | None:
    """Return the piece in a line of an event stream; raise msgspec.DecodeError."""
    if not line.startswith(_DATA):
        return None
    data = line[len(_DATA) :].strip()
    if data == _DONE:
        return StreamPiece(-1, "", last=True)
    frame = msgspec.json.decode(data, type=_Frame)
    return StreamPiece(frame.offset, "".join(choice.text for choice in frame.choices))


def parse_load(data: bytes) -> LoadReport:
    """Return a load report; raise msgspec.DecodeError."""
    load = msgspec.json.decode(data, type=_Load)
    return LoadReport(
        load.boot,
        load.running,
        load.waiting,
        load.waiting_tokens,
        load.role,
        load.age,
    )


def parse_cache_events(data: bytes, report: LoadReport, after: int) -> LoadReport:
    """Return the report with the cache events; raise msgspec.DecodeError.

    Events of another boot than the report's are left out.
    """
    found = msgspec.json.decode(data, type=_CacheEvents)
    if found.boot != report.boot:
        return report
    last = max((event.number for event in found.events), default=after)
    cached = tuple(event.block for event in found.events)
    return report._replace(cached=cached, last_event=last)


def parse_engine_state(data: bytes) -> EngineState:
    """Return an engine's own state; raise msgspec.DecodeError."""
    reading = msgspec.json.decode(data, type=_Reading)
    return EngineState(
        reading.boot,
        reading.model,
        reading.version,
        tuple(reading.adapters),
        reading.role,
        reading.changing,
        reading.last_order,
    )


def parse_platform(data: bytes) -> PlatformListed:
    """Return the platform's list of VMs; raise msgspec.DecodeError."""
    vms = msgspec.json.decode(data, type=_Vms).vms
    live = frozenset(vm.name for vm in vms if vm.state == "live")
    leaving = frozenset(vm.name for vm in vms if vm.state == "leaving")
    return PlatformListed(live, leaving)


def encode_order(order: int, fence: int, command: PlaceOrder) -> bytes:
    """Return the body of an order."""
    body = {
        "order": order,
        "fence": fence,
        "model": command.model,
        "version": command.version,
        "adapters": list(command.adapters),
        "role": command.role,
    }
    return msgspec.json.encode(body)
