"""Disable one mechanism at a time, to test that the checks detect it."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from hawthornshelf import claims, control, engineorders, entry, lifecycle, raft, state
from hawthornshelf.commands import ClaimGranted
from hawthornshelf.effects import SendOrder
from hawthornshelf.log import Membership, VoterSet
from tests import simulation

__all__ = ["ABLATIONS"]

Ablation = Callable[[pytest.MonkeyPatch], None]
NEVER = float("-inf")
FOREVER = float("inf")


def _send_before_sync(patch: pytest.MonkeyPatch) -> None:
    """Send votes and acknowledgements before they are synced to disk."""
    persisted_sequence = property(lambda s: 10**9, lambda s, v: None)
    persisted_index = property(lambda s: s.last_index, lambda s, v: None)
    patch.setattr(raft.Raft, "_persisted_sequence", persisted_sequence, raising=False)
    patch.setattr(raft.Raft, "persisted_index", persisted_index, raising=False)


def _keep_replica_id(patch: pytest.MonkeyPatch) -> None:
    """Let a replica with an empty disk vote under its old replica id."""
    memberships: dict[str, Membership] = {}
    original = raft.Raft._find_voter_set

    def wipe(self: simulation.Simulation, name: str) -> None:
        node = self.nodes[name]
        assert node.disk is not None
        assert node.core is not None
        assert node.core.control is not None
        replica = node.disk.load().replica
        memberships[replica] = node.core.control.membership()
        self.kill(name)
        node.disk = simulation.MemoryStorage(replica)

    def find(self: raft.Raft, upto: int | None = None) -> VoterSet:
        voter_set = original(self, upto)
        if voter_set.membership.members:
            return voter_set
        return VoterSet(memberships.get(self.replica, voter_set.membership))

    patch.setattr(simulation.Simulation, "wipe", wipe)
    patch.setattr(raft.Raft, "_find_voter_set", find)


def _no_lease(patch: pytest.MonkeyPatch) -> None:
    """Send orders after the lease expired, and without the wait of a new leader."""
    original = engineorders.OrderReconciler.tick

    def tick(self: engineorders.OrderReconciler, *arguments: object) -> list:
        effects = original(self, *arguments)  # type: ignore[arg-type]
        return [
            replace(effect, not_after=FOREVER)
            if isinstance(effect, SendOrder)
            else effect
            for effect in effects
        ]

    patch.setattr(engineorders.OrderReconciler, "tick", tick)
    patch.setattr(control.ControlCore, "unfenced_orders_from", lambda self: NEVER)


def _no_settling(patch: pytest.MonkeyPatch) -> None:
    """Send an order without waiting until the previous one can no longer arrive."""
    patch.setattr(
        engineorders,
        "_EngineRow",
        type(
            "Row",
            (engineorders._EngineRow,),
            {"order_pending_until": property(lambda self: NEVER)},
        ),
    )


def _no_acks(patch: pytest.MonkeyPatch) -> None:
    """Send orders before every node has confirmed that it drained the upstream."""
    patch.setattr(state.SharedState, "missing_acks", lambda self, drain: ())


def _no_claims(patch: pytest.MonkeyPatch) -> None:
    """Grant every claim."""
    patch.setattr(
        claims.ClaimTable, "open", lambda self, c, now: ClaimGranted(c.attempt)
    )


def _retry_unknown(patch: pytest.MonkeyPatch) -> None:
    """Resend a claimed request after its connection broke."""
    original = entry.EntryCore._on_broken

    def on_broken(self: entry.EntryCore, now: float, event: object) -> None:
        object.__setattr__(event, "sent", False)
        original(self, now, event)  # type: ignore[arg-type]

    patch.setattr(entry.EntryCore, "_on_broken", on_broken)


def _no_staleness_limit(patch: pytest.MonkeyPatch) -> None:
    """Serve without a current list of the upstreams that are leaving."""
    patch.setattr(lifecycle, "STALE_SECONDS", FOREVER)


def _no_compare_and_set(patch: pytest.MonkeyPatch) -> None:
    """Accept a configuration on any base version."""
    original = state.SharedState._decide

    def decide(
        self: state.SharedState, index: int, command: object, digest: str
    ) -> None:
        object.__setattr__(command, "base_version", self.version)
        original(self, index, command, digest)  # type: ignore[arg-type]

    patch.setattr(state.SharedState, "_decide", decide)


def _no_offsets(patch: pytest.MonkeyPatch) -> None:
    """Forward every chunk of a stream, whatever its offset."""
    original = entry.EntryCore._on_chunk

    def on_chunk(self: entry.EntryCore, now: float, event: object) -> None:
        row = self.requests.find_by_attempt(event.attempt)  # type: ignore[attr-defined]
        if row is not None:
            object.__setattr__(event, "offset", row.offset)
        original(self, now, event)  # type: ignore[arg-type]

    patch.setattr(entry.EntryCore, "_on_chunk", on_chunk)


def _resume_at_start(patch: pytest.MonkeyPatch) -> None:
    """Resume an interrupted stream at offset 0."""
    original = entry.EntryCore._retry

    def retry(self: entry.EntryCore, now: float, row: object, reason: str) -> None:
        original(self, now, row._replace(offset=0), reason)  # type: ignore[attr-defined]

    patch.setattr(entry.EntryCore, "_retry", retry)


def _no_linger(patch: pytest.MonkeyPatch) -> None:
    """Stop at once, with requests in flight."""
    patch.setattr(lifecycle.Lifecycle, "may_end", lambda self, now, count: True)


def _no_quarantine(patch: pytest.MonkeyPatch) -> None:
    """Retry a request after any number of crashes that it caused."""
    from hawthornshelf import suspects

    patch.setattr(suspects, "CRASHES_TO_QUARANTINE", 10**9)


ABLATIONS: dict[str, Ablation] = {
    "send-before-sync": _send_before_sync,
    "keep-replica-id": _keep_replica_id,
    "no-lease": _no_lease,
    "no-settling": _no_settling,
    "no-acks": _no_acks,
    "no-claims": _no_claims,
    "retry-unknown": _retry_unknown,
    "no-staleness-limit": _no_staleness_limit,
    "no-compare-and-set": _no_compare_and_set,
    "no-offsets": _no_offsets,
    "resume-at-start": _resume_at_start,
    "no-linger": _no_linger,
    "no-quarantine": _no_quarantine,
}
