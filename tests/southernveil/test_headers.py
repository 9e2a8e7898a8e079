import pytest
from southernveil.headers import (
    decode_key,
    decode_origin,
    decode_rate_limit,
    encode_origin,
)

from hawthornshelf.origins import Origin


@pytest.mark.parametrize(
    ("values", "rate"),
    [
        ([], None),
        (["3.5"], 3.5),
        ([" 0 "], 0.0),
        (["0.25"], 0.25),
        ([".5"], 0.5),
        (["7."], 7.0),
        (["1000000000000"], 1e12),
        (["3", "2"], 2.0),
    ],
)
def test_a_decimal_number_is_a_rate(values: list[str], rate: float | None) -> None:
    assert decode_rate_limit(values) == rate


@pytest.mark.parametrize(
    "text", ["", "-1", "+1", "1e3", "nan", "inf", "3,5", "1 2", "٣", ".", "9" * 40]
)
def test_anything_else_is_no_rate(text: str) -> None:
    with pytest.raises(ValueError, match="decimal"):
        decode_rate_limit([text])


@pytest.mark.parametrize("build", ["v1.1", "", "a/b", "?i-1/7", "ü\r\n", "%2F"])
def test_what_began_a_stream_comes_unchanged_over_the_hop(build: str) -> None:
    origin = Origin("llm/x", build)
    text = encode_origin(origin)
    assert text.isascii() and text.isprintable()
    assert decode_origin(text) == origin
    assert decode_origin("") is decode_origin("v1") is None


@pytest.mark.parametrize(
    ("credential", "key"),
    [
        ("Bearer k", "k"),
        ("bEARER   k", "k"),
        ("Bearer k l", "k l"),
        ("Bearer Bearer k", "Bearer k"),
        ("", ""),
        ("Bearer", ""),
        ("Bearer ", ""),
        ("Bearer\tk", ""),
        (" Bearer k", ""),
        ("Basic k", ""),
        ("k", ""),
    ],
)
def test_a_key_is_what_follows_the_scheme_bearer(credential: str, key: str) -> None:
    assert decode_key(credential) == key
