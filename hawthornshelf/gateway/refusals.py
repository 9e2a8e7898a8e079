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
"""Time after a late prompt in which no engines are lent."""


class RefusalMemory:
    """Track when engines of each service were last found full."""

    def __init__(self) -> None:
        self._refused_at: dict[str, float] = {}
        self._overloaded_at: dict[str, float] = {}

    def record(self, now: float, service: str, cause: str) -> None:
        """Record that engines were full, and how this node learnt it.

        `now` is in monotonic seconds. Only the first of several records in
        LENDING_SECONDS is logged.
        """
        if now >= self._refused_at.get(service, float("-inf")) + LENDING_SECONDS:
            overloaded = self._is_overloaded(now, service)
            write_log(
                "engines-lent", service=service, cause=cause, overloaded=overloaded
            )
        self._refused_at[service] = now

    def lends_engines(self, now: float, service: str) -> bool:
        """Return whether engines were full lately and the service is not overloaded."""
        if self._is_overloaded(now, service):
            return False
        return now < self._refused_at.get(service, float("-inf")) + LENDING_SECONDS

    def record_overload(self, now: float, service: str) -> None:
        """Record that prompts come faster than a service's engines prefill them."""
        self._overloaded_at[service] = now

    def _is_overloaded(self, now: float, service: str) -> bool:
        overloaded_at = self._overloaded_at.get(service, float("-inf"))
        return now < overloaded_at + OVERLOAD_SECONDS
