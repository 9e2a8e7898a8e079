"""Break streams off whose engines go on with the run; see what goes on beside it."""

import asyncio
import json
from dataclasses import dataclass, field
from typing import NamedTuple

import eliot
import pytest

from hawthornshelf.gateway.routes import Route
from tests.southernveil.test_framing import (
    ONCE_ROUTE,
    STREAM_ROUTE,
    Script,
    make_stream,
    resume,
    run,
    start_forwarder,
)
from tests.southernveil.test_not_run import (
    PROMPT,
    BreakingRunner,
    SeeingCaller,
    break_off,
    make_pair,
    make_request,
)


class Word(NamedTuple):
    """Represent what an engine answers to a call that stops a run."""

    status: bytes
    body: bytes = b""


HANDLE_NAME = "3fa0"
HANDLE = b'{"KvHandle":"%b","made":2}' % HANDLE_NAME.encode()
MOVED = Word(b"200 OK", HANDLE)
KEPT = Word(b"503 No room", HANDLE)
ABSENT = Word(b"404 Not found")
REPLACED = Word(b"421 Misdirected")
STOPPING = (MOVED, KEPT)


@dataclass
class OngoingEngine(BreakingRunner):
    """Go on with a run though its connection has broken, until it is asked to stop.

    `words` are its answers to such calls. A run that it does not know has ended as its
    connection broke.
    """

    words: list[Word] = field(default_factory=list)
    is_running: bool = False
    asked: list[dict[str, object]] = field(default_factory=list)

    def answer_stop(self, call: bytes) -> tuple[bytes, bytes]:
        self.asked.append(json.loads(call))
        word = self.words.pop(0)
        self.is_running &= word not in STOPPING
        return word.status, word.body

    async def _respond(
        self, writer: asyncio.StreamWriter, script: Script, head: bytes
    ) -> None:
        self.is_running = bool(self.words) and self.words[-1] in STOPPING
        await super()._respond(writer, script, head)


@dataclass
class NextEngine(BreakingRunner):
    """Note for each run that arrives whether another engine still works on it."""

    other: OngoingEngine | None = None
    beside: list[bool] = field(default_factory=list)

    def _note(self, head: bytes) -> bytes:
        assert self.other is not None
        self.beside.append(self.other.is_running)
        return super()._note(head)


def make_engines(*words: Word) -> tuple[SeeingCaller, OngoingEngine, NextEngine]:
    """Return a caller and two engines; the first breaks off, and goes on by itself."""
    caller = SeeingCaller()
    old = OngoingEngine("a", [break_off], seen=caller.seen, words=list(words))
    new = NextEngine("b", [resume(b"\n")], seen=caller.seen, other=old)
    return caller, old, new


ANSWERED = {
    "moved": (MOVED,),
    "kept": (KEPT,),
    "absent": (ABSENT,),
    "replaced": (REPLACED,),
    "busy": (Word(b"409 Conflict"), MOVED),
    "failed": (Word(b"500 Error"), MOVED),
}


def _keeps_handle(words: tuple[Word, ...]) -> bool:
    return words[-1] in STOPPING


@pytest.mark.parametrize("words", ANSWERED.values(), ids=ANSWERED.keys())
@pytest.mark.parametrize("route", [ONCE_ROUTE, STREAM_ROUTE], ids=["once", "resumed"])
def test_a_stream_goes_on_only_once_the_engine_before_works_on_it_no_more(
    route: Route, words: tuple[Word, ...]
) -> None:
    async def check() -> None:
        caller, old, new = make_engines(*words)
        async with start_forwarder(route, old, new) as forwarder:
            await forwarder.serve(make_request(prompt=PROMPT), caller)
            uses_handle = f"/{HANDLE_NAME}\r\n".encode() in new.heads[0]
            while _keeps_handle(words) and not uses_handle and not old.released:
                await asyncio.sleep(0)
        assert uses_handle == (route is ONCE_ROUTE and words[-1] is MOVED)
        assert old.released in ([], [HANDLE_NAME.encode()])
        assert new.beside == [False]
        assert [(ask["Id"], ask["Last"]) for ask in old.asked] == [("r1", True)] * len(
            words
        )
        assert (caller.data, caller.ended) == (make_stream(b"\n"), True)

    run(check())


def test_a_resend_names_the_engine_before_and_how_long_its_caller_got_nothing() -> None:
    async def check() -> None:
        caller, runners = make_pair(resume(b"\n"))
        lines: list[dict[str, object]] = []
        async with start_forwarder(ONCE_ROUTE, *runners) as forwarder:
            eliot.add_destinations(lines.append)
            lines.clear()  # the first destination gets what was logged before
            try:
                await forwarder.serve(make_request(prompt=PROMPT), caller)
            finally:
                eliot.remove_destination(lines.append)
        (line,) = [x for x in lines if x.get("message_type") == "request-resent"]
        assert (line["previous"], line["runner"], line["after"]) == ("a", "b", "2")
        assert 0.0 < line["silent"] < 5.0

    run(check())
