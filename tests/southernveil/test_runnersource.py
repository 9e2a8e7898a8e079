import asyncio

import aiohttp
import pytest
from aiohttp import web
from southernveil.runnersource import MAX_PAGES, CloudRunnerSource, decode_runner

from hawthornshelf.clock import SystemClock
from hawthornshelf.errors import RequestRefused
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
        build="v1",
    )
    plain = {key: value for key, value in ENTRY.items() if key != "Stage"}
    assert decode_runner(plain).stage is Stage.MIXED
    assert decode_runner({**ENTRY, "State": "draining"}).is_leaving
    assert decode_runner({**ENTRY, "born": 1789256658049}).boot == 1789256658049


def test_spot_engines_and_the_time_until_they_leave_are_decoded() -> None:
    runner = decode_runner({**ENTRY, "Spot": True, "leaves_ms": 2500})
    assert runner.is_spot and runner.leaves_in == 2.5
    plain = decode_runner(ENTRY)
    assert not plain.is_spot and plain.leaves_in is None


@pytest.mark.parametrize("value", [None, "soon", -1, True, 1e30, [1]])
def test_an_odd_time_until_an_engine_leaves_does_not_hide_the_engine(
    value: object,
) -> None:
    runner = decode_runner({**ENTRY, "Spot": value, "leaves_ms": value})
    assert runner.leaves_in is None
    assert runner.is_spot is (value is True)


def test_runners_whose_version_is_not_told_share_no_build() -> None:
    one = decode_runner({**ENTRY, "Version": ""})
    other = decode_runner({**ENTRY, "Version": "", "Id": "i-2"})
    again = decode_runner({**ENTRY, "Version": "", "born": 7})
    assert len({one.build, other.build, again.build, "v1", ""}) == 5


LISTED = ("Id", "Service", "Address", "Zone", "Version", "Slots", "State", "ColdLeftMs")
OTHER_TYPES = (None, True, [], {}, ["v1"], {"a": 1})


@pytest.mark.parametrize("field", LISTED)
def test_an_entry_without_a_listed_field_is_not_a_runner(field: str) -> None:
    """Requests went to the address of such an entry, at whatever service it named."""
    partial = {key: value for key, value in ENTRY.items() if key != field}
    assert decode_runner(partial) is None
    assert decode_runner({**partial, "born": 1789256658049}) is None


@pytest.mark.parametrize("field", (*LISTED, "Stage", "Models", "born"))
def test_an_entry_with_a_field_of_another_type_is_not_a_runner(field: str) -> None:
    swapped = "128" if isinstance(ENTRY.get(field, 0), int) else 128
    for value in (*OTHER_TYPES, swapped, 1e400):
        if field in ("Stage", "Models") and value is None:
            continue
        if field == "Models" and isinstance(value, list):
            continue
        assert decode_runner({**ENTRY, field: value}) is None, value


@pytest.mark.parametrize(
    "fields",
    [
        {"ColdLeftMs": -1},
        {"ColdLeftMs": float("nan")},
        {"Slots": 1.5},
        {"Slots": -1},
        {"Stage": "decoding"},
        {"State": "READY"},
        {"Version": "v1\r\nX-Stage: prefill"},
        {"Address": "10.0.0.256:80"},
        {"Address": "999.0.0.1:80"},
    ],
)
def test_an_entry_with_a_value_that_no_runner_has_is_not_one(
    fields: dict[str, object],
) -> None:
    assert decode_runner({**ENTRY, **fields}) is None


@pytest.mark.parametrize("cold", [0, 1, 2500, 0.5, 10**12])
def test_a_runner_that_is_still_slow_is_one(cold: float) -> None:
    assert decode_runner({**ENTRY, "ColdLeftMs": cold}) is not None


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


def test_a_list_whose_pages_never_end_is_refused_and_not_cut_short() -> None:
    """A part of the list would make runners on later pages look gone."""
    pages = 0

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        nonlocal pages
        pages += 1
        return web.json_response({"Instances": [ENTRY], "Next": f"p-{pages}"})

    async def run() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(web.Server(handle), "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with aiohttp.ClientSession() as session:
            with pytest.raises(RequestRefused):
                await CloudRunnerSource(session, address, SystemClock()).read()
        server.close()

    asyncio.run(run())
    assert pages == MAX_PAGES
