import pytest

from hawthornshelf.responseheads import MalformedHead, ResponseHeads

FIELDS = b"Content-Length: 4\r\n\r\n"


def check(data: bytes, piece_bytes: int = 0) -> ResponseHeads:
    """Feed the bytes of a response, in pieces of one size if that is given."""
    heads = ResponseHeads()
    size = piece_bytes or len(data)
    for start in range(0, len(data), size):
        heads.feed(data[start : start + size])
    return heads


BAD_STATUS_LINES = (
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 001 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 200OK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1 +20 OK",
    b"HTTP/1.1 \xb2\xb2\xb2 OK",
    b"HTTP/1.1",
    b"HTTP/2.0 200 OK",
    b"HTTP/0.9 200 OK",
    b"http/1.1 200 OK",
    b" HTTP/1.1 200 OK",
    b"HTTP/1.1 200 OK\n",
    b"\x16\x03\x01 no answer",
)


@pytest.mark.parametrize("piece_bytes", [0, 1, 7])
@pytest.mark.parametrize("line", BAD_STATUS_LINES)
def test_a_status_line_that_is_not_one_of_the_protocol_is_malformed(
    line: bytes, piece_bytes: int
) -> None:
    with pytest.raises(MalformedHead):
        check(line + b"\r\n" + FIELDS, piece_bytes)


@pytest.mark.parametrize("piece_bytes", [0, 1, 7])
@pytest.mark.parametrize(
    "line",
    [
        b"HTTP/1.1 200 OK",
        b"HTTP/1.0 599 \xe9t\xe9",
        b"HTTP/1.1 404 ",
        b"HTTP/1.1 204",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 500 ",
        b"\r\n\r\nHTTP/1.1 200 after the empty lines of the response before",
    ],
)
def test_a_sound_head_is_whole_with_its_empty_line(
    line: bytes, piece_bytes: int
) -> None:
    head = line + b"\r\n" + FIELDS
    assert not check(head[:-1], piece_bytes).is_whole
    assert check(head + b"good", piece_bytes).is_whole


def test_bytes_of_a_body_are_taken_for_no_head() -> None:
    heads = check(b"HTTP/1.1 200 OK\r\n" + FIELDS)
    heads.feed(b"HTTP/1.1 000\r\n\r\n")
    assert heads.is_whole
