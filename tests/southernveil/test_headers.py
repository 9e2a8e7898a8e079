import pytest
from southernveil.headers import decode_rate_limit


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
