"""Identify requests with the same content, and what different ones share."""

import hashlib
import re

from hawthornshelf.crashrecords import PART_DIGEST_BYTES
from hawthornshelf.gateway.exchange import InboundRequest, Prompt

__all__ = ["DIGEST_BYTES", "digest_parts", "digest_request", "digest_resource"]

DIGEST_BYTES = 16
MAX_PARTS = 64
"""Parts of one prompt that are told apart; a caller may name any number."""

_ESCAPE = re.compile("%([0-9A-Fa-f]{2})")
_UNRESERVED = frozenset(
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~"
)


def digest_request(inbound: InboundRequest) -> bytes:
    """Return a digest of a request's method, host, target, caller and body.

    A retry of the caller has the same digest under another request id, also where it
    resumes a stream. The hash is cryptographic, so that no caller can construct a
    request with the digest of another one.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (inbound.method, inbound.host, inbound.target, inbound.caller):
        digest.update(_encode_field(text))
    digest.update(inbound.body)
    return digest.digest()


def digest_resource(inbound: InboundRequest) -> bytes:
    """Return a digest of a request's path, caller and body.

    Requests with one resource may differ in their method, host and query.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES, person=b"resource")
    for text in (_normalize_escapes(inbound.path), inbound.caller):
        digest.update(_encode_field(text))
    digest.update(inbound.body)
    return digest.digest()


def digest_parts(prompt: Prompt | None) -> tuple[bytes, ...]:
    """Return digests of the parts of a prompt that other requests may share.

    A part belongs to its model: what it does to one says nothing about another.
    """
    if prompt is None:
        return ()
    model = _encode_field(prompt.model)
    parts = dict.fromkeys(prompt.shared_digests()[:MAX_PARTS])
    return tuple(
        hashlib.blake2b(
            model + _encode_field(p), digest_size=PART_DIGEST_BYTES
        ).digest()
        for p in parts
    )


def _normalize_escapes(text: str) -> str:
    """Return part of a URL with each character in one spelling (RFC 3986, 6.2.2)."""
    return _ESCAPE.sub(_normalize_escape, text)


def _normalize_escape(match: re.Match[str]) -> str:
    character = chr(int(match[1], 16))
    return character if character in _UNRESERVED else match[0].upper()


def _encode_field(text: str) -> bytes:
    field = text.encode("utf-8", "surrogateescape")
    return len(field).to_bytes(8, "big") + field
