"""Exchange permits and rate limits between nodes."""

from collections.abc import Sequence
from dataclasses import replace
from typing import NamedTuple

from hawthornshelf.effects import LogLine, PermitEnded, log
from hawthornshelf.limitrecords import Permit, RateLimitRow
from hawthornshelf.membership import MembershipTable
from hawthornshelf.messages import (
    AskPermit,
    MemberStatus,
    Message,
    PermitReply,
    RateLimitNews,
)
from hawthornshelf.permits import IssuerStanding, PermitIssuer, order_issuers
from hawthornshelf.ratelimits import RateLimitTable

__all__ = ["Outgoing", "PermitExchange"]

ASK_TIMEOUT_SECONDS = 0.1
"""Time for the answer of the node that issues a runner's permits."""

SILENT_SECONDS = 1.0
"""Time for which the next node is asked in place of one that did not answer."""

JOINING_SECONDS = 2.0
"""Time without an unknown node after which a node sees all others, or nearly so."""

NEWS_FANOUT = 3
COMPARE_INTERVAL_SECONDS = 0.25
TRANSIT_SECONDS = 0.02
"""Time that a row may have been on its way from another node."""


class Outgoing(NamedTuple):
    """Represent a message and the node that it is for."""

    node: str
    message: Message


class _Ask(NamedTuple):
    issuer: str
    runner: str
    at: float


Effect = Outgoing | PermitEnded | LogLine


class PermitExchange:
    """Ask the node that issues a runner's permits, and issue those of others.

    Each runner's permits are issued by one node, which all nodes choose alike from the
    members that they see serving. What a runner names is told to a few nodes, which
    pass it on, and goes along with each question and answer.
    """

    def __init__(self, members: MembershipTable) -> None:
        self.limits = RateLimitTable()
        self._members = members
        self._issuer = PermitIssuer()
        self._asks: dict[str, _Ask] = {}
        self._silent_until: dict[str, float] = {}
        self._compare_due = 0.0
        self._known = 0
        self._joined_at = float("-inf")

    def ask(
        self, now: float, request: str, runner: str, max_wait: float
    ) -> list[Effect]:
        """Ask for a permit; `request` names the question."""
        row = self.limits.row(now, runner)
        if row is None or row.rate is None:
            return [PermitEnded(request, Permit(True, 0.0))]
        silent = tuple(n for n, until in self._silent_until.items() if now < until)
        issuer = self._choose_issuer(self._order_nodes(runner), silent)
        self._asks[request] = _Ask(issuer, runner, now)
        return [Outgoing(issuer, AskPermit(request, row, max_wait, silent))]

    def receive(self, now: float, sender: str, message: Message) -> list[Effect]:
        """Process a message; return the answer to send and what has ended."""
        match message:
            case AskPermit():
                return [self._answer(now, sender, message)]
            case PermitReply(request, permit, limit):
                if limit is not None:
                    self._merge(now, limit)
                if self._asks.pop(request, None) is not None:
                    return [PermitEnded(request, permit)]
            case RateLimitNews(rows):
                for row in rows:
                    self._merge(now, row)
        return []

    def compare(self, now: float, sender: str, checksum: int) -> list[Effect]:
        """Tell a node all limits if it knows other limited runners than this one."""
        if checksum == self.limits.checksum or now < self._compare_due:
            return []
        self._compare_due = now + COMPARE_INTERVAL_SECONDS
        rows = self.limits.rows(now)
        return [Outgoing(sender, RateLimitNews(rows))] if rows else []

    def tick(self, now: float) -> list[Effect]:
        """Give up questions without an answer, and tell what is new."""
        effects: list[Effect] = []
        known = self._members.known_entry_count()
        if known > self._known:
            self._joined_at = now
        self._known = known
        for request, ask in list(self._asks.items()):
            if now < ask.at + ASK_TIMEOUT_SECONDS:
                continue
            del self._asks[request]
            self._silent_until[ask.issuer] = now + SILENT_SECONDS
            effects.append(PermitEnded(request, Permit(False, 0.0)))
            effects.append(
                log("permit-unanswered", runner=ask.runner, issuer=ask.issuer)
            )
        rows = self.limits.take_news(now)
        if rows:
            news = RateLimitNews(rows)
            sample = self._members.sample(NEWS_FANOUT)
            effects.extend(Outgoing(member.node, news) for member in sample)
        effects.extend(self.limits.take_lines())
        self._members.limits = self.limits.checksum
        return effects

    def _answer(self, now: float, sender: str, message: AskPermit) -> Outgoing:
        """Answer a question, or pass it on once to a node that goes before this one.

        Nodes that have just started don't see all others, and may ask the wrong one.
        """
        runner = message.limit.runner
        self._merge(now, message.limit)
        row = self.limits.row(now, runner)
        asker = message.asker or sender
        if row is None or row.rate is None:
            return Outgoing(asker, PermitReply(message.request, Permit(True, 0.0), row))
        order = self._order_nodes(runner)
        issuer = self._choose_issuer(order, message.silent)
        if issuer != self._members.own.node and not message.asker:
            return Outgoing(issuer, replace(message, asker=sender))
        standing = self._describe_standing(now, order)
        permit = self._issuer.issue(now, runner, row.rate, standing, message.max_wait)
        return Outgoing(asker, PermitReply(message.request, permit, row))

    def _merge(self, now: float, row: RateLimitRow) -> None:
        row = row._replace(age=row.age + TRANSIT_SECONDS)
        self.limits.merge(now, row, "node")

    def _order_nodes(self, runner: str) -> list[str]:
        """Return the nodes that serve, in the order for a runner's permits."""
        return order_issuers(runner, [row.node for row in self._members.serving()])

    def _choose_issuer(self, order: Sequence[str], silent: Sequence[str]) -> str:
        """Return the first node in the order that is not silent."""
        return next((n for n in order if n not in silent), self._members.own.node)

    def _describe_standing(self, now: float, order: Sequence[str]) -> IssuerStanding:
        lost = (MemberStatus.SUSPECT, MemberStatus.DEAD)
        rows = self._members.rows()
        alive = sum(row.entry and row.status not in lost for row in rows)
        known = self._members.known_entry_count()
        is_first = bool(order) and order[0] == self._members.own.node
        is_joining = now < self._joined_at + JOINING_SECONDS
        return IssuerStanding(is_first, alive, known, is_joining)
