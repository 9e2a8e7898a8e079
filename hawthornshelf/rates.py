"""Learn from completed requests how fast a service's upstreams are."""

from typing import NamedTuple

__all__ = ["ServiceRates", "RateEstimator"]

FIRST_GUESS_SECONDS = 0.5
FIRST_GUESS_PREFILL = 8000.0
SMOOTHING = 0.1
PREFILL_DECAY = 0.995
MIN_PREFILL = 500.0
MAX_PREFILL = 1_000_000.0
MIN_SAMPLE_TOKENS = 500


class ServiceRates(NamedTuple):
    """Hold a service's slot times in seconds and prefill in tokens a second."""

    urgent: float = FIRST_GUESS_SECONDS
    bulk: float = FIRST_GUESS_SECONDS
    prefill: float = FIRST_GUESS_PREFILL


class RateEstimator:
    """Hold the pace of each service as this node has seen it."""

    def __init__(self) -> None:
        self._rates: dict[str, ServiceRates] = {}

    def find(self, service: str) -> ServiceRates:
        """Return the pace of a service."""
        return self._rates.get(service, ServiceRates())

    def record_completion(self, service: str, urgent: bool, seconds: float) -> None:
        """Take in how long an attempt held its slot."""
        rates = self.find(service)
        if urgent:
            rates = rates._replace(urgent=_smooth(rates.urgent, seconds))
        else:
            rates = rates._replace(bulk=_smooth(rates.bulk, seconds))
        self._rates[service] = rates

    def record_first_token(self, service: str, tokens: int, seconds: float) -> None:
        """Take in how soon a prompt's first token came; the best ones count."""
        if tokens < MIN_SAMPLE_TOKENS or seconds <= 0:
            return
        rates = self.find(service)
        rate = max(rates.prefill * PREFILL_DECAY, tokens / seconds)
        bounded = min(max(rate, MIN_PREFILL), MAX_PREFILL)
        self._rates[service] = rates._replace(prefill=bounded)


def _smooth(known: float, seconds: float) -> float:
    return known + SMOOTHING * (seconds - known)
