"""Describe rate limits of runners and permits between nodes."""

from typing import NamedTuple

__all__ = ["Permit", "RateLimitRow"]


class RateLimitRow(NamedTuple):
    """Represent the latest word of one boot of a runner; `age` is in seconds.

    `rate` is in requests a second, None if the runner names no limit any more.
    """

    runner: str
    rate: float | None
    age: float


class Permit(NamedTuple):
    """Answer a request for a permit.

    A granted one is to be used after `wait` seconds; else none is free before that.
    """

    is_granted: bool
    wait: float
