"""Choose the engines that prefill and run a generation request."""

import math
import random
from collections.abc import Callable, Iterable
from functools import lru_cache
from typing import NamedTuple

import xxhash

from hawthornshelf.gateway.exchange import Prompt
from hawthornshelf.gateway.runners import RunnerState, RunnerTable, Stage

__all__ = ["Engines", "Placement", "Placer", "estimate_ttft", "find_owners", "is_long"]

LONG_PROMPT_TOKENS = 1024
"""From this size on, a prompt's prefill delays the tokens of the rest of the batch."""

INTERACTIVE_SHARE = 0.2
"""Minimum share of the decoding engines that is kept for interactive requests."""

MIN_RESERVED_SLOTS = 16
MIN_RESERVED_ENGINES = 10
"""Fewer engines, each with fewer slots, serve all classes of requests.

To keep a whole one for a class would refuse the other class while slots are idle. Of
more engines one is a small share, and streams on engines that prefill long prompts have
pauses.
"""

MAX_LENT_USE = 0.5
"""Use of the interactive engines up to which they are lent to long prompts.

It is relative to the requests that they are planned for: in a burst of long prompts
interactive requests keep the engines that they use.
"""

RESERVE_SHARE = 0.25
"""Engines that a node gives neither interactive requests nor long prompts.

Their number is relative to that of the interactive engines. Nodes differ in their
counts of interactive requests and so in which engines they treat as interactive; the
gap covers that difference.
"""

MAX_INTERACTIVE_PER_ENGINE = 64
"""Most interactive requests planned per engine, even if it has more slots.

More requests in one batch slow each other's decoding until the longest responses
miss their deadline.
"""

PREFILL_WEIGHT = 2.0
"""Weight of a prefill engine as an owner: it prefills twice as fast as the others."""

PREFIX_OWNERS = 2
"""Number of engines that cache a shared prefix.

The second one takes a prompt if the first has no room for it or would be too late.
"""

LONG_PROMPTS_PER_NODE = 1
"""Long prompts that one node may have in prefill at an engine.

Bounds the queue at an engine during a burst: with ten nodes at most ten prompts are
ahead, which the engine prefills within the target for the first token.
"""

MAX_CACHED_ENGINES = 4096
"""Entries in the cache of hashed engine names; beyond it names are hashed again."""


class Placement(NamedTuple):
    """Store the engines chosen for a request.

    `run` runs the request. `prefill` prefills the prompt first; None leaves that to
    `run`. `backup` keeps a copy of the run's KV cache.
    """

    run: RunnerState
    prefill: RunnerState | None = None
    backup: RunnerState | None = None

    @property
    def prefiller(self) -> RunnerState:
        """Return the engine that prefills the prompt."""
        return self.prefill or self.run


class Engines(NamedTuple):
    """Store the engines of a service that accept new work, by use.

    Of the `decoders`, the `interactive` ones prefill no long prompts and the
    `long_prompt` ones run no interactive requests, unless engines are lent: then
    `interactive` are all decoders. `prefillers` only prefill. `lent` take the long
    prompts for which the owners of their prefixes have no room. With `are_shared` a
    refusal is likely, so their load is read before a request is sent.
    """

    decoders: list[RunnerState]
    interactive: list[RunnerState]
    long_prompt: list[RunnerState]
    prefillers: list[RunnerState]
    lent: list[RunnerState]
    are_shared: bool = False


def is_long(prompt: Prompt) -> bool:
    """Return whether prefilling a prompt noticeably delays other requests' tokens."""
    return prompt.tokens >= LONG_PROMPT_TOKENS


class Placer:
    """Place generation requests on a service's engines.

    Together the shared prefixes of long prompts exceed any one engine's KV cache, so
    each prefix has fixed owners (rendezvous hashing) and is prefilled there rather
    than on every engine. Interactive requests need steady decoding, so as many engines
    as they need prefill no long prompts at all.
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
        """Return the engines that accept new work, or None if none can decode.

        Runners named in `tried` are left out.
        """
        stages = (Stage.DECODE, Stage.MIXED)
        decoders = self._runners.engines(now, service, stages, tried)
        if not decoders:
            return None
        prefillers = self._runners.engines(now, service, (Stage.PREFILL,), tried)
        ordered = sorted(
            decoders, key=lambda state: _interactive_order(state.runner.name)
        )
        is_small = len(ordered) < MIN_RESERVED_ENGINES
        if is_small and ordered[0].runner.slots < MIN_RESERVED_SLOTS:
            return Engines(decoders, ordered, ordered, prefillers, [], are_shared=True)
        count = self._count_interactive_engines(ordered)
        reserve = int(RESERVE_SHARE * count)
        interactive, long_prompt = ordered[:count], ordered[count + reserve :]
        if self._runners.refusals.lends_engines(now, service):
            lent = self._find_lent(interactive, ordered[count : count + reserve])
            return Engines(decoders, ordered, long_prompt, prefillers, lent, True)
        return Engines(decoders, interactive, long_prompt, prefillers, [])

    def lend_engines(self, now: float, service: str, cause: str) -> None:
        """Let each class of requests use all engines of a service for some time."""
        self._runners.refusals.record(now, service, cause)

    def record_overload(self, now: float, service: str) -> None:
        """Lend no engines for some time, as each class needs its own."""
        self._runners.refusals.record_overload(now, service)

    def place_interactive(
        self, engines: Engines, run: RunnerState | None = None
    ) -> Placement:
        """Return the engine for an interactive request and the backup of its KV cache.

        `run` is an engine that is already chosen, if any.
        """
        run = run or self._least_loaded(engines.interactive)
        build = run.runner.build
        others = [
            state
            for state in engines.decoders
            if state is not run and state.runner.build == build
        ]
        return Placement(run, backup=self._least_loaded(others) if others else None)

    def place_long(
        self, now: float, engines: Engines, prompt: Prompt, max_ttft: float
    ) -> Placement | None:
        """Return the placement of a long prompt, or None if no owner has room for it.

        An owner must be expected to send the first token within `max_ttft` seconds.
        """
        size = prompt.own_tokens
        key = _prefix_key(prompt)
        lent = sorted(engines.lent, key=lambda state: _distance(key, state))
        for owner in (*find_owners(engines, prompt), *lent):
            has_room = owner.long_prefills < LONG_PROMPTS_PER_NODE
            if has_room and owner.ttft.estimate(now, size) <= max_ttft:
                return self._place_at(engines, owner)
        return None

    def place_late(self, engines: Engines, prompt: Prompt) -> Placement:
        """Return the placement of a long prompt that can't meet its target.

        It goes to its first owner and waits there behind all other requests.
        """
        return self._place_at(engines, find_owners(engines, prompt)[0])

    def _place_at(self, engines: Engines, owner: RunnerState) -> Placement:
        """Return the placement of a long prompt that an owner prefills.

        A prefill engine can't decode, so the least loaded interactive engine of its
        build runs the request after it, or else any engine of its build, as one build
        may not be able to read the KV cache of another. Without any, the prompt is
        prefilled where it runs. Any other owner also runs the request.
        """
        if owner.runner.stage is not Stage.PREFILL:
            return Placement(owner)
        build = owner.runner.build
        same = _of_build(engines.interactive, build) or _of_build(
            engines.decoders, build
        )
        if same:
            return Placement(self._least_loaded(same), owner)
        return Placement(self._least_loaded(engines.interactive))

    def _find_lent(
        self, interactive: list[RunnerState], reserve: list[RunnerState]
    ) -> list[RunnerState]:
        """Return the engines that long prompts may use besides their own."""
        planned = len(interactive) * _plan_requests(interactive[0])
        is_busy = self._count_interactive_requests() > MAX_LENT_USE * planned
        return reserve if is_busy else interactive + reserve

    def _count_interactive_engines(self, ordered: list[RunnerState]) -> int:
        """Return how many decoding engines are kept for interactive requests.

        At least one is. All nodes order the engines alike and have nearly the same
        count of interactive requests, so they choose nearly the same engines.
        """
        capacity = _plan_requests(ordered[0])
        needed = math.ceil(self._count_interactive_requests() / capacity)
        return max(1, int(INTERACTIVE_SHARE * len(ordered)), needed)

    def _least_loaded(self, states: list[RunnerState]) -> RunnerState:
        def load(state: RunnerState) -> tuple[float, float]:
            return (state.in_flight / state.runner.slots, self._rng.random())

        return min(states, key=load)


def _of_build(states: list[RunnerState], build: str) -> list[RunnerState]:
    return [state for state in states if state.runner.build == build]


def _prefix_key(prompt: Prompt) -> str:
    """Return the digest that selects the owners: of the last shared segment, if any."""
    shared = prompt.shared_digests()
    if shared:
        return shared[-1]
    return prompt.segments[-1].digest if prompt.segments else ""


@lru_cache(maxsize=MAX_CACHED_ENGINES)
def _interactive_order(name: str) -> int:
    """Return a hash that orders engines in the same way on every node."""
    return xxhash.xxh3_64_intdigest(f"quiet/{name}".encode())


def _staffed_requests(slots: int) -> float:
    """Return the load to plan for an engine so that few requests find it full.

    Nodes choose engines independently, so the number of requests at an engine varies
    by about its square root (square-root staffing). The load plus twice its square
    root equals the number of slots.
    """
    return (math.sqrt(slots + 1) - 1) ** 2


def _plan_requests(state: RunnerState) -> float:
    """Return how many interactive requests are planned for an engine."""
    return min(_staffed_requests(state.runner.slots), MAX_INTERACTIVE_PER_ENGINE)


def estimate_ttft(now: float, engines: Engines, prompt: Prompt) -> float:
    """Return the shortest time to first token, in seconds, among suitable engines.

    For an interactive request these are the interactive engines, for a long prompt the
    owners of its prefix, whether or not they have room.
    """
    size = prompt.own_tokens
    if not is_long(prompt):
        return min(
            state.interactive_ttft.estimate(now, size) for state in engines.interactive
        )
    owners = find_owners(engines, prompt)
    return min(state.ttft.estimate(now, size) for state in owners)


def find_owners(engines: Engines, prompt: Prompt) -> list[RunnerState]:
    """Return the engines that cache a prompt's shared prefix, most preferred first."""
    states = [*engines.prefillers, *engines.long_prompt] or engines.decoders
    key = _prefix_key(prompt)
    return sorted(states, key=lambda state: _distance(key, state))[:PREFIX_OWNERS]


def _distance(key: str, state: RunnerState) -> float:
    """Return the weighted rendezvous distance; the first owner has the smallest."""
    weight = PREFILL_WEIGHT if state.runner.stage is Stage.PREFILL else 1.0
    return -math.log((_hash(key, state) + 1) / 2**64) / weight


def _hash(key: str, state: RunnerState) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}/{state.runner.name}".encode())
