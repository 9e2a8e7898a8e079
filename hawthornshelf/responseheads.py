"""Check the heads of HTTP responses before a parser reads them.

The HTTP library takes any three digits for a status, a header name that ends with a
blank, lines that end with LF alone, folded lines, control characters in values and any
Transfer-Encoding.
"""

import re

import aiohttp

__all__ = ["MalformedHead", "ResponseHeads"]

_LINE_END = b"\r\n"
_TEXT = rb"[\t -~\x80-\xff]*"
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([1-5][0-9]{2})(?: " + _TEXT + rb")?\r\n")
"""Status line of RFC 9112, 4; some servers leave out the blank after the status."""

_FIELD_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:" + _TEXT + rb"\r\n")
"""Field line of RFC 9112, 5: no blank before the colon, no folded line."""

_FRAMING_LINE = re.compile(
    rb"(?:content-length:[\t ]*([0-9]+)|transfer-encoding:[\t ]*(chunked))[\t ]*\r\n",
    re.IGNORECASE,
)
"""Header that tells where a body ends; no other transfer coding is requested."""

_FRAMING_NAMES = (b"content-length:", b"transfer-encoding:")
FIRST_FINAL_STATUS = 200
SWITCHING_PROTOCOLS = 101


class MalformedHead(aiohttp.ClientPayloadError):
    """Signal a response whose head is not one of HTTP/1.1.

    The text quotes nothing of the head, which may repeat a caller's credential.
    """


class ResponseHeads:
    """Check the heads of one response, interim ones included, as its bytes arrive.

    `is_whole` is set once the head of the final response has been checked.
    """

    def __init__(self) -> None:
        self.is_whole = False
        self._line = bytearray()
        self._status = 0
        self._is_framed = False

    def feed(self, data: bytes) -> None:
        """Check the next bytes of the response, up to its body; raise MalformedHead."""
        start = 0
        while not self.is_whole:
            end = data.find(b"\n", start) + 1
            if not end:
                self._line += data[start:]
                return
            line = bytes(self._line) + data[start:end]
            self._line.clear()
            start = end
            self._check_line(line)

    def _check_line(self, line: bytes) -> None:
        if line != _LINE_END:
            if not self._status:
                self._status = _read_status(line)
            elif not _FIELD_LINE.fullmatch(line):
                raise MalformedHead(f"a bad header in a head of status {self._status}")
            elif line.lower().startswith(_FRAMING_NAMES):
                self._check_framing(line)
        elif self._status >= FIRST_FINAL_STATUS:
            self.is_whole = True
        else:
            # The end of an interim head, or an empty line before a status line.
            self._status = 0
            self._is_framed = False

    def _check_framing(self, line: bytes) -> None:
        if self._is_framed or not _FRAMING_LINE.fullmatch(line):
            raise MalformedHead("the end of the body is not clear")
        self._is_framed = True


def _read_status(line: bytes) -> int:
    """Return the status in a status line; raise MalformedHead for a bad one."""
    match = _STATUS_LINE.fullmatch(line)
    if match is None:
        raise MalformedHead("no status line of HTTP/1.1")
    status = int(match[1])
    if status == SWITCHING_PROTOCOLS:
        raise MalformedHead("an unrequested switch of protocols")
    return status
