from hawthornshelf.commands import Done, RemoveNode
from hawthornshelf.messages import CODEC, NotLeader, SubmitReply
from hawthornshelf.submission import RESEND_SECONDS, Submitter

COMMAND = RemoveNode("n", "1")


def make() -> tuple[Submitter, str]:
    submitter = Submitter("n", ["a", "b", "c"])
    return submitter, submitter.submit(0.0, COMMAND, until=5.0)


def test_a_command_goes_out_at_once_and_only_once() -> None:
    submitter, _ = make()
    assert [node for node, _ in submitter.take_unsent(0.0)] == ["a"]
    assert submitter.take_unsent(0.0) == []


def test_no_answer_turns_to_the_next_control_node() -> None:
    submitter, _ = make()
    submitter.take_unsent(0.0)
    messages, _ = submitter.tick(RESEND_SECONDS)
    assert [node for node, _ in messages] == ["b"]


def test_a_named_leader_gets_it_at_once() -> None:
    submitter, request = make()
    submitter.take_unsent(0.0)
    submitter.on_not_leader(0.1, "a", NotLeader(request, "c"))
    assert [node for node, _ in submitter.take_unsent(0.1)] == ["c"]


def test_the_first_result_ends_it_and_later_ones_are_ignored() -> None:
    submitter, request = make()
    reply = SubmitReply(request, CODEC.encode(Done(7)))
    assert submitter.on_reply(reply).result == Done(7)
    assert submitter.on_reply(reply) is None


def test_it_ends_without_a_result_when_its_time_is_up() -> None:
    submitter, request = make()
    _, ended = submitter.tick(5.0)
    assert [(e.request, e.result) for e in ended] == [(request, None)]
