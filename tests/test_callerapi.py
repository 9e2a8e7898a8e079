import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hawthornshelf.callerapi import (
    MAX_PROMPT_CHARACTERS,
    build_problem,
    parse_completion,
    parse_service_call,
    split_blocks,
)
from hawthornshelf.effects import Outcome, Refuse
from hawthornshelf.errors import RequestRefused

GOOD = {"model": "chat", "prompt": "hello", "max_tokens": 4}


def parse(body: object, headers: dict[str, str] | None = None):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return parse_completion("r1", headers or {}, data)


def test_a_completion_is_parsed() -> None:
    headers = {
        "x-workspace": "w",
        "x-work": "urgent",
        "priority": "u=1, i",
        "x-deadline-seconds": "2.5",
    }
    event = parse(GOOD, headers).event
    assert (event.workspace, event.work, event.urgency) == ("w", "urgent", 1)
    assert (event.target, event.max_tokens, event.deadline) == ("chat", 4, 2.5)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"\xff\xfe",
        {"model": "chat"},
        {**GOOD, "prompt": 3},
        {**GOOD, "max_tokens": 0},
        {**GOOD, "max_tokens": 10**9},
        {**GOOD, "max_tokens": "many"},
    ],
)
def test_an_invalid_body_is_refused_as_not_run(body: object) -> None:
    with pytest.raises(RequestRefused) as caught:
        parse(body)
    assert caught.value.status == 400


def test_an_oversized_prompt_is_refused() -> None:
    with pytest.raises(RequestRefused) as caught:
        parse({**GOOD, "prompt": "x" * (MAX_PROMPT_CHARACTERS + 1)})
    assert caught.value.status == 413


@pytest.mark.parametrize("value", ["soon", "-1", "0", "1e9", "nan"])
def test_an_invalid_deadline_is_refused(value: str) -> None:
    with pytest.raises(RequestRefused):
        parse(GOOD, {"x-deadline-seconds": value})


def test_an_oversized_header_is_refused() -> None:
    with pytest.raises(RequestRefused) as caught:
        parse(GOOD, {"x-workspace": "w" * 1000})
    assert caught.value.status == 431


@settings(derandomize=True, max_examples=300, database=None)
@given(st.binary(max_size=300), st.dictionaries(st.text(max_size=20), st.text()))
def test_any_body_is_parsed_or_refused(data: bytes, headers: dict[str, str]) -> None:
    try:
        parse(data, headers)
    except RequestRefused as error:
        assert 400 <= error.status < 500


def test_different_calls_have_different_digests() -> None:
    def digest(method: str, path: str, query: str, body: bytes) -> str:
        call = parse_service_call("r", "app", method, path, query, {}, body)
        return call.event.digest

    calls = {
        digest("POST", "/b", "", b"x"),
        digest("POST", "/b", "", b"y"),
        digest("POST", "/b", "q=1", b"x"),
        digest("PUT", "/b", "", b"x"),
    }
    assert len(calls) == 4


def test_a_block_digest_covers_the_blocks_before_it() -> None:
    first = split_blocks("a" * 128 + "b" * 64)
    second = split_blocks("a" * 128 + "c" * 64)
    assert first[:2] == second[:2]
    assert first[2] != second[2]


def test_a_problem_names_the_outcome_and_other_addresses() -> None:
    refusal = Refuse("r", 503, Outcome.NOT_RUN, "leaving", 1.0)
    body = json.loads(build_problem(refusal, ["127.0.0.1:2"]))
    assert body["outcome"] == "not-run"
    assert body["addresses"] == ["127.0.0.1:2"]
