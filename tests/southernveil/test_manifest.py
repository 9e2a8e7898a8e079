"""Test which manifests are refused."""

import json

import pytest
from southernveil.manifest import ManifestCodec

from tests.southernveil.fakes import PLAIN_SERVICE, make_manifest

WHOLE = json.dumps(make_manifest(2)).encode()
DEEP_LEVELS = (1_500, 100_000)


def change_route(**changes: object) -> bytes:
    routes = make_manifest()["Routes"]
    assert isinstance(routes, list)
    manifest = make_manifest(2, Routes=[{**routes[0], **changes}, *routes[1:]])
    return json.dumps(manifest).encode()


def add_field(value: bytes) -> bytes:
    """Return a manifest with a field that only later versions know."""
    return WHOLE[:-1] + b',"Later":' + value + b"}"


def is_refused(body: bytes) -> bool:
    try:
        ManifestCodec().decode(body)
    except ExceptionGroup:
        return True
    return False


@pytest.mark.parametrize("weight", [0, 1, 90])
def test_an_unknown_service_is_refused_beside_splits_to_known_ones(weight: int) -> None:
    splits = [{"Service": PLAIN_SERVICE, "Weight": 1}]
    assert is_refused(change_route(Service="unknown", TrafficSplit=splits))
    unknown = {"Service": "unknown", "Weight": weight}
    assert is_refused(change_route(TrafficSplit=[*splits, unknown]))
    assert not is_refused(change_route(TrafficSplit=splits))


@pytest.mark.parametrize(
    "value", [b'"\xff"', b'"\xed\xa0\x80"', b'{"\xc3":1}'], ids=repr
)
def test_a_manifest_that_is_no_utf_8_is_refused_in_fields_not_used(
    value: bytes,
) -> None:
    assert is_refused(add_field(value))


@pytest.mark.parametrize("levels", DEEP_LEVELS)
def test_a_manifest_nested_too_deeply_is_refused_and_not_an_error(levels: int) -> None:
    assert is_refused(add_field(b"[" * levels + b"]" * levels))
    assert is_refused(add_field(b'{"a":' * levels + b"1" + b"}" * levels))


@pytest.mark.parametrize("version", [2**63, 2**70, 10**40])
def test_a_version_that_nodes_can_not_store_is_refused(version: int) -> None:
    assert is_refused(json.dumps(make_manifest(version)).encode())
    assert not is_refused(json.dumps(make_manifest(2**63 - 1)).encode())


@pytest.mark.parametrize("size", [1, len(WHOLE) // 2, len(WHOLE) - 1])
def test_a_manifest_cut_short_is_refused(size: int) -> None:
    assert is_refused(WHOLE[:size])
    assert not is_refused(WHOLE)
