"""Learn from completed requests how fast a service's upstreams are."""

from typing import NamedTuple

__all__ = ["Pace", "Rates"]

FIRST_GUESS_SECONDS = 0.5
FIRST_GUESS_PREFILL = 8000.0
SMOOTHING = 0.1
PREFILL_DECAY = 0.995
MIN_PREFILL = 500.0
MAX_PREFILL = 1_000_000.0
MIN_SAMPLE_TOKENS = 500


class Pace(NamedTuple):
    """Hold a service's slot times in seconds and prefill in tokens a second."""

    urgent: float = FIRST_GUESS_SECONDS
    bulk: float = FIRST_GUESS_SECONDS
    prefill: float = FIRST_GUESS_PREFILL


class Rates:
    """Hold the pace of each service as this node has seen it."""

    def __init__(self) -> None:
        self._paces: dict[str, Pace] = {}

    def find(self, service: str) -> Pace:
        """Return the pace of a service."""
        return self._paces.get(service, Pace())

    def note_completed(self, service: str, urgent: bool, seconds: float) -> None:
        """Take in how long an attempt held its slot."""
        pace = self.find(service)
        if urgent:
            pace = pace._replace(urgent=_smooth(pace.urgent, seconds))
        else:
            pace = pace._replace(bulk=_smooth(pace.bulk, seconds))
        self._paces[service] = pace

    def note_first(self, service: str, tokens: int, seconds: float) -> None:
        """Take in how soon a prompt's first token came; the best ones count."""
        if tokens < MIN_SAMPLE_TOKENS or seconds <= 0:
            return
        pace = self.find(service)
        rate = max(pace.prefill * PREFILL_DECAY, tokens / seconds)
        bounded = min(max(rate, MIN_PREFILL), MAX_PREFILL)
        self._paces[service] = pace._replace(prefill=bounded)


def _smooth(known: float, seconds: float) -> float:
    return known + SMOOTHING * (seconds - known)
