"""Define the bodies that operators' commands and nodes exchange."""

import msgspec

__all__ = [
    "TOKEN_HEADER",
    "AddressAnswer",
    "NodeName",
    "ReplicaAnswer",
    "ReplicaNode",
    "UpstreamName",
]

TOKEN_HEADER = "x-operator-token"


class AddressAnswer(msgspec.Struct):
    """Hold the addresses for a caller; `max_age` is in seconds."""

    addresses: list[str]
    max_age: float


class ReplicaAnswer(msgspec.Struct):
    """Hold the outcome of a change of replicas."""

    accepted: bool
    reason: str


class UpstreamName(msgspec.Struct):
    """Name the upstream to drain or release."""

    upstream: str


class NodeName(msgspec.Struct):
    """Name the node to strike off."""

    node: str


class ReplicaNode(msgspec.Struct):
    """Name the node whose replica is to be admitted or removed."""

    node: str
    admit: bool
