"""Estimate durations from those seen lately."""

__all__ = ["FadingEstimate"]

LEARNING_SHARE = 0.1
"""Weight of a new sample in the running mean and deviation."""

DEVIATIONS = 2.0
"""So many mean deviations above the mean, few durations are longer."""


class FadingEstimate:
    """Expect a duration that few exceed, in seconds.

    What was learnt fades towards a first guess: a duration that seems too long keeps
    work away, and then nothing new would be learnt.
    """

    def __init__(self, guess: float, half_life: float) -> None:
        self._guess = guess
        self._half_life = half_life
        self._mean = guess
        self._deviation = 0.0
        self._learnt_at = 0.0

    def note(self, now: float, seconds: float) -> None:
        """Learn from a duration that has just ended."""
        fade = self._fade(now)
        mean = self._guess + (self._mean - self._guess) * fade
        error = seconds - mean
        self._mean = mean + LEARNING_SHARE * error
        deviation = self._deviation * fade
        self._deviation = deviation + LEARNING_SHARE * (abs(error) - deviation)
        self._learnt_at = now

    def expect(self, now: float) -> float:
        """Return the duration to expect now."""
        learnt = self._mean - self._guess + DEVIATIONS * self._deviation
        return self._guess + learnt * self._fade(now)

    def _fade(self, now: float) -> float:
        return 0.5 ** (max(0.0, now - self._learnt_at) / self._half_life)
