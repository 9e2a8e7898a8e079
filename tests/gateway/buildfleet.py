"""Simulate engines of several builds, and callers that take up broken streams."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

from hawthornshelf.gateway.exchange import Attempt, InboundRequest
from hawthornshelf.gateway.runners import Runner
from hawthornshelf.gateway.streamorigins import StreamOrigins
from tests.gateway.controlfleet import ControlFleet
from tests.gateway.crashfleet import (
    CONTACT_SECONDS,
    EVENTS,
    SHORT,
    WHOLE_STREAM,
    Entry,
    SimRunner,
)
from tests.gateway.fakes import Caller

__all__ = ["BuildFleet", "Stream", "StreamTraffic"]

EVENT_SECONDS = 0.5
STREAM_PATH = "/talk/x"
BUDGET_SECONDS = 15.0
MAX_TRIES = 8
MANY_STREAMS = 1000.0
MIN_RETRY_SECONDS = 0.05


class BuildFleet(ControlFleet):
    """Simulate a fleet whose engines run several builds of their software.

    `delivered` names the builds of which a request has events.
    """

    def __post_init__(self) -> None:
        super().__post_init__()
        self.origins: dict[str, StreamOrigins] = {}
        self.delivered: dict[str, set[str]] = {}
        for runner in self.runners:
            self.prepare(runner)

    def prepare(self, runner: SimRunner) -> None:
        """Let a runner write slowly, and note which requests have its events."""
        runner.event_seconds = EVENT_SECONDS
        runner.on_event = self._note_event

    def estimate_streams(self, entry: Entry) -> float:
        """Return so many that all engines are used for interactive requests."""
        return MANY_STREAMS

    def make_origins(self, entry: Entry) -> StreamOrigins:
        """Return what a node knows of the origins of streams, and let it run."""
        origins = StreamOrigins(
            self.clock, entry.rng, entry.run_command, lambda: self.nodes
        )
        entry.tasks.append(asyncio.create_task(origins.run()))
        self.origins[entry.name] = origins
        return origins

    def observe_list(self, entry: Entry, listed: tuple[Runner, ...]) -> None:
        self.origins[entry.name].observe(listed)

    def follow_view(self, entry: Entry) -> None:
        self.origins[entry.name].load_builds(entry.core.view.builds)

    def _note_event(self, runner: SimRunner, attempt: Attempt) -> None:
        request = attempt.inbound.request_id
        self.delivered.setdefault(request, set()).add(runner.build)

    def set_builds(self, *builds: str) -> None:
        """Give the engines builds, in turn."""
        for number, runner in enumerate(self.runners):
            runner.build = builds[number % len(builds)]
            runner.list_again(delay=-10.0)

    def of_build(self, build: str) -> list[SimRunner]:
        """Return the runners of a build that are up."""
        return [r for r in self.runners if r.build == build and r.is_up]

    def add_engine(self, name: str, build: str) -> SimRunner:
        """Start one more engine like the first one."""
        first = self.runners[0]
        runner = SimRunner(self.clock, name, first.service, first.stage, build=build)
        runner.listed = [(float("-inf"), None)]
        runner.list_again()
        self.prepare(runner)
        self.runners.append(runner)
        self.by_address[runner.address] = runner
        return runner

    def remove(self, runner: SimRunner) -> None:
        """End a runner for good; it leaves the list at once."""
        runner.end()
        runner.listed.append((self.clock.monotonic(), None))


@dataclass
class Stream:
    """Follow one stream of a caller over all of its tries.

    `begun` is the id of the try that brought the first event, `events` counts those
    received, and `builds` has those of the runners that wrote them. `number` is the
    content of all tries.
    """

    number: int
    begun: str = ""
    events: int = 0
    builds: set[str] = field(default_factory=set)
    taken_up_at: list[float] = field(default_factory=list)
    went_on: bool = False
    is_whole: bool = False
    data: bytes = b""


class StreamTraffic:
    """Let callers begin streams, and take up those that break off at other nodes.

    `begins` and `take_ups` tell which tries brought events; the latter are by build.
    """

    def __init__(self, fleet: BuildFleet) -> None:
        self.fleet = fleet
        self.streams: list[Stream] = []
        self.begins: list[bool] = []
        self.take_ups: dict[str, list[bool]] = {}
        self.open: dict[asyncio.Task[None], Entry] = {}
        self.is_closing = False

    async def send(self, seconds: float, rate: float) -> None:
        """Begin streams for some time, and wait for all to end."""
        clock = self.fleet.clock
        until = clock.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            while clock.monotonic() < until:
                stream = Stream(len(self.streams))
                self.streams.append(stream)
                group.create_task(self._follow(stream))
                await asyncio.sleep(self.fleet.rng.expovariate(rate))

    def break_off(self, share: float = 1.0, names: Iterable[str] = ()) -> None:
        """Close the connections of open streams, at the named nodes or all."""
        chosen = set(names)
        for task, entry in list(self.open.items()):
            if chosen and entry.name not in chosen:
                continue
            if self.fleet.rng.random() < share:
                task.cancel()

    async def kill_nodes(self, names: list[str], seconds: float) -> None:
        """Kill nodes at once; they are back after some seconds."""
        for name in names:
            self.fleet.entries[name].kill()
        self.break_off(names=names)
        await asyncio.sleep(seconds)
        for name in names:
            self.fleet.start_entry(name)

    async def _follow(self, stream: Stream) -> None:
        deadline = self.fleet.clock.monotonic() + BUDGET_SECONDS
        for _ in range(MAX_TRIES):
            while (entry := self.choose(stream.events > 0)) is None:
                await asyncio.sleep(MIN_RETRY_SECONDS)
            caller = await self._try(stream, entry, deadline)
            if stream.is_whole or self.fleet.clock.monotonic() > deadline:
                return
            await asyncio.sleep(max(caller.retry_after, MIN_RETRY_SECONDS))

    def choose(self, is_take_up: bool) -> Entry | None:
        """Return the node for the next try of a stream, or None if there is none."""
        entries = self._find_up()
        return self.fleet.rng.choice(entries) if entries else None

    def _find_up(self) -> list[Entry]:
        return [entry for entry in self.fleet.entries.values() if entry.is_up]

    async def _try(self, stream: Stream, entry: Entry, deadline: float) -> Caller:
        """Send one try, and add what it brought to the stream."""
        now = self.fleet.clock.monotonic()
        request = f"s{next(self.fleet.numbers)}"
        is_take_up = stream.events > 0
        is_calm = now > entry.disturbed_at + CONTACT_SECONDS
        inbound = self._make_inbound(stream, request, deadline)
        caller = Caller()
        task = asyncio.create_task(entry.forwarder.serve(inbound, caller))
        self.open[task] = entry
        try:
            await asyncio.wait([task])
        finally:
            del self.open[task]
        events = caller.data.count(b"\n\n")
        if is_take_up and is_calm:
            is_whole = caller.ended and caller.status == 200
            went_on = events > 0 or is_whole
            stream.taken_up_at.append(now)
            stream.went_on = stream.went_on or went_on
            for build in stream.builds:
                self.take_ups.setdefault(build, []).append(went_on)
        elif not is_take_up and is_calm:
            self.begins.append(events > 0)
        if events:
            stream.begun = stream.begun or request
            stream.events += events
            stream.data += caller.data
            stream.builds |= self.fleet.delivered[request]
        stream.is_whole = caller.ended and caller.status == 200
        return caller

    def _make_inbound(
        self, stream: Stream, request: str, deadline: float
    ) -> InboundRequest:
        after = str(stream.events) if stream.events else ""
        now = self.fleet.clock.monotonic()
        return InboundRequest(
            request,
            "POST",
            STREAM_PATH,
            "h",
            (),
            b"%d" % stream.number,
            now,
            deadline,
            SHORT,
            after,
            resumes=stream.begun,
        )

    def joined(self) -> list[Stream]:
        """Return the streams with events of several builds."""
        return [stream for stream in self.streams if len(stream.builds) > 1]

    def taken_up(self) -> list[Stream]:
        """Return the streams that were taken up at nodes in touch."""
        return [stream for stream in self.streams if stream.taken_up_at]

    def share_going_on(self) -> float:
        """Return the share of the streams taken up that went on."""
        streams = self.taken_up()
        return sum(stream.went_on for stream in streams) / len(streams)

    def share_beginning(self) -> float:
        """Return the share of the tries to begin a stream that began it."""
        return sum(self.begins) / len(self.begins)

    def broken_content(self) -> list[Stream]:
        """Return streams that ended as whole with events missing, twice or changed."""
        return [s for s in self.streams if s.is_whole and s.data != WHOLE_STREAM]


assert EVENTS * EVENT_SECONDS < BUDGET_SECONDS
