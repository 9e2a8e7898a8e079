"""Kill all nodes while a request that crashes its runners comes again."""

import asyncio
import zlib
from collections.abc import Awaitable, Callable

import pytest

from hawthornshelf.commands import LiftQuarantine, RecordQuarantine, ReplaceRoutes
from hawthornshelf.gateway.forwarder import Forwarder
from hawthornshelf.gateway.routes import is_newer
from hawthornshelf.messages import CODEC, Message, Submit
from tests.gateway.controlfleet import CONTROL, ControlFleet
from tests.gateway.crashfleet import CONTACT_SECONDS, POISON, TABLE, Entry

DOWN_SECONDS = 1.0
KILLS = 2
COMINGS = 6
ALLOWED_RETRIES = 3
"""Late retries of a request that crashes its runners that the platform bears."""

MAX_WRITES = 4
"""Writes to the control group for one quarantine, however many nodes see it begin."""

PATH = "/safe/x"

Disturb = Callable[["KeptFleet"], Awaitable[None]]


class KeptFleet(ControlFleet):
    """Simulate nodes that serve once the shared view has told them their routes."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.written: list[RecordQuarantine | LiftQuarantine] = []
        self.apply(ReplaceRoutes(TABLE.number, zlib.compress(b"1")))

    def load_first_routes(self, forwarder: Forwarder) -> None:
        """Load nothing: the control group tells a node its routes."""

    def follow_view(self, entry: Entry) -> None:
        routes = entry.core.view.routes
        if routes and is_newer(routes.number, entry.forwarder.route_number):
            entry.forwarder.load(TABLE)

    def _receive(self, sender: str, target: str, message: Message) -> None:
        if target == CONTROL and isinstance(message, Submit):
            command = CODEC.decode(message.command, sender)
            if isinstance(command, RecordQuarantine | LiftQuarantine):
                self.written.append(command)
        super()._receive(sender, target, message)

    async def come_again(self, times: int) -> None:
        for _ in range(times):
            await self.draw_entry().ask(PATH, POISON)
            await asyncio.sleep(CONTACT_SECONDS)

    async def kill_all(self) -> None:
        """Kill all nodes at once; the control group goes on from its disks."""
        for name in self.entry_names:
            self.entries[name].kill()
        self.restart_control()
        await asyncio.sleep(DOWN_SECONDS)
        for name in self.entry_names:
            self.start_entry(name)


async def kill_all(fleet: KeptFleet) -> None:
    for _ in range(KILLS):
        await fleet.kill_all()
        await fleet.come_again(COMINGS)


async def kill_all_with_a_late_view(fleet: KeptFleet) -> None:
    """Cut the nodes off from the control group as they start."""
    for _ in range(KILLS):
        cut = {(name, CONTROL) for name in fleet.entry_names[1:]}
        fleet.cut |= cut
        await fleet.kill_all()
        await fleet.come_again(COMINGS)
        fleet.cut -= cut


async def kill_all_but_one_by_one(fleet: KeptFleet) -> None:
    for name in fleet.entry_names[:8]:
        fleet.entries[name].kill()
        await asyncio.sleep(DOWN_SECONDS)
        fleet.start_entry(name)
    await fleet.kill_all()
    await fleet.come_again(COMINGS)


def play(disturb: Disturb, nodes: int, seed: int) -> KeptFleet:
    fleet = KeptFleet(seed=seed, nodes=nodes, engines=0, apps=8)

    async def scenario(fleet: KeptFleet) -> None:
        await fleet.come_again(COMINGS)
        await disturb(fleet)

    fleet.run(scenario)  # type: ignore[arg-type]
    return fleet


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("nodes", [5, 80])
@pytest.mark.parametrize(
    "disturb",
    [kill_all, kill_all_with_a_late_view, kill_all_but_one_by_one],
    ids=lambda d: d.__name__,
)
def test_a_kill_of_all_nodes_does_not_free_a_request_that_crashes_runners(
    disturb: Disturb, nodes: int, seed: int
) -> None:
    fleet = play(disturb, nodes, seed)
    assert len(fleet.crash_times()) >= ALLOWED_RETRIES
    assert len(fleet.late_sends()) <= ALLOWED_RETRIES
    assert 1 <= len(fleet.written) <= MAX_WRITES
