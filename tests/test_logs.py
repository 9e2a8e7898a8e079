import shlex

from hypothesis import given
from hypothesis import strategies as st

from hawthornshelf.logs import format_line


def line(**fields: object) -> str:
    base = {"timestamp": 0.0, "message_type": "tested", "task_uuid": "u"}
    return format_line({**base, **fields})


def test_one_line_with_time_level_and_event_first() -> None:
    wanted = "time=1970-01-01T00:00:00.000+00:00 level=info event=tested peer=a:1"
    assert line(peer="a:1") == wanted


def test_spaces_quotes_and_newlines_are_quoted() -> None:
    assert line(reason='say "no"\nnow').endswith(r'reason="say \"no\"\nnow"')


@given(st.text())
def test_any_value_stays_on_one_line_and_is_one_field(value: str) -> None:
    text = line(reason=value)
    assert len(text.splitlines()) == 1 or not text.isprintable()
    assert "\n" not in text
    assert text.count(" reason=") >= 1


def test_plain_lines_split_as_a_shell_would() -> None:
    parts = shlex.split(line(step="read", reason="a b"))
    assert parts[-1] == "reason=a b"
