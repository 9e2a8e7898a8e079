"""Model an engine that batches continuously, free of I/O."""

import hashlib
from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = ["EngineModel", "EngineRates", "Piece", "Sequence"]

BLOCK_CHARACTERS = 64
CHARACTERS_PER_TOKEN = 4


class EngineRates(NamedTuple):
    """Set an engine's speed in tokens per second and its sizes."""

    prefill: float = 8000.0
    decode: float = 60.0
    slots: int = 8
    cache_blocks: int = 2000


class Piece(NamedTuple):
    """Hold one token that a request got; the last one ends it."""

    request: str
    offset: int
    text: str
    last: bool


@dataclass
class Sequence:
    """Hold one request as it runs or waits."""

    request: str
    prompt: str
    max_tokens: int
    offset: int
    priority: int
    prefill_left: float = 0.0
    progress: float = 0.0
    blocks: list[str] = field(default_factory=list)


def token_text(prompt: str, offset: int) -> str:
    """Return the token at an offset, which only the prompt decides."""
    digest = hashlib.blake2b(f"{offset}:{prompt}".encode(), digest_size=3)
    return f" {digest.hexdigest()}"


class EngineModel:
    """Hold the running and waiting requests and the prefix cache."""

    def __init__(self, rates: EngineRates) -> None:
        self.rates = rates
        self.running: dict[str, Sequence] = {}
        self.waiting: list[Sequence] = []
        self.cache: dict[str, None] = {}

    def submit(self, sequence: Sequence) -> None:
        """Queue a request: lower priority numbers first."""
        sequence.blocks = _split(sequence.prompt)
        self.waiting.append(sequence)
        self.waiting.sort(key=lambda s: s.priority)

    def cancel(self, request: str) -> None:
        """Drop a request."""
        self.running.pop(request, None)
        self.waiting = [s for s in self.waiting if s.request != request]

    def waiting_tokens(self) -> int:
        """Return the prompt tokens that are still to be prefilled."""
        left = sum(s.prefill_left for s in self.running.values())
        queued = sum(len(s.prompt) // CHARACTERS_PER_TOKEN for s in self.waiting)
        return int(left) + queued

    def step(self, seconds: float) -> list[Piece]:
        """Run for some seconds and return the tokens made."""
        while self.waiting and len(self.running) < self.rates.slots:
            self._start(self.waiting.pop(0))
        spent = self._prefill(seconds)
        return self._decode(seconds * (1.0 - 0.5 * spent))

    def _start(self, sequence: Sequence) -> None:
        cached = 0
        for block in sequence.blocks:
            if block not in self.cache:
                break
            cached += 1
        left = len(sequence.prompt) - cached * BLOCK_CHARACTERS
        sequence.prefill_left = max(1.0, left / CHARACTERS_PER_TOKEN)
        self.running[sequence.request] = sequence

    def _prefill(self, seconds: float) -> float:
        """Spend the prefill rate by priority; return the share of it spent."""
        budget = self.rates.prefill * seconds
        whole = budget
        for sequence in sorted(self.running.values(), key=lambda s: s.priority):
            used = min(budget, sequence.prefill_left)
            budget -= used
            sequence.prefill_left -= used
            if used and sequence.prefill_left <= 0:
                self._remember(sequence.blocks)
        return (whole - budget) / whole if whole else 0.0

    def _decode(self, seconds: float) -> list[Piece]:
        pieces = []
        for sequence in list(self.running.values()):
            if sequence.prefill_left > 0:
                continue
            sequence.progress += self.rates.decode * seconds
            while sequence.progress >= 1.0:
                sequence.progress -= 1.0
                text = token_text(sequence.prompt, sequence.offset)
                last = sequence.offset + 1 >= sequence.max_tokens
                pieces.append(Piece(sequence.request, sequence.offset, text, last))
                sequence.offset += 1
                if last:
                    del self.running[sequence.request]
                    break
        return pieces

    def _remember(self, blocks: list[str]) -> None:
        for block in blocks:
            self.cache.pop(block, None)
            self.cache[block] = None
        while len(self.cache) > self.rates.cache_blocks:
            del self.cache[next(iter(self.cache))]


def _split(prompt: str) -> list[str]:
    running = hashlib.blake2b(digest_size=8)
    blocks = []
    for number in range(len(prompt) // BLOCK_CHARACTERS):
        start = number * BLOCK_CHARACTERS
        running.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        blocks.append(running.hexdigest())
    return blocks
