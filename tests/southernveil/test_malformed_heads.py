"""Answer with heads that are not HTTP, and check what callers get."""

import asyncio
from dataclasses import dataclass

import pytest
from southernveil.runnerclient import HttpRunnerClient

from hawthornshelf.errors import HawthornshelfError
from hawthornshelf.gateway.exchange import Header
from hawthornshelf.gateway.routes import RetryPolicy, Route
from tests.gateway.fakes import Caller
from tests.southernveil import test_strictness
from tests.southernveil.test_endless import CLIENTS
from tests.southernveil.test_framing import (
    ONCE_ROUTE,
    STREAM_ROUTE,
    RawRunner,
    Script,
    ask,
    make_route,
    make_stream,
    run,
)

STREAM = make_stream(b"\n")
PLAIN_ROUTES = {
    "safe": make_route(RetryPolicy.SAFE),
    "once": make_route(RetryPolicy.ONCE),
}
ROUTES = PLAIN_ROUTES | {"resumable stream": STREAM_ROUTE, "stream": ONCE_ROUTE}
REPEATABLE = ("safe", "resumable stream")
FRAMINGS = ("length", "chunks", "connection")


async def ask_runners(route: Route, malformed: Script) -> tuple[Caller, list[str]]:
    """Ask a runner with a malformed answer, then a sound one; return who ran it too."""
    content_type = b"text/event-stream" if route.is_generation else b"text/plain"
    sound = Script(STREAM, content_type=content_type)
    runners = [
        RawRunner("bad", [lambda after: malformed]),
        RawRunner("good", [lambda after: sound]),
    ]
    caller, _ = await ask(route, *runners)
    return caller, [runner.name for runner in runners if not runner.scripts]


async def check_malformed(name: str, malformed: Script) -> None:
    """Check that a malformed answer counts as a run that brought no answer."""
    caller, ran = await ask_runners(ROUTES[name], malformed)
    if name in REPEATABLE:
        assert (caller.status, caller.data) == (200, STREAM)
        assert Header("X-Answer-Stamp", "good") in caller.headers
        assert ran == ["bad", "good"]
    else:
        assert (caller.status, caller.headers) == (502, ())
        assert ran == ["bad"]


@pytest.mark.parametrize("name", ROUTES)
@pytest.mark.parametrize(
    "status", [b"000 No", b"099 No", b"600 No", b"999 No", b"101 Switching Protocols"]
)
def test_an_answer_with_an_impossible_status_reaches_no_caller(
    status: bytes, name: str
) -> None:
    async def check() -> None:
        for framing in FRAMINGS:
            script = Script(b"bad", framing, status=status, content_type=b"text/plain")
            await check_malformed(name, script)

    run(check())


@dataclass
class FieldScript(Script):
    """Write one more line into the head, before or after the others."""

    line: bytes = b""
    is_first: bool = False

    def head(self, request_id: bytes, receipt: bytes) -> bytes:
        status, rest = super().head(request_id, receipt).split(b"\r\n", 1)
        if self.is_first:
            return b"\r\n".join((status, self.line, rest))
        return b"\r\n".join((status, rest[:-4], self.line, b"", b""))


BAD_LINES = {
    "blank after the name": b"X-Name : a",
    "tab after the name": b"X-Name\t: a",
    "blank in the name": b"X Name: a",
    "control character in the name": b"X\x0bName: a",
    "NUL in the name": b"X\x00Name: a",
    "line feed in the name": b"X\nName: a",
    "length with a blank": b"Content-Length : 1",
    "chunks with a blank": b"Transfer-Encoding : chunked",
    "folded line": b"X-Name: a\r\n b",
    "line feed in the value": b"X-Name: a\nX-Answer-Stamp: forged",
    "carriage return in the value": b"X-Name: a\rb",
    "control character in the value": b"X-Name: a\x01",
}


@pytest.mark.parametrize("name", ROUTES)
@pytest.mark.parametrize("line", BAD_LINES)
def test_an_answer_with_a_malformed_header_reaches_no_caller(
    line: str, name: str
) -> None:
    async def check() -> None:
        body = b"3\r\nbad\r\n0\r\n\r\n"
        for framing in FRAMINGS:
            for is_first in (False, True):
                script = FieldScript(
                    body, framing, line=BAD_LINES[line], is_first=is_first
                )
                script.content_type = b"text/plain"
                await check_malformed(name, script)

    run(check())


@pytest.mark.parametrize("end", ["reached", "reached-then-reset"])
@pytest.mark.parametrize("name", ROUTES)
@pytest.mark.parametrize(
    "coding", [b"xchunked", b"chunked, gzip", b"gzip, chunked", b"identity"]
)
def test_an_answer_in_a_coding_that_was_not_asked_for_reaches_no_caller(
    coding: bytes, name: str, end: str
) -> None:
    async def check() -> None:
        line = b"Transfer-Encoding: " + coding
        script = FieldScript(b"3\r\nbad\r\n0\r\n\r\n", "connection", end, line=line)
        script.content_type = b"text/plain"
        await check_malformed(name, script)

    run(check())


REPORT = b'{"Running":1,"Waiting":0,"KvHandle":"a","Instances":[],"Next":null}'


@pytest.mark.parametrize("status", [b"000 No", b"999 No", b"101 Switching Protocols"])
@pytest.mark.parametrize("name", CLIENTS)
def test_no_client_reads_an_answer_with_an_impossible_status(
    name: str, status: bytes
) -> None:
    answer = Script(REPORT, status=status).head(b"1", b"s") + REPORT

    async def check() -> None:
        runner = test_strictness.RawRunner(answer)
        async with test_strictness.connect_client(runner) as (client, address):
            with pytest.raises(HawthornshelfError):
                await call(client, address)

    async def call(client: HttpRunnerClient, address: str) -> None:
        async with asyncio.timeout(5.0):
            await CLIENTS[name](client, address)

    run(check())
