"""Identify requests with the same content, and what different ones share."""

import hashlib
import re
from typing import NamedTuple

from hawthornshelf.crashrecords import (
    CONTENT_DIGEST_BYTES,
    PART_DIGEST_BYTES,
    RESOURCE_DIGEST_BYTES,
)
from hawthornshelf.gateway.exchange import InboundRequest, Prompt

__all__ = ["RequestDigests", "digest_parts", "digest_request"]

MAX_PARTS = 64
"""Parts of one prompt that are told apart; a caller may name any number."""

MAX_PARAMETERS = 16
"""Parameters of one query that are told apart."""

_ESCAPE = re.compile("%([0-9A-Fa-f]{2})")
_UNRESERVED = frozenset(
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~"
)


class RequestDigests(NamedTuple):
    """Store the digests under which a request may be to blame for a crash.

    Requests of one `content` are the same, those of one `resource` have the same path,
    caller and body. `target` is the resource with all of the query, `parameters` are
    the resource with one parameter of it each.
    """

    content: bytes
    resource: bytes
    target: bytes
    parameters: tuple[bytes, ...] = ()

    @property
    def shared(self) -> tuple[bytes, ...]:
        """Return the digests that requests with other contents may have as well."""
        return tuple(dict.fromkeys((self.resource, self.target, *self.parameters)))


def digest_request(inbound: InboundRequest) -> RequestDigests:
    """Return the digests of a request.

    A retry of the caller has the same content under another request id, also where it
    resumes a stream, spells an escape in another way or orders its query differently.
    The hash is cryptographic, so that no caller can construct a request with the
    digest of another one.
    """
    body = hashlib.blake2b(inbound.body, digest_size=CONTENT_DIGEST_BYTES).digest()
    key = _encode_field(_normalize_escapes(inbound.path))
    key += _encode_field(inbound.caller) + body
    query = sorted(_split_query(inbound))
    fields = (inbound.method, inbound.host, *query)
    content = key + b"".join(map(_encode_field, fields))
    return RequestDigests(
        _digest(content, CONTENT_DIGEST_BYTES),
        _digest(key, RESOURCE_DIGEST_BYTES),
        _digest(key + _encode_query(query), RESOURCE_DIGEST_BYTES),
        tuple(
            _digest(key + _encode_field(parameter), RESOURCE_DIGEST_BYTES)
            for parameter in dict.fromkeys(query[:MAX_PARAMETERS])
        ),
    )


def digest_parts(prompt: Prompt | None) -> tuple[bytes, ...]:
    """Return digests of the parts of a prompt that other requests may share.

    Each part has one for all models and one for the model that the request names, if
    any: what a part does to one model need not hold for another.
    """
    if prompt is None:
        return ()
    parts = dict.fromkeys(prompt.shared_digests()[:MAX_PARTS])
    keys = [_encode_field(part) for part in parts]
    if prompt.model:
        keys.extend([key + _encode_field(prompt.model) for key in keys])
    return tuple(_digest(key, PART_DIGEST_BYTES) for key in keys)


def _split_query(inbound: InboundRequest) -> list[str]:
    """Return the parameters of a request's query."""
    query = _normalize_escapes(inbound.target.partition("?")[2])
    return [parameter for parameter in query.split("&") if parameter]


def _encode_query(query: list[str]) -> bytes:
    """Return the bytes of a query, which are some even without parameters."""
    return b"".join(map(_encode_field, query or [""]))


def _normalize_escapes(text: str) -> str:
    """Return part of a URL with each character in one spelling (RFC 3986, 6.2.2)."""
    return _ESCAPE.sub(_normalize_escape, text)


def _normalize_escape(match: re.Match[str]) -> str:
    character = chr(int(match[1], 16))
    return character if character in _UNRESERVED else match[0].upper()


def _digest(data: bytes, size: int) -> bytes:
    return hashlib.blake2b(data, digest_size=size).digest()


def _encode_field(text: str) -> bytes:
    field = text.encode("utf-8", "surrogateescape")
    return len(field).to_bytes(8, "big") + field
