import random

from hawthornshelf.effects import LogLine, PermitEnded
from hawthornshelf.limitrecords import Permit, RateLimitRow
from hawthornshelf.membership import MembershipTable
from hawthornshelf.messages import (
    AskPermit,
    MemberRow,
    MemberStatus,
    PermitReply,
    Ping,
    RateLimitNews,
)
from hawthornshelf.permitexchange import (
    ASK_TIMEOUT_SECONDS,
    COMPARE_INTERVAL_SECONDS,
    JOINING_SECONDS,
    NEWS_FANOUT,
    SILENT_SECONDS,
    Outgoing,
    PermitExchange,
)
from hawthornshelf.permits import order_issuers

NODES = [f"n{number}" for number in range(5)]
RUNNER = "i-1/17"


def make_row(node: str, serving: bool = True) -> MemberRow:
    alive = MemberStatus.ALIVE
    return MemberRow(node, 1, alive, node, node, "dc", True, False, serving)


def make_exchange(node: str, serving: bool = True) -> PermitExchange:
    members = MembershipTable(make_row(node, serving), [], random.Random(1))
    rows = tuple(make_row(other) for other in NODES if other != node)
    members.receive(0.0, "n0", Ping(1, "", 0, 0.0, rows))
    return PermitExchange(members)


def asked(effects: list[object]) -> tuple[str, AskPermit]:
    """Return whom a node asks, and what."""
    (outgoing,) = effects
    assert isinstance(outgoing, Outgoing) and isinstance(outgoing.message, AskPermit)
    return outgoing.node, outgoing.message


def test_a_runner_without_a_limit_needs_no_permit() -> None:
    exchange = make_exchange("n0")
    ended = PermitEnded("q", Permit(True, 0.0))
    assert exchange.ask(1.0, "q", RUNNER, 0.0) == [ended]


def test_all_nodes_ask_the_same_node() -> None:
    issuers = set()
    for node in NODES:
        exchange = make_exchange(node)
        exchange.limits.learn(1.0, RUNNER, 3.0, 1.0)
        issuers.add(asked(exchange.ask(1.0, "q", RUNNER, 0.0))[0])
    assert issuers == {order_issuers(RUNNER, NODES)[0]}


def test_a_question_brings_the_limit_and_the_answer_a_permit() -> None:
    issuer = make_exchange(order_issuers(RUNNER, NODES)[0])
    other = make_exchange(order_issuers(RUNNER, NODES)[1])
    other.limits.learn(1.0, RUNNER, 3.0, 1.0)
    _, question = asked(other.ask(1.0, "q", RUNNER, 0.0))
    (reply,) = issuer.receive(1.0, other._members.own.node, question)
    assert issuer.limits.find(RUNNER) == 3.0
    assert isinstance(reply, Outgoing) and isinstance(reply.message, PermitReply)
    (ended,) = other.receive(1.0, "issuer", reply.message)
    assert ended == PermitEnded("q", Permit(True, 0.0))
    assert other.receive(1.0, "issuer", reply.message) == []


def test_an_answer_tells_that_a_limit_has_ended() -> None:
    issuer, other = make_exchange("n0"), make_exchange("n1")
    issuer.limits.learn(1.0, RUNNER, 3.0, 1.0)
    issuer.limits.learn(5.0, RUNNER, None, 5.0)
    (reply,) = issuer.receive(
        6.0, "n1", AskPermit("q", RateLimitRow(RUNNER, 3.0, 5.0), 0.0)
    )
    assert reply.message.permit.is_granted  # type: ignore[union-attr]
    other.limits.learn(1.0, RUNNER, 3.0, 1.0)
    other.receive(6.0, "n0", reply.message)  # type: ignore[union-attr]
    assert other.limits.find(RUNNER) is None


def test_the_next_node_is_asked_while_one_does_not_answer() -> None:
    first, second = order_issuers(RUNNER, NODES)[:2]
    exchange = make_exchange(order_issuers(RUNNER, NODES)[4])
    exchange.limits.learn(1.0, RUNNER, 3.0, 1.0)
    exchange.tick(1.0)
    assert asked(exchange.ask(1.0, "q", RUNNER, 0.0))[0] == first
    assert exchange.tick(1.0 + ASK_TIMEOUT_SECONDS / 2) == []
    now = 1.0 + ASK_TIMEOUT_SECONDS
    ended, line = exchange.tick(now)
    assert ended == PermitEnded("q", Permit(False, 0.0))
    assert isinstance(line, LogLine) and line.event == "permit-unanswered"
    assert asked(exchange.ask(now, "q2", RUNNER, 0.0))[0] == second
    later = now + SILENT_SECONDS
    assert asked(exchange.ask(later, "q3", RUNNER, 0.0))[0] == first


def test_a_question_to_the_wrong_node_is_passed_on_once() -> None:
    first, second = order_issuers(RUNNER, NODES)[:2]
    limit = RateLimitRow(RUNNER, 3.0, 0.0)
    exchange = make_exchange(second)
    (passed,) = exchange.receive(1.0, "n9", AskPermit("q", limit, 0.0))
    assert passed == Outgoing(first, AskPermit("q", limit, 0.0, (), "n9"))
    (reply,) = exchange.receive(1.0, "n8", AskPermit("q", limit, 0.0, (), "n9"))
    assert isinstance(reply, Outgoing) and reply.node == "n9"
    assert isinstance(reply.message, PermitReply)


def test_a_question_is_not_passed_on_to_a_node_that_did_not_answer() -> None:
    first, second = order_issuers(RUNNER, NODES)[:2]
    limit = RateLimitRow(RUNNER, 3.0, 0.0)
    question = AskPermit("q", limit, 0.0, (first,))
    (reply,) = make_exchange(second).receive(1.0, "n9", question)
    assert isinstance(reply, Outgoing) and reply.node == "n9"


def test_a_node_that_still_learns_of_others_issues_less() -> None:
    first = order_issuers(RUNNER, NODES)[0]
    exchange = make_exchange(first)
    limit = RateLimitRow(RUNNER, 2.0, 0.0)
    granted = {True: 0, False: 0}
    for step in range(200):
        now = 0.05 * step
        exchange.tick(now)
        (reply,) = exchange.receive(now, "n9", AskPermit("q", limit, 0.0))
        granted[now < JOINING_SECONDS] += reply.message.permit.is_granted  # type: ignore[union-attr]
    assert granted[True] <= 3 and granted[False] >= 0.9 * 2.0 * 8.0


def test_what_a_runner_names_is_told_to_a_few_nodes_once() -> None:
    exchange = make_exchange("n0")
    exchange.limits.learn(1.0, RUNNER, 3.0, 1.0)
    effects = exchange.tick(1.0)
    told = [effect for effect in effects if isinstance(effect, Outgoing)]
    assert len(told) == NEWS_FANOUT
    assert {item.message for item in told} == {
        RateLimitNews((RateLimitRow(RUNNER, 3.0, 0.0),))
    }
    assert exchange.tick(2.0) == []


def test_nodes_that_know_other_limited_runners_tell_each_other() -> None:
    one, other = make_exchange("n0"), make_exchange("n1")
    one.limits.learn(1.0, RUNNER, 3.0, 1.0)
    assert one.compare(2.0, "n1", one.limits.checksum) == []
    (news,) = one.compare(2.0, "n1", other.limits.checksum)
    assert one.compare(2.1, "n2", other.limits.checksum) == []
    other.receive(2.0, "n0", news.message)  # type: ignore[union-attr]
    assert other.limits.find(RUNNER) == 3.0
    later = 2.0 + COMPARE_INTERVAL_SECONDS
    assert one.compare(later, "n1", other.limits.checksum) == []
