import random

from hawthornshelf.duties import Duty, DutySettings
from hawthornshelf.messages import UsageCounts, UsageProgress
from hawthornshelf.usagesender import UsageSender

CONTROL = ["c0", "c1", "c2"]


def make_sender() -> UsageSender:
    settings = DutySettings(frozenset({Duty.USAGE}))
    sender = UsageSender("e1", "i", settings, random.Random(1))
    sender.time.observe(0.0, 1000.0)
    return sender


def send(sender: UsageSender, now: float) -> dict[str, UsageCounts]:
    """Return the messages of one tick by the node that they are for."""
    messages = {}
    for node, message in sender.tick(now, CONTROL):
        assert isinstance(message, UsageCounts)
        messages[node] = message
    return messages


def confirm(sender: UsageSender, now: float, node: str, leader: str = "c1") -> None:
    sender.on_progress(now, node, UsageProgress(-1, sender.counter.version, leader))


def test_the_leader_gets_each_message_and_the_others_take_turns() -> None:
    sender = make_sender()
    assert len(send(sender, 0.0)) == 1
    confirm(sender, 0.1, "c0")
    targets = [sorted(send(sender, float(now))) for now in (1, 2, 3)]
    assert all("c1" in pair for pair in targets)
    assert {name for pair in targets for name in pair} == set(CONTROL)
    assert send(sender, 3.5) == {}


def test_each_replica_gets_what_it_has_not_confirmed_itself() -> None:
    sender = make_sender()
    confirm(sender, 0.0, "c1")
    sender.counter.record(1000.0, "acme")
    confirm(sender, 0.1, "c1")
    messages = send(sender, 0.2)
    (other,) = set(messages) - {"c1"}
    assert messages["c1"].windows == ()
    assert (messages["c1"].since, messages["c1"].version) == (1, 1)
    assert messages[other].since == 0
    assert messages[other].windows[0].counts == (("acme", 1),)


def test_a_replica_that_lost_what_it_knew_gets_all_again() -> None:
    sender = make_sender()
    sender.counter.record(1000.0, "acme")
    confirm(sender, 0.0, "c1")
    sender.on_progress(0.1, "c1", UsageProgress(-1, 0, "c1"))
    assert send(sender, 0.2)["c1"].windows[0].counts == (("acme", 1),)


def test_a_silent_leader_is_reached_through_another_replica() -> None:
    sender = make_sender()
    confirm(sender, 0.0, "c1")
    confirm(sender, 0.0, "c0")
    confirm(sender, 0.0, "c2")
    assert not any(m.relay for m in send(sender, 1.0).values())
    sender.counter.record(1001.0, "acme")
    confirm(sender, 2.0, "c0")
    confirm(sender, 2.0, "c2")
    messages = send(sender, 3.0)
    (other,) = set(messages) - {"c1"}
    assert messages[other].relay
    assert messages[other].since == messages["c1"].since == 0


def test_a_new_leader_is_followed_and_decided_windows_are_dropped() -> None:
    sender = make_sender()
    sender.counter.record(1000.0, "acme")
    confirm(sender, 0.0, "c1")
    sender.on_progress(0.5, "c2", UsageProgress(200, 0, "c2"))
    messages = send(sender, 1.0)
    assert "c2" in messages
    assert messages["c2"].windows == ()


def test_a_process_that_ends_sends_without_waiting_for_its_turn() -> None:
    sender = make_sender()
    send(sender, 0.0)
    sender.counter.record(1000.1, "acme")
    assert send(sender, 0.1) == {}
    sender.send_now()
    assert [m.version for m in send(sender, 0.2).values()] == [1]
