"""Keep the list of nodes by gossip with suspicion and incarnation numbers (SWIM)."""

import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import NamedTuple

from hawthornshelf.messages import (
    MemberRow,
    MemberStatus,
    Ping,
    PingReply,
    PingRequest,
)

__all__ = ["Gossip", "MembershipTable", "OutgoingGossip"]

PING_SECONDS = 0.5
DIRECT_REPLY_SECONDS = 0.5
INDIRECT_REPLY_SECONDS = 1.5
SUSPECT_SECONDS = 3.0
FORGET_DEAD_SECONDS = 120.0
RELAYS = 2
ROWS_PER_MESSAGE = 8
FRESH_SENDS = 6
STREAMS_SECONDS = 6.0
STREAMS_HALF_LIFE_SECONDS = 1.0
"""Conversations may double within a few seconds, so that older counts mean less."""

_RANK = {
    MemberStatus.ALIVE: 0,
    MemberStatus.LEAVING: 1,
    MemberStatus.SUSPECT: 2,
    MemberStatus.DEAD: 3,
}

Gossip = Ping | PingReply | PingRequest


class _Probe(NamedTuple):
    node: str
    started: float
    relayed: bool = False


class _Relay(NamedTuple):
    origin: str
    sequence: int


class OutgoingGossip(NamedTuple):
    """Hold a gossip message and the member it goes to."""

    member: MemberRow
    message: Gossip


class MembershipTable:
    """Hold the rows of all nodes known and probe them in turn."""

    def __init__(
        self, own: MemberRow, seeds: Iterable[MemberRow], rng: random.Random
    ) -> None:
        self.own = own
        self._seeds: dict[str, MemberRow] = {}
        self.update_seeds(seeds)
        self._rows: dict[str, MemberRow] = {}
        self._changed_at: dict[str, float] = {}
        self._fresh: dict[str, int] = {own.node: FRESH_SENDS}
        self._rng = rng
        self._sequence = 0
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._order: list[str] = []
        self._ping_due = 0.0
        self.revision = 0
        self.staleness = float("inf")
        self.count_streams: Callable[[], int] = _count_none
        self._streams_of: dict[str, tuple[float, int]] = {}

    def update_seeds(self, seeds: Iterable[MemberRow]) -> None:
        """Take other nodes to turn to while nothing is known of them."""
        self._seeds = {seed.node: seed for seed in seeds if seed.node != self.own.node}

    def rows(self) -> tuple[MemberRow, ...]:
        """Return all rows, this node's first."""
        return (self.own, *self._rows.values())

    def find(self, node: str) -> MemberRow | None:
        """Return a node's row, or its seed while nothing is known of it."""
        if node == self.own.node:
            return self.own
        return self._rows.get(node) or self._seeds.get(node)

    def status(self, node: str) -> MemberStatus | None:
        """Return what is believed of a node, or None if it is unknown."""
        if node == self.own.node:
            return self.own.status
        row = self._rows.get(node)
        return row.status if row else None

    def serving(self) -> tuple[MemberRow, ...]:
        """Return the entry nodes that callers may be sent to."""
        alive = MemberStatus.ALIVE
        return tuple(
            r for r in self.rows() if r.entry and r.serving and r.status is alive
        )

    def live_entry_count(self) -> int:
        """Return the number of entry nodes that may send work now, at least one."""
        dead = MemberStatus.DEAD
        return max(1, sum(r.entry and r.status is not dead for r in self.rows()))

    def known_entry_count(self) -> int:
        """Return the number of entry nodes heard of lately, dead ones included.

        One that is only cut off from here goes on spending its share of a budget.
        """
        return max(1, sum(row.entry for row in self.rows()))

    def estimate_streams(self, now: float) -> float:
        """Return the conversations at all entry nodes, from those heard of lately.

        A rise is believed at once, a fall only once most counts tell of it.
        """
        own = self.count_streams()
        ages, streams = [0.0], [own]
        for row in self._rows.values():
            at, count = self._streams_of.get(row.node, (float("-inf"), 0))
            if row.entry and at > now - STREAMS_SECONDS:
                ages.append(now - at)
                streams.append(count)
        weights = [0.5 ** (age / STREAMS_HALF_LIFE_SECONDS) for age in ages]
        weighted = [w * count for w, count in zip(weights, streams, strict=True)]
        newest = sum(weighted) / sum(weights)
        steady = sum(streams) / len(streams)
        return max(newest, steady) * self.live_entry_count()

    def update_own(self, now: float, own: MemberRow) -> None:
        """Change this node's row and spread it."""
        if own != self.own._replace(incarnation=own.incarnation):
            self.own = own._replace(incarnation=self.own.incarnation + 1)
            self._note_change(now, own.node)

    def sample(self, count: int) -> list[MemberRow]:
        """Return up to `count` random members that are not dead."""
        candidates = self._candidates()
        return self._rng.sample(candidates, min(count, len(candidates)))

    def receive(self, now: float, sender: str, message: Gossip) -> list[OutgoingGossip]:
        """Take in a gossip message and return what to send."""
        match message:
            case Ping():
                self._streams_of[sender] = (now, message.streams)
                self._merge_all(now, message.members)
                return self._answer_ping(sender, message)
            case PingReply():
                self._streams_of[sender] = (now, message.streams)
                self._merge_all(now, message.members)
                return self._on_reply(message)
            case PingRequest():
                return self._relay_ping(now, sender, message)

    def tick(self, now: float) -> list[OutgoingGossip]:
        """Probe the next member and judge those that did not answer."""
        outgoing = self._check_probes(now)
        self._expire(now)
        if now >= self._ping_due:
            self._ping_due = now + PING_SECONDS
            outgoing.extend(self._probe_next(now))
        return outgoing

    def _candidates(self) -> list[MemberRow]:
        rows = [r for r in self._rows.values() if r.status is not MemberStatus.DEAD]
        known = set(self._rows)
        return rows + [s for s in self._seeds.values() if s.node not in known]

    def _probe_next(self, now: float) -> list[OutgoingGossip]:
        candidates = {row.node: row for row in self._candidates()}
        self._order = [node for node in self._order if node in candidates]
        if not self._order:
            self._order = sorted(candidates)
            self._rng.shuffle(self._order)
        if not self._order:
            return []
        target = candidates[self._order.pop()]
        sequence = self._next_sequence()
        self._probes[sequence] = _Probe(target.node, now)
        return [OutgoingGossip(target, self._ping(sequence, ""))]

    def _check_probes(self, now: float) -> list[OutgoingGossip]:
        outgoing: list[OutgoingGossip] = []
        for sequence, probe in list(self._probes.items()):
            waited = now - probe.started
            if waited >= INDIRECT_REPLY_SECONDS:
                del self._probes[sequence]
                self._suspect(now, probe.node)
            elif waited >= DIRECT_REPLY_SECONDS and not probe.relayed:
                self._probes[sequence] = probe._replace(relayed=True)
                outgoing.extend(self._ask_relays(sequence, probe.node))
        return outgoing

    def _ask_relays(self, sequence: int, node: str) -> list[OutgoingGossip]:
        target = self.find(node)
        others = [row for row in self._candidates() if row.node != node]
        relays = self._rng.sample(others, min(RELAYS, len(others)))
        if target is None:
            return []
        return [
            OutgoingGossip(relay, PingRequest(sequence, target)) for relay in relays
        ]

    def _relay_ping(
        self, now: float, sender: str, message: PingRequest
    ) -> list[OutgoingGossip]:
        sequence = self._next_sequence()
        self._relays[sequence] = _Relay(sender, message.sequence)
        if len(self._relays) > 256:
            del self._relays[next(iter(self._relays))]
        return [OutgoingGossip(message.target, self._ping(sequence, sender))]

    def _answer_ping(self, sender: str, message: Ping) -> list[OutgoingGossip]:
        member = self.find(sender)
        if member is None:
            return []
        reply = self._reply(message.sequence, message.origin)
        doubted = (MemberStatus.SUSPECT, MemberStatus.DEAD)
        if member.status in doubted and member not in reply.members:
            reply = replace(reply, members=(*reply.members, member))
        return [OutgoingGossip(member, reply)]

    def _on_reply(self, message: PingReply) -> list[OutgoingGossip]:
        self._probes.pop(message.sequence, None)
        relay = self._relays.pop(message.sequence, None)
        origin = self.find(relay.origin) if relay else None
        if relay is None or origin is None:
            return []
        return [OutgoingGossip(origin, self._reply(relay.sequence, ""))]

    def _ping(self, sequence: int, origin: str) -> Ping:
        news = self._news()
        streams = self.count_streams()
        return Ping(sequence, origin, self.revision, self.staleness, news, streams)

    def _reply(self, sequence: int, origin: str) -> PingReply:
        news = self._news()
        streams = self.count_streams()
        return PingReply(sequence, origin, self.revision, self.staleness, news, streams)

    def _news(self) -> tuple[MemberRow, ...]:
        """Return this node's row, rows that changed lately, and random others."""
        fresh = sorted(self._fresh, key=lambda node: -self._fresh[node])
        chosen = [node for node in fresh if node != self.own.node]
        chosen = chosen[: ROWS_PER_MESSAGE - 1]
        for node in [*chosen, self.own.node]:
            self._count_send(node)
        spare = ROWS_PER_MESSAGE - 1 - len(chosen)
        others = [node for node in self._rows if node not in chosen]
        chosen.extend(self._rng.sample(others, min(spare, len(others))))
        return (self.own, *(self._rows[n] for n in chosen if n in self._rows))

    def _count_send(self, node: str) -> None:
        left = self._fresh.get(node, 0) - 1
        if left > 0:
            self._fresh[node] = left
        else:
            self._fresh.pop(node, None)

    def _merge_all(self, now: float, rows: Iterable[MemberRow]) -> None:
        for row in rows:
            self._merge(now, row)

    def _merge(self, now: float, row: MemberRow) -> None:
        if row.node == self.own.node:
            self._refute(now, row)
            return
        known = self._rows.get(row.node)
        if known is None and row.status is MemberStatus.DEAD:
            return
        if known is None or self._is_newer(row, known):
            self._rows[row.node] = row
            self._note_change(now, row.node)

    def _is_newer(self, row: MemberRow, known: MemberRow) -> bool:
        if row.incarnation != known.incarnation:
            return row.incarnation > known.incarnation
        return _RANK[row.status] > _RANK[known.status]

    def _refute(self, now: float, row: MemberRow) -> None:
        """Outbid any row about this node that it did not give out itself."""
        doubted = row.status in (MemberStatus.SUSPECT, MemberStatus.DEAD)
        if row.incarnation > self.own.incarnation or (
            doubted and row.incarnation == self.own.incarnation
        ):
            self.own = self.own._replace(incarnation=row.incarnation + 1)
            self._note_change(now, self.own.node)

    def _suspect(self, now: float, node: str) -> None:
        row = self._rows.get(node)
        if row and row.status in (MemberStatus.ALIVE, MemberStatus.LEAVING):
            self._rows[node] = row._replace(status=MemberStatus.SUSPECT)
            self._note_change(now, node)

    def _expire(self, now: float) -> None:
        for node, row in list(self._rows.items()):
            waited = now - self._changed_at[node]
            if row.status is MemberStatus.SUSPECT and waited >= SUSPECT_SECONDS:
                self._rows[node] = row._replace(status=MemberStatus.DEAD)
                self._note_change(now, node)
            elif row.status is MemberStatus.DEAD and waited >= FORGET_DEAD_SECONDS:
                del self._rows[node]
                del self._changed_at[node]
                self._fresh.pop(node, None)

    def _note_change(self, now: float, node: str) -> None:
        self._changed_at[node] = now
        self._fresh[node] = FRESH_SENDS

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence


def _count_none() -> int:
    return 0
