"""Encode and decode the messages between processes as tagged msgpack."""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from hawthornshelf.errors import MalformedMessage

__all__ = ["MAX_MESSAGE_BYTES", "Codec", "Envelope"]

MAX_MESSAGE_BYTES = 64 * 1024 * 1024


class Envelope(NamedTuple):
    """Represent a batch of messages from a node, and the address for replies."""

    group: str
    sender: str
    address: str
    messages: tuple[Any, ...]


class _TaggedMessage(NamedTuple):
    kind: str
    body: msgspec.Raw


class _EncodedEnvelope(NamedTuple):
    group: str
    sender: str
    address: str
    messages: tuple[_TaggedMessage, ...]


class Codec:
    """Encode and decode registered dataclasses, tagged with their class name."""

    def __init__(self, types: Iterable[type]) -> None:
        self._decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {
            kind.__name__: msgspec.msgpack.Decoder(kind) for kind in types
        }
        self._encoder = msgspec.msgpack.Encoder()
        self._message_decoder = msgspec.msgpack.Decoder(_TaggedMessage)
        self._envelope_decoder = msgspec.msgpack.Decoder(_EncodedEnvelope)

    def encode(self, message: Any) -> bytes:
        """Return a message as bytes."""
        return self._encoder.encode((type(message).__name__, message))

    def decode(self, data: bytes, peer: str = "local") -> Any:
        """Return the decoded message; raise MalformedMessage if it is invalid."""
        try:
            return self._decode_tagged(self._message_decoder.decode(data))
        except (msgspec.DecodeError, KeyError) as error:
            raise MalformedMessage("decode message", peer, str(error)) from error

    def pack(self, envelope: Envelope) -> bytes:
        """Return an envelope as bytes."""
        tagged = [(type(item).__name__, item) for item in envelope.messages]
        return self._encoder.encode(
            (envelope.group, envelope.sender, envelope.address, tagged)
        )

    def unpack(self, data: bytes, peer: str) -> Envelope:
        """Return the decoded envelope; raise MalformedMessage if it is invalid."""
        try:
            packed = self._envelope_decoder.decode(data)
            messages = tuple(self._decode_tagged(item) for item in packed.messages)
        except (msgspec.DecodeError, KeyError) as error:
            raise MalformedMessage("decode envelope", peer, str(error)) from error
        return Envelope(packed.group, packed.sender, packed.address, messages)

    def _decode_tagged(self, tagged: _TaggedMessage) -> Any:
        return self._decoders[tagged.kind].decode(tagged.body)
