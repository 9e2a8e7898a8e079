"""Encode and decode the messages between processes as tagged msgpack."""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from hawthornshelf.errors import MalformedMessage

__all__ = ["MAX_MESSAGE_BYTES", "Codec", "Envelope"]

MAX_MESSAGE_BYTES = 64 * 1024 * 1024


class Envelope(NamedTuple):
    """Hold the messages that one node sends another, and where answers go."""

    group: str
    sender: str
    address: str
    messages: tuple[Any, ...]


class _Tagged(NamedTuple):
    kind: str
    body: msgspec.Raw


class _Packed(NamedTuple):
    group: str
    sender: str
    address: str
    messages: tuple[_Tagged, ...]


class Codec:
    """Translate between registered dataclasses and bytes."""

    def __init__(self, types: Iterable[type]) -> None:
        self._decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {
            kind.__name__: msgspec.msgpack.Decoder(kind) for kind in types
        }
        self._encoder = msgspec.msgpack.Encoder()
        self._tagged = msgspec.msgpack.Decoder(_Tagged)
        self._packed = msgspec.msgpack.Decoder(_Packed)

    def encode(self, message: Any) -> bytes:
        """Return the bytes of one message."""
        return self._encoder.encode((type(message).__name__, message))

    def decode(self, data: bytes, peer: str = "local") -> Any:
        """Return the message in the bytes; raise MalformedMessage."""
        try:
            return self._open(self._tagged.decode(data))
        except (msgspec.DecodeError, KeyError) as error:
            raise MalformedMessage("decode message", peer, str(error)) from error

    def pack(self, envelope: Envelope) -> bytes:
        """Return the bytes of an envelope."""
        tagged = [(type(item).__name__, item) for item in envelope.messages]
        return self._encoder.encode(
            (envelope.group, envelope.sender, envelope.address, tagged)
        )

    def unpack(self, data: bytes, peer: str) -> Envelope:
        """Return the envelope in the bytes; raise MalformedMessage."""
        try:
            packed = self._packed.decode(data)
            messages = tuple(self._open(item) for item in packed.messages)
        except (msgspec.DecodeError, KeyError) as error:
            raise MalformedMessage("decode envelope", peer, str(error)) from error
        return Envelope(packed.group, packed.sender, packed.address, messages)

    def _open(self, tagged: _Tagged) -> Any:
        return self._decoders[tagged.kind].decode(tagged.body)
