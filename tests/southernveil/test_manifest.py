"""Test which manifests are refused."""

import json

import pytest
from southernveil.manifest import ManifestCodec

from hawthornshelf.enginegroups import DataCentrePrice, EngineLimits
from tests.southernveil.fakes import ENGINE_SERVICE, PLAIN_SERVICE, make_manifest

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


def scale(**fields: object) -> bytes:
    """Return a manifest with a service whose engines are ordered."""
    services = [
        {"Name": PLAIN_SERVICE},
        {"Name": ENGINE_SERVICE, "Engine": {"Slots": 8}, "Autoscale": fields},
    ]
    return json.dumps(make_manifest(2, Services=services)).encode()


def test_the_limits_of_a_services_engines_are_decoded() -> None:
    table = ManifestCodec().decode(
        scale(Min=1, Max=8, BootS=5, SpotPrice=0.2, ZonePrices={"z-b": 2, "z-a": 1.5})
    )
    assert table.services[0].scaling is None
    prices = (DataCentrePrice("z-a", 1.5), DataCentrePrice("z-b", 2.0))
    assert table.services[1].scaling == EngineLimits(1, 8, 5.0, 0.2, prices)
    plain = ManifestCodec().decode(scale(Min=0, Max=4)).services[1].scaling
    assert plain == EngineLimits(0, 4, 4.0, 0.15, ())


@pytest.mark.parametrize(
    "fields",
    [
        {"Min": -1, "Max": 2},
        {"Min": 3, "Max": 2},
        {"Min": 0, "Max": 10**9},
        {"Min": 0, "Max": 2, "BootS": 0},
        {"Min": 0, "Max": 2, "BootS": 1e9},
        {"Min": 0, "Max": 2, "SpotPrice": -0.1},
        {"Min": 0, "Max": 2, "ZonePrices": {"z-a": -1}},
        {"Min": 0},
    ],
)
def test_limits_of_engines_that_no_fleet_can_keep_are_refused(
    fields: dict[str, object],
) -> None:
    assert is_refused(scale(**fields))
