"""Tell crashes of runners from broken connections, and report who was in flight."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from hawthornshelf.clock import Clock
from hawthornshelf.crashrecords import Evidence, is_content, is_part
from hawthornshelf.crashtable import CrashTable
from hawthornshelf.gateway.context import RequestContext
from hawthornshelf.gateway.exchange import (
    AttemptFailed,
    ConnectionRefused,
    RunnerReplaced,
    RunnerSilent,
)
from hawthornshelf.gateway.flight import Flight
from hawthornshelf.gateway.runners import Runner, RunnerTable
from hawthornshelf.logs import write_log

__all__ = ["CrashDetector"]

PROBE_TIMEOUT_SECONDS = 0.25
FIRST_INTERVAL_SECONDS = 0.25
MAX_INTERVAL_SECONDS = 2.0
"""Longest pause between two probes; it doubles from one to the next."""

INVESTIGATION_SECONDS = 15.0
"""Time for which a lost runner is probed, and lost requests wait for evidence.

A crashed runner is back, or gone from the platform's list, by then.
"""

SILENT_PROBES = 2
"""Probes without a response after which a runner counts as silent."""

HALF_OPEN_SECONDS = 0.5
"""Longest wait for the other connections to a runner that refuses new ones to break.

A runner with too many connections refuses new ones too, but keeps its open ones.
"""

UNNAMED_BOOT_SECONDS = 10.0
"""Time after which the platform's list would show that a runner started again.

Until then a response that does not tell its boot can't rule out a restart.
"""

SETTLE_SECONDS = 0.2
"""Longest wait of a retry for the evidence on the runner that broke."""

BREAK_POLL_SECONDS = 0.05
RECENTLY_SECONDS = 0.5
"""A runner that responded to another request within this time needs no probe."""

MAX_LOST_PER_RUNNER = 1024
MAX_LOGGED_CONTENTS = 8


class _Finding(Enum):
    """Name what a look at a lost runner found, apart from evidence of a crash."""

    ALIVE = "alive"
    LEFT = "left as planned"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class _Case:
    """Collect the requests lost at one boot of a runner, with the times of their loss.

    `broke_at` is when the first of their connections broke, if any did. `settled` is
    set by the first finding; `reported` is the evidence given so far.
    """

    runner: Runner
    opened_at: float
    lost: dict[bytes, float] = field(default_factory=dict)
    broke_at: float | None = None
    settled: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None
    reported: Evidence | None = None
    silences: int = 0


Probe = Callable[[Runner], Awaitable[int]]


class CrashDetector:
    """Watch the requests in flight, and investigate runners that lose them."""

    def __init__(
        self,
        table: CrashTable,
        runners: RunnerTable,
        probe: Probe,
        clock: Clock,
        is_cut: Callable[[], bool] = lambda: False,
    ) -> None:
        self._table = table
        self._runners = runners
        self._probe = probe
        self._clock = clock
        self._is_cut = is_cut
        self._flights: dict[str, set[Flight]] = {}
        self._cases: dict[str, _Case] = {}
        self._heard: dict[str, float] = {}
        self._is_stopped = False
        self.suspects_at: Counter[str] = Counter()

    @contextlib.contextmanager
    def watch(
        self, context: RequestContext, runner: Runner, is_prefill: bool = False
    ) -> Iterator[Flight]:
        """Watch a request while it is in flight at a runner.

        The caller records on the flight what has come of the response.
        """
        now = self._clock.monotonic()
        flight = Flight(
            context,
            runner,
            now,
            context.is_suspect,
            is_prefill=is_prefill,
            is_resumption=bool(context.last_event_id or context.inbound.resume_after),
        )
        key = runner.key
        self._flights.setdefault(key, set()).add(flight)
        self.suspects_at[runner.name] += flight.is_suspect
        try:
            yield flight
        except BaseException as error:
            self._on_failure(flight, error)
            raise
        else:
            self._on_answer(flight, key)
        finally:
            self.forget(flight)

    def forget(self, flight: Flight) -> None:
        """Watch a request no longer; its end says nothing of the runner from now on."""
        key = flight.runner.key
        flights = self._flights.get(key, set())
        if flight not in flights:
            return
        flights.discard(flight)
        if not flights:
            del self._flights[key]
        self.suspects_at[flight.runner.name] -= flight.is_suspect
        if not self.suspects_at[flight.runner.name]:
            del self.suspects_at[flight.runner.name]

    async def settle(self, runner: Runner) -> None:
        """Wait briefly until it is known whether a runner that broke has crashed."""
        case = self._cases.get(runner.key)
        if case is not None and case.task is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SETTLE_SECONDS):
                    await case.settled.wait()

    def check_list(self) -> None:
        """Look for lost runners that a new list no longer holds; call it after a load.

        Also forgets what is too old to say anything.
        """
        now = self._clock.monotonic()
        for key, flights in list(self._flights.items()):
            flight = next(iter(flights), None)
            if flight is not None and self._is_missing(flight.runner):
                self._start(self._open_case(key, flight.runner, now))
        for key, case in list(self._cases.items()):
            if self._is_missing(case.runner):
                self._start(case)
            elif case.task is None and now >= case.opened_at + INVESTIGATION_SECONDS:
                del self._cases[key]
        oldest = now - INVESTIGATION_SECONDS
        self._heard = {key: at for key, at in self._heard.items() if at > oldest}

    async def stop(self) -> None:
        """Cancel all investigations and start no more."""
        self._is_stopped = True
        tasks = [case.task for case in self._cases.values() if case.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # Flights

    def _on_answer(self, flight: Flight, key: str) -> None:
        if flight not in self._flights.get(key, ()):
            return
        now = self._clock.monotonic()
        self._heard[key] = now
        if not flight.is_answered:
            return
        context = flight.context
        if self._table.complete(now, flight.proven()) or self._clear(now, flight):
            write_log(
                "suspect-cleared",
                **context.log_fields(),
                content=context.digest().hex(),
                parts=len(context.part_digests()) if flight.has_run else 0,
                runner=flight.runner.name,
            )

    def _clear(self, now: float, flight: Flight) -> bool:
        """Clear a request whose response was no success; return if it was a suspect."""
        if flight.has_run or not self._table.has_suspects:
            return False
        return self._table.clear(now, flight.context.digest())

    def _on_failure(self, flight: Flight, error: BaseException) -> None:
        match error:
            case _ if flight not in self._flights.get(flight.runner.key, ()):
                pass
            case ConnectionRefused():
                self._on_refused(flight)
            case AttemptFailed(sent=False):
                pass
            case AttemptFailed() if not isinstance(error, RunnerSilent):
                self._lose(flight, broke=True)
            case _:
                self._lose(flight, broke=False)

    def _on_refused(self, flight: Flight) -> None:
        """Investigate a runner that refuses connections and may have lost requests."""
        key = flight.runner.key
        if key in self._cases or len(self._flights[key]) > 1:
            now = self._clock.monotonic()
            self._start(self._open_case(key, flight.runner, now))

    def _lose(self, flight: Flight, broke: bool) -> None:
        """Record a request without a response.

        A runner is probed at once if the connection broke. If the caller left or the
        time ran out, it is probed unless it responded to another request just before.
        """
        key = flight.runner.key
        now = self._clock.monotonic()
        was_heard = self._heard.get(key, float("-inf")) > now - RECENTLY_SECONDS
        case = self._open_case(key, flight.runner, now)
        for suspect in flight.suspects(now):
            if len(case.lost) < MAX_LOST_PER_RUNNER:
                case.lost[suspect] = now
        if broke and case.broke_at is None:
            case.broke_at = now
        if broke or not was_heard:
            self._start(case)

    # Investigation

    def _open_case(self, key: str, runner: Runner, now: float) -> _Case:
        case = self._cases.get(key)
        if case is None:
            case = self._cases[key] = _Case(runner, now)
        return case

    def _start(self, case: _Case) -> None:
        if case.task is None and not self._is_stopped:
            case.task = asyncio.create_task(self._investigate(case))

    async def _investigate(self, case: _Case) -> None:
        key = case.runner.key
        until = self._clock.monotonic() + INVESTIGATION_SECONDS
        interval = FIRST_INTERVAL_SECONDS
        try:
            while self._clock.monotonic() < until:
                started_at = self._clock.monotonic()
                finding = await self._examine(case)
                if isinstance(finding, Evidence) and self._counts(finding):
                    self._report(key, case, finding)
                case.settled.set()
                if finding is Evidence.GONE:
                    return
                if finding in (_Finding.ALIVE, _Finding.LEFT):
                    self._rule_out(key, case, finding, started_at)
                    if not case.lost:
                        return
                await asyncio.sleep(interval)
                interval = min(MAX_INTERVAL_SECONDS, 2 * interval)
        finally:
            case.settled.set()
            if self._cases.get(key) is case:
                del self._cases[key]

    def _counts(self, evidence: Evidence) -> bool:
        """Return whether evidence says something of a runner.

        What a node that reaches no runner sees of one may be a fault of its own links.
        """
        return evidence is Evidence.GONE or not self._is_cut()

    async def _examine(self, case: _Case) -> Evidence | _Finding:
        """Return what the list and one probe tell of a lost runner.

        A list may leave a living runner out, so that alone is no evidence.
        """
        if self._runners.is_leaving(case.runner):
            return _Finding.LEFT
        listed = self._runners.find(case.runner.name)
        if listed is not None and listed.runner.boot != case.runner.boot:
            return Evidence.GONE
        finding = await self._probe_once(case)
        if listed is None and finding is not _Finding.ALIVE:
            return Evidence.GONE
        return finding

    async def _probe_once(self, case: _Case) -> Evidence | _Finding:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                boot = await self._probe(case.runner)
        except TimeoutError:
            case.silences += 1
            is_silent = case.silences >= SILENT_PROBES
            return Evidence.SILENT if is_silent else _Finding.UNKNOWN
        except RunnerReplaced:
            return Evidence.GONE
        except ConnectionRefused:
            await self._await_breaks(case)
            return Evidence.REFUSED
        except AttemptFailed:
            return _Finding.UNKNOWN
        case.silences = 0
        return self._judge_response(case, boot)

    def _judge_response(self, case: _Case, boot: int) -> Evidence | _Finding:
        """Return what a response tells, with the boot that it names, 0 for none."""
        if boot and case.runner.boot and boot != case.runner.boot:
            return Evidence.GONE
        is_named = boot != 0 or case.runner.boot == 0
        now = self._clock.monotonic()
        if is_named or case.reported is None:
            return _Finding.ALIVE
        if now >= case.opened_at + UNNAMED_BOOT_SECONDS:
            return _Finding.ALIVE
        return _Finding.UNKNOWN

    async def _await_breaks(self, case: _Case) -> None:
        """Wait until no request from before the loss is open at the runner."""
        key = case.runner.key
        until = self._clock.monotonic() + HALF_OPEN_SECONDS
        while self._clock.monotonic() < until:
            flights = self._flights.get(key, ())
            if not any(flight.started_at <= case.opened_at for flight in flights):
                return
            await asyncio.sleep(BREAK_POLL_SECONDS)

    def _is_missing(self, runner: Runner) -> bool:
        """Return whether the list does not hold a boot that has not given notice."""
        listed = self._runners.find(runner.name)
        is_listed = listed is not None and listed.runner.boot == runner.boot
        return not is_listed and not self._runners.is_leaving(runner)

    def _report(self, key: str, case: _Case, evidence: Evidence) -> None:
        now = self._clock.monotonic()
        flights = self._flights.get(key, set())
        in_flight = [s for flight in flights for s in flight.suspects(now)]
        suspects = dict.fromkeys((*case.lost, *in_flight))
        if not suspects:
            return
        at = now if case.broke_at is None else case.broke_at
        case.reported = max(evidence, case.reported or evidence)
        if self._table.report(now, key, at, evidence, suspects):
            contents = [digest.hex() for digest in suspects if is_content(digest)]
            write_log(
                "runner-crashed",
                runner=case.runner.name,
                boot=case.runner.boot,
                evidence=evidence.name.lower(),
                suspects=len(suspects),
                parts=sum(map(is_part, suspects)),
                contents=",".join(contents[:MAX_LOGGED_CONTENTS]),
                age=round(now - at, 3),
                list_age=round(now - self._runners.read_at, 3),
            )

    def _rule_out(
        self, key: str, case: _Case, finding: _Finding, probed_at: float
    ) -> None:
        """Drop the requests lost before a probe that the runner responded to."""
        now = self._clock.monotonic()
        before = [digest for digest, at in case.lost.items() if at <= probed_at]
        for digest in before:
            del case.lost[digest]
        if case.reported is not None:
            self._table.void(now, key)
        write_log(
            "runner-alive",
            runner=case.runner.name,
            boot=case.runner.boot,
            finding=finding.value,
            lost=len(before),
            reported=case.reported is not None,
        )
        case.reported = case.broke_at = None
