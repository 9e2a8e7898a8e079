"""Generate seeded workloads whose mix of prompt and output swings."""

import random
from typing import NamedTuple

from hawthornshelf.callerapi import split_blocks

__all__ = ["MIXES", "Job", "make_jobs"]

MIXES = ("prompt", "output", "swing", "overload", "burst", "failures")
SWING_SECONDS = 60.0
FAMILIES = 40
FAMILY_CHARACTERS = 8000


class Job(NamedTuple):
    """Hold one request; `first` and `total` bound a useful answer, in seconds."""

    at: float
    work: str
    prompt: str
    blocks: tuple[str, ...]
    output: int
    first: float
    total: float


def make_jobs(mix: str, seed: int, seconds: float) -> list[Job]:
    """Return the jobs of a mix in the order of their arrival."""
    rng = random.Random(f"{mix}-{seed}")
    families = [_text(rng, FAMILY_CHARACTERS) for _ in range(FAMILIES)]
    jobs = []
    now = 0.0
    while now < seconds:
        now += rng.expovariate(_rate(mix, now))
        jobs.append(_make_job(mix, now, rng, families))
    return jobs


def _rate(mix: str, now: float) -> float:
    """Return arrivals a second: near the fleet's capacity, above it in bursts."""
    if mix == "burst" and now % 45 < 8:
        return 60.0
    rates = {"prompt": 16.0, "output": 10.0, "failures": 7.0, "overload": 18.0}
    return rates.get(mix, 12.0)


def _make_job(mix: str, now: float, rng: random.Random, families: list[str]) -> Job:
    if rng.random() < _urgent_share(mix, now):
        prompt = rng.choice(families)[:800] + _text(rng, 200)
        return _job(now, "urgent", prompt, rng.randrange(16, 48), 3.0, 10.0)
    if rng.random() < _prompt_share(mix, now):
        prompt = rng.choice(families) + _text(rng, rng.randrange(8000, 40000))
        return _job(now, "bulk", prompt, rng.randrange(1, 4), 30.0, 60.0)
    prompt = rng.choice(families)[:400] + _text(rng, 100)
    return _job(now, "bulk", prompt, rng.randrange(100, 400), 30.0, 60.0)


def _urgent_share(mix: str, now: float) -> float:
    if mix == "burst" and now % 45 < 8:
        return 0.85
    return 0.25


def _prompt_share(mix: str, now: float) -> float:
    if mix == "prompt":
        return 0.9
    if mix == "output":
        return 0.1
    return 0.9 if now % (2 * SWING_SECONDS) < SWING_SECONDS else 0.1


def _job(
    at: float, work: str, prompt: str, output: int, first: float, total: float
) -> Job:
    return Job(at, work, prompt, split_blocks(prompt), output, first, total)


def _text(rng: random.Random, length: int) -> str:
    return rng.randbytes(length // 2 + 1).hex()[:length]
