"""Split the engines of a simulation by role, as baselines to mixed engines."""

from collections import deque
from typing import NamedTuple, Protocol

from hawthornshelf.upstreams import Choice, UpstreamQuery, UpstreamTable

__all__ = ["ROLE_POLICIES", "RolePlan", "RoleTable"]

CHANGE_SECONDS = 5.0
DEMAND_SECONDS = 5.0
LONG_PROMPT_TOKENS = 1500
PREFILL_RATE = 8000.0
DECODE_RATE = 480.0
THRESHOLD_ENGINES = 2
THRESHOLD_SECONDS = 10.0
THRESHOLD_DWELL_SECONDS = 20.0
ROLE_POLICIES = ("split-static", "split-greedy", "split-threshold")


class Demand(NamedTuple):
    """Hold one arrival's work in seconds of a whole engine."""

    at: float
    prefill: float
    decode: float


class Engines(Protocol):
    """Tell if an engine has nothing left to do."""

    def is_idle(self, name: str) -> bool:
        """Return if an engine runs nothing."""


class RolePlan:
    """Hold the engines' roles and change them by one of the baselines."""

    def __init__(self, policy: str, names: list[str], engines: Engines) -> None:
        self._policy = policy
        self._engines = engines
        half = len(names) // 2
        self.roles = {
            name: "prefill" if number < half else "decode"
            for number, name in enumerate(names)
        }
        self.changes = 0
        self.lost_seconds = 0.0
        self._leaving: dict[str, str] = {}
        self._away: dict[str, float] = {}
        self._demand: deque[Demand] = deque()
        self._differs_since: float | None = None
        self._changed_at = float("-inf")

    def note_arrival(self, now: float, prompt: int, output: int) -> None:
        """Count a request's work."""
        self._demand.append(Demand(now, prompt / PREFILL_RATE, output / DECODE_RATE))

    def closed(self, tokens: int) -> set[str]:
        """Return the engines that a request with so long a prompt can't use."""
        wanted = "prefill" if tokens >= LONG_PROMPT_TOKENS else "decode"
        other = {name for name, role in self.roles.items() if role != wanted}
        return other | set(self._leaving) | set(self._away)

    def tick(self, now: float) -> None:
        """Finish changes under way and start the next one."""
        for name, until in list(self._away.items()):
            if now >= until:
                del self._away[name]
        for name, role in list(self._leaving.items()):
            self.lost_seconds += 1.0
            if self._engines.is_idle(name):
                del self._leaving[name]
                self.roles[name] = role
                self._away[name] = now + CHANGE_SECONDS
                self.lost_seconds += CHANGE_SECONDS
        if self._policy != "split-static" and not self._leaving:
            self._consider(now)

    def _consider(self, now: float) -> None:
        while self._demand and self._demand[0].at < now - DEMAND_SECONDS:
            self._demand.popleft()
        prefill = sum(d.prefill for d in self._demand)
        decode = sum(d.decode for d in self._demand)
        if prefill + decode <= 0:
            return
        count = len(self.roles)
        share = round(count * prefill / (prefill + decode))
        wanted = min(max(share, 1), count - 1)
        have = sum(role == "prefill" for role in self.roles.values())
        if self._may_change(now, abs(wanted - have)):
            self._change(now, "prefill" if wanted > have else "decode")

    def _may_change(self, now: float, difference: int) -> bool:
        if self._policy == "split-greedy":
            return difference > 0
        if difference < THRESHOLD_ENGINES:
            self._differs_since = None
            return False
        self._differs_since = self._differs_since or now
        lasted = now - self._differs_since >= THRESHOLD_SECONDS
        return lasted and now - self._changed_at >= THRESHOLD_DWELL_SECONDS

    def _change(self, now: float, role: str) -> None:
        name = next(n for n, r in self.roles.items() if r != role)
        self._leaving[name] = role
        self._changed_at = now
        self.changes += 1


class RoleTable(UpstreamTable):
    """Choose as we do, among the engines of the role that a request needs."""

    plan: RolePlan

    def choose(self, now: float, wanted: UpstreamQuery) -> Choice | None:
        """Return the best engine of the right role."""
        closed = self.plan.closed(wanted.tokens)
        excluded = (*wanted.excluded, *closed)
        return super().choose(now, wanted._replace(excluded=excluded))
