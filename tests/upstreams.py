"""Fake engines and services that keep their own record of what happened."""

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
    from tests.world import World

TOKEN_SECONDS = 0.02
CHANGE_SECONDS = 1.0
BOOKING_SECONDS = 0.05
DUPLICATE_SHARE = 0.05
BREAK_SHARE = 0.05
POISON = "poison"


class OrderRecord(NamedTuple):
    """Hold an order that took effect on an engine."""

    at: float
    author: str
    order: int
    fence: int
    in_flight: int
    changing: bool


class RunRecord(NamedTuple):
    """Hold a request that an upstream ran."""

    at: float
    request: str
    attempt: str
    key: str


def token(digest: str, offset: int) -> str:
    """Return the token that a request gets at an offset on any engine."""
    return f"{digest}:{offset} "


@dataclass
class FakeEngine:
    """Answer completions token by token, and take orders."""

    name: str
    checks: bool = True
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

    def take(
        self,
        world: "World",
        node: str,
        epoch: int,
        effect: Dispatch,
        event: RequestArrived,
    ) -> None:
        """Start an attempt, or refuse it while a change is under way."""
        self._settle(world.now)
        if world.now < self.changing_until or self.model != event.target:
            refused = AttemptRefused(effect.attempt, "not serving that")
            world.post_later(node, epoch, refused, 0.002)
            return
        self.runs.append(
            RunRecord(world.now, effect.request, effect.attempt, event.key)
        )
        self.running[effect.attempt] = (node, event.digest)
        started = AttemptStarted(effect.attempt, str(self.boot))
        world.post_later(node, epoch, started, 0.002)
        self._go_on(world, node, epoch, effect.attempt, event, effect.offset)

    def cancel(self, attempt: str) -> None:
        """Stop an attempt."""
        self.running.pop(attempt, None)

    def drop_author(self, node: str) -> None:
        """Stop the attempts of a node that died."""
        for attempt, (author, _) in list(self.running.items()):
            if author == node:
                del self.running[attempt]

    def crash(self, world: "World", back_after: float = 1.0) -> None:
        """Lose all running requests and any change under way; come back later."""
        self.crashes += 1
        self.up = False
        self.boot += 1
        self.changing_until = 0.0
        self.target = ("", "")
        lost, self.running = self.running, {}
        for attempt, (node, _) in lost.items():
            broken = AttemptBroken(attempt, True, "connection reset")
            world.post_later(node, world.nodes[node].epoch, broken, 0.002)
        world.after(back_after, self._come_back)

    def read(self, now: float) -> EngineState:
        """Return the engine's own state."""
        self._settle(now)
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

    def order(self, world: "World", author: str, effect: SendOrder) -> None:
        """Take an order that reaches the engine."""
        if not self.up or (self.checks and effect.fence < self.last_fence):
            return
        self._settle(world.now)
        changing = world.now < self.changing_until
        if effect.order == self.last_order and (changing or self.version):
            return
        self.orders.append(
            OrderRecord(
                world.now,
                author,
                effect.order,
                effect.fence,
                len(self.running),
                changing,
            )
        )
        self.last_fence = max(self.last_fence, effect.fence)
        self.last_order = effect.order
        self.target = (effect.command.model, effect.command.version)
        self.changing_until = world.now + CHANGE_SECONDS

    def _settle(self, now: float) -> None:
        if self.target != ("", "") and now >= self.changing_until:
            self.model, self.version = self.target
            self.target = ("", "")

    def _come_back(self) -> None:
        self.up = True

    def _go_on(
        self,
        world: "World",
        node: str,
        epoch: int,
        attempt: str,
        event: RequestArrived,
        offset: int,
    ) -> None:
        """Give out the next token later, as long as the attempt runs."""

        def give() -> None:
            if attempt not in self.running:
                return
            if event.digest == POISON:
                self.crash(world)
                return
            if offset >= event.max_tokens:
                del self.running[attempt]
                done = AttemptCompleted(attempt, None, offset)
                world.post_later(node, epoch, done, 0.002)
                return
            chunk = ChunkReceived(attempt, offset, token(event.digest, offset))
            world.post_later(node, epoch, chunk, 0.002)
            if world.rng.random() < DUPLICATE_SHARE:
                world.post_later(node, epoch, chunk, world.rng.uniform(0.002, 0.5))
            self._go_on(world, node, epoch, attempt, event, offset + 1)

        world.after(TOKEN_SECONDS, give)


@dataclass
class FakeService:
    """Answer calls and record each that ran."""

    name: str
    up: bool = True
    runs: list[RunRecord] = field(default_factory=list)

    def take(
        self,
        world: "World",
        node: str,
        epoch: int,
        effect: Dispatch,
        event: RequestArrived,
    ) -> None:
        """Run a call, which takes effect at once, and answer it later."""
        self.runs.append(
            RunRecord(world.now, effect.request, effect.attempt, event.key)
        )
        if world.rng.random() < BREAK_SHARE:
            broken = AttemptBroken(effect.attempt, True, "connection reset")
            world.post_later(node, epoch, broken, BOOKING_SECONDS)
            return
        body = f"{event.key} by {effect.request}".encode()
        answer = Answer(201, "text/plain", body)
        completed = AttemptCompleted(effect.attempt, answer)
        world.post_later(node, epoch, completed, BOOKING_SECONDS)
