"""Choose where a generation request is prefilled and where it runs."""

import math
import random
from typing import NamedTuple

import xxhash

from hawthornshelf.gateway.exchange import Prompt
from hawthornshelf.gateway.runners import RunnerState, RunnerTable, Stage

__all__ = ["Placement", "place"]

HANDOVER_TOKENS = 1024
"""Shorter prompts are read where they run: a hand-over costs more than it saves."""

PREFILL_WEIGHT = 2.0
"""An engine of the prefill stage reads a prompt twice as fast as one that decodes."""

BUSY_TOKENS = 12_000
"""Own prompt tokens in flight from which a part's second home is tried."""

HOMES = 2


class Placement(NamedTuple):
    """Hold the runner that runs a request, and the one that reads its prompt first."""

    run: RunnerState
    prefill: RunnerState | None = None


def place(
    now: float,
    runners: RunnerTable,
    service: str,
    prompt: Prompt,
    tried: set[str],
    rng: random.Random,
) -> Placement | None:
    """Return where a request goes, or None if no runner may take it.

    Answers the load in which long shared prompts exceed any one engine's memory:
    a shared part keeps to its homes, so that it is read once and not everywhere.
    """
    decoders = runners.usable(now, service, (Stage.DECODE, Stage.MIXED), tried)
    if not decoders:
        return None
    if prompt.tokens < HANDOVER_TOKENS:
        return Placement(_least_loaded(decoders, rng))
    readers = runners.usable(now, service, (Stage.PREFILL,), tried)
    home = _find_home([*decoders, *readers], _key(prompt))
    if home.runner.stage is not Stage.PREFILL:
        return Placement(home)
    near = [
        state
        for state in decoders
        if state.runner.data_centre == home.runner.data_centre
    ]
    return Placement(_least_loaded(near or decoders, rng), home)


def _key(prompt: Prompt) -> str:
    shared = prompt.shared()
    return shared[-1] if shared else prompt.parts[-1].part if prompt.parts else ""


def _find_home(states: list[RunnerState], key: str) -> RunnerState:
    """Return the first home of a part that is not busy, or the least busy one."""
    ranked = sorted(states, key=lambda state: _distance(key, state))[:HOMES]
    for state in ranked:
        if state.tokens < BUSY_TOKENS * _weight(state):
            return state
    return min(ranked, key=lambda state: state.tokens / _weight(state))


def _weight(state: RunnerState) -> float:
    return PREFILL_WEIGHT if state.runner.stage is Stage.PREFILL else 1.0


def _distance(key: str, state: RunnerState) -> float:
    """Return the weighted rendezvous distance; the smallest is the first home."""
    digest = xxhash.xxh3_64_intdigest(f"{key}/{state.runner.name}".encode())
    return -math.log((digest + 1) / 2**64) / _weight(state)


def _least_loaded(states: list[RunnerState], rng: random.Random) -> RunnerState:
    return min(
        states, key=lambda s: (s.in_flight / max(1, s.runner.slots), rng.random())
    )
