"""Decide how many engines of a service each data centre runs.

Answers load that changes faster than an operator reacts: a burst of twice what fits,
waves of some seconds, a quiet time, and data centres that have no engine to give or
take theirs back. It scales up at once and down slowly, because a missing engine costs
callers their requests, and an idle one only its price.
"""

from collections.abc import Iterable
from typing import NamedTuple

from hawthornshelf.enginegroups import (
    DataCentrePrice,
    EngineCount,
    EngineGroup,
    EngineKey,
    EngineLimits,
)
from hawthornshelf.fleetneed import FleetNeed, NeedSample, compute_need
from hawthornshelf.fleetspread import spread_engines
from hawthornshelf.serviceloads import ServiceDemand

__all__ = [
    "DataCentrePrice",
    "EngineCount",
    "EngineGroup",
    "EngineKey",
    "EngineLimits",
    "FleetPlan",
    "decide_fleet",
    "record_unavailable",
]

CALM_BOOTS = 3.0
"""Time of lower load before an engine is given up, in boot times of an engine.

It is longer than the waves of load that are known (11 s, at a boot time of 4 s): an
engine that is given up between two crests is missing at the second one.
"""

MIN_CALM_SAMPLES_PER_SECOND = 0.5
"""Decisions a second that a calm period must hold to count as observed."""

STEP_SECONDS = 2.0
"""Time between two steps down."""

MIGRATION_SHARE = 4
"""One in so many engines may be had twice while a dearer one is replaced."""

MIN_FRESH_SHARE = 0.5
"""Share of the known nodes whose counts must be fresh for any order."""

MIN_FRESH_SHARE_DOWN = 0.9
"""Share of the known nodes whose counts must be fresh to give up an engine.

What missing nodes carry would look like idle engines.
"""

MAX_LIST_AGE_SECONDS = 5.0
"""Age from which on the list of engines is too old to decide by."""

REPEAT_BOOTS = 2.0
"""Time after which an order is repeated that the list doesn't show, in boot times.

An older order, which the platform carried out late, may have undone it.
"""

LATE_BOOTS = 3.0
"""Time after which engines that were ordered are not awaited, in boot times."""

FIRST_PAUSE_SECONDS = 5.0
MAX_PAUSE_SECONDS = 30.0
MIN_RETENTION_SECONDS = 60.0
"""Shortest time for which the measurements of decisions are kept."""


class FleetPlan(NamedTuple):
    """Store a decision on a service's engines, and what later decisions need of it.

    `groups` tell how many engines of each data centre and kind are desired. `reason`
    says why, `held` what keeps a decision from being made, empty if nothing does.
    """

    groups: tuple[EngineGroup, ...] = ()
    needed: int = 0
    reason: str = ""
    held: str = ""
    need: FleetNeed | None = None
    samples: tuple[NeedSample, ...] = ()
    stepped_at: float = float("-inf")

    def find(self, key: EngineKey) -> EngineGroup | None:
        """Return what is planned for a data centre and kind, or None."""
        return next((group for group in self.groups if group.key == key), None)


def decide_fleet(
    now: float,
    demand: ServiceDemand,
    limits: EngineLimits,
    counts: Iterable[EngineCount],
    previous: FleetPlan,
    list_age: float = 0.0,
) -> FleetPlan:
    """Return the plan that follows the previous one; times are in seconds.

    `list_age` is the age of the counts of engines. On stale counts nothing changes.
    """
    if demand.fresh_share < MIN_FRESH_SHARE:
        return previous._replace(held="the counts of entry nodes are stale")
    if list_age > MAX_LIST_AGE_SECONDS:
        return previous._replace(held="the list of engines is stale")
    by_key = {count.key: count for count in counts}
    groups = _update_groups(now, demand, limits, by_key, previous)
    present = {key: count.present for key, count in by_key.items()}
    need = compute_need(
        now,
        demand,
        limits,
        sum(present.values()),
        sum(count.slots for count in by_key.values()),
        previous.samples,
    )
    sample = NeedSample(now, need.work, need.needed, need.cost)
    calm_seconds = CALM_BOOTS * limits.boot_seconds
    kept_from = now - max(MIN_RETENTION_SECONDS, 2 * calm_seconds)
    samples = tuple(s for s in (*previous.samples, sample) if s.at > kept_from)
    calm_from = now - calm_seconds
    needed = max(s.needed for s in samples if s.at >= calm_from)
    targets = spread_engines(now, needed, need.streams, limits, groups, present)
    change = _PlanChange(now, limits, groups, targets, needed)
    change.enforce_maximum()
    change.scale_up()
    can_step = now >= previous.stepped_at + STEP_SECONDS
    is_complete = demand.fresh_share >= MIN_FRESH_SHARE_DOWN
    if can_step and is_complete and _is_calm(samples, calm_from):
        change.step_down()
    return FleetPlan(
        tuple(change.groups[key] for key in sorted(change.groups)),
        needed,
        f"{need.describe()}; {change.describe()}",
        "",
        need,
        samples,
        now if change.has_stepped else previous.stepped_at,
    )


def record_unavailable(plan: FleetPlan, now: float, key: EngineKey) -> FleetPlan:
    """Return a plan that asks a data centre for no more engines of a kind for a while.

    Each time in a row doubles that; times are in seconds.
    """
    groups = [_pause(now, g) if g.key == key else g for g in plan.groups]
    return plan._replace(groups=tuple(groups))


def _pause(now: float, group: EngineGroup) -> EngineGroup:
    pause = min(max(FIRST_PAUSE_SECONDS, 2 * group.pause), MAX_PAUSE_SECONDS)
    return group._replace(paused_until=now + pause, pause=pause)


def _extend_pause(now: float, group: EngineGroup) -> EngineGroup:
    """Return a group that stays paused while engines taken back are still listed."""
    return group._replace(paused_until=now + STEP_SECONDS)


def _is_calm(samples: tuple[NeedSample, ...], calm_from: float) -> bool:
    """Return whether the decisions of a whole calm period are known."""
    seconds = samples[-1].at - calm_from
    known = sum(sample.at >= calm_from for sample in samples)
    is_whole = samples[0].at <= calm_from
    return is_whole and known >= MIN_CALM_SAMPLES_PER_SECOND * seconds


def _update_groups(
    now: float,
    demand: ServiceDemand,
    limits: EngineLimits,
    counts: dict[EngineKey, EngineCount],
    previous: FleetPlan,
) -> dict[EngineKey, EngineGroup]:
    """Return the groups as they are now, with pauses for those that lack engines."""
    groups = {group.key: group for group in previous.groups}
    data_centres = {price.data_centre for price in limits.prices}
    data_centres |= {key.data_centre for key in (*counts, *groups)}
    if not limits.prices:
        data_centres |= set(demand.data_centres)
    for data_centre in sorted(data_centres):
        for is_spot in (False, True):
            key = EngineKey(data_centre, is_spot)
            count = counts.get(key, EngineCount(*key, present=0))
            group = groups.get(key, EngineGroup(key, count.present, count.present))
            groups[key] = _update_group(now, limits, group, count)
    return groups


def _update_group(
    now: float, limits: EngineLimits, group: EngineGroup, count: EngineCount
) -> EngineGroup:
    present = count.present
    if not count.leaving and now > group.given_up_at + MAX_LIST_AGE_SECONDS:
        group = group._replace(given_up=0)
    is_reclaimed = group.key.is_spot and count.leaving > group.given_up
    has_changed = present != group.present
    have_arrived = group.present < group.desired <= present
    group = group._replace(present=present)
    if not group.is_ordered:
        group = group._replace(desired=present)
    if is_reclaimed and not group.is_paused(now):
        group = _pause(now, group) if not group.pause else _extend_pause(now, group)
    if group.is_paused(now):
        desired = min(group.desired, present)
        return group._replace(desired=desired, differs_since=None, repeats=0)
    if present == group.desired:
        pause = 0.0 if have_arrived else group.pause
        return group._replace(differs_since=None, repeats=0, pause=pause)
    if group.differs_since is None or has_changed:
        group = group._replace(differs_since=now, repeats=0)
    seconds = now - (group.differs_since or now)
    if present < group.desired and seconds >= LATE_BOOTS * limits.boot_seconds:
        return _pause(now, group)._replace(desired=present, differs_since=None)
    return group._replace(repeats=int(seconds / (REPEAT_BOOTS * limits.boot_seconds)))


class _PlanChange:
    """Change the desired engines of groups towards their targets."""

    def __init__(
        self,
        now: float,
        limits: EngineLimits,
        groups: dict[EngineKey, EngineGroup],
        targets: dict[EngineKey, int],
        needed: int,
    ) -> None:
        self.groups = groups
        self.has_stepped = False
        self._now = now
        self._limits = limits
        self._targets = targets
        self._wanted = max(needed, sum(targets.values()))
        self._changes: list[str] = []

    def describe(self) -> str:
        """Return what is changed, for logs."""
        return ", ".join(self._changes) or "no change"

    def enforce_maximum(self) -> None:
        """Give up engines at once of which a data centre has more than allowed."""
        for data_centre in sorted({key.data_centre for key in self.groups}):
            while self._in_data_centre(data_centre) > self._limits.max_engines:
                keys = [k for k in self.groups if k.data_centre == data_centre]
                self._lower(self._dearest(keys), "above the maximum")

    def scale_up(self) -> None:
        """Order what is missing at once, and some engines that replace dearer ones."""
        allowed = self._wanted + max(1, self._wanted // MIGRATION_SHARE)
        by_price = sorted(self.groups, key=lambda key: (self._limits.price(key), key))
        for key in by_price:
            group = self.groups[key]
            room = self._limits.max_engines - self._in_data_centre(key.data_centre)
            missing = min(self._targets[key] - group.desired, room)
            missing = min(missing, allowed - self._total())
            if missing > 0:
                self._set(key, group.desired + missing)
                self._changes.append(f"up {missing} {key.name}")

    def step_down(self) -> None:
        """Give up one engine, the dearest, if enough of those present are left."""
        above = [key for key in self.groups if self._may_lower(key)]
        present = sum(group.present for group in self.groups.values())
        if above and min(present, self._total()) > self._wanted:
            self._lower(self._dearest(above), "calm")
            self.has_stepped = True

    def _may_lower(self, key: EngineKey) -> bool:
        return self.groups[key].desired > self._targets[key]

    def _dearest(self, keys: list[EngineKey]) -> EngineKey:
        def order(key: EngineKey) -> tuple[float, int, EngineKey]:
            return self._limits.price(key), self.groups[key].desired, key

        return max((k for k in keys if self.groups[k].desired), key=order)

    def _lower(self, key: EngineKey, cause: str) -> None:
        group = self.groups[key]
        self._set(key, group.desired - 1)
        given_up = group.given_up + 1
        self.groups[key] = self.groups[key]._replace(
            given_up=given_up, given_up_at=self._now
        )
        self._changes.append(f"down 1 {key.name} ({cause})")

    def _set(self, key: EngineKey, desired: int) -> None:
        group = self.groups[key]
        since = self._now if desired != group.present else None
        self.groups[key] = group._replace(
            desired=desired, is_ordered=True, differs_since=since, repeats=0
        )

    def _total(self) -> int:
        return sum(group.desired for group in self.groups.values())

    def _in_data_centre(self, data_centre: str) -> int:
        groups = self.groups.items()
        return sum(g.desired for key, g in groups if key.data_centre == data_centre)
