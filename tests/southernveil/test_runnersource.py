import pytest
from southernveil.runnersource import decode_runner

from hawthornshelf.gateway.runners import Runner, Stage

ENTRY = {
    "Service": "huvo11a",
    "Address": "10.128.0.9:8080",
    "Zone": "tt-north-a",
    "Version": "v1",
    "Slots": 128,
    "State": "ready",
    "ColdLeftMs": 0,
    "Stage": "decode",
    "Models": [],
    "Id": "i-7f3a91c2",
}


def test_an_entry_is_decoded_as_a_runner() -> None:
    assert decode_runner(ENTRY) == Runner(
        "i-7f3a91c2",
        "huvo11a",
        "10.128.0.9:8080",
        "tt-north-a",
        128,
        False,
        Stage.DECODE,
    )
    plain = {key: value for key, value in ENTRY.items() if key != "Stage"}
    assert decode_runner(plain).stage is Stage.MIXED
    assert decode_runner({**ENTRY, "State": "draining"}).is_leaving
    assert decode_runner({**ENTRY, "born": 1789256658049}).boot == 1789256658049


@pytest.mark.parametrize(
    "entry",
    [
        None,
        "text",
        [],
        {},
        {**ENTRY, "Id": 7},
        {**ENTRY, "Id": ""},
        {**ENTRY, "Slots": "many"},
        {**ENTRY, "State": "lost"},
        {**ENTRY, "State": ["ready"]},
        {**ENTRY, "Address": None},
        {**ENTRY, "Service": {"a": 1}},
    ],
)
def test_an_entry_of_another_form_is_not_a_runner(entry: object) -> None:
    assert decode_runner(entry) is None
