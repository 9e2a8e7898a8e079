from hypothesis import given
from hypothesis import strategies as st

from hawthornshelf.attribution import (
    CRASHES_AGAINST_PROOF,
    Culprit,
    find_culprits,
)
from hawthornshelf.crashrecords import CRASHES_TO_QUARANTINE

POISON, SYSTEM, OTHER = b"poison", b"system", b"other"


def find(proven: tuple[bytes, ...] = (), **suspected: str) -> list[set[str]]:
    """Return the names of the suspects to blame; crashes are letters."""
    names = {name.encode(): frozenset(crashes) for name, crashes in suspected.items()}
    found = find_culprits(names, lambda digest: digest in proven)
    return [{digest.decode() for digest in culprit.suspects} for culprit in found]


def test_fewer_than_three_crashes_blame_nobody() -> None:
    assert find(poison="AB", other="AB") == []


def test_the_suspect_with_the_most_crashes_explains_them() -> None:
    assert find(poison="ABCD", other="ABC") == [{"poison"}]


def test_suspects_of_the_same_crashes_are_one_culprit() -> None:
    assert find(poison="ABC", other="ABC", third="AB") == [{"poison", "other"}]


def test_a_suspect_with_enough_crashes_of_its_own_is_a_culprit_too() -> None:
    assert find(poison="ABCD", venom="DEFG") == [{"venom"}, {"poison"}]


def test_suspects_that_share_crashes_are_both_blamed_for_one_more_crash_each() -> None:
    assert find(poison="ABCD", venom="ABCE") == [{"venom"}, {"poison"}]
    assert find(poison="ABCD", venom="ABCEF") == [{"venom"}, {"poison"}]
    assert find(poison="ABCD", venom="ABC") == [{"poison"}]


def test_a_proven_suspect_is_not_blamed_for_what_another_one_explains() -> None:
    crashes = "ABCDEFGHIJ"
    assert find((SYSTEM,), system=crashes, poison=crashes[:-1]) == [{"poison"}]


def test_a_proven_suspect_is_blamed_for_many_crashes_that_nothing_else_explains() -> (
    None
):
    crashes = "ABCDEFGHIJ"[:CRASHES_AGAINST_PROOF]
    assert find((SYSTEM,), system=crashes) == [{"system"}]
    assert find((SYSTEM,), system=crashes[:-1]) == []


SETS = st.dictionaries(
    st.binary(min_size=1, max_size=2),
    st.frozensets(st.sampled_from("ABCDEFGH")),
    max_size=12,
)


@given(SETS)
def test_each_culprit_explains_more_than_others_and_every_node_finds_the_same(
    suspected: dict[bytes, frozenset[str]],
) -> None:
    found = find_culprits(suspected, lambda digest: False)
    explained: frozenset[str] = frozenset()
    for culprit in found:
        assert culprit.crashes - explained
        explained |= culprit.crashes
    for crashes in suspected.values():
        assert len(crashes) < CRASHES_TO_QUARANTINE or crashes <= explained
    assert all(len(c.crashes) >= CRASHES_TO_QUARANTINE for c in found)
    backwards = dict(reversed(suspected.items()))
    assert find_culprits(backwards, lambda digest: False) == found


@given(SETS)
def test_a_culprit_was_in_flight_at_all_crashes_that_count_against_it(
    suspected: dict[bytes, frozenset[str]],
) -> None:
    for culprit in find_culprits(suspected, lambda digest: False):
        for digest in culprit.suspects:
            assert culprit.crashes <= suspected[digest]


@given(SETS)
def test_whatever_crashed_most_is_blamed(
    suspected: dict[bytes, frozenset[str]],
) -> None:
    everything = frozenset("ABCDEFGH")
    found = find_culprits({**suspected, POISON: everything}, lambda digest: False)
    assert isinstance(found[0], Culprit)
    assert POISON in found[0].suspects
