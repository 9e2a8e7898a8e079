"""Track the state of each runner as seen by this node, and choose among runners."""

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from hawthornshelf.departures import DepartureTable
from hawthornshelf.gateway.estimates import (
    DurationEstimator,
    LocalDurationEstimator,
    decay_factor,
)
from hawthornshelf.gateway.refusals import RefusalMemory

__all__ = ["Runner", "RunnerList", "RunnerState", "RunnerTable", "Stage"]

DOWN_SECONDS = 1.0
"""Time for which a failed runner gets no work; each further failure doubles it."""

MAX_DOWN_SECONDS = 4.0
REMOTE_DATA_CENTRE_LOAD = 0.3
"""Cost of another data centre, in shares of a runner's slots in use."""

ERROR_RATE_LOAD = 3.0
"""Cost of an error rate of 1, in the same unit: three times all slots in use."""

ERROR_RATE_SAMPLE_WEIGHT = 0.1
"""Weight of a new outcome in a runner's moving average of errors."""

ERROR_RATE_HALF_LIFE_SECONDS = 5.0
MAX_ERROR_RATE = 0.25
"""At this error rate an engine is used only if all others have reached it as well."""

INITIAL_TTFT_SECONDS = 0.06
"""Estimate of a long prompt's time to first token before there are samples."""

INITIAL_INTERACTIVE_TTFT_SECONDS = 0.02
RETURN_SPREAD_SHARE = 0.2
"""Longest time after a pause until a node returns, as a share of the pause.

Nodes that were paused together return one after the other.
"""

MAX_RETURN_SPREAD_SECONDS = 2.0
MAX_PAUSE_DOUBLINGS = 4
MAX_PAUSE_EXTENSION_SECONDS = 10.0
"""Longest time for which others go first after the pauses of a runner that goes on
refusing this node.

Each return costs one refusal, and so a part of the retry budget.
"""

MAX_LEFT_NAMES = 1024
"""Names kept of runners that left as planned."""

TTFT_HALF_LIFE_SECONDS = 1.0


class Stage(Enum):
    """Name the stage of generation that an engine serves.

    MIXED is both stages; runners of plain services are MIXED as well.
    """

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class Runner(NamedTuple):
    """Describe one runner as the platform lists it.

    `boot` identifies one start of the runner; 0 means that the list does not say it.
    `build` is the version of its software, not of the weights that it serves. A spot
    engine may be taken back by the platform: it is leaving then, and gone in
    `leaves_in` seconds from when the list was read, None if the list doesn't tell.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool = False
    stage: Stage = Stage.MIXED
    boot: int = 0
    build: str = ""
    is_spot: bool = False
    leaves_in: float | None = None

    @property
    def key(self) -> str:
        """Return the name that all nodes give to this boot of the runner."""
        return f"{self.name}/{self.boot}"


class RunnerList(NamedTuple):
    """Store the platform's list of runners; `read_at` is in monotonic seconds.

    A source may name a runner more than once; a reader of the list chooses one entry.
    `unusable` counts the entries that name no runner.
    """

    runners: tuple[Runner, ...]
    read_at: float
    unusable: int = 0


@dataclass(slots=True)
class RunnerState:
    """Track one runner as seen by this node.

    `ttft` and `interactive_ttft` estimate the time to first token of long and short
    prompts that are prefilled there, by the number of tokens that no other request
    shares. `in_flight` counts all requests, `long_requests` those with a long prompt
    and `long_prefills` the long prompts in prefill there that are not late. Until
    `down_until` other runners go first; until `paused_until` it gets no request.
    `answered_at` is when it last answered a request of this node.
    """

    runner: Runner
    ttft: LocalDurationEstimator
    interactive_ttft: LocalDurationEstimator
    in_flight: int = 0
    long_requests: int = 0
    long_prefills: int = 0
    consecutive_failures: int = 0
    error_rate: float = 0.0
    error_rate_at: float = 0.0
    down_until: float = 0.0
    paused_until: float = 0.0
    consecutive_pauses: int = 0
    answered_at: float = float("-inf")

    @property
    def interactive_requests(self) -> int:
        """Return how many interactive requests are in flight from this node."""
        return self.in_flight - self.long_requests

    def current_error_rate(self, now: float) -> float:
        """Return the error rate, which decays so that the runner is tried again."""
        return self.error_rate * decay_factor(
            now - self.error_rate_at, ERROR_RATE_HALF_LIFE_SECONDS
        )


class RunnerTable:
    """Store the state of all listed runners, indexed by service."""

    def __init__(
        self,
        data_centre: str,
        rng: random.Random,
        departures: DepartureTable | None = None,
    ) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self.departures = DepartureTable() if departures is None else departures
        self.refusals = RefusalMemory()
        self._states: dict[str, RunnerState] = {}
        self._services: dict[str, list[RunnerState]] = {}
        self._ttfts: dict[tuple[str, Stage, float], DurationEstimator] = {}
        self.read_at = float("-inf")
        self._left: deque[tuple[str, int]] = deque(maxlen=MAX_LEFT_NAMES)

    def load(self, runner_list: RunnerList) -> tuple[list[str], list[str]]:
        """Apply a newer list; return the names that were added and removed.

        A runner that started again under its old name counts as both.
        """
        old = self._states
        old_boots = {name: state.runner.boot for name, state in old.items()}
        states: dict[str, RunnerState] = {}
        services: dict[str, list[RunnerState]] = {}
        for runner in runner_list.runners:
            state = old.get(runner.name)
            if state is None or not _is_same(state.runner, runner):
                state = self._make_state(runner)
            state.runner = runner
            states[runner.name] = state
        for state in states.values():
            services.setdefault(state.runner.service, []).append(state)
        self._states, self._services = states, services
        self.read_at = runner_list.read_at
        restarted = {
            name
            for name in states.keys() & old.keys()
            if states[name].runner.boot != old_boots[name]
        }
        self._left.extend(
            (name, old_boots[name])
            for name in old.keys() - states.keys()
            if self._leaves(old[name].runner)
        )
        added = (states.keys() - old.keys()) | restarted
        return sorted(added), sorted((old.keys() - states.keys()) | restarted)

    def _make_state(self, runner: Runner) -> RunnerState:
        ttft = self._make_ttft(runner, INITIAL_TTFT_SECONDS)
        interactive_ttft = self._make_ttft(runner, INITIAL_INTERACTIVE_TTFT_SECONDS)
        return RunnerState(runner, ttft, interactive_ttft)

    def _make_ttft(self, runner: Runner, initial: float) -> LocalDurationEstimator:
        """Return an engine's estimator, backed by one shared by its service and stage.

        `initial` is the estimate, in seconds, before there are samples.
        """
        key = (runner.service, runner.stage, initial)
        half_life = TTFT_HALF_LIFE_SECONDS
        common = self._ttfts.setdefault(key, DurationEstimator(initial, half_life))
        return LocalDurationEstimator(common, half_life)

    def find(self, name: str) -> RunnerState | None:
        """Return the state of a runner, or None if it is not listed."""
        return self._states.get(name)

    def keys(self) -> frozenset[str]:
        """Return the names of all listed boots of runners."""
        return frozenset(state.runner.key for state in self._states.values())

    def find_address(self, address: str) -> RunnerState | None:
        """Return the state of the runner listed at an address, or None."""
        states = self._states.values()
        return next((s for s in states if s.runner.address == address), None)

    def is_leaving(self, runner: Runner) -> bool:
        """Return whether a boot of a runner gave notice, also once it has left."""
        listed = self._states.get(runner.name)
        if listed is not None and listed.runner.boot == runner.boot:
            return self._leaves(listed.runner)
        return (runner.name, runner.boot) in self._left

    def _leaves(self, runner: Runner) -> bool:
        """Return whether the list or the runner itself says that it leaves."""
        return runner.is_leaving or runner.key in self.departures

    def accepts_work(self, now: float, state: RunnerState) -> bool:
        """Return whether a runner chosen earlier is still listed and takes requests."""
        if self._states.get(state.runner.name) is not state:
            return False
        return now >= state.paused_until and not self._leaves(state.runner)

    def is_paused(self, now: float, runner: Runner) -> bool:
        """Return whether a runner wants no request of this node now."""
        state = self._states.get(runner.name)
        return state is not None and now < state.paused_until

    def seconds_paused(self, now: float, service: str) -> float:
        """Return after how many seconds the first paused runner of a service returns.

        0 means that none is paused.
        """
        waits = [
            state.paused_until - now
            for state in self.in_service(service)
            if now < state.paused_until and not self._leaves(state.runner)
        ]
        return min(waits, default=0.0)

    def record_pause(
        self, runner: Runner, answered_at: float, seconds: float
    ) -> float | None:
        """Record that a runner wants no request of this node for some seconds.

        One that refuses the first request after a pause too gets none for twice as long
        while others can serve.
        Return when this node returns to it, in monotonic seconds, or None if its boot
        is no longer listed.
        """
        state = self._states.get(runner.name)
        if state is None or state.runner.boot != runner.boot:
            return None
        if answered_at >= state.paused_until:
            state.consecutive_pauses += 1
        doublings = min(state.consecutive_pauses, MAX_PAUSE_DOUBLINGS + 1) - 1
        extension = seconds * (2.0**doublings - 1.0)
        spread = min(RETURN_SPREAD_SHARE * seconds, MAX_RETURN_SPREAD_SECONDS)
        until = answered_at + seconds + self._rng.uniform(0.0, spread)
        state.paused_until = max(state.paused_until, until)
        last = until + min(extension, MAX_PAUSE_EXTENSION_SECONDS)
        state.down_until = max(state.down_until, last)
        return state.paused_until

    def count_interactive_requests(self) -> int:
        """Return how many interactive requests this node has in flight at all engines.

        Runners of the mixed stage, which include plain ones, don't count.
        """
        return sum(
            state.interactive_requests
            for state in self._states.values()
            if state.runner.stage is not Stage.MIXED
        )

    def in_service(self, service: str) -> list[RunnerState]:
        """Return the runners of a service, leaving ones included."""
        return self._services.get(service, [])

    def available(
        self, now: float, service: str, stages: Iterable[Stage], tried: Iterable[str]
    ) -> list[RunnerState]:
        """Return the runners that accept new work.

        Runners that failed recently are left out, unless that leaves none; those that
        leave or want no requests now are left out in any case.
        """
        wanted, skip = set(stages), set(tried)
        listed = [
            state
            for state in self.in_service(service)
            if now >= state.paused_until
            and not self._leaves(state.runner)
            and state.runner.stage in wanted
            and state.runner.name not in skip
        ]
        return [state for state in listed if now >= state.down_until] or listed

    def engines(
        self, now: float, service: str, stages: Iterable[Stage], tried: Iterable[str]
    ) -> list[RunnerState]:
        """Return the engines that accept new work.

        Those with a high error rate are left out, unless that leaves none.
        """
        states = self.available(now, service, stages, tried)
        return [
            s for s in states if s.current_error_rate(now) < MAX_ERROR_RATE
        ] or states

    def choose_plain(
        self, now: float, service: str, tried: Iterable[str]
    ) -> RunnerState | None:
        """Return the runner of a plain service with the lowest cost, or None.

        The cost is made up of load, distance and error rate.
        """
        states = self.available(now, service, (Stage.MIXED,), tried)
        return min(states, key=lambda s: self._plain_cost(now, s), default=None)

    def record_success(self, state: RunnerState) -> None:
        """Record a successful response."""
        state.consecutive_failures = state.consecutive_pauses = 0
        state.down_until = 0.0
        state.error_rate -= ERROR_RATE_SAMPLE_WEIGHT * state.error_rate

    def staying(self) -> list[Runner]:
        """Return the listed runners that don't leave."""
        runners = [state.runner for state in self._states.values()]
        return [runner for runner in runners if not self._leaves(runner)]

    def forget_failures(self) -> None:
        """Forget what this node saw of runners while it reached none."""
        for state in self._states.values():
            state.consecutive_failures = 0
            state.down_until = state.error_rate = 0.0

    def record_error(self, now: float, state: RunnerState) -> None:
        """Record an error response or a missing one.

        The runner itself may be healthy, so it keeps getting work.
        """
        rate = state.current_error_rate(now)
        state.error_rate = rate + ERROR_RATE_SAMPLE_WEIGHT * (1.0 - rate)
        state.error_rate_at = now

    def record_failure(self, now: float, state: RunnerState) -> float:
        """Record a failure and return for how many seconds the runner gets no work.

        Failures while it is already excluded don't extend that: one crash breaks all
        requests in flight there.
        """
        self.record_error(now, state)
        if now < state.down_until:
            return state.down_until - now
        state.consecutive_failures += 1
        seconds = min(
            MAX_DOWN_SECONDS, DOWN_SECONDS * 2 ** (state.consecutive_failures - 1)
        )
        state.down_until = now + seconds
        return seconds

    def _plain_cost(self, now: float, state: RunnerState) -> tuple[float, float]:
        runner = state.runner
        distance = (
            0.0 if runner.data_centre == self._data_centre else REMOTE_DATA_CENTRE_LOAD
        )
        load = state.in_flight / max(1, runner.slots)
        error_load = ERROR_RATE_LOAD * state.current_error_rate(now)
        return (load + distance + error_load, self._rng.random())


def _is_same(one: Runner, other: Runner) -> bool:
    """Return whether the state recorded for one runner holds for the other."""
    return (one.address, one.stage, one.boot, one.build) == (
        other.address,
        other.stage,
        other.boot,
        other.build,
    )
