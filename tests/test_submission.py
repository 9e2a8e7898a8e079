from hawthornshelf.commands import Done, RemoveNode
from hawthornshelf.messages import CODEC, NotLeader, SubmitReply
from hawthornshelf.submission import RESEND_SECONDS, Submitter

COMMAND = RemoveNode("n", "1")


def make_submitter() -> tuple[Submitter, str]:
    submitter = Submitter("n", ["a", "b", "c"])
    return submitter, submitter.submit(0.0, COMMAND, deadline=5.0)


def test_a_new_command_is_sent_at_once_and_only_once() -> None:
    submitter, _ = make_submitter()
    assert [node for node, _ in submitter.take_unsent(0.0)] == ["a"]
    assert submitter.take_unsent(0.0) == []


def test_an_unanswered_command_goes_to_the_next_control_node() -> None:
    submitter, _ = make_submitter()
    submitter.take_unsent(0.0)
    messages, _ = submitter.tick(RESEND_SECONDS)
    assert [node for node, _ in messages] == ["b"]


def test_a_command_is_redirected_to_the_named_leader_at_once() -> None:
    submitter, request = make_submitter()
    submitter.take_unsent(0.0)
    submitter.on_not_leader(0.1, "a", NotLeader(request, "c"))
    assert [node for node, _ in submitter.take_unsent(0.1)] == ["c"]


def test_the_first_result_ends_a_command_and_later_ones_are_ignored() -> None:
    submitter, request = make_submitter()
    reply = SubmitReply(request, CODEC.encode(Done(7)))
    assert submitter.on_reply(reply).result == Done(7)
    assert submitter.on_reply(reply) is None


def test_a_command_ends_without_a_result_at_its_deadline() -> None:
    submitter, request = make_submitter()
    _, ended = submitter.tick(5.0)
    assert [(e.request, e.result) for e in ended] == [(request, None)]
