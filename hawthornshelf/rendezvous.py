"""Order nodes for a key by rendezvous hashing, alike on every node."""

import hashlib
from collections.abc import Iterable

__all__ = ["order_nodes"]


def order_nodes(key: str, nodes: Iterable[str]) -> list[str]:
    """Return nodes in the order for a key.

    A node that leaves changes the first one only for keys that it was first for.
    """
    return sorted(nodes, key=lambda node: _distance(key, node))


def _distance(key: str, node: str) -> int:
    data = f"{key}/{node}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")
