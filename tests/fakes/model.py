"""Model an engine with continuous batching and a prefix cache, without I/O."""

import hashlib
from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = ["EngineModel", "EngineRates", "GeneratedToken", "Sequence"]

BLOCK_CHARACTERS = 64
CHARACTERS_PER_TOKEN = 4


class EngineRates(NamedTuple):
    """Store an engine's rates in tokens per second, its slots and its cache size.

    `decode` is the rate of one sequence, `prefill` that of the whole engine.
    """

    prefill: float = 8000.0
    decode: float = 60.0
    slots: int = 8
    cache_blocks: int = 2000


class GeneratedToken(NamedTuple):
    """Represent a generated token; `last` marks the end of its request."""

    request: str
    offset: int
    text: str
    last: bool


@dataclass
class Sequence:
    """Track the progress of one running or waiting request."""

    request: str
    prompt: str
    max_tokens: int
    offset: int
    priority: int
    prefill_left: float = 0.0
    progress: float = 0.0
    blocks: list[str] = field(default_factory=list)


def token_text(prompt: str, offset: int) -> str:
    """Return the token at an offset, which depends on the prompt only."""
    digest = hashlib.blake2b(f"{offset}:{prompt}".encode(), digest_size=3)
    return f" {digest.hexdigest()}"


class EngineModel:
    """Run requests in batches with a prefix cache."""

    def __init__(self, rates: EngineRates) -> None:
        self.rates = rates
        self.running: dict[str, Sequence] = {}
        self.waiting: list[Sequence] = []
        self.cache: dict[str, None] = {}

    def submit(self, sequence: Sequence) -> None:
        """Queue a request by priority; 0 is the most urgent."""
        sequence.blocks = _split_blocks(sequence.prompt)
        self.waiting.append(sequence)
        self.waiting.sort(key=lambda s: s.priority)

    def cancel(self, request: str) -> None:
        """Remove a request."""
        self.running.pop(request, None)
        self.waiting = [s for s in self.waiting if s.request != request]

    def waiting_tokens(self) -> int:
        """Return the number of prompt tokens that are not prefilled yet."""
        running = sum(s.prefill_left for s in self.running.values())
        queued = sum(len(s.prompt) // CHARACTERS_PER_TOKEN for s in self.waiting)
        return int(running) + queued

    def step(self, seconds: float) -> list[GeneratedToken]:
        """Advance by some seconds and return the generated tokens.

        Prefill slows decode down to at most half its rate.
        """
        while self.waiting and len(self.running) < self.rates.slots:
            self._admit(self.waiting.pop(0))
        utilization = self._prefill(seconds)
        return self._decode(seconds * (1.0 - 0.5 * utilization))

    def _admit(self, sequence: Sequence) -> None:
        cached = 0
        for block in sequence.blocks:
            if block not in self.cache:
                break
            cached += 1
        uncached = len(sequence.prompt) - cached * BLOCK_CHARACTERS
        sequence.prefill_left = max(1.0, uncached / CHARACTERS_PER_TOKEN)
        self.running[sequence.request] = sequence

    def _prefill(self, seconds: float) -> float:
        """Prefill by priority; return the fraction of the capacity that was used."""
        budget = self.rates.prefill * seconds
        capacity = budget
        for sequence in sorted(self.running.values(), key=lambda s: s.priority):
            used = min(budget, sequence.prefill_left)
            budget -= used
            sequence.prefill_left -= used
            if used and sequence.prefill_left <= 0:
                self._cache_blocks(sequence.blocks)
        return (capacity - budget) / capacity if capacity else 0.0

    def _decode(self, seconds: float) -> list[GeneratedToken]:
        tokens = []
        for sequence in list(self.running.values()):
            if sequence.prefill_left > 0:
                continue
            sequence.progress += self.rates.decode * seconds
            while sequence.progress >= 1.0:
                sequence.progress -= 1.0
                text = token_text(sequence.prompt, sequence.offset)
                last = sequence.offset + 1 >= sequence.max_tokens
                tokens.append(
                    GeneratedToken(sequence.request, sequence.offset, text, last)
                )
                sequence.offset += 1
                if last:
                    del self.running[sequence.request]
                    break
        return tokens

    def _cache_blocks(self, blocks: list[str]) -> None:
        for block in blocks:
            self.cache.pop(block, None)
            self.cache[block] = None
        while len(self.cache) > self.rates.cache_blocks:
            del self.cache[next(iter(self.cache))]


def _split_blocks(prompt: str) -> list[str]:
    prefix_hash = hashlib.blake2b(digest_size=8)
    blocks = []
    for number in range(len(prompt) // BLOCK_CHARACTERS):
        start = number * BLOCK_CHARACTERS
        prefix_hash.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        blocks.append(prefix_hash.hexdigest())
    return blocks
