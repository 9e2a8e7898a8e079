"""Serve lists of runners with one odd entry of another writer among sound ones."""

import asyncio
import json
from dataclasses import dataclass
from pathlib import Path

import pytest
from aiohttp import web
from southernveil import listpage
from southernveil.runnerclient import make_session
from southernveil.runnersource import CloudRunnerSource

from hawthornshelf.errors import RequestRefused
from hawthornshelf.gateway.listreader import ListReader
from hawthornshelf.gateway.runners import RunnerList
from tests.gateway.fakes import CLOCK
from tests.southernveil.fakes import FakeRunner, FakeRunnerList
from tests.southernveil.test_path import Fleet, run_scenario

SOUND = [
    {
        "Id": f"i-{number}",
        "Service": "llm",
        "Address": f"10.0.0.{number}:8080",
        "Zone": "z-a",
        "Version": "v1",
        "Slots": 6,
        "State": "ready",
        "ColdLeftMs": 0,
        "Note": 'odd "]}, {[ text \\',
    }
    for number in range(1, 4)
]
MANY_DIGITS = b"9" * 6_000


def change(**fields: bytes) -> bytes:
    """Return a sound entry in which some fields have other values."""
    entry = {**SOUND[0], "Id": "i-odd", "Address": "10.0.0.9:8080"}
    texts = {key: json.dumps(value).encode() for key, value in entry.items()}
    pairs = (b'"%s":%s' % (k.encode(), v) for k, v in {**texts, **fields}.items())
    return b"{" + b",".join(pairs) + b"}"


def nest(levels: int, opening: bytes = b"[", closing: bytes = b"]") -> bytes:
    return opening * levels + closing * levels


ODD_ENTRIES = {
    "nested-1500": change(Models=nest(1_500)),
    "nested-100000": change(Models=nest(100_000)),
    "nested-objects": change(Models=nest(20_000, b'{"a":[', b"]}")),
    "is-nesting": nest(5_000),
    "number-1e400": change(Slots=b"1e400"),
    "number-minus-1e400": change(ColdLeftMs=b"-1e400"),
    "number-1e308": change(Slots=b"1e308"),
    "number-of-6000-digits": change(Slots=MANY_DIGITS),
    "boot-of-6000-digits": change(born=MANY_DIGITS),
    "unused-number-of-6000-digits": change(ColdLeftMs=MANY_DIGITS),
    "slots-of-2-to-70": change(Slots=b"%d" % 2**70),
    "boot-of-2-to-70": change(born=b"%d" % 2**70),
    "boot-negative": change(born=b"-1"),
    "slots-true": change(Slots=b"true"),
    "port-70000": change(Address=b'"10.0.0.9:70000"'),
    "port-negative": change(Address=b'"10.0.0.9:-1"'),
    "port-zero": change(Address=b'"10.0.0.9:0"'),
    "port-of-6000-digits": change(Address=b'"10.0.0.9:%s"' % MANY_DIGITS),
    "no-port": change(Address=b'"10.0.0.9"'),
    "a-name": change(Address=b'"runner.example:80"'),
    "address-with-path": change(Address=b'"10.0.0.9:80/x"'),
    "bytes-that-are-no-utf-8": change(Note=b'"\xff\xfe"'),
    "id-that-is-no-utf-8": change(Id=b'"i-\xff"'),
    "lone-surrogate": change(Note=b'"\\ud800"'),
    "id-with-lone-surrogate": change(Id=b'"i-\\udfff"'),
    "id-with-line-end": change(Id=b'"i-1\\r\\nX-Stage: prefill"'),
    "id-of-100000-letters": change(Id=b'"%s"' % (b"i" * 100_000)),
    "null": b"null",
    "text": b'"entry"',
    "no-json-word": b"oops",
    "no-json-quotes": b"{'Id': 'i-odd'}",
    "no-json-value": b'{"Id": oops, "Slots": }',
    "no-json-colon": b'{"Id" "i-odd"}',
    "not-closed": b'{"Id": "i-odd", "Models": [{"a": 1}',
}


ENTRY_QUOTES = 32
"""Quotes of 9 names and 7 texts."""


def drop_quote(place: int) -> bytes:
    """Return an entry without one of its quotes."""
    entry = change(Note=b'"n"')
    quotes = [at for at, byte in enumerate(entry) if byte == ord('"')]
    at = quotes[place]
    return entry[:at] + entry[at + 1 :]


UNBALANCED = {
    **{f"quote-{place}-missing": drop_quote(place) for place in range(ENTRY_QUOTES)},
    "three-quotes": change(State=b'"""'),
    "a-quote": b'"',
    "a-quote-and-brackets": b'"]}{[',
    "quote-and-no-utf-8": change(State=b'"ready') + b',"\xff"}',
    "no-utf-8-before-a-quote": b'{"Id":"\xe2"i"}',
    "no-utf-8-at-the-end": b'{"Id":"i-odd","Zone":"\xf0\x9f}',
    "escape-at-the-end": b'{"Id":"i-odd\\',
    "escape-at-the-end-of-a-string": b'{"Id":"i-odd\\"}',
    "control-byte": b'{"Id":"i-odd\x00}',
    "line-ends": b'{"Id":"i-odd\n\n,}',
    "opening-brackets": b'{"Id":[[[{{{',
    "closing-brackets": b']]}}"',
    "comma-and-quote": b',",',
    "cut-in-a-list": b'{"Id":"i-odd","Models":[{"Name":"m"},{"Name":"n',
    "quote-behind": change() + b'"',
    "half-an-escape": b'{"Id":"\\u12}',
    "end-of-the-list": b'{"Id":"i-odd"],"Next":null}',
    "end-of-the-list-and-a-quote": b'{"Id":"i-odd],"Next":"p-9"}',
}
PLACES = {"before": (0,), "between": (2,), "behind": (3,), "both sides": (0, 1, 3)}


@dataclass
class RawList(FakeRunnerList):
    """Serve one page with an odd entry between sound ones."""

    odd: bytes = b""
    next_page: bytes = b"null"
    places: tuple[int, ...] = (1,)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        entries = [json.dumps(entry).encode() for entry in self.entries]
        for place in reversed(self.places) if self.odd else ():
            entries.insert(place, self.odd)
        body = b'{"Instances":[%s],"Next":%s}'
        return web.Response(body=body % (b",".join(entries), self.next_page))


def read(
    odd: bytes, next_page: bytes = b"null", places: tuple[int, ...] = (1,)
) -> RunnerList:
    async def main() -> RunnerList:
        server = RawList(
            entries=list(SOUND), odd=odd, next_page=next_page, places=places
        )
        await server.start()
        async with make_session() as session:
            try:
                source = CloudRunnerSource(session, server.address, CLOCK)
                return await source.read()
            finally:
                server.stop()

    return asyncio.run(main())


@pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=list(ODD_ENTRIES))
def test_an_odd_entry_names_no_runner_and_the_others_hold(odd: bytes) -> None:
    names = [runner.name for runner in read(odd).runners]
    assert names == [entry["Id"] for entry in SOUND]


@pytest.mark.parametrize("places", PLACES.values(), ids=list(PLACES))
@pytest.mark.parametrize("odd", UNBALANCED.values(), ids=list(UNBALANCED))
def test_an_entry_with_an_odd_number_of_quotes_hides_no_other(
    odd: bytes, places: tuple[int, ...]
) -> None:
    """Texts were taken for structure behind it, and all runners there were lost."""
    found = read(odd, places=places)
    assert [runner.name for runner in found.runners] == [e["Id"] for e in SOUND]
    assert found.unusable >= 1 or odd[:1] != b"{"


@pytest.mark.parametrize("name", ["quote-3-missing", "opening-brackets", "a-quote"])
def test_an_odd_entry_of_one_page_hides_none_of_another(name: str) -> None:
    class PagedList(RawList):
        async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
            is_first = "PageToken" not in request.query
            found = self.entries[:1] if is_first else self.entries[1:]
            texts = [json.dumps(entry).encode() for entry in found]
            if is_first:
                texts.append(self.odd)
            token = b'"p-2"' if is_first else b"null"
            body = b'{"Instances":[%s],"Next":%s}' % (b",".join(texts), token)
            return web.Response(body=body)

    async def main() -> RunnerList:
        server = PagedList(entries=list(SOUND), odd=UNBALANCED[name])
        await server.start()
        async with make_session() as session:
            try:
                return await CloudRunnerSource(session, server.address, CLOCK).read()
            finally:
                server.stop()

    names = [runner.name for runner in asyncio.run(main()).runners]
    assert names == [entry["Id"] for entry in SOUND]


@pytest.mark.parametrize("name", [*UNBALANCED, "not-closed", "no-json-value"])
def test_thousands_of_odd_entries_cost_no_more_than_their_length(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The work is counted, so that it doesn't depend on the machine."""
    odd = {**ODD_ENTRIES, **UNBALANCED}[name]
    sound = [json.dumps(entry).encode() for entry in SOUND]
    body = b",".join([odd] * 1_500 + sound[:2] + [odd] * 1_500 + sound[2:] + [odd])
    calls: list[int] = []
    scanner = listpage._SCANNER

    class Counter:
        def raw_decode(self, text: str) -> tuple[object, int]:
            calls.append(len(text))
            return scanner.raw_decode(text)

    monkeypatch.setattr(listpage, "_SCANNER", Counter())
    page = listpage.decode_page(b'{"Instances":[%s],"Next":null}' % body)
    names = [entry["Id"] for entry in page.entries if "Address" in entry]
    assert [n for n in names if n != "i-odd"] == [entry["Id"] for entry in SOUND]
    assert sum(calls) <= listpage.MAX_PARTS * len(body)


def test_an_entry_with_many_models_is_read_beside_an_odd_one() -> None:
    models = [{"Name": f"m-{number}", "Version": 1} for number in range(40)]
    sound = json.dumps({**SOUND[0], "Models": models}).encode()
    page = listpage.decode_page(b'{"Instances":[{"a":"b,%s],"Next":null}' % sound)
    assert [entry["Id"] for entry in page.entries] == ["i-1"]


@pytest.mark.parametrize("entries", [b"null", b"7", b'"x"', b'{"Id":"i-1"}'])
def test_a_page_without_a_list_is_not_taken_for_an_empty_one(entries: bytes) -> None:
    with pytest.raises(ValueError):
        listpage.decode_page(b'{"Instances":%s,"Next":null}' % entries)
    with pytest.raises(ValueError):
        listpage.decode_page(b'{"Next":null}')


@pytest.mark.parametrize("next_page", [b"5", b"[]", b'"\xff"', b"oops", MANY_DIGITS])
def test_a_list_whose_next_page_is_not_told_is_not_taken_for_whole(
    next_page: bytes,
) -> None:
    with pytest.raises(RequestRefused):
        read(b"", next_page)


@pytest.mark.parametrize("name", ["nested-100000", "number-of-6000-digits", "null"])
def test_a_list_is_followed_on_after_an_odd_entry(tmp_path: Path, name: str) -> None:
    async def scenario(fleet: Fleet) -> None:
        server = RawList(odd=ODD_ENTRIES[name])
        await server.start()
        source = CloudRunnerSource(fleet.client, server.address, CLOCK)
        fleet.entry.node._list_reader = ListReader(source)
        runner = FakeRunner(name="i-new")
        await runner.start()
        server.entries = [fleet.app.entry()]
        await asyncio.sleep(1.5)
        server.odd, server.entries = b"", [runner.entry()]

        async def is_followed() -> bool:
            return fleet.entry.node.runners.find("i-new") is not None

        await fleet.wait_until(is_followed)
        runner.stop()
        server.stop()

    run_scenario(tmp_path, scenario)


def test_no_request_goes_to_an_address_that_only_an_odd_entry_names(
    tmp_path: Path,
) -> None:
    """Entries without Version or ColdLeftMs were taken for runners."""

    async def scenario(fleet: Fleet) -> None:
        astray = FakeRunner(name="i-astray")
        await astray.start()
        whole = astray.entry()
        kinds: list[dict[str, object]] = []
        for field in whole:
            kinds.append({key: whole[key] for key in whole if key != field})
            kinds.append({**whole, field: None})
        named = {"i-app": fleet.app.entry(), "i-d1": fleet.decoders[0].entry()}
        kinds.extend(
            {**kind, "Id": name}
            for name, entry in named.items()
            for kind in kinds[:]
            if kind.get("Id")
        )
        others = [fleet.prefiller.entry(), fleet.decoders[1].entry()]
        fleet.runner_list.page_size = 7
        fleet.runner_list.entries = [
            *kinds,
            *named.values(),
            *others,
            {**whole, "Id": "i-last"},
        ]

        async def is_followed() -> bool:
            return fleet.entry.node.runners.find("i-last") is not None

        await fleet.wait_until(is_followed)
        fleet.runner_list.entries.pop()

        async def is_gone() -> bool:
            return not await is_followed()

        await fleet.wait_until(is_gone)
        before = len(astray.received)
        for number in range(12):
            assert (await fleet.ask(f"/safe/{number}"))[0] == 200
            assert (await fleet.ask(f"/unsafe/{number}"))[0] == 200
        assert len(astray.received) == before
        runners = fleet.entry.node.runners
        assert {s.runner.name for s in runners.in_service(fleet.app.service)} == {
            "i-app"
        }
        astray.stop()

    run_scenario(tmp_path, scenario)
