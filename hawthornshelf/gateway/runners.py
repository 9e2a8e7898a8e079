"""Keep what a node knows of each runner, and choose among them."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from hawthornshelf.gateway.estimates import (
    DurationEstimator,
    LocalDurationEstimator,
    decay_factor,
)

__all__ = ["RunnerList", "Runner", "RunnerState", "RunnerTable", "Stage"]

DOWN_SECONDS = 1.0
"""How long a runner that failed is left out; doubled by each further failure."""

MAX_DOWN_SECONDS = 4.0
REMOTE_DATA_CENTRE_LOAD = 0.3
"""Another data centre weighs as much as this part of a runner's slots taken."""

ERROR_RATE_LOAD = 3.0
"""A runner that fails all its requests weighs as much as this many times its slots."""

ERROR_RATE_SAMPLE_WEIGHT = 0.1
"""Weight of the newest outcome in a runner's running share of failures."""

ERROR_RATE_HALF_LIFE_SECONDS = 5.0
MAX_ERROR_RATE = 0.25
"""From this share of failures on an engine is used only if all others are as bad."""


INITIAL_TTFT_SECONDS = 0.06
"""First guess of the time from sending a long prompt to its first token."""

INITIAL_INTERACTIVE_TTFT_SECONDS = 0.02
TTFT_HALF_LIFE_SECONDS = 1.0


class Stage(Enum):
    """Name the part of the work that an engine does."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class Runner(NamedTuple):
    """Hold one runner as the platform lists it."""

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool = False
    stage: Stage = Stage.MIXED


class RunnerList(NamedTuple):
    """Hold the platform's list of runners; `read_at` in monotonic seconds."""

    runners: tuple[Runner, ...]
    read_at: float


@dataclass(slots=True)
class RunnerState:
    """Hold one runner and what this node has seen of it.

    `start` and `short_start` estimate the time to the first token of long and short
    prompts that are read there, by how many tokens are the request's own.
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

    @property
    def interactive_requests(self) -> int:
        """Return how many conversations this node has at the runner."""
        return self.in_flight - self.long_requests

    def current_error_rate(self, now: float) -> float:
        """Return the share of failures, which fades so that the runner is tried."""
        return self.error_rate * decay_factor(
            now - self.error_rate_at, ERROR_RATE_HALF_LIFE_SECONDS
        )


class RunnerTable:
    """Hold all listed runners, indexed by service."""

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._states: dict[str, RunnerState] = {}
        self._services: dict[str, list[RunnerState]] = {}
        self._ttfts: dict[tuple[str, Stage, float], DurationEstimator] = {}
        self.read_at = float("-inf")

    def load(self, runner_list: RunnerList) -> tuple[list[str], list[str]]:
        """Take a newer list; return the names that came and that went."""
        old = self._states
        states: dict[str, RunnerState] = {}
        services: dict[str, list[RunnerState]] = {}
        for runner in runner_list.runners:
            state = old.get(runner.name)
            if state is None or not _is_same(state.runner, runner):
                state = self._make_state(runner)
            state.runner = runner
            states[runner.name] = state
            services.setdefault(runner.service, []).append(state)
        self._states, self._services = states, services
        self.read_at = runner_list.read_at
        return sorted(states.keys() - old.keys()), sorted(old.keys() - states.keys())

    def _make_state(self, runner: Runner) -> RunnerState:
        ttft = self._make_ttft(runner, INITIAL_TTFT_SECONDS)
        interactive_ttft = self._make_ttft(runner, INITIAL_INTERACTIVE_TTFT_SECONDS)
        return RunnerState(runner, ttft, interactive_ttft)

    def _make_ttft(self, runner: Runner, guess: float) -> LocalDurationEstimator:
        """Return an engine's estimate, which shares what others of its stage tell."""
        key = (runner.service, runner.stage, guess)
        half_life = TTFT_HALF_LIFE_SECONDS
        common = self._ttfts.setdefault(key, DurationEstimator(guess, half_life))
        return LocalDurationEstimator(common, half_life)

    def find(self, name: str) -> RunnerState | None:
        """Return one runner's state."""
        return self._states.get(name)

    def takes_work(self, state: RunnerState) -> bool:
        """Tell if a runner chosen before is still listed and does not leave."""
        listed = self._states.get(state.runner.name) is state
        return listed and not state.runner.is_leaving

    def count_interactive_requests(self) -> int:
        """Return how many conversations this node has at all engines."""
        return sum(
            state.interactive_requests
            for state in self._states.values()
            if state.runner.stage is not Stage.MIXED
        )

    def in_service(self, service: str) -> list[RunnerState]:
        """Return the runners of a service, leaving ones included."""
        return self._services.get(service, [])

    def usable(
        self, now: float, service: str, stages: Iterable[Stage], tried: Iterable[str]
    ) -> list[RunnerState]:
        """Return the runners that may take new work; down ones if all others are."""
        wanted, skip = set(stages), set(tried)
        listed = [
            state
            for state in self.in_service(service)
            if not state.runner.is_leaving
            and state.runner.stage in wanted
            and state.runner.name not in skip
        ]
        return [state for state in listed if now >= state.down_until] or listed

    def engines(
        self, now: float, service: str, stages: Iterable[Stage], tried: Iterable[str]
    ) -> list[RunnerState]:
        """Return the engines that may take new work, without those that often fail."""
        states = self.usable(now, service, stages, tried)
        return [
            s for s in states if s.current_error_rate(now) < MAX_ERROR_RATE
        ] or states

    def choose_plain(
        self, now: float, service: str, tried: Iterable[str]
    ) -> RunnerState | None:
        """Return the least loaded runner of a plain service, near ones first."""
        states = self.usable(now, service, (Stage.MIXED,), tried)
        return min(states, key=lambda s: self._plain_cost(now, s), default=None)

    def record_success(self, state: RunnerState) -> None:
        """Note a good answer."""
        state.consecutive_failures = 0
        state.down_until = 0.0
        state.error_rate -= ERROR_RATE_SAMPLE_WEIGHT * state.error_rate

    def record_error(self, now: float, state: RunnerState) -> None:
        """Note an answer that failed, or none: the runner itself may be sound."""
        share = state.current_error_rate(now)
        state.error_rate = share + ERROR_RATE_SAMPLE_WEIGHT * (1.0 - share)
        state.error_rate_at = now

    def record_failure(self, now: float, state: RunnerState) -> float:
        """Leave a runner out for a while; return for how many seconds.

        What fails while it is left out anyway tells nothing new: one crash breaks
        all that is open there.
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
    """Tell if what was learnt of a runner still holds."""
    return (one.address, one.stage) == (other.address, other.stage)
