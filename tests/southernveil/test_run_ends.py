"""Break streams off whose engines go on with the run; see what goes on beside it."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple
from unittest import mock

import eliot
import pytest
from southernveil.runnerclient import HttpRunnerClient, make_session

from hawthornshelf.gateway.exchange import (
    AttemptFailed,
    ConnectionRefused,
    RunnerReplaced,
)
from hawthornshelf.gateway.routes import (
    EngineProfile,
    Route,
    RouteTable,
    ServiceSpec,
)
from hawthornshelf.gateway.runners import Runner
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
    listen,
    make_pair,
    make_request,
    start_cut_node,
)
from tests.southernveil.test_relay import RecordingRunner, serve_callers


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


class SilentEngine(OngoingEngine):
    """Leave calls that stop runs unanswered."""

    async def _stop(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes
    ) -> None:
        await super()._stop(reader, mock.Mock(), head)


@pytest.mark.parametrize("route", [ONCE_ROUTE, STREAM_ROUTE], ids=["once", "resumed"])
def test_a_stream_that_may_run_once_ends_if_its_engine_says_nothing_of_the_run(
    route: Route,
) -> None:
    async def check() -> None:
        caller, _, new = make_engines()
        old = SilentEngine("a", [break_off], seen=caller.seen, words=[ABSENT] * 9)
        new.other = old
        brief = route._replace(stall_limit=0.5)
        async with start_forwarder(brief, old, new) as forwarder:
            await forwarder.serve(make_request(prompt=PROMPT), caller)
        assert old.asked
        is_once = route is ONCE_ROUTE
        assert (caller.aborted, caller.ended) == (is_once, not is_once)
        assert len(new.heads) == (not is_once)

    run(check())


@pytest.mark.parametrize("able", [{"stops_runs": False}, {"copies_runs": False}])
def test_an_engine_that_can_not_stop_a_run_is_given_no_copy_to_go_on_from(
    able: dict[str, bool],
) -> None:
    async def check() -> None:
        caller, old, new = make_engines(MOVED)
        async with start_forwarder(ONCE_ROUTE, old, new) as forwarder:
            engine = EngineProfile(6, 10_000)._replace(**able)
            spec = ServiceSpec("app", "/healthz", engine=engine)
            forwarder.load(RouteTable(2, (ONCE_ROUTE,), (spec,)))
            await forwarder.serve(make_request(prompt=PROMPT), caller)
        assert b"X-Kv-Backup" not in old.heads[0]
        assert (caller.aborted, new.heads, old.asked) == (True, [], [])

    run(check())


def end_before_the_head(after: bytes) -> Script:
    raise ConnectionAbortedError


@pytest.mark.parametrize("script", [break_off, end_before_the_head])
def test_a_relayed_stream_that_broke_is_not_run_beside_the_run_of_the_other_node(
    script: Callable[[bytes], Script],
) -> None:
    async def check() -> None:
        caller = SeeingCaller()
        caller.seen.set()
        first = BreakingRunner("n0", [script], seen=caller.seen)
        second = RecordingRunner("n1", [resume(b"\n")])
        async with (
            listen(first) as one,
            listen(second) as two,
            start_cut_node(STREAM_ROUTE, one, two) as forwarder,
        ):
            await forwarder.serve(make_request(prompt=PROMPT), caller)
        assert (len(first.heads), second.heads) == (1, [])
        assert caller.aborted or caller.status == 502

    run(check())


def test_a_relayed_stream_goes_to_no_engine_that_may_still_work_on_it() -> None:
    async def check() -> None:
        caller, _, new = make_engines()
        silent = SilentEngine("a", [break_off], seen=caller.seen, words=[ABSENT] * 9)
        new.other, new.scripts = silent, [resume(b"\n")]
        at_peer = RecordingRunner("a", [resume(b"\n")])
        async with (
            start_forwarder(STREAM_ROUTE, at_peer, new) as other,
            serve_callers(other) as peer,
            start_forwarder(STREAM_ROUTE, silent, peer=peer) as forwarder,
        ):
            forwarder._relay.applies = lambda context: context.runs > 0
            await forwarder.serve(make_request(prompt=PROMPT), caller)
        assert (caller.data, caller.ended) == (make_stream(b"\n"), True)
        assert (at_peer.heads, len(new.heads)) == ([], 1)

    run(check())


CALLS = {
    "absent": (ABSENT, None),
    "moved": (MOVED, True),
    "kept": (KEPT, False),
    "moved without a handle": (Word(b"200 OK", b"[]"), True),
    "replaced": (REPLACED, RunnerReplaced),
    "no room and no handle": (Word(b"503 Full", b"{}"), AttemptFailed),
    "busy": (Word(b"409 Conflict", HANDLE), AttemptFailed),
    "moved elsewhere": (Word(b"302 Found", HANDLE), AttemptFailed),
}


@pytest.mark.parametrize(("word", "found"), CALLS.values(), ids=CALLS.keys())
def test_only_an_engines_own_word_counts_as_the_end_of_a_run(
    word: Word, found: object
) -> None:
    async def check() -> None:
        engine = OngoingEngine("a", [], words=[word])
        async with listen(engine) as peer:
            session = make_session()
            client = HttpRunnerClient(session)
            runner = Runner("a", "app", peer.address, "dc", 6)
            try:
                stopped = await client.stop_run(runner, "r1", "h:1")
            except AttemptFailed as error:
                assert type(error) is found
                assert error.sent or isinstance(error, RunnerReplaced)
            else:
                assert (stopped and stopped.is_moved) == found
            await session.close()

    run(check())


def test_an_engine_that_refuses_the_connection_was_not_asked() -> None:
    async def check() -> None:
        async with listen(OngoingEngine("a", [])) as gone:
            pass
        session = make_session()
        runner = Runner("a", "app", gone.address, "dc", 6)
        with pytest.raises(ConnectionRefused) as error:
            await HttpRunnerClient(session).stop_run(runner, "r1", "h:1")
        assert not error.value.sent
        await session.close()

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
