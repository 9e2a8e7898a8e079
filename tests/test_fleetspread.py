"""Test how engines are spread over data centres and kinds."""

from collections.abc import Mapping
from types import MappingProxyType

from hawthornshelf.enginegroups import (
    DataCentrePrice,
    EngineGroup,
    EngineKey,
    EngineLimits,
)
from hawthornshelf.fleetspread import spread_engines

PRICES = tuple(map(DataCentrePrice, "abc", (1.0, 2.0, 3.0)))
LIMITS = EngineLimits(0, 6, 4.0, 0.15, PRICES)
KEYS = [EngineKey(place, is_spot) for place in "abc" for is_spot in (False, True)]

NOTHING: Mapping[EngineKey, int] = MappingProxyType({})


def spread(
    wanted: int,
    interactive: float = 0.0,
    limits: EngineLimits = LIMITS,
    paused: tuple[EngineKey, ...] = (),
    desired: Mapping[EngineKey, int] = NOTHING,
) -> dict[EngineKey, int]:
    groups = {
        key: EngineGroup(
            key, desired.get(key, 0), paused_until=9.0 if key in paused else 0.0
        )
        for key in KEYS
    }
    targets = spread_engines(1.0, wanted, interactive, limits, groups, desired)
    return {key: count for key, count in targets.items() if count}


def test_at_most_a_third_are_spot_engines_of_one_data_centre() -> None:
    for wanted in range(1, 19):
        targets = spread(wanted)
        assert sum(targets.values()) == wanted
        spot = [count for key, count in targets.items() if key.is_spot]
        assert max(spot, default=0) <= wanted // 3


def test_the_cheapest_engines_go_first() -> None:
    assert spread(2) == {EngineKey("a", False): 2}
    assert spread(6) == dict.fromkeys((key for key in KEYS if key.is_spot), 2)


def test_the_loss_of_a_data_centres_spot_engines_leaves_the_interactive_load() -> None:
    for interactive in (0.0, 2.5, 5.0, 8.2, 9.0):
        targets = spread(9, interactive)
        for place in "abc":
            left = 9 - targets.get(EngineKey(place, True), 0)
            assert left >= interactive


def test_each_data_centre_has_its_minimum_and_at_most_its_maximum() -> None:
    limits = LIMITS._replace(min_engines=2)
    for wanted in (0, 6, 18, 40):
        targets = spread(wanted, limits=limits)
        for place in "abc":
            both = [n for key, n in targets.items() if key.data_centre == place]
            assert 2 <= sum(both) <= 6


def test_what_a_paused_data_centre_lacks_is_ordered_elsewhere() -> None:
    paused = (EngineKey("a", True), EngineKey("a", False))
    targets = spread(9, paused=paused, desired={EngineKey("a", True): 1})
    assert targets[EngineKey("a", True)] == 1
    assert EngineKey("a", False) not in targets
    assert sum(targets.values()) == 9


def test_engines_of_equal_price_stay_where_they_are() -> None:
    """Guards against replacing engines that are no dearer than the new ones."""
    limits = LIMITS._replace(prices=())
    desired = {EngineKey("b", False): 3, EngineKey("c", False): 2}
    limits = limits._replace(spot_price=1.0)
    assert spread(5, limits=limits, desired=desired) == desired
    fewer = spread(4, limits=limits, desired=desired)
    assert all(count <= desired[key] for key, count in fewer.items())
