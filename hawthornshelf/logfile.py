"""Frame the records of the log file with a marker, a length and a checksum."""

import struct
import zlib
from typing import NamedTuple

__all__ = ["Scan", "frame_record", "scan_records"]

MARKER = b"\xa7HSR"
_HEADER = struct.Struct("<4sII")


class Scan(NamedTuple):
    """Hold the whole records of a file, and what follows them."""

    records: tuple[bytes, ...]
    good_bytes: int
    corrupt_middle: bool


def frame_record(payload: bytes) -> bytes:
    """Return the payload with its header."""
    return _HEADER.pack(MARKER, len(payload), zlib.crc32(payload)) + payload


def scan_records(data: bytes) -> Scan:
    """Return the records up to the first bad one and say if whole ones follow it."""
    records = []
    offset = 0
    while (payload := _read_record(data, offset)) is not None:
        records.append(payload)
        offset += _HEADER.size + len(payload)
    return Scan(tuple(records), offset, _has_record_after(data, offset + 1))


def _read_record(data: bytes, offset: int) -> bytes | None:
    start = offset + _HEADER.size
    if start > len(data):
        return None
    marker, length, checksum = _HEADER.unpack_from(data, offset)
    payload = data[start : start + length]
    if marker != MARKER or len(payload) != length or zlib.crc32(payload) != checksum:
        return None
    return payload


def _has_record_after(data: bytes, offset: int) -> bool:
    while (offset := data.find(MARKER, offset)) >= 0:
        if _read_record(data, offset) is not None:
            return True
        offset += 1
    return False
