"""Define the request and response bodies of the operators' API."""

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
    """List the addresses for a caller, valid for `max_age` seconds."""

    addresses: list[str]
    max_age: float


class ReplicaAnswer(msgspec.Struct):
    """Report whether a change of replicas was accepted, or why not."""

    accepted: bool
    reason: str


class UpstreamName(msgspec.Struct):
    """Name the upstream to drain or release."""

    upstream: str


class NodeName(msgspec.Struct):
    """Name the entry node to remove."""

    node: str


class ReplicaNode(msgspec.Struct):
    """Name the node whose control replica to admit or remove."""

    node: str
    admit: bool
