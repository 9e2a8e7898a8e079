"""Play load on a simulated platform and fleet, with the real decisions on its size.

Prompts wait for a free engine until their target can't be met any more; then they are
refused. Times are in seconds, on a virtual clock.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from hawthornshelf.enginegroups import EngineCount, EngineKey, EngineLimits
from hawthornshelf.fleetsizing import FleetPlan, decide_fleet, record_unavailable
from hawthornshelf.serviceloads import LoadLedger, ServiceLoad

STEP = 0.05
SERVICE = "chat"
PROMPT_TOKENS = 2900
PREFILL_SECONDS = 0.3
TARGET_SECONDS = 1.0
STREAM_SECONDS = 2.0
SLOTS = 8
SPEEDS = (0.55, 0.8, 1.0, 1.2)


@dataclass
class Engine:
    key: EngineKey
    serves_from: float
    speed: float
    leaves_at: float = math.inf
    busy_until: float = 0.0
    is_leaving: bool = False


@dataclass
class Platform:
    """Carry out orders after the boot time, where there are engines to be had."""

    boot_seconds: float
    rng: random.Random
    engines: list[Engine] = field(default_factory=list)
    none_available: set[EngineKey] = field(default_factory=set)
    delay: float = 0.0
    orders: list[tuple[float, EngineKey, int]] = field(default_factory=list)
    refused: list[tuple[float, EngineKey]] = field(default_factory=list)
    _late: list[tuple[float, EngineKey, int]] = field(default_factory=list)

    def add(self, key: EngineKey, count: int, serves_from: float = 0.0) -> None:
        for _ in range(count):
            speed = self.rng.choice(SPEEDS)
            self.engines.append(Engine(key, serves_from, speed))

    def order(self, now: float, key: EngineKey, desired: int) -> bool:
        """Take an order; return whether there are engines for it."""
        self.orders.append((now, key, desired))
        staying = [e for e in self.engines if e.key == key and not e.is_leaving]
        if desired > len(staying) and key in self.none_available:
            self.refused.append((now, key))
            return False
        self._late.append((now + self.delay, key, desired))
        self.step(now)
        return True

    def step(self, now: float) -> None:
        due = [order for order in self._late if order[0] <= now]
        self._late = [order for order in self._late if order[0] > now]
        for _, key, desired in due:
            self._carry_out(now, key, desired)
        self.engines = [e for e in self.engines if now < e.leaves_at]

    def _carry_out(self, now: float, key: EngineKey, desired: int) -> None:
        staying = [e for e in self.engines if e.key == key and not e.is_leaving]
        for engine in staying[desired:]:
            engine.is_leaving, engine.leaves_at = True, now + STREAM_SECONDS
        self.add(key, desired - len(staying), now + self.boot_seconds)

    def reclaim(self, now: float, data_centre: str, seconds: float) -> None:
        for engine in self.engines:
            if engine.key == EngineKey(data_centre, True):
                engine.is_leaving, engine.leaves_at = True, now + seconds

    def serving(self, now: float) -> list[Engine]:
        return [e for e in self.engines if now >= e.serves_from and not e.is_leaving]

    def counts(self, now: float) -> list[EngineCount]:
        rows = []
        for key in sorted({engine.key for engine in self.engines}):
            listed = [e for e in self.engines if e.key == key and now >= e.serves_from]
            present = sum(not e.is_leaving for e in listed)
            leaving = len(listed) - present
            rows.append(EngineCount(*key, present, leaving, present * SLOTS))
        return rows


@dataclass
class FleetTrial:
    """Play a trial and count what it costs callers and operators."""

    limits: EngineLimits
    rate: Callable[[float], float]
    seed: int = 1
    offered: int = 0
    refused: int = 0
    paid_seconds: float = 0.0
    busy_seconds: float = 0.0
    price: float = 0.0
    plan: FleetPlan = FleetPlan()
    now: float = 0.0
    reports: bool = True
    history: list[tuple[float, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.platform = Platform(self.limits.boot_seconds, self.rng)
        self.ledger = LoadLedger()
        self.load = ServiceLoad(SERVICE, "a")
        self._queue: list[float] = []
        self._ends: list[float] = []
        self._counts: list[EngineCount] = []
        self._next_decision = self._next_list = 0.0

    def run(self, seconds: float) -> "FleetTrial":
        until = self.now + seconds
        while self.now < until - STEP / 2:
            self._step()
            self.now += STEP
        return self

    def reset_counts(self) -> None:
        self.offered = self.refused = 0
        self.paid_seconds = self.price = self.busy_seconds = 0.0

    @property
    def refused_share(self) -> float:
        return self.refused / max(1, self.offered)

    def _step(self) -> None:
        now = self.now
        self.platform.step(now)
        self._offer(now)
        self._dispatch(now)
        self._ends = [end for end in self._ends if end > now]
        self.paid_seconds += STEP * len(self.platform.engines)
        for engine in self.platform.engines:
            self.price += STEP * self.limits.price(engine.key)
        if now >= self._next_list:
            self._next_list = now + 2.0
            self._counts = self.platform.counts(now)
        if now >= self._next_decision:
            self._next_decision = now + 1.0
            self._decide(now)

    def _offer(self, now: float) -> None:
        expected = self.rate(now) * STEP
        count = int(expected) + (self.rng.random() < expected % 1)
        if expected < 1:
            count = sum(self.rng.random() < expected / 4 for _ in range(4))
        self._queue.extend([now] * count)
        self.offered += count
        self._count(offered=count, prompt_tokens=count * PROMPT_TOKENS)

    def _dispatch(self, now: float) -> None:
        free = [e for e in self.platform.serving(now) if e.busy_until <= now]
        self.rng.shuffle(free)
        while self._queue and free:
            engine, arrived = free.pop(), self._queue.pop(0)
            prefill = PREFILL_SECONDS / engine.speed
            engine.busy_until = now + prefill
            self.busy_seconds += prefill
            self._ends.append(now + prefill + STREAM_SECONDS)
            first = now + prefill - arrived
            is_late = first > TARGET_SECONDS
            self._count(
                on_time=not is_late,
                late=is_late,
                prefill_tokens=PROMPT_TOKENS,
                prefill_seconds=prefill,
            )
        latest = now - TARGET_SECONDS + PREFILL_SECONDS
        late = [arrived for arrived in self._queue if arrived < latest]
        self._queue = self._queue[len(late) :]
        self.refused += len(late)
        self._count(refused=len(late))

    def _count(self, **counts: float) -> None:
        changes = {k: getattr(self.load, k) + v for k, v in counts.items()}
        self.load = self.load._replace(**changes)

    def _decide(self, now: float) -> None:
        if self.reports:
            row = self.load._replace(
                long_streams=len(self._ends), waiting=len(self._queue)
            )
            self.ledger.record(now, "n1", "i1", now, [row])
        demand = self.ledger.measure(now, SERVICE)
        old = {group.key: group for group in self.plan.groups}
        self.plan = decide_fleet(now, demand, self.limits, self._counts, self.plan)
        self.history.append((now, sum(group.desired for group in self.plan.groups)))
        for group in self.plan.groups:
            before = old.get(group.key)
            is_same = before is not None and (before.desired, before.repeats) == (
                group.desired,
                group.repeats,
            )
            if not group.is_ordered or is_same:
                continue
            if not self.platform.order(now, group.key, group.desired):
                self.plan = record_unavailable(self.plan, now, group.key)
