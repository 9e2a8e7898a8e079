"""Encode and scan log file records framed with a marker, a length and a checksum."""

import struct
import zlib
from typing import NamedTuple

__all__ = ["ScanResult", "frame_record", "scan_records"]

MARKER = b"\xa7HSR"
_HEADER = struct.Struct("<4sII")


class ScanResult(NamedTuple):
    """Represent the valid records at the start of a file and what follows them.

    `valid_bytes` is their length in the file. `corrupt_middle` means that a valid
    record follows an invalid one, which a torn write at the end can't cause.
    """

    records: tuple[bytes, ...]
    valid_bytes: int
    corrupt_middle: bool


def frame_record(payload: bytes) -> bytes:
    """Return a record with the payload after its header."""
    return _HEADER.pack(MARKER, len(payload), zlib.crc32(payload)) + payload


def scan_records(data: bytes) -> ScanResult:
    """Return the records before the first invalid one, and if valid ones follow it."""
    records = []
    offset = 0
    while (payload := _read_record(data, offset)) is not None:
        records.append(payload)
        offset += _HEADER.size + len(payload)
    return ScanResult(tuple(records), offset, _has_record_after(data, offset + 1))


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
