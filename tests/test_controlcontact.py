"""Test whom a node asks what is new, and its lines on the control group."""

import random

from hawthornshelf.controlcontact import (
    ANSWER_SECONDS,
    FRESH_SECONDS,
    POLL_SECONDS,
    ControlContact,
)

NODES = ["c0", "c1", "c2"]


def make_contact() -> ControlContact:
    return ControlContact(random.Random(1))


def ask(contact: ControlContact, seconds: float, answers: set[str]) -> list[str]:
    """Return the nodes asked, each of which answers at once if it is one of some."""
    asked = []
    for tick in range(int(seconds / 0.1)):
        node = contact.choose(tick * 0.1, NODES, POLL_SECONDS)
        if node:
            asked.append(node)
        if node in answers:
            contact.record_answer(0.1)
    return asked


def observe(contact: ControlContact, *staleness: float) -> list[str]:
    lines = [contact.observe(float(n), age) for n, age in enumerate(staleness)]
    return [line.event for found in lines for line in found]


def test_one_node_is_asked_per_interval_while_all_answer() -> None:
    assert len(ask(make_contact(), 9.0, set(NODES))) in (9, 10)


def test_the_next_node_is_asked_soon_if_one_does_not_answer() -> None:
    """One answers; both others may be asked before it."""
    asked = ask(make_contact(), 2 * ANSWER_SECONDS + 0.2, {"c1"})
    assert "c1" in asked


def test_an_answer_of_a_node_that_is_cut_off_does_not_count() -> None:
    contact = make_contact()
    first = contact.choose(0.0, NODES, POLL_SECONDS)
    contact.record_answer(FRESH_SECONDS + 0.1)
    second = contact.choose(ANSWER_SECONDS, NODES, POLL_SECONDS)
    assert second not in ("", first)


def test_a_group_that_does_not_answer_is_not_asked_more_and_more() -> None:
    asked = ask(make_contact(), 60.0, set())
    round_seconds = 2 * ANSWER_SECONDS + POLL_SECONDS
    assert len(asked) <= 3 * (60.0 / round_seconds + 1)


def test_a_node_that_never_knew_anything_has_lost_nothing() -> None:
    assert observe(make_contact(), float("inf"), float("inf")) == []


def test_each_loss_and_each_end_of_it_is_logged_once() -> None:
    ages = (0.1, 1.0, 3.0, 4.0, 0.2, 0.3, 5.0)
    expected = ["control-lost", "control-regained", "control-lost"]
    assert observe(make_contact(), *ages) == expected


def test_the_line_names_how_long_the_contact_was_lost() -> None:
    contact = make_contact()
    contact.observe(10.0, 0.0)
    contact.observe(13.0, 3.0)
    (line,) = contact.observe(16.0, 0.5)
    assert dict(line.fields)["seconds"] == 6.0
