"""Generate seeded workloads with a changing ratio of prefill to decode work."""

import random
from typing import NamedTuple

from hawthornshelf.callerapi import split_blocks

__all__ = ["MIXES", "Job", "make_jobs"]

MIXES = ("prompt", "output", "swing", "overload", "burst", "failures")
SWING_SECONDS = 60.0
SHARED_PREFIXES = 40
SHARED_PREFIX_CHARACTERS = 8000


class Job(NamedTuple):
    """Represent one request.

    Its response is useful if the time to first token is at most `max_ttft` and the
    total time at most `max_total`, both in seconds.
    """

    at: float
    work: str
    prompt: str
    blocks: tuple[str, ...]
    output: int
    max_ttft: float
    max_total: float


def make_jobs(mix: str, seed: int, seconds: float) -> list[Job]:
    """Return the jobs of a mix in order of arrival.

    "prompt" has mostly prefill and "output" mostly decode work; the other mixes
    alternate between the two every SWING_SECONDS.
    """
    rng = random.Random(f"{mix}-{seed}")
    prefixes = [
        _random_text(rng, SHARED_PREFIX_CHARACTERS) for _ in range(SHARED_PREFIXES)
    ]
    jobs = []
    now = 0.0
    while now < seconds:
        now += rng.expovariate(_arrival_rate(mix, now))
        jobs.append(_make_job(mix, now, rng, prefixes))
    return jobs


def _arrival_rate(mix: str, now: float) -> float:
    """Return the arrivals per second: near the fleet's capacity, above it in bursts."""
    if mix == "burst" and now % 45 < 8:
        return 60.0
    rates = {"prompt": 16.0, "output": 10.0, "failures": 7.0, "overload": 18.0}
    return rates.get(mix, 12.0)


def _make_job(mix: str, now: float, rng: random.Random, prefixes: list[str]) -> Job:
    if rng.random() < _urgent_share(mix, now):
        prompt = rng.choice(prefixes)[:800] + _random_text(rng, 200)
        return _job(now, "urgent", prompt, rng.randrange(16, 48), 3.0, 10.0)
    if rng.random() < _long_prompt_share(mix, now):
        prompt = rng.choice(prefixes) + _random_text(rng, rng.randrange(8000, 40000))
        return _job(now, "bulk", prompt, rng.randrange(1, 4), 30.0, 60.0)
    prompt = rng.choice(prefixes)[:400] + _random_text(rng, 100)
    return _job(now, "bulk", prompt, rng.randrange(100, 400), 30.0, 60.0)


def _urgent_share(mix: str, now: float) -> float:
    if mix == "burst" and now % 45 < 8:
        return 0.85
    return 0.25


def _long_prompt_share(mix: str, now: float) -> float:
    if mix == "prompt":
        return 0.9
    if mix == "output":
        return 0.1
    return 0.9 if now % (2 * SWING_SECONDS) < SWING_SECONDS else 0.1


def _job(
    at: float, work: str, prompt: str, output: int, max_ttft: float, max_total: float
) -> Job:
    return Job(at, work, prompt, split_blocks(prompt), output, max_ttft, max_total)


def _random_text(rng: random.Random, length: int) -> str:
    return rng.randbytes(length // 2 + 1).hex()[:length]
