"""Describe the engines of a service by data centre and kind, and their limits."""

from collections.abc import Iterator
from typing import NamedTuple

__all__ = [
    "DataCentrePrice",
    "EngineCount",
    "EngineGroup",
    "EngineKey",
    "EngineLimits",
    "check_limits",
]

MAX_ENGINES = 1000
"""Largest maximum of a data centre; the decision takes time in proportion to it."""

MAX_BOOT_SECONDS = 600.0
UNKNOWN_PRICE = 1.0
"""Price of an engine where no data centre has one."""


class EngineKey(NamedTuple):
    """Identify a data centre's engines of one kind; spot engines may be reclaimed."""

    data_centre: str
    is_spot: bool

    @property
    def name(self) -> str:
        """Return the name of the engines in logs."""
        return f"{self.data_centre}/spot" if self.is_spot else self.data_centre


class DataCentrePrice(NamedTuple):
    """Store the price of an engine in a data centre, per second."""

    data_centre: str
    price: float


class EngineLimits(NamedTuple):
    """Limit the engines of a service; `min_engines` and `max_engines` per data centre.

    Both count engines of both kinds. `boot_seconds` pass until a new engine serves.
    `spot_price` is the price of a spot engine as a share of that of others.
    """

    min_engines: int
    max_engines: int
    boot_seconds: float = 4.0
    spot_price: float = 0.15
    prices: tuple[DataCentrePrice, ...] = ()

    def price(self, key: EngineKey) -> float:
        """Return the price of an engine, per second.

        A data centre without a price is taken to be as expensive as the dearest.
        """
        known = dict(self.prices)
        dearest = max(known.values(), default=UNKNOWN_PRICE)
        price = known.get(key.data_centre, dearest)
        return price * self.spot_price if key.is_spot else price


def check_limits(limits: EngineLimits) -> Iterator[str]:
    """Yield every fault of the limits of a service's engines."""
    if not 0 <= limits.min_engines <= limits.max_engines:
        yield "the minimum is negative or above the maximum"
    if limits.max_engines > MAX_ENGINES:
        yield f"the maximum is above {MAX_ENGINES}"
    if not 0 < limits.boot_seconds <= MAX_BOOT_SECONDS:
        yield f"the boot time is not above 0, or over {MAX_BOOT_SECONDS:g} s"
    prices = (limits.spot_price, *(price.price for price in limits.prices))
    if not all(0 <= price < float("inf") for price in prices):
        yield "a price is negative or not a number"


class EngineCount(NamedTuple):
    """Count the listed engines of one data centre and kind.

    `present` ones stay and `leaving` ones get no more work. `slots` is the sum over
    the present ones.
    """

    data_centre: str
    is_spot: bool
    present: int
    leaving: int = 0
    slots: int = 0

    @property
    def key(self) -> EngineKey:
        """Return which engines are counted."""
        return EngineKey(self.data_centre, self.is_spot)


class EngineGroup(NamedTuple):
    """Track what was ordered of one data centre and kind; times are in seconds.

    `is_ordered` tells whether an order was ever given; before that `desired` is what
    is present. Since `differs_since` the engines listed have been `present`, and that
    is not what is desired; None if it is. `repeats` is how often the order is to be
    given again since then. Until `paused_until` no more engines are asked for; `pause`
    is how long the last pause was, 0 once the group was whole again. `given_up` counts
    the engines given up, last at `given_up_at`, that may still be listed as leaving.
    """

    key: EngineKey
    desired: int
    present: int = 0
    is_ordered: bool = False
    differs_since: float | None = None
    repeats: int = 0
    paused_until: float = 0.0
    pause: float = 0.0
    given_up: int = 0
    given_up_at: float = float("-inf")

    def is_paused(self, now: float) -> bool:
        """Return whether no more engines of this group are asked for now."""
        return now < self.paused_until
