"""Estimate durations from recent samples."""

__all__ = ["DurationEstimator", "LocalDurationEstimator", "decay_factor"]

SAMPLE_WEIGHT = 0.1
"""Weight of a new sample in the moving averages of mean and deviation."""

SLOPE_SAMPLE_WEIGHT = 0.05
"""Weight of a new sample in the slope.

It is smaller, as the slope depends on the engine and not on its load.
"""

MARGIN_DEVIATIONS = 2.0
"""Mean deviations added to the mean; few durations exceed the sum."""


def decay_factor(seconds: float, half_life: float) -> float:
    """Return the weight of a value after `seconds` of exponential decay.

    Both parameters are in seconds; negative ages count as 0.
    """
    return 0.5 ** (max(0.0, seconds) / half_life)


class DurationEstimator:
    """Estimate a duration, in seconds, that few samples of a given size exceed.

    The mean is an exponentially weighted linear regression over the size. Its level
    decays towards the initial value: an estimate that is too high keeps work away,
    so that there would be no samples to correct it.
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
        """Record the duration of work that has just ended; `now` is in seconds."""
        decay = self._decay(now)
        error = abs(seconds - self.mean(now, size))
        deviation = self._deviation * decay
        self._deviation = deviation + SAMPLE_WEIGHT * (error - deviation)
        mean = self._decayed_mean(decay)
        mean_size = size if self._mean_size is None else self._mean_size
        difference, size_difference = seconds - mean, size - mean_size
        self._mean = mean + SAMPLE_WEIGHT * difference
        self._mean_size = mean_size + SAMPLE_WEIGHT * size_difference
        self._variance += SLOPE_SAMPLE_WEIGHT * (
            size_difference * size_difference - self._variance
        )
        self._covariance += SLOPE_SAMPLE_WEIGHT * (
            size_difference * difference - self._covariance
        )
        self._updated_at = now

    def estimate(self, now: float, size: float) -> float:
        """Return a duration that few samples of this size exceed, as of `now`."""
        margin = MARGIN_DEVIATIONS * self._deviation * self._decay(now)
        return self.mean(now, size) + margin

    def mean(self, now: float, size: float) -> float:
        """Return the recent mean duration of work of this size."""
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
    """Estimate a duration at one engine from the samples of all engines of its kind.

    The engine's offset from the common estimate decays: with few samples of its own
    it is estimated like the others.
    """

    def __init__(self, common: DurationEstimator, half_life: float) -> None:
        self._common = common
        self._half_life = half_life
        self._offset = 0.0
        self._updated_at = 0.0

    def record(self, now: float, seconds: float, size: float) -> None:
        """Record the duration of work that has just ended at this engine."""
        offset = self._decayed_offset(now)
        error = seconds - self._common.mean(now, size) - offset
        self._offset = offset + SAMPLE_WEIGHT * error
        self._updated_at = now
        self._common.record(now, seconds, size)

    def estimate(self, now: float, size: float) -> float:
        """Return a duration that few samples at this engine exceed, as of `now`."""
        return self._common.estimate(now, size) + self._decayed_offset(now)

    def _decayed_offset(self, now: float) -> float:
        return self._offset * decay_factor(now - self._updated_at, self._half_life)
