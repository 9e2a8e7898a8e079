"""Simulate a fleet with a control group, which is one process that is never lost."""

from hawthornshelf.commands import Command, Result
from hawthornshelf.messages import (
    CODEC,
    AskControl,
    Message,
    PullView,
    Submit,
    SubmitReply,
    ViewUpdate,
)
from hawthornshelf.state import SharedState
from tests.gateway.crashfleet import CrashFleet

__all__ = ["CONTROL", "ControlFleet"]

CONTROL = "control"
PUSHED_NODES = 3


class ControlFleet(CrashFleet):
    """Simulate entry nodes that submit commands and follow the shared view.

    `cut` may name the control group as well.
    """

    def __post_init__(self) -> None:
        super().__post_init__()
        self.state = SharedState()
        self._index = 0

    def apply(self, command: Command) -> Result:
        """Commit a command, and tell a few nodes of the view if that has changed."""
        self._index += 1
        revision = self.state.revision
        now = self.clock.monotonic()
        result = self.state.apply(1, self._index, now, command)
        if self.state.revision > revision and self.entries:
            count = min(PUSHED_NODES, self.nodes)
            for name in self.rng.sample(self.entry_names, count):
                self.deliver(CONTROL, name, ViewUpdate(self.state.view()))
        return result

    def _receive(self, sender: str, target: str, message: Message) -> None:
        super()._receive(sender, target, message)
        if target != CONTROL:
            return
        match message:
            case AskControl(revision, _) | PullView(revision):
                if revision < self.state.revision:
                    self.deliver(CONTROL, sender, ViewUpdate(self.state.view()))
            case Submit(request, command):
                result = self.apply(CODEC.decode(command, sender))
                reply = SubmitReply(request, CODEC.encode(result))
                self.deliver(CONTROL, sender, reply)

    def restart_control(self) -> None:
        """Let the control group go on with what its snapshots hold."""
        self.state = SharedState.load(self.state.dump())
