"""Implement baselines that split the engines of a simulation by role."""

from collections import deque
from typing import NamedTuple, Protocol

from hawthornshelf.upstreams import Choice, UpstreamQuery, UpstreamTable

__all__ = ["ROLE_POLICIES", "RolePlan", "RoleTable"]

CHANGE_SECONDS = 5.0
DEMAND_WINDOW_SECONDS = 5.0
LONG_PROMPT_TOKENS = 1500
PREFILL_TOKENS_PER_SECOND = 8000.0
DECODE_TOKENS_PER_SECOND = 480.0
THRESHOLD_ENGINES = 2
THRESHOLD_SECONDS = 10.0
MIN_ROLE_SECONDS = 20.0
ROLE_POLICIES = ("split-static", "split-greedy", "split-threshold")


class Demand(NamedTuple):
    """Store the prefill and decode work of one request, each in engine seconds."""

    at: float
    prefill: float
    decode: float


class Engines(Protocol):
    """Report whether an engine is idle."""

    def is_idle(self, name: str) -> bool:
        """Return whether an engine has no running or waiting requests."""


class RolePlan:
    """Assign roles to the engines by one of the baseline policies.

    The static split never changes. The greedy one follows the demand in the last
    DEMAND_WINDOW_SECONDS. The threshold one changes only if the split has differed
    from the demand by at least THRESHOLD_ENGINES for THRESHOLD_SECONDS, and at most
    once in MIN_ROLE_SECONDS.
    """

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
        self._target_roles: dict[str, str] = {}
        self._changing_until: dict[str, float] = {}
        self._demand: deque[Demand] = deque()
        self._differs_since: float | None = None
        self._changed_at = float("-inf")

    def record_arrival(self, now: float, prompt: int, output: int) -> None:
        """Record the work of a request."""
        self._demand.append(
            Demand(
                now,
                prompt / PREFILL_TOKENS_PER_SECOND,
                output / DECODE_TOKENS_PER_SECOND,
            )
        )

    def unavailable_engines(self, tokens: int) -> set[str]:
        """Return the engines that a request with a prompt of this length can't use."""
        required_role = "prefill" if tokens >= LONG_PROMPT_TOKENS else "decode"
        other_role = {
            name for name, role in self.roles.items() if role != required_role
        }
        return other_role | set(self._target_roles) | set(self._changing_until)

    def tick(self, now: float) -> None:
        """Complete the changes in progress, then start the next one."""
        for name, until in list(self._changing_until.items()):
            if now >= until:
                del self._changing_until[name]
        for name, role in list(self._target_roles.items()):
            self.lost_seconds += 1.0
            if self._engines.is_idle(name):
                del self._target_roles[name]
                self.roles[name] = role
                self._changing_until[name] = now + CHANGE_SECONDS
                self.lost_seconds += CHANGE_SECONDS
        if self._policy != "split-static" and not self._target_roles:
            self._adjust_to_demand(now)

    def _adjust_to_demand(self, now: float) -> None:
        while self._demand and self._demand[0].at < now - DEMAND_WINDOW_SECONDS:
            self._demand.popleft()
        prefill = sum(d.prefill for d in self._demand)
        decode = sum(d.decode for d in self._demand)
        if prefill + decode <= 0:
            return
        count = len(self.roles)
        share = round(count * prefill / (prefill + decode))
        target = min(max(share, 1), count - 1)
        current = sum(role == "prefill" for role in self.roles.values())
        if self._may_change(now, abs(target - current)):
            self._start_change(now, "prefill" if target > current else "decode")

    def _may_change(self, now: float, difference: int) -> bool:
        if self._policy == "split-greedy":
            return difference > 0
        if difference < THRESHOLD_ENGINES:
            self._differs_since = None
            return False
        self._differs_since = self._differs_since or now
        persists = now - self._differs_since >= THRESHOLD_SECONDS
        return persists and now - self._changed_at >= MIN_ROLE_SECONDS

    def _start_change(self, now: float, role: str) -> None:
        name = next(n for n, r in self.roles.items() if r != role)
        self._target_roles[name] = role
        self._changed_at = now
        self.changes += 1


class RoleTable(UpstreamTable):
    """Apply hawthornshelf's own choice to the engines of the role a request needs."""

    plan: RolePlan

    def choose(self, now: float, query: UpstreamQuery) -> Choice | None:
        """Return the best engine that has the required role."""
        unavailable = self.plan.unavailable_engines(query.tokens)
        excluded = (*query.excluded, *unavailable)
        return super().choose(now, query._replace(excluded=excluded))
