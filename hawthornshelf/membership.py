"""Maintain the list of nodes by SWIM gossip with suspicion and incarnation numbers."""

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

PING_INTERVAL_SECONDS = 0.5
DIRECT_REPLY_TIMEOUT_SECONDS = 0.5
INDIRECT_REPLY_TIMEOUT_SECONDS = 1.5
SUSPECT_TIMEOUT_SECONDS = 3.0
FORGET_DEAD_SECONDS = 120.0
RECONNECT_INTERVAL_SECONDS = 1.0
"""Interval at which a node pings a dead one, in case only the link was cut."""

RELAYS_PER_PROBE = 2
ROWS_PER_MESSAGE = 8
GOSSIP_SENDS_PER_CHANGE = 6
STREAM_COUNT_VALID_SECONDS = 6.0
STREAM_COUNT_HALF_LIFE_SECONDS = 1.0
"""Half-life of a count's weight: the number may double within a few seconds."""

_STATUS_PRECEDENCE = {
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


class _RelayedProbe(NamedTuple):
    origin: str
    sequence: int


class OutgoingGossip(NamedTuple):
    """Represent a gossip message and the member that it is for."""

    member: MemberRow
    message: Gossip


class MembershipTable:
    """Store a row for each known node and probe the nodes in turn."""

    def __init__(
        self, own: MemberRow, seeds: Iterable[MemberRow], rng: random.Random
    ) -> None:
        self.own = own
        self._seeds: dict[str, MemberRow] = {}
        self.update_seeds(seeds)
        self._rows: dict[str, MemberRow] = {}
        self._changed_at: dict[str, float] = {}
        self._sends_left: dict[str, int] = {own.node: GOSSIP_SENDS_PER_CHANGE}
        self._rng = rng
        self._sequence = 0
        self._probes: dict[int, _Probe] = {}
        self._relayed_probes: dict[int, _RelayedProbe] = {}
        self._probe_order: list[str] = []
        self._ping_due = 0.0
        self._reconnect_due = 0.0
        self.revision = 0
        self.staleness = float("inf")
        self.crashes = 0
        self.limits = 0
        self.count_streams: Callable[[], int] = _return_zero
        self._stream_counts: dict[str, tuple[float, int]] = {}

    def update_seeds(self, seeds: Iterable[MemberRow]) -> None:
        """Replace the seeds, the nodes that are contacted before they have a row."""
        self._seeds = {seed.node: seed for seed in seeds if seed.node != self.own.node}

    def rows(self) -> tuple[MemberRow, ...]:
        """Return the rows of all known nodes, this node's first."""
        return (self.own, *self._rows.values())

    def find(self, node: str) -> MemberRow | None:
        """Return a node's row, or its seed if it has no row, or None."""
        if node == self.own.node:
            return self.own
        return self._rows.get(node) or self._seeds.get(node)

    def status(self, node: str) -> MemberStatus | None:
        """Return the last known status of a node, or None if it is unknown."""
        if node == self.own.node:
            return self.own.status
        row = self._rows.get(node)
        return row.status if row else None

    def serving(self) -> tuple[MemberRow, ...]:
        """Return the entry nodes that callers may use."""
        alive = MemberStatus.ALIVE
        return tuple(
            r for r in self.rows() if r.entry and r.serving and r.status is alive
        )

    def live_entries(self) -> tuple[str, ...]:
        """Return the names of the entry nodes that are not dead."""
        dead = MemberStatus.DEAD
        return tuple(r.node for r in self.rows() if r.entry and r.status is not dead)

    def live_entry_count(self) -> int:
        """Return the number of entry nodes that are not dead, at least 1."""
        return max(1, len(self.live_entries()))

    def known_entry_count(self) -> int:
        """Return the number of known entry nodes, dead ones included, at least 1.

        A node that only this one can't reach still spends its share of a budget.
        """
        return max(1, sum(row.entry for row in self.rows()))

    def estimate_streams(self, now: float) -> float:
        """Return the estimated number of open interactive requests at all entry nodes.

        It extrapolates from the recent counts. The greater of the plain mean and the
        mean with exponential decay is used, so that the estimate rises with the
        latest counts and falls only once most counts have fallen.
        """
        own = self.count_streams()
        ages, streams = [0.0], [own]
        for row in self._rows.values():
            received_at, count = self._stream_counts.get(row.node, (float("-inf"), 0))
            if row.entry and received_at > now - STREAM_COUNT_VALID_SECONDS:
                ages.append(now - received_at)
                streams.append(count)
        weights = [0.5 ** (age / STREAM_COUNT_HALF_LIFE_SECONDS) for age in ages]
        weighted = [w * count for w, count in zip(weights, streams, strict=True)]
        weighted_mean = sum(weighted) / sum(weights)
        plain_mean = sum(streams) / len(streams)
        return max(weighted_mean, plain_mean) * self.live_entry_count()

    def update_own(self, now: float, own: MemberRow) -> None:
        """Replace this node's row and distribute it if it changed."""
        if own != self.own._replace(incarnation=own.incarnation):
            self.own = own._replace(incarnation=self.own.incarnation + 1)
            self._record_change(now, own.node)

    def sample(self, count: int) -> list[MemberRow]:
        """Return up to `count` random nodes that are not dead."""
        candidates = self._live_nodes()
        return self._rng.sample(candidates, min(count, len(candidates)))

    def receive(self, now: float, sender: str, message: Gossip) -> list[OutgoingGossip]:
        """Process a gossip message and return the messages to send."""
        match message:
            case Ping():
                self._stream_counts[sender] = (now, message.streams)
                self._merge_all(now, message.members)
                return self._on_ping(sender, message)
            case PingReply():
                self._stream_counts[sender] = (now, message.streams)
                self._merge_all(now, message.members)
                return self._on_reply(message)
            case PingRequest():
                return self._on_ping_request(now, sender, message)

    def tick(self, now: float) -> list[OutgoingGossip]:
        """Probe the next node, and suspect the nodes that did not reply in time."""
        outgoing = self._check_probes(now)
        self._expire(now)
        if now >= self._ping_due:
            self._ping_due = now + PING_INTERVAL_SECONDS
            outgoing.extend(self._probe_next(now))
        if now >= self._reconnect_due:
            self._reconnect_due = now + RECONNECT_INTERVAL_SECONDS
            outgoing.extend(self._ping_dead())
        return outgoing

    def _ping_dead(self) -> list[OutgoingGossip]:
        """Ping a random dead node, which refutes its status if it is alive.

        Nodes on both sides of a cut take each other for dead, and dead nodes are not
        probed.
        """
        dead = [r for r in self._rows.values() if r.status is MemberStatus.DEAD]
        if not dead:
            return []
        target = self._rng.choice(dead)
        return [OutgoingGossip(target, self._ping(self._next_sequence(), ""))]

    def _live_nodes(self) -> list[MemberRow]:
        rows = [r for r in self._rows.values() if r.status is not MemberStatus.DEAD]
        known = set(self._rows)
        return rows + [s for s in self._seeds.values() if s.node not in known]

    def _probe_next(self, now: float) -> list[OutgoingGossip]:
        candidates = {row.node: row for row in self._live_nodes()}
        self._probe_order = [node for node in self._probe_order if node in candidates]
        if not self._probe_order:
            self._probe_order = sorted(candidates)
            self._rng.shuffle(self._probe_order)
        if not self._probe_order:
            return []
        target = candidates[self._probe_order.pop()]
        sequence = self._next_sequence()
        self._probes[sequence] = _Probe(target.node, now)
        return [OutgoingGossip(target, self._ping(sequence, ""))]

    def _check_probes(self, now: float) -> list[OutgoingGossip]:
        outgoing: list[OutgoingGossip] = []
        for sequence, probe in list(self._probes.items()):
            elapsed = now - probe.started
            if elapsed >= INDIRECT_REPLY_TIMEOUT_SECONDS:
                del self._probes[sequence]
                self._suspect(now, probe.node)
            elif elapsed >= DIRECT_REPLY_TIMEOUT_SECONDS and not probe.relayed:
                self._probes[sequence] = probe._replace(relayed=True)
                outgoing.extend(self._request_indirect_probes(sequence, probe.node))
        return outgoing

    def _request_indirect_probes(
        self, sequence: int, node: str
    ) -> list[OutgoingGossip]:
        target = self.find(node)
        others = [row for row in self._live_nodes() if row.node != node]
        relays = self._rng.sample(others, min(RELAYS_PER_PROBE, len(others)))
        if target is None:
            return []
        return [
            OutgoingGossip(relay, PingRequest(sequence, target)) for relay in relays
        ]

    def _on_ping_request(
        self, now: float, sender: str, message: PingRequest
    ) -> list[OutgoingGossip]:
        sequence = self._next_sequence()
        self._relayed_probes[sequence] = _RelayedProbe(sender, message.sequence)
        if len(self._relayed_probes) > 256:
            del self._relayed_probes[next(iter(self._relayed_probes))]
        return [OutgoingGossip(message.target, self._ping(sequence, sender))]

    def _on_ping(self, sender: str, message: Ping) -> list[OutgoingGossip]:
        member = self.find(sender)
        if member is None:
            return []
        reply = self._reply(message.sequence, message.origin)
        suspected = (MemberStatus.SUSPECT, MemberStatus.DEAD)
        if member.status in suspected and member not in reply.members:
            reply = replace(reply, members=(*reply.members, member))
        return [OutgoingGossip(member, reply)]

    def _on_reply(self, message: PingReply) -> list[OutgoingGossip]:
        self._probes.pop(message.sequence, None)
        relay = self._relayed_probes.pop(message.sequence, None)
        origin = self.find(relay.origin) if relay else None
        if relay is None or origin is None:
            return []
        return [OutgoingGossip(origin, self._reply(relay.sequence, ""))]

    def _ping(self, sequence: int, origin: str) -> Ping:
        return Ping(sequence, origin, *self._describe_self())

    def _reply(self, sequence: int, origin: str) -> PingReply:
        return PingReply(sequence, origin, *self._describe_self())

    def _describe_self(
        self,
    ) -> tuple[int, float, tuple[MemberRow, ...], int, int, int]:
        """Return the fields that each probe and each reply carries."""
        rows, streams = self._select_gossip_rows(), self.count_streams()
        tables = self.crashes, self.limits
        return self.revision, self.staleness, rows, streams, *tables

    def _select_gossip_rows(self) -> tuple[MemberRow, ...]:
        """Return this node's row, the recently changed rows and random other rows."""
        recently_changed = sorted(
            self._sends_left, key=lambda node: -self._sends_left[node]
        )
        selected = [node for node in recently_changed if node != self.own.node]
        selected = selected[: ROWS_PER_MESSAGE - 1]
        for node in [*selected, self.own.node]:
            self._count_gossip_send(node)
        free_rows = ROWS_PER_MESSAGE - 1 - len(selected)
        others = [node for node in self._rows if node not in selected]
        selected.extend(self._rng.sample(others, min(free_rows, len(others))))
        return (self.own, *(self._rows[n] for n in selected if n in self._rows))

    def _count_gossip_send(self, node: str) -> None:
        sends_left = self._sends_left.get(node, 0) - 1
        if sends_left > 0:
            self._sends_left[node] = sends_left
        else:
            self._sends_left.pop(node, None)

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
        if known is None or self._supersedes(row, known):
            self._rows[row.node] = row
            self._record_change(now, row.node)

    def _supersedes(self, row: MemberRow, known: MemberRow) -> bool:
        if row.incarnation != known.incarnation:
            return row.incarnation > known.incarnation
        return _STATUS_PRECEDENCE[row.status] > _STATUS_PRECEDENCE[known.status]

    def _refute(self, now: float, row: MemberRow) -> None:
        """Raise this node's incarnation to override a row that it did not issue."""
        suspected = row.status in (MemberStatus.SUSPECT, MemberStatus.DEAD)
        if row.incarnation > self.own.incarnation or (
            suspected and row.incarnation == self.own.incarnation
        ):
            self.own = self.own._replace(incarnation=row.incarnation + 1)
            self._record_change(now, self.own.node)

    def _suspect(self, now: float, node: str) -> None:
        row = self._rows.get(node)
        if row and row.status in (MemberStatus.ALIVE, MemberStatus.LEAVING):
            self._rows[node] = row._replace(status=MemberStatus.SUSPECT)
            self._record_change(now, node)

    def _expire(self, now: float) -> None:
        for node, row in list(self._rows.items()):
            elapsed = now - self._changed_at[node]
            if (
                row.status is MemberStatus.SUSPECT
                and elapsed >= SUSPECT_TIMEOUT_SECONDS
            ):
                self._rows[node] = row._replace(status=MemberStatus.DEAD)
                self._record_change(now, node)
            elif row.status is MemberStatus.DEAD and elapsed >= FORGET_DEAD_SECONDS:
                del self._rows[node]
                del self._changed_at[node]
                self._sends_left.pop(node, None)

    def _record_change(self, now: float, node: str) -> None:
        self._changed_at[node] = now
        self._sends_left[node] = GOSSIP_SENDS_PER_CHANGE

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence


def _return_zero() -> int:
    return 0
