"""Test the lines on a node that no longer hears of the control group."""

from hawthornshelf.controlcontact import ControlContact


def observe(contact: ControlContact, *staleness: float) -> list[str]:
    lines = [contact.observe(float(n), age) for n, age in enumerate(staleness)]
    return [line.event for found in lines for line in found]


def test_a_node_that_never_knew_anything_has_lost_nothing() -> None:
    assert observe(ControlContact(), float("inf"), float("inf")) == []


def test_each_loss_and_each_end_of_it_is_logged_once() -> None:
    ages = (0.1, 1.0, 3.0, 4.0, 0.2, 0.3, 5.0)
    expected = ["control-lost", "control-regained", "control-lost"]
    assert observe(ControlContact(), *ages) == expected


def test_the_line_names_how_long_the_contact_was_lost() -> None:
    contact = ControlContact()
    contact.observe(10.0, 0.0)
    contact.observe(13.0, 3.0)
    (line,) = contact.observe(16.0, 0.5)
    assert dict(line.fields)["seconds"] == 6.0
