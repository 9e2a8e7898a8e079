"""Estimate from completed requests how fast a service's upstreams are."""

from typing import NamedTuple

__all__ = ["RateEstimator", "ServiceRates"]

INITIAL_SLOT_SECONDS = 0.5
INITIAL_PREFILL_RATE = 8000.0
SMOOTHING_FACTOR = 0.1
PREFILL_RATE_DECAY = 0.995
MIN_PREFILL_RATE = 500.0
MAX_PREFILL_RATE = 1_000_000.0
MIN_SAMPLE_TOKENS = 500


class ServiceRates(NamedTuple):
    """Represent the estimated rates of a service.

    `urgent` and `bulk` are the seconds that a request of that kind occupies a slot,
    and `prefill` is in prompt tokens per second.
    """

    urgent: float = INITIAL_SLOT_SECONDS
    bulk: float = INITIAL_SLOT_SECONDS
    prefill: float = INITIAL_PREFILL_RATE


class RateEstimator:
    """Estimate the rates of each service from this node's requests."""

    def __init__(self) -> None:
        self._rates: dict[str, ServiceRates] = {}

    def find(self, service: str) -> ServiceRates:
        """Return the rates of a service, or defaults if there are no samples."""
        return self._rates.get(service, ServiceRates())

    def record_completion(self, service: str, urgent: bool, seconds: float) -> None:
        """Record the seconds that an attempt occupied its slot (moving average)."""
        rates = self.find(service)
        if urgent:
            rates = rates._replace(urgent=_update_average(rates.urgent, seconds))
        else:
            rates = rates._replace(bulk=_update_average(rates.bulk, seconds))
        self._rates[service] = rates

    def record_first_token(self, service: str, tokens: int, seconds: float) -> None:
        """Record a prompt's time to first token in seconds.

        The prefill rate is the highest rate seen, decaying with each sample. Prompts
        under MIN_SAMPLE_TOKENS are ignored.
        """
        if tokens < MIN_SAMPLE_TOKENS or seconds <= 0:
            return
        rates = self.find(service)
        rate = max(rates.prefill * PREFILL_RATE_DECAY, tokens / seconds)
        bounded = min(max(rate, MIN_PREFILL_RATE), MAX_PREFILL_RATE)
        self._rates[service] = rates._replace(prefill=bounded)


def _update_average(average: float, seconds: float) -> float:
    return average + SMOOTHING_FACTOR * (seconds - average)
