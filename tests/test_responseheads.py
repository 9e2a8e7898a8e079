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
    b"HTTP/1.1 200 \x1b[31mOK",
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


BAD_FIELD_LINES = (
    b"Content-Length : 4",
    b"Transfer-Encoding\t: chunked",
    b"X Name: a",
    b"X\x00Name: a",
    b"X\x01Name: a",
    b"X\x0bName: a",
    b"X\rName: a",
    b"X\nName: a",
    b"X\x7fName: a",
    b"X\xe9Name: a",
    b"X(Name): a",
    b": a",
    b"Name",
    b" Name: a",
    b"Name: a\r\n folded",
    b"Name: a\r\n\tfolded",
    b"Name: a\nOther: b",
    b"Name: a\rOther: b",
    b"Name: a\x00",
    b"Name: \x1b[31m",
    b"Name: a\x7f",
    b"Name: a\n",
    b"HTTP/1.1 200 OK",
)


@pytest.mark.parametrize("piece_bytes", [0, 1, 7])
@pytest.mark.parametrize("line", BAD_FIELD_LINES)
def test_a_header_that_is_not_one_of_the_protocol_makes_a_head_malformed(
    line: bytes, piece_bytes: int
) -> None:
    for status in (b"200 OK", b"103 Hints"):
        with pytest.raises(MalformedHead):
            check(b"HTTP/1.1 " + status + b"\r\nA: b\r\n" + line + b"\r\n", piece_bytes)


BAD_FRAMINGS = (
    b"Content-Length: ",
    b"Content-Length: +4",
    b"Content-Length: 0x4",
    b"Content-Length: 4, 4",
    b"Content-Length: 4\r\nContent-Length: 4",
    b"content-length: 4\r\nCONTENT-LENGTH: 5",
    b"Content-Length: 4\r\nTransfer-Encoding: chunked",
    b"Transfer-Encoding: chunked\r\nContent-Length: 4",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    b"Transfer-Encoding: chunked, chunked",
    b"Transfer-Encoding: chunked, gzip",
    b"Transfer-Encoding: gzip, chunked",
    b"Transfer-Encoding: xchunked",
    b"Transfer-Encoding: identity",
    b"Transfer-Encoding:",
)


@pytest.mark.parametrize("lines", BAD_FRAMINGS)
def test_a_head_that_leaves_the_end_of_the_body_open_is_malformed(lines: bytes) -> None:
    with pytest.raises(MalformedHead):
        check(b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n\r\n")


@pytest.mark.parametrize(
    "line",
    [b"Content-Length:4", b"content-length: \t40 ", b"transfer-encoding:Chunked "],
)
def test_a_head_with_one_mark_of_the_end_of_the_body_is_accepted(line: bytes) -> None:
    interim = b"HTTP/1.1 103 Hints\r\n" + line + b"\r\n\r\n"
    assert check(interim + b"HTTP/1.1 200 OK\r\n" + line + b"\r\n\r\n").is_whole


def test_an_error_quotes_no_header() -> None:
    with pytest.raises(MalformedHead) as caught:
        check(b"HTTP/1.1 400 No\r\nAuthorization: Bearer s3cret\r\n s3cret\r\n")
    assert "cret" not in str(caught.value) and "Auth" not in str(caught.value)


@pytest.mark.parametrize(
    "line", [b"a:", b"A-b_c.1:\t x ", b"!#$%&'*+-.^_`|~9z: \xe2\x82\xac", b"N: a: b"]
)
def test_a_sound_header_is_accepted(line: bytes) -> None:
    assert check(b"HTTP/1.1 200 OK\r\n" + line + b"\r\n\r\n").is_whole


def test_bytes_of_a_body_are_taken_for_no_head() -> None:
    heads = check(b"HTTP/1.1 200 OK\r\n" + FIELDS)
    heads.feed(b"HTTP/1.1 000\r\n\r\n")
    assert heads.is_whole
