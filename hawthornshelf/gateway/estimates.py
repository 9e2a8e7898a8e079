"""Estimate durations from those seen lately."""

__all__ = ["LocalEstimate", "SizedEstimate", "fade"]

LEARNING_SHARE = 0.1
"""Weight of a new sample in the running mean and deviation."""

SLOPE_SHARE = 0.05
"""Weight of a new sample in the slope: it depends on the engine, not on its load."""

DEVIATIONS = 2.0
"""So many mean deviations above the mean, few durations are longer."""


def fade(seconds: float, half_life: float) -> float:
    """Return the part that is left of what was learnt so many seconds ago."""
    return 0.5 ** (max(0.0, seconds) / half_life)


class SizedEstimate:
    """Expect a duration that few exceed, in seconds, from the size of the work.

    The expected duration is a running straight line over the size. What was learnt
    of its height fades towards a first guess: a duration that seems too long keeps
    work away, and then nothing new would be learnt.
    """

    def __init__(self, guess: float, half_life: float) -> None:
        self._guess = guess
        self._half_life = half_life
        self._mean = guess
        self._mean_size: float | None = None
        self._variance = 0.0
        self._covariance = 0.0
        self._deviation = 0.0
        self._learnt_at = 0.0

    def note(self, now: float, seconds: float, size: float) -> None:
        """Learn from work that has just ended."""
        left = self._left(now)
        error = abs(seconds - self.mean(now, size))
        deviation = self._deviation * left
        self._deviation = deviation + LEARNING_SHARE * (error - deviation)
        mean = self._faded_mean(left)
        mean_size = size if self._mean_size is None else self._mean_size
        above, larger = seconds - mean, size - mean_size
        self._mean = mean + LEARNING_SHARE * above
        self._mean_size = mean_size + LEARNING_SHARE * larger
        self._variance += SLOPE_SHARE * (larger * larger - self._variance)
        self._covariance += SLOPE_SHARE * (larger * above - self._covariance)
        self._learnt_at = now

    def expect(self, now: float, size: float) -> float:
        """Return the duration to expect now."""
        margin = DEVIATIONS * self._deviation * self._left(now)
        return self.mean(now, size) + margin

    def mean(self, now: float, size: float) -> float:
        """Return the mean duration of such work lately."""
        mean = self._faded_mean(self._left(now))
        if self._mean_size is None or self._variance == 0.0:
            return mean
        slope = max(0.0, self._covariance / self._variance)
        return max(0.0, mean + slope * (size - self._mean_size))

    def _faded_mean(self, left: float) -> float:
        return self._guess + (self._mean - self._guess) * left

    def _left(self, now: float) -> float:
        return fade(now - self._learnt_at, self._half_life)


class LocalEstimate:
    """Expect a duration at one place, from what all places of its kind tell.

    How far the place differs from the others fades: with few samples of its own it
    is expected to be like them.
    """

    def __init__(self, common: SizedEstimate, half_life: float) -> None:
        self._common = common
        self._half_life = half_life
        self._offset = 0.0
        self._learnt_at = 0.0

    def note(self, now: float, seconds: float, size: float) -> None:
        """Learn from work that has just ended here."""
        offset = self._faded_offset(now)
        error = seconds - self._common.mean(now, size) - offset
        self._offset = offset + LEARNING_SHARE * error
        self._learnt_at = now
        self._common.note(now, seconds, size)

    def expect(self, now: float, size: float) -> float:
        """Return the duration to expect here now."""
        return self._common.expect(now, size) + self._faded_offset(now)

    def _faded_offset(self, now: float) -> float:
        return self._offset * fade(now - self._learnt_at, self._half_life)
