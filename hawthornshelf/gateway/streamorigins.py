"""Know which build began a stream, and let builds begin streams."""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

from hawthornshelf.clock import Clock
from hawthornshelf.commands import (
    AdmitBuild,
    Command,
    FindOrigin,
    OriginFound,
    RecordOrigins,
    Result,
    RetireBuild,
)
from hawthornshelf.gateway.runners import Runner
from hawthornshelf.logs import write_log
from hawthornshelf.origins import (
    NEVER,
    BuildRow,
    Origin,
    OriginRow,
    digest_request_id,
    is_kept,
)

__all__ = ["OriginUnavailable", "RunCommand", "StreamOrigins"]

RECORD_SECONDS = 0.2
"""Time between two records of a node; at most so much of its streams is not known."""

RECORDS_PER_SECOND = 200
"""Records that all nodes together write at most; many nodes write less often each."""

BREAK_SECONDS = 0.02
"""Time over which a node gathers streams that broke off, to record them together."""

ADMIT_SPREAD_SECONDS = 0.2
"""Time over which nodes propose a new build, so that the first one spares the rest."""

PROPOSE_RETRY_SECONDS = 1.0
ADMIT_PATIENCE_SECONDS = 2.0
"""Time after which a build begins streams though the control group has not answered.

That holds only while no admitted build of its service is listed.
"""

RETIRE_SECONDS = 60.0
RETIRE_SPREAD_SECONDS = 20.0
FIND_SECONDS = 1.0
FIND_PAUSES_SECONDS = (0.05, 0.1, 0.2)
"""Pauses before the control group is asked again for an origin that it does not know.

A caller may be faster than the record of the node at which its stream broke off.
"""

MAX_STREAMS = 4096
MAX_ROWS = 512
"""Origins that one record holds at most."""

RunCommand = Callable[[Command], Awaitable[Result | None]]


class OriginUnavailable(Exception):
    """Signal that the control group has not told the origin of a stream in time."""


@dataclass(slots=True)
class _Build:
    """Track a build as this node knows it; times are monotonic seconds.

    `changed_at` is when it came onto the list or left it, `propose_at` when to ask the
    control group to follow. `row` is what that group says of it.
    """

    is_listed: bool
    changed_at: float
    propose_at: float
    row: BuildRow | None = None

    @property
    def is_admitted(self) -> bool:
        """Return whether the control group lets it begin streams."""
        return self.row is not None and self.row.retired_at == NEVER


class StreamOrigins:
    """Remember which builds began this node's streams, and share it if need be.

    While only one build of a service may have begun a stream, its origin needs no
    record. A build is admitted by the control group before it begins streams, so that
    this holds for all nodes. Origins are recorded after the first event, not before
    it: a stream without a record is one that can't go on elsewhere.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        run_command: RunCommand,
        count_nodes: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._run_command = run_command
        self._count_nodes = count_nodes
        self._builds: dict[Origin, _Build] = {}
        self._streams: OrderedDict[bytes, Origin | None] = OrderedDict()
        self._unrecorded: dict[bytes, bool] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._has_settled = False
        self._is_record_due = False

    @property
    def stream_count(self) -> int:
        """Return the number of streams that are remembered."""
        return len(self._streams)

    @property
    def build_count(self) -> int:
        """Return the number of builds that are listed or in the shared view."""
        return len(self._builds)

    def load_builds(self, rows: Iterable[BuildRow]) -> None:
        """Apply the builds that the control group has admitted."""
        known = {Origin(row.service, row.build): row for row in rows}
        for origin in known:
            if origin not in self._builds:
                self._builds[origin] = self._make_build(is_listed=False)
        for origin, build in self._builds.items():
            build.row = known.get(origin)

    def observe(self, runners: Iterable[Runner]) -> None:
        """Note which builds the platform lists, leaving runners included."""
        listed = {Origin(runner.service, runner.build) for runner in runners}
        for origin in listed | self._builds.keys():
            build = self._builds.get(origin)
            is_listed = origin in listed
            if build is None or build.is_listed is not is_listed:
                row = build.row if build is not None else None
                self._builds[origin] = self._make_build(is_listed, row)
        builds = self._builds.items()
        self._builds = {o: b for o, b in builds if b.is_listed or b.row is not None}

    def _make_build(self, is_listed: bool, row: BuildRow | None = None) -> _Build:
        """Return a build that has just come onto the list, or is not on it."""
        now = self._clock.monotonic()
        wait = self._rng.uniform(0.0, ADMIT_SPREAD_SECONDS)
        if not is_listed:
            wait = RETIRE_SECONDS + self._rng.uniform(0.0, RETIRE_SPREAD_SECONDS)
        return _Build(is_listed, now, now + wait, row)

    def may_begin(self, service: str, build: str) -> bool:
        """Return whether a stream may begin at a build."""
        known = self._builds.get(Origin(service, build))
        if known is None or known.is_admitted:
            return known is not None
        if self._lists_admitted(service):
            return False
        return self._clock.monotonic() > known.changed_at + ADMIT_PATIENCE_SECONDS

    def _lists_admitted(self, service: str) -> bool:
        """Return whether an admitted build of a service is listed, if only to leave.

        Another node may then take a stream up there: for a stream of a build that was
        never admitted, the control group would name the admitted one.
        """
        return any(
            origin.service == service and build.is_listed and build.is_admitted
            for origin, build in self._builds.items()
        )

    def has_settled(self) -> bool:
        """Return whether streams could begin at all listed services at some time.

        A node that has just started can't begin any until builds are admitted.
        """
        if not self._has_settled:
            listed = [origin for origin, b in self._builds.items() if b.is_listed]
            begun = {o.service for o in listed if self.may_begin(*o)}
            self._has_settled = all(origin.service in begun for origin in listed)
        return self._has_settled

    def begin(self, request_id: str, origin: Origin, is_split: bool) -> None:
        """Remember the build whose events the caller of a request gets.

        With `is_split` other services might have begun the stream as well.
        """
        key = digest_request_id(request_id)
        is_disputed = self._streams.get(key, origin) != origin
        self._streams[key] = None if is_disputed else origin
        self._unrecorded[key] = is_split or is_disputed
        while len(self._streams) > MAX_STREAMS:
            oldest, _ = self._streams.popitem(last=False)
            self._unrecorded.pop(oldest, None)

    def end(self, request_id: str) -> None:
        """Note that a stream ended as whole, so that no record of it is needed."""
        self._unrecorded.pop(digest_request_id(request_id), None)

    def break_off(self, request_id: str) -> None:
        """Record a stream soon, as its caller may take it up at once.

        One that has ended as whole, or never began, needs no record.
        """
        is_unrecorded = digest_request_id(request_id) in self._unrecorded
        if is_unrecorded and not self._is_record_due:
            self._is_record_due = True
            self._start(self._record_soon())

    async def find(self, request_id: str, services: tuple[str, ...]) -> Origin | None:
        """Return the origin of a stream, or None if it can't be known.

        Raise OriginUnavailable if the control group does not answer.
        """
        key = digest_request_id(request_id)
        if key in self._streams:
            return self._streams[key]
        listed = tuple(sorted(o for o, b in self._builds.items() if b.is_listed))
        command = FindOrigin(key, services, listed)
        for pause in FIND_PAUSES_SECONDS:
            origin = await self._ask(command)
            if origin is not None:
                return origin
            await asyncio.sleep(pause)
        return await self._ask(command)

    async def _ask(self, command: FindOrigin) -> Origin | None:
        try:
            async with asyncio.timeout(FIND_SECONDS):
                result = await self._run_command(command)
        except TimeoutError as error:
            raise OriginUnavailable from error
        if not isinstance(result, OriginFound):
            raise OriginUnavailable
        return result.origin

    async def run(self) -> None:
        """Propose builds and record origins until cancelled."""
        while True:
            interval = self._count_nodes() / RECORDS_PER_SECOND
            await asyncio.sleep(max(RECORD_SECONDS, interval))
            self._propose_builds()
            self._record()

    async def stop(self) -> None:
        """Cancel the commands under way."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _propose_builds(self) -> None:
        """Propose to admit new builds, and to retire those long gone."""
        now = self._clock.monotonic()
        for origin, build in self._builds.items():
            if now < build.propose_at:
                continue
            if build.is_listed is build.is_admitted:
                continue
            build.propose_at = now + PROPOSE_RETRY_SECONDS
            command = AdmitBuild(*origin) if build.is_listed else RetireBuild(*origin)
            write_log(
                "build-proposed",
                service=origin.service,
                build=origin.build,
                command=type(command).__name__,
            )
            self._submit(command)

    async def _record_soon(self) -> None:
        await asyncio.sleep(BREAK_SECONDS)
        self._is_record_due = False
        self._record()

    def _record(self) -> None:
        """Record the origins of streams that more than one build may have begun."""
        mixed = self._find_mixed()
        due = [
            key
            for key, is_due in self._unrecorded.items()
            if is_due or ((origin := self._streams[key]) and origin.service in mixed)
        ]
        for first in range(0, len(due), MAX_ROWS):
            keys = due[first : first + MAX_ROWS]
            rows = tuple(OriginRow(key, self._streams[key]) for key in keys)
            for key in keys:
                del self._unrecorded[key]
            self._start(self._record_rows(rows))

    async def _record_rows(self, rows: tuple[OriginRow, ...]) -> None:
        """Record some origins; keep them for later if that failed."""
        if await self._run_command(RecordOrigins(rows)) is None:
            write_log("origins-not-recorded", streams=len(rows))
            known = [row.request for row in rows if row.request in self._streams]
            self._unrecorded.update(dict.fromkeys(known, True))

    def _find_mixed(self) -> set[str]:
        """Return the services of which several builds may have begun streams."""
        wall = self._clock.now().timestamp()
        services: set[str] = set()
        mixed: set[str] = set()
        for origin, build in self._builds.items():
            if build.is_listed or (build.row is not None and is_kept(wall, build.row)):
                (mixed if origin.service in services else services).add(origin.service)
        return mixed

    def _submit(self, command: Command) -> None:
        async def run() -> None:
            await self._run_command(command)

        self._start(run())

    def _start(self, coroutine: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
