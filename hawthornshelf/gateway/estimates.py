"""Estimate durations from those seen lately."""

__all__ = ["LocalDurationEstimator", "DurationEstimator", "decay_factor"]

SAMPLE_WEIGHT = 0.1
"""Weight of a new sample in the running mean and deviation."""

SLOPE_SAMPLE_WEIGHT = 0.05
"""Weight of a new sample in the slope: it depends on the engine, not on its load."""

MARGIN_DEVIATIONS = 2.0
"""So many mean deviations above the mean, few durations are longer."""


def decay_factor(seconds: float, half_life: float) -> float:
    """Return the part that is left of what was learnt so many seconds ago."""
    return 0.5 ** (max(0.0, seconds) / half_life)


class DurationEstimator:
    """Expect a duration that few exceed, in seconds, from the size of the work.

    The expected duration is a running straight line over the size. What was learnt
    of its height fades towards a first guess: a duration that seems too long keeps
    work away, and then nothing new would be learnt.
    """

    def __init__(self, initial: float, half_life: float) -> None:
        self._initial = initial
        self._half_life = half_life
        self._mean = initial
        self._mean_size: float | None = None
        self._variance = 0.0
        self._covariance = 0.0
        self._deviation = 0.0
        self._updated_at = 0.0

    def record(self, now: float, seconds: float, size: float) -> None:
        """Learn from work that has just ended."""
        decay = self._decay(now)
        error = abs(seconds - self.mean(now, size))
        deviation = self._deviation * decay
        self._deviation = deviation + SAMPLE_WEIGHT * (error - deviation)
        mean = self._decayed_mean(decay)
        mean_size = size if self._mean_size is None else self._mean_size
        excess, size_excess = seconds - mean, size - mean_size
        self._mean = mean + SAMPLE_WEIGHT * excess
        self._mean_size = mean_size + SAMPLE_WEIGHT * size_excess
        self._variance += SLOPE_SAMPLE_WEIGHT * (
            size_excess * size_excess - self._variance
        )
        self._covariance += SLOPE_SAMPLE_WEIGHT * (
            size_excess * excess - self._covariance
        )
        self._updated_at = now

    def estimate(self, now: float, size: float) -> float:
        """Return the duration to expect now."""
        margin = MARGIN_DEVIATIONS * self._deviation * self._decay(now)
        return self.mean(now, size) + margin

    def mean(self, now: float, size: float) -> float:
        """Return the mean duration of such work lately."""
        mean = self._decayed_mean(self._decay(now))
        if self._mean_size is None or self._variance == 0.0:
            return mean
        slope = max(0.0, self._covariance / self._variance)
        return max(0.0, mean + slope * (size - self._mean_size))

    def _decayed_mean(self, decay: float) -> float:
        return self._initial + (self._mean - self._initial) * decay

    def _decay(self, now: float) -> float:
        return decay_factor(now - self._updated_at, self._half_life)


class LocalDurationEstimator:
    """Expect a duration at one place, from what all places of its kind tell.

    How far the place differs from the others fades: with few samples of its own it
    is expected to be like them.
    """

    def __init__(self, common: DurationEstimator, half_life: float) -> None:
        self._common = common
        self._half_life = half_life
        self._offset = 0.0
        self._updated_at = 0.0

    def record(self, now: float, seconds: float, size: float) -> None:
        """Learn from work that has just ended here."""
        offset = self._decayed_offset(now)
        error = seconds - self._common.mean(now, size) - offset
        self._offset = offset + SAMPLE_WEIGHT * error
        self._updated_at = now
        self._common.record(now, seconds, size)

    def estimate(self, now: float, size: float) -> float:
        """Return the duration to expect here now."""
        return self._common.estimate(now, size) + self._decayed_offset(now)

    def _decayed_offset(self, now: float) -> float:
        return self._offset * decay_factor(now - self._updated_at, self._half_life)
