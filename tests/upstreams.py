"""Provide fake engines and services that record what they ran."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from hawthornshelf.commands import Answer
from hawthornshelf.effects import Dispatch, SendOrder
from hawthornshelf.events import (
    AttemptBroken,
    AttemptCompleted,
    AttemptRefused,
    AttemptStarted,
    ChunkReceived,
    EngineState,
    LoadReport,
    RequestArrived,
)

if TYPE_CHECKING:
    from tests.simulation import Simulation

TOKEN_SECONDS = 0.02
CHANGE_SECONDS = 1.0
BOOKING_SECONDS = 0.05
DUPLICATE_PROBABILITY = 0.05
BREAK_PROBABILITY = 0.05
POISON = "poison"  # digest of a request that crashes every engine


class OrderRecord(NamedTuple):
    """Record an order that took effect on an engine."""

    at: float
    sender: str
    order: int
    fence: int
    in_flight: int
    changing: bool


class RunRecord(NamedTuple):
    """Record an attempt that an upstream ran."""

    at: float
    request: str
    attempt: str
    key: str


def token(digest: str, offset: int) -> str:
    """Return the token at an offset, which is the same on every engine."""
    return f"{digest}:{offset} "


@dataclass
class FakeEngine:
    """Stream completions token by token, and execute orders."""

    name: str
    checks_fencing: bool = True
    model: str = ""
    version: str = ""
    up: bool = True
    boot: int = 1
    changing_until: float = 0.0
    last_fence: int = 0
    last_order: int = 0
    target: tuple[str, str] = ("", "")
    running: dict[str, tuple[str, str]] = field(default_factory=dict)
    orders: list[OrderRecord] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    crashes: int = 0

    def start_attempt(
        self,
        simulation: "Simulation",
        node: str,
        epoch: int,
        effect: Dispatch,
        event: RequestArrived,
    ) -> None:
        """Start an attempt, or refuse it during a change or for another model."""
        self._finish_change(simulation.now)
        if simulation.now < self.changing_until or self.model != event.target:
            refused = AttemptRefused(effect.attempt, "model not served")
            simulation.post_later(node, epoch, refused, 0.002)
            return
        self.runs.append(
            RunRecord(simulation.now, effect.request, effect.attempt, event.key)
        )
        self.running[effect.attempt] = (node, event.digest)
        started = AttemptStarted(effect.attempt, str(self.boot))
        simulation.post_later(node, epoch, started, 0.002)
        self._schedule_token(
            simulation, node, epoch, effect.attempt, event, effect.offset
        )

    def cancel(self, attempt: str) -> None:
        """Stop an attempt."""
        self.running.pop(attempt, None)

    def drop_node(self, node: str) -> None:
        """Stop the attempts of a node that was killed."""
        for attempt, (owner, _) in list(self.running.items()):
            if owner == node:
                del self.running[attempt]

    def crash(self, simulation: "Simulation", down_seconds: float = 1.0) -> None:
        """Break all running requests and any change, then restart after a delay."""
        self.crashes += 1
        self.up = False
        self.boot += 1
        self.changing_until = 0.0
        self.target = ("", "")
        interrupted, self.running = self.running, {}
        for attempt, (node, _) in interrupted.items():
            broken = AttemptBroken(attempt, True, "connection reset")
            simulation.post_later(node, simulation.nodes[node].epoch, broken, 0.002)
        simulation.schedule(down_seconds, self._restart)

    def read_state(self, now: float) -> EngineState:
        """Return the engine's state."""
        self._finish_change(now)
        changing = now < self.changing_until
        return EngineState(
            str(self.boot),
            self.model,
            self.version,
            (),
            "mixed",
            changing,
            self.last_order,
        )

    def load(self) -> LoadReport:
        """Return the load report."""
        return LoadReport(str(self.boot), len(self.running), 0, 0, "mixed", 0.2)

    def receive_order(
        self, simulation: "Simulation", sender: str, effect: SendOrder
    ) -> None:
        """Execute an order, unless it is stale or a duplicate.

        An engine without fencing checks also executes stale orders.
        """
        if not self.up or (self.checks_fencing and effect.fence < self.last_fence):
            return
        self._finish_change(simulation.now)
        changing = simulation.now < self.changing_until
        if effect.order == self.last_order and (changing or self.version):
            return
        self.orders.append(
            OrderRecord(
                simulation.now,
                sender,
                effect.order,
                effect.fence,
                len(self.running),
                changing,
            )
        )
        self.last_fence = max(self.last_fence, effect.fence)
        self.last_order = effect.order
        self.target = (effect.command.model, effect.command.version)
        self.changing_until = simulation.now + CHANGE_SECONDS

    def _finish_change(self, now: float) -> None:
        if self.target != ("", "") and now >= self.changing_until:
            self.model, self.version = self.target
            self.target = ("", "")

    def _restart(self) -> None:
        self.up = True

    def _schedule_token(
        self,
        simulation: "Simulation",
        node: str,
        epoch: int,
        attempt: str,
        event: RequestArrived,
        offset: int,
    ) -> None:
        """Emit the next token after a delay, unless the attempt has ended.

        Some chunks are delivered twice, the second one late.
        """

        def emit_token() -> None:
            if attempt not in self.running:
                return
            if event.digest == POISON:
                self.crash(simulation)
                return
            if offset >= event.max_tokens:
                del self.running[attempt]
                done = AttemptCompleted(attempt, None, offset)
                simulation.post_later(node, epoch, done, 0.002)
                return
            chunk = ChunkReceived(attempt, offset, token(event.digest, offset))
            simulation.post_later(node, epoch, chunk, 0.002)
            if simulation.rng.random() < DUPLICATE_PROBABILITY:
                simulation.post_later(
                    node, epoch, chunk, simulation.rng.uniform(0.002, 0.5)
                )
            self._schedule_token(simulation, node, epoch, attempt, event, offset + 1)

        simulation.schedule(TOKEN_SECONDS, emit_token)


@dataclass
class FakeService:
    """Run calls and record each of them."""

    name: str
    up: bool = True
    runs: list[RunRecord] = field(default_factory=list)

    def start_attempt(
        self,
        simulation: "Simulation",
        node: str,
        epoch: int,
        effect: Dispatch,
        event: RequestArrived,
    ) -> None:
        """Run a call at once and respond later, or break its connection."""
        self.runs.append(
            RunRecord(simulation.now, effect.request, effect.attempt, event.key)
        )
        if simulation.rng.random() < BREAK_PROBABILITY:
            broken = AttemptBroken(effect.attempt, True, "connection reset")
            simulation.post_later(node, epoch, broken, BOOKING_SECONDS)
            return
        body = f"{event.key} by {effect.request}".encode()
        answer = Answer(201, "text/plain", body)
        completed = AttemptCompleted(effect.attempt, answer)
        simulation.post_later(node, epoch, completed, BOOKING_SECONDS)
