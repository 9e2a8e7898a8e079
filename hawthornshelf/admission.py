"""Decide which requests an entry node takes, and when others may come back."""

from typing import NamedTuple

__all__ = ["Admission", "Verdict"]

MAX_QUEUED_PER_SERVICE = 256
MAX_OPEN_PER_WORKSPACE_SHARE = 0.5
FIRST_GUESS_SECONDS = 0.5
SMOOTHING = 0.1
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 30.0


class Verdict(NamedTuple):
    """Hold the expected wait, and a reason if the request is refused."""

    wait: float
    refusal: str = ""


class Admission:
    """Estimate the wait of each service's queue from the work that completed."""

    def __init__(self) -> None:
        self._seconds: dict[str, float] = {}

    def note_completed(self, service: str, seconds: float) -> None:
        """Take in how long an attempt held its slot."""
        known = self._seconds.get(service, seconds)
        self._seconds[service] = known + SMOOTHING * (seconds - known)

    def estimate_wait(self, service: str, ahead: int, slots: int) -> float:
        """Return the seconds until a slot is free behind the requests ahead."""
        if slots <= 0:
            return MIN_RETRY_AFTER_SECONDS
        if ahead <= 0:
            return 0.0
        return ahead * self._seconds.get(service, FIRST_GUESS_SECONDS) / slots

    def judge(
        self, service: str, ahead: int, queued: int, slots: int, left: float
    ) -> Verdict:
        """Refuse what can't start within the seconds left."""
        wait = self.estimate_wait(service, ahead, slots)
        if queued >= MAX_QUEUED_PER_SERVICE:
            return Verdict(wait, "queue is full")
        if wait > left:
            return Verdict(wait, "deadline can't be met")
        return Verdict(wait)

    def retry_after(self, service: str, queued: int, slots: int) -> float:
        """Return when to come back, from the queue as it stands, in seconds."""
        wait = self.estimate_wait(service, queued, slots)
        return min(max(wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
