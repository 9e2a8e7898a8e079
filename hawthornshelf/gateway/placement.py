"""Choose where a generation request is prefilled and where it runs."""

import math
import random
from collections.abc import Callable, Iterable
from functools import lru_cache
from typing import NamedTuple

import xxhash

from hawthornshelf.gateway.exchange import Prompt
from hawthornshelf.gateway.runners import RunnerState, RunnerTable, Stage

__all__ = ["Engines", "Placement", "Placer", "estimate_ttft", "is_long"]

LONG_PROMPT_TOKENS = 1024
"""Longer prompts delay every token that their engine generates meanwhile."""

INTERACTIVE_SHARE = 0.2
"""Part of the decoding engines that are ready for conversations before any come."""

RESERVE_SHARE = 0.25
"""Engines next to the quiet ones that are left to neither kind, by the quiet ones.

Nodes differ so much in their count of conversations, and so in which engines they
take for quiet.
"""

INTERACTIVE_PER_ENGINE = 64
"""Conversations from which one more engine is taken, however many slots are left.

More of them slow each other's tokens until the longest answers miss their deadline.
"""

PREFILL_WEIGHT = 2.0
"""An engine of the prefill stage reads a prompt twice as fast as one that decodes."""

PREFIX_OWNERS = 2
"""A shared part is kept by so many engines: one, and one to turn to when it is busy."""

LONG_PROMPTS_PER_NODE = 1
"""Long prompts that one node has in flight at an engine.

Answers bursts of long prompts: with ten nodes an engine has ten prompts ahead at
most, which it reads within the time that callers want the first token.
"""


MAX_CACHED_ENGINES = 4096
"""Engines of which the rank is remembered; more are ranked anew each time."""


class Placement(NamedTuple):
    """Hold the runner that runs a request, and the one that reads its prompt first."""

    run: RunnerState
    prefill: RunnerState | None = None
    backup: RunnerState | None = None

    @property
    def prefiller(self) -> RunnerState:
        """Return the runner that reads the prompt."""
        return self.prefill or self.run


class Engines(NamedTuple):
    """Hold the engines of a service that may take new work.

    Those of `decoders` that are `quiet` read no long prompts, the `mixed` ones take
    no conversations; `readers` only read.
    """

    decoders: list[RunnerState]
    interactive: list[RunnerState]
    long_prompt: list[RunnerState]
    prefillers: list[RunnerState]


def is_long(prompt: Prompt) -> bool:
    """Tell if a prompt takes an engine long enough to delay others' tokens."""
    return prompt.tokens >= LONG_PROMPT_TOKENS


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
        count_interactive_requests: Callable[[], float],
    ) -> None:
        self._runners = runners
        self._rng = rng
        self._count_interactive_requests = count_interactive_requests

    def find_engines(
        self, now: float, service: str, tried: Iterable[str]
    ) -> Engines | None:
        """Return the engines that may take new work; None if none could run any."""
        stages = (Stage.DECODE, Stage.MIXED)
        decoders = self._runners.engines(now, service, stages, tried)
        if not decoders:
            return None
        prefillers = self._runners.engines(now, service, (Stage.PREFILL,), tried)
        ordered = sorted(
            decoders, key=lambda state: _interactive_order(state.runner.name)
        )
        count = self._count_interactive_engines(ordered)
        reserve = int(RESERVE_SHARE * count)
        return Engines(
            decoders, ordered[:count], ordered[count + reserve :], prefillers
        )

    def place_interactive(
        self, engines: Engines, run: RunnerState | None = None
    ) -> Placement:
        """Return where a conversation runs, and where a copy of its memory is kept."""
        run = run or self._least_loaded(engines.interactive)
        others = [state for state in engines.decoders if state is not run]
        return Placement(run, backup=self._least_loaded(others) if others else None)

    def place_long(
        self, now: float, engines: Engines, prompt: Prompt, max_ttft: float
    ) -> Placement | None:
        """Return where a long prompt goes; None if no home may take it now.

        The first token is to come within so many seconds.
        """
        size = prompt.own_tokens
        for owner in _find_owners(engines, prompt):
            has_room = owner.long_prefills < LONG_PROMPTS_PER_NODE
            if has_room and owner.ttft.estimate(now, size) <= max_ttft:
                return self._place_at(engines, owner)
        return None

    def place_late(self, engines: Engines, prompt: Prompt) -> Placement:
        """Return where a late long prompt goes: behind all others at its home."""
        return self._place_at(engines, _find_owners(engines, prompt)[0])

    def _place_at(self, engines: Engines, owner: RunnerState) -> Placement:
        if owner.runner.stage is Stage.PREFILL:
            return Placement(self._least_loaded(engines.interactive), owner)
        return Placement(owner)

    def _count_interactive_engines(self, ordered: list[RunnerState]) -> int:
        """Return how many decoding engines read no long prompts, at least one.

        Every node ranks them alike and has about the same count of conversations.
        """
        full = min(_staffed_requests(ordered[0].runner.slots), INTERACTIVE_PER_ENGINE)
        wanted = math.ceil(self._count_interactive_requests() / full)
        return max(1, int(INTERACTIVE_SHARE * len(ordered)), wanted)

    def _least_loaded(self, states: list[RunnerState]) -> RunnerState:
        def load(state: RunnerState) -> tuple[float, float]:
            return (state.in_flight / state.runner.slots, self._rng.random())

        return min(states, key=load)


def _prefix_key(prompt: Prompt) -> str:
    shared = prompt.shared_digests()
    if shared:
        return shared[-1]
    return prompt.segments[-1].digest if prompt.segments else ""


@lru_cache(maxsize=MAX_CACHED_ENGINES)
def _interactive_order(name: str) -> int:
    """Return a number by which every node ranks engines alike."""
    return xxhash.xxh3_64_intdigest(f"quiet/{name}".encode())


def _staffed_requests(slots: int) -> float:
    """Return how many conversations an engine holds so that few find it full.

    Nodes choose without knowing each other's choice, so that the number at an engine
    deviates by its square root (square-root staffing).
    """
    return (math.sqrt(slots + 1) - 1) ** 2


def estimate_ttft(now: float, engines: Engines, prompt: Prompt) -> float:
    """Return the seconds to the first token at the engine that has it soonest."""
    size = prompt.own_tokens
    if not is_long(prompt):
        return min(
            state.interactive_ttft.estimate(now, size) for state in engines.interactive
        )
    owners = _find_owners(engines, prompt)
    return min(state.ttft.estimate(now, size) for state in owners)


def _find_owners(engines: Engines, prompt: Prompt) -> list[RunnerState]:
    """Return the engines that keep a prompt's shared part, the first one first."""
    states = [*engines.prefillers, *engines.long_prompt] or engines.decoders
    key = _prefix_key(prompt)
    return sorted(states, key=lambda state: _distance(key, state))[:PREFIX_OWNERS]


def _distance(key: str, state: RunnerState) -> float:
    """Return the weighted rendezvous distance; the smallest is the first home."""
    weight = PREFILL_WEIGHT if state.runner.stage is Stage.PREFILL else 1.0
    return -math.log((_hash(key, state) + 1) / 2**64) / weight


def _hash(key: str, state: RunnerState) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}/{state.runner.name}".encode())
