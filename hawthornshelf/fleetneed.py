"""Compute how many engines the measured load of a service needs.

Answers both errors of a fleet's size: callers that are refused or late because
engines are missing, and engines that are idle though they are paid for.
"""

import math
from typing import NamedTuple

from hawthornshelf.enginegroups import EngineLimits
from hawthornshelf.serviceloads import ServiceDemand

__all__ = ["FleetNeed", "NeedSample", "compute_need"]

PREFILL_UTILISATION = 0.7
"""Share of an engine's time that is planned for prefill at the highest recent load.

Prompts come at random and wait for each other; at more, the wait exceeds a target of a
few times a prompt's own prefill.
"""

SLOT_UTILISATION = 0.75
"""Share of the slots that is planned to be in use at the highest recent load.

Nodes choose engines independently; with more in use, many requests find one full.
"""

MAX_STREAMS_PER_ENGINE = 64
"""Most streams planned for an engine, as more in one batch decode too slowly."""

MIN_COST_TOKENS = 2000.0
"""Prompt tokens per second from which a second's cost of a token counts as measured."""

COST_QUANTILE = 0.25
"""The cost of a token is this quantile of the recent ones.

Time to first token holds the wait at the engine, which is least while load is low.
"""

SHORTAGE_SHARE = 0.05
"""Share of late or refused requests from which on engines may be missing.

An engine's short slow periods make a few requests late at any size of the fleet.
"""

BUSY_SHARE = 0.6
"""Share of the engines that the work must need for refusals to mean a shortage.

Below it, refusals have another cause, and more engines would only stand idle.
"""

MAX_SHORTAGE = 2.0
"""Largest factor by which refused and late requests raise the need at once."""

MAX_GROWTH = 1.25
"""Largest factor by which rising load is projected ahead."""

RECENT_BOOTS = 3.0
"""Time whose highest work is known and need not be projected, in boot times."""

LAG_SECONDS = 1.5
"""Age of a measured rate: half of the time over which it is measured."""


class NeedSample(NamedTuple):
    """Store what a decision measured; `at` is in seconds, `work` in engines.

    `cost` is in seconds of prefill per token, 0 if too few prompts were prefilled.
    """

    at: float
    work: float
    needed: int
    cost: float = 0.0


class FleetNeed(NamedTuple):
    """Store how many engines a load needs, and what that follows from, in engines.

    Long prompts need those for `prefill`, or for `long_streams` if these are more;
    interactive requests need those for `streams` besides. `ahead` is the rise until new
    engines serve. `shortage` is the factor by which requests that were late or refused
    raise the need, 1 without any.
    """

    prefill: float
    long_streams: float
    streams: float
    ahead: float
    shortage: float
    needed: int
    cost: float

    @property
    def work(self) -> float:
        """Return how many engines the present load needs."""
        return max(self.prefill, self.long_streams) + self.streams

    def describe(self) -> str:
        """Return what the need follows from, for logs."""
        return (
            f"max(prefill {self.prefill:.1f}, long streams {self.long_streams:.1f})"
            f" + streams {self.streams:.1f} + ahead {self.ahead:.1f},"
            f" shortage x{self.shortage:.2f}"
        )


def compute_need(
    now: float,
    demand: ServiceDemand,
    limits: EngineLimits,
    serving: int,
    slots: int,
    samples: tuple[NeedSample, ...],
) -> FleetNeed:
    """Return the need of a load; `serving` engines have `slots` in all.

    `samples` are those of earlier decisions, oldest first.
    """
    cost = _measure_cost(demand)
    streams = _need_of_streams(demand.streams, serving, slots)
    long_streams = _need_of_streams(demand.long_streams, serving, slots)
    known_cost = _estimate_cost(cost, samples)
    if known_cost:
        prefill = _need_of_prompts(demand, limits, known_cost)
    else:
        prefill = max(0.0, serving - streams) if demand.offered else 0.0
    work = max(prefill, long_streams) + streams
    ahead = _project(now, work, limits.boot_seconds, samples) if known_cost else 0.0
    shortage = _compute_shortage(demand, work - streams, streams)
    if work < BUSY_SHARE * serving:
        shortage = 1.0
    needed = work + ahead
    if shortage > 1.0:
        needed = max(needed, serving * shortage)
    offered = demand.offered + demand.interactive_offered
    has_load = offered + demand.streams + demand.long_streams > 0
    count = max(math.ceil(round(needed, 2)), int(has_load))
    return FleetNeed(prefill, long_streams, streams, ahead, shortage, count, cost)


def _measure_cost(demand: ServiceDemand) -> float:
    if demand.prefill_tokens < MIN_COST_TOKENS:
        return 0.0
    return demand.prefill_seconds / demand.prefill_tokens


def _estimate_cost(cost: float, samples: tuple[NeedSample, ...]) -> float:
    """Return the seconds of prefill per token without a wait, 0 if unknown."""
    costs = [sample.cost for sample in samples if sample.cost] + [cost] * bool(cost)
    return sorted(costs)[int(COST_QUANTILE * len(costs))] if costs else 0.0


def _need_of_prompts(demand: ServiceDemand, limits: EngineLimits, cost: float) -> float:
    """Return the engines for the offered prompts and for those that wait.

    The waiting ones are to be served by the time that new engines could serve.
    """
    tokens = demand.prompt_tokens
    if demand.offered:
        waiting = demand.waiting * demand.prompt_tokens / demand.offered
        tokens += waiting / max(limits.boot_seconds, 1.0)
    return tokens * cost / PREFILL_UTILISATION


def _need_of_streams(streams: int, serving: int, slots: int) -> float:
    slots_per_engine = max(1.0, slots / serving) if serving else 1.0
    planned = min(SLOT_UTILISATION * slots_per_engine, MAX_STREAMS_PER_ENGINE)
    return streams / planned


def _project(
    now: float, work: float, boot_seconds: float, samples: tuple[NeedSample, ...]
) -> float:
    """Return by how many engines the work grows until new engines serve.

    Only a rise above all that was measured recently is projected: the next crest of
    regular waves is known from the last one.
    """
    recent = [s for s in samples if s.at >= now - RECENT_BOOTS * boot_seconds]
    if not recent or recent[0].at > now - boot_seconds:
        return 0.0
    highest = max(s.work for s in recent if s.at <= now - LAG_SECONDS)
    growth = (work - highest) * (1.0 + LAG_SECONDS / boot_seconds)
    return min(max(0.0, growth), (MAX_GROWTH - 1.0) * work)


def _compute_shortage(demand: ServiceDemand, long: float, interactive: float) -> float:
    """Return by which factor the engines' work exceeds what they did on time.

    `long` and `interactive` are the engines that long and interactive requests need.
    """
    long_share = _share_on_time(demand.on_time, demand.late + demand.refused)
    interactive_served = demand.interactive_offered - demand.interactive_missed
    interactive_share = _share_on_time(interactive_served, demand.interactive_missed)
    work = long + interactive
    done = long * long_share + interactive * interactive_share
    if work <= 0 or done >= (1.0 - SHORTAGE_SHARE) * work:
        return 1.0
    return min(MAX_SHORTAGE, work / max(done, work / MAX_SHORTAGE))


def _share_on_time(on_time: float, missed: float) -> float:
    total = max(0.0, on_time) + missed
    return max(0.0, on_time) / total if total > 0 else 1.0
