import os
import shlex

from hypothesis import given
from hypothesis import strategies as st

from hawthornshelf.logs import BoundedStream, format_line


def line(**fields: object) -> str:
    base = {"timestamp": 0.0, "message_type": "tested", "task_uuid": "u"}
    return format_line({**base, **fields})


def test_one_line_with_time_level_and_event_first() -> None:
    expected = "time=1970-01-01T00:00:00.000+00:00 level=info event=tested peer=a:1"
    assert line(peer="a:1") == expected


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


class Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def drain(file: int) -> bytes:
    os.set_blocking(file, False)
    data = b""
    try:
        while chunk := os.read(file, 65536):
            data += chunk
    except BlockingIOError:
        pass
    return data


def test_a_full_pipe_does_not_block_and_dropped_lines_are_counted() -> None:
    reader, writer = os.pipe()
    clock = Clock()
    stream = BoundedStream(writer, clock)
    sent = 0
    for second in range(40):
        clock.now = float(second)
        for _ in range(BoundedStream.MAX_LINES_PER_SECOND):
            stream.write(f"line={sent} {'x' * 200}\n")
            sent += 1
    data = drain(reader)
    for _ in range(20):
        stream.flush()
        data += drain(reader)
    clock.now = 100.0
    stream.write("line=last\n")
    data += drain(reader)
    lines = data.decode().splitlines()
    written = [line for line in lines if line.startswith("line=")]
    dropped = [line for line in lines if "lines-left-out" in line]
    counted = sum(int(line.rpartition("=")[2]) for line in dropped)
    assert lines[-1] == "line=last"
    assert len(written) + counted == sent + 1
    assert all(line.endswith("x" * 200) for line in written[:-1])


def test_lines_above_the_rate_limit_are_dropped_and_counted() -> None:
    reader, writer = os.pipe()
    clock = Clock()
    stream = BoundedStream(writer, clock)
    for _ in range(BoundedStream.MAX_LINES_PER_SECOND + 7):
        stream.write("a\n")
    clock.now = 1.0
    stream.write("b\n")
    lines = drain(reader).decode().splitlines()
    assert lines[-2:] == ["level=info event=lines-left-out count=7", "b"]


def test_a_pipe_closed_by_its_reader_raises_no_error() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    stream = BoundedStream(writer, Clock())
    stream.write("a\n")
    stream.write("b\n")
