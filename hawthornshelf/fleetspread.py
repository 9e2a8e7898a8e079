"""Spread a number of engines over data centres and kinds, the cheapest first.

Answers the loss of all spot engines of one data centre at once: the others must carry
the interactive requests.
"""

import math
from collections.abc import Iterable, Mapping

from hawthornshelf.enginegroups import EngineGroup, EngineKey, EngineLimits

__all__ = ["spread_engines"]

MAX_SPOT_SHARE = 3
"""At most one in so many wanted engines is a spot engine of the same data centre."""


def spread_engines(
    now: float,
    wanted: int,
    interactive: float,
    limits: EngineLimits,
    groups: Mapping[EngineKey, EngineGroup],
    present: Mapping[EngineKey, int],
) -> dict[EngineKey, int]:
    """Return how many engines to have of each group; it may be less than wanted.

    Each data centre gets its minimum and at most its maximum. `interactive` engines
    must be left after the loss of any data centre's spot engines. Paused groups get no
    more than what is `present`.
    """
    data_centres = sorted({key.data_centre for key in groups})
    wanted = min(wanted, limits.max_engines * len(data_centres))
    wanted = max(wanted, limits.min_engines * len(data_centres))
    spot_limit = min(wanted // MAX_SPOT_SHARE, wanted - math.ceil(interactive))
    limit = {
        key: min(
            limits.max_engines,
            max(0, spot_limit) if key.is_spot else limits.max_engines,
            present.get(key, 0) if group.is_paused(now) else limits.max_engines,
        )
        for key, group in groups.items()
    }
    spread = _Spread(limits, groups, limit)
    for data_centre in data_centres:
        while spread.in_data_centre(data_centre) < limits.min_engines:
            if not spread.add(
                [key for key in groups if key.data_centre == data_centre]
            ):
                break
    while spread.total() < wanted and spread.add(groups):
        pass
    return spread.targets


class _Spread:
    """Collect the targets, one engine at a time."""

    def __init__(
        self,
        limits: EngineLimits,
        groups: Mapping[EngineKey, EngineGroup],
        limit: Mapping[EngineKey, int],
    ) -> None:
        self.targets = dict.fromkeys(groups, 0)
        self._limits = limits
        self._groups = groups
        self._limit = limit

    def total(self) -> int:
        return sum(self.targets.values())

    def in_data_centre(self, data_centre: str) -> int:
        return sum(
            n for key, n in self.targets.items() if key.data_centre == data_centre
        )

    def add(self, keys: Iterable[EngineKey]) -> bool:
        """Add an engine to the cheapest group with room; return whether one had any."""
        room = [
            key
            for key in keys
            if self.targets[key] < self._limit[key]
            and self.in_data_centre(key.data_centre) < self._limits.max_engines
        ]
        if not room:
            return False
        self.targets[min(room, key=self._order)] += 1
        return True

    def _order(self, key: EngineKey) -> tuple[float, bool, int, EngineKey]:
        """Return what orders groups: the price, then what exists already, then size.

        Engines of the same price stay where they are, and new ones are spread evenly.
        """
        is_new = self.targets[key] >= self._groups[key].desired
        return self._limits.price(key), is_new, self.targets[key], key
