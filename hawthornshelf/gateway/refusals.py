"""Track refusals by full engines, after which all classes of requests share engines.

A node knows its own requests at an engine and not those of the other nodes, so a
refusal is the only sure sign that an engine is full.
"""

from hawthornshelf.logs import write_log

__all__ = ["RefusalMemory"]

LENDING_SECONDS = 10.0
"""Time after a refusal for which a service's engines serve all classes of requests.

It is the window of the retry budget: a node whose share is one extra send a window
can afford one refusal in that time.
"""


OVERLOAD_SECONDS = 2.0
"""Time after a late or rejected prompt in which no engines are lent."""


class RefusalMemory:
    """Track when engines of each service were last found full."""

    def __init__(self) -> None:
        self._refused_at: dict[str, float] = {}
        self._overloaded_at: dict[str, float] = {}

    def record(self, now: float, service: str, cause: str) -> None:
        """Record that engines were full, and how this node learnt it.

        `now` is in monotonic seconds.
        """
        if not self.lends_engines(now, service):
            write_log("engines-lent", service=service, cause=cause)
        self._refused_at[service] = now

    def lends_engines(self, now: float, service: str) -> bool:
        """Return whether engines were full within the last LENDING_SECONDS."""
        refused_at = self._refused_at.get(service, float("-inf"))
        overloaded_at = self._overloaded_at.get(service, float("-inf"))
        if now < overloaded_at + OVERLOAD_SECONDS:
            return False
        return now < refused_at + LENDING_SECONDS

    def record_overload(self, now: float, service: str) -> None:
        """Record that prompts come faster than a service's engines prefill them."""
        self._overloaded_at[service] = now
