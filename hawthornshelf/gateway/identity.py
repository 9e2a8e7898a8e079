"""Identify requests with the same content, whatever their request ids are."""

import hashlib

from hawthornshelf.gateway.exchange import InboundRequest

__all__ = ["DIGEST_BYTES", "digest_request"]

DIGEST_BYTES = 16


def digest_request(inbound: InboundRequest) -> bytes:
    """Return a digest of a request's method, host, target, caller and body.

    A retry of the caller has the same digest under another request id, also where it
    resumes a stream. The hash is cryptographic, so that no caller can construct a
    request with the digest of another one.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (inbound.method, inbound.host, inbound.target, inbound.caller):
        field = text.encode("utf-8", "surrogateescape")
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    digest.update(inbound.body)
    return digest.digest()
