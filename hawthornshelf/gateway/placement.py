"""Choose where a generation request is prefilled and where it runs."""

import math
import random
from collections.abc import Callable
from typing import NamedTuple

import xxhash

from hawthornshelf.gateway.exchange import Prompt
from hawthornshelf.gateway.runners import RunnerState, RunnerTable, Stage

__all__ = ["Placement", "Placer", "is_long"]

LONG_TOKENS = 1024
"""Longer prompts delay every token that their engine generates meanwhile."""

QUIET_FILL = 0.75
"""Part of an engine's slots that conversations fill before they take another one."""

QUIET_STREAMS = 64
"""Conversations from which one more engine is taken, however many slots are left.

More of them slow each other's tokens until the longest answers miss their deadline.
"""

PREFILL_WEIGHT = 2.0
"""An engine of the prefill stage reads a prompt twice as fast as one that decodes."""

HOMES = 2
"""A shared part is kept by so many engines: one, and one to turn to when it is busy."""

LONG_PER_NODE = 1
"""Long prompts that one node has in flight at an engine.

Answers bursts of long prompts: with ten nodes an engine has ten prompts ahead at
most, which it reads within the time that callers want the first token.
"""


class Placement(NamedTuple):
    """Hold the runner that runs a request, and the one that reads its prompt first."""

    run: RunnerState
    prefill: RunnerState | None = None
    backup: RunnerState | None = None

    @property
    def reader(self) -> RunnerState:
        """Return the runner that reads the prompt."""
        return self.prefill or self.run


def is_long(prompt: Prompt) -> bool:
    """Tell if a prompt takes an engine long enough to delay others' tokens."""
    return prompt.tokens >= LONG_TOKENS


class Placer:
    """Place generation requests on a service's engines.

    Answers the load in which long shared prompts exceed any one engine's memory,
    beside conversations whose tokens must flow: a shared part keeps to its homes,
    so that it is read once and not everywhere, and as many engines as the
    conversations need read no long prompts at all.
    """

    def __init__(
        self,
        runners: RunnerTable,
        rng: random.Random,
        count_streams: Callable[[], float],
    ) -> None:
        self._runners = runners
        self._rng = rng
        self._count_streams = count_streams

    def place(
        self,
        now: float,
        service: str,
        prompt: Prompt,
        tried: set[str],
        start_within: float = float("inf"),
        is_late: bool = False,
    ) -> Placement | None:
        """Return where a request goes; None if no runner may take it now.

        The first token is to come within so many seconds. Late requests go to an
        engine even if it is busy: it puts them behind all others.
        """
        stages = (Stage.DECODE, Stage.MIXED)
        decoders = self._runners.engines(now, service, stages, tried)
        if not decoders:
            return None
        quiet = self._quiet(decoders)
        if not is_long(prompt):
            return self._place_conversation(decoders, quiet)
        homes = self._homes(now, service, prompt, tried, decoders, quiet)
        if not is_late:
            homes = _free_homes(now, homes, prompt, start_within)
        if not homes:
            return None
        if homes[0].runner.stage is Stage.PREFILL:
            return Placement(self._least_loaded(quiet), homes[0])
        return Placement(homes[0])

    def expect_start(
        self, now: float, service: str, prompt: Prompt, tried: set[str]
    ) -> float:
        """Return the seconds to the first token at the engine that has it soonest."""
        stages = (Stage.DECODE, Stage.MIXED)
        decoders = self._runners.engines(now, service, stages, tried)
        quiet = self._quiet(decoders)
        size = prompt.own_tokens
        if not is_long(prompt):
            return min(state.short_start.expect(now, size) for state in quiet)
        homes = self._homes(now, service, prompt, tried, decoders, quiet)
        return min(state.start.expect(now, size) for state in homes)

    def _place_conversation(
        self, decoders: list[RunnerState], quiet: list[RunnerState]
    ) -> Placement:
        run = self._least_loaded(quiet)
        others = [state for state in decoders if state is not run]
        return Placement(run, backup=self._least_loaded(others) if others else None)

    def _homes(
        self,
        now: float,
        service: str,
        prompt: Prompt,
        tried: set[str],
        decoders: list[RunnerState],
        quiet: list[RunnerState],
    ) -> list[RunnerState]:
        """Return the engines that keep a prompt's shared part, the first one first."""
        readers = self._runners.engines(now, service, (Stage.PREFILL,), tried)
        mixed = [state for state in decoders if state not in quiet]
        key = _key(prompt)
        states = [*readers, *mixed] or decoders
        return sorted(states, key=lambda state: _distance(key, state))[:HOMES]

    def has_runner(self, now: float, service: str, tried: set[str]) -> bool:
        """Tell if any engine could run a request, busy or not."""
        stages = (Stage.DECODE, Stage.MIXED)
        return bool(self._runners.usable(now, service, stages, tried))

    def _quiet(self, decoders: list[RunnerState]) -> list[RunnerState]:
        """Return the decoding engines that read no long prompts, at least one.

        Every node ranks them alike and has about the same count of conversations.
        """
        ranked = sorted(decoders, key=lambda state: _hash("quiet", state))
        full = min(QUIET_FILL * ranked[0].runner.slots, QUIET_STREAMS)
        wanted = self._count_streams() / full
        return ranked[: max(1, math.ceil(wanted))]

    def _least_loaded(self, states: list[RunnerState]) -> RunnerState:
        def load(state: RunnerState) -> tuple[float, float]:
            return (state.in_flight / state.runner.slots, self._rng.random())

        return min(states, key=load)


def _key(prompt: Prompt) -> str:
    shared = prompt.shared()
    if shared:
        return shared[-1]
    return prompt.parts[-1].part if prompt.parts else ""


def _free_homes(
    now: float, homes: list[RunnerState], prompt: Prompt, start_within: float
) -> list[RunnerState]:
    """Return the homes that have room and are soon enough."""
    size = prompt.own_tokens
    return [
        state
        for state in homes
        if state.long_prompts < LONG_PER_NODE
        and state.start.expect(now, size) <= start_within
    ]


def _distance(key: str, state: RunnerState) -> float:
    """Return the weighted rendezvous distance; the smallest is the first home."""
    weight = PREFILL_WEIGHT if state.runner.stage is Stage.PREFILL else 1.0
    return -math.log((_hash(key, state) + 1) / 2**64) / weight


def _hash(key: str, state: RunnerState) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}/{state.runner.name}".encode())
