"""Run the shells of control and entry nodes on a simulated network, in virtual time."""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from hawthornshelf.duties import DutySettings
from hawthornshelf.errors import CallFailed
from hawthornshelf.gateway.contract import DutyClient, RouteCodec
from hawthornshelf.gateway.controlnode import ControlNode
from hawthornshelf.gateway.routes import RouteTable
from hawthornshelf.log import RecoveredState
from hawthornshelf.node import NodeSettings
from hawthornshelf.nodeshell import NodeShell, PeerSettings
from hawthornshelf.peertransport import Connection, Handler, Transport
from hawthornshelf.raft import Timing
from hawthornshelf.storage import DiskStorage
from tests.gateway.load import VirtualClock, run_in_virtual_time

__all__ = ["CONTACT_SECONDS", "Change", "NumberCodec", "ShellFleet", "SimDisk"]

CONTACT_SECONDS = 3.0
"""The platform's time after a disturbance until a node is held to its bounds."""

HOP_SECONDS = 0.0015
OPERATOR_WAIT_SECONDS = 1.0
"""Time without a response after which an operator tries another node."""

OPERATOR_PAUSE_SECONDS = 0.1
SETTLE_SECONDS = 8.0
TIMING = Timing(heartbeat=0.12, election=0.6)


class SimDisk(DiskStorage):
    """Store in a folder without waiting for syncs, and fill up on demand.

    `room` is the number of bytes that it still takes, None for any number. `errors` are
    raised by the next recoveries.
    """

    room: int | None = None
    errors: Sequence[Exception] = ()

    def recover(self) -> RecoveredState:
        if self.errors:
            error, *self.errors = self.errors
            raise error
        return super().recover()

    def _write_whole(self, file: int, data: bytes) -> None:
        if self.room is None:
            super()._write_whole(file, data)
            return
        taken, self.room = data[: self.room], max(0, self.room - len(data))
        super()._write_whole(file, taken)
        if len(taken) < len(data):
            raise OSError(28, "no space left on device")

    def _sync(self, file: int) -> None:
        pass

    def _sync_folder(self) -> None:
        pass


class NumberCodec(RouteCodec):
    """Read documents that are a number, and maybe some padding after a space."""

    def decode(self, body: bytes) -> RouteTable:
        return RouteTable(int(body.partition(b" ")[0]), ())


class Network:
    """Connect addresses; open connections go silent, and links are cut.

    Connections from one address to another do not come up while that is `blocked`.
    """

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock
        self.handlers: dict[str, Handler] = {}
        self.open: set[_SimConnection] = set()
        self.cut: set[frozenset[str]] = set()
        self.blocked: Callable[[str, str], bool] = lambda source, target: False
        self.bytes_per_second: dict[str, float] = {}
        self.opened = 0
        self.on_data: Callable[[str, str, bytes], None] = lambda s, t, data: None

    def silence(self, share: float, rng: random.Random, names: Iterable[str]) -> None:
        """Let a share of the connections of some addresses go silent for good."""
        chosen = set(names)
        for connection in sorted(self.open, key=lambda c: c.number):
            if chosen & {connection.source, connection.target}:
                connection.is_silent |= rng.random() < share

    async def transfer(self, connection: "_SimConnection", data: bytes) -> None:
        """Wait until data has passed the slower of the links of both ends."""
        self.on_data(connection.source, connection.target, data)
        ends = (connection.source, connection.target)
        rates = [self.bytes_per_second.get(end, float("inf")) for end in ends]
        await asyncio.sleep(len(data) / min(rates))
        await self.cross(connection)

    async def cross(self, connection: "_SimConnection") -> None:
        """Wait for one hop; hang on a silent connection, or behind a cut link."""
        await asyncio.sleep(HOP_SECONDS)
        ends = (connection.source, connection.target)
        while (
            connection.is_silent or frozenset(ends) in self.cut or self.blocked(*ends)
        ):
            await asyncio.sleep(0.1)


class _SimConnection(Connection):
    def __init__(self, network: Network, source: str, target: str) -> None:
        self.source = source
        self.target = target
        self.is_silent = False
        self.is_open = False
        self.number = network.opened
        self._network = network
        network.opened += 1

    async def call(self, data: bytes, seconds: float) -> bytes:
        try:
            async with asyncio.timeout(seconds):
                return await self._call(data)
        except TimeoutError as error:
            reason = "DEADLINE_EXCEEDED"
            raise CallFailed("deliver", self.target, reason, True) from error

    async def _call(self, data: bytes) -> bytes:
        if not self.is_open:
            await self._network.cross(self)
            self._network.open.add(self)
            self.is_open = True
        await self._network.transfer(self, data)
        handle = self._network.handlers.get(self.target)
        if handle is None:
            raise CallFailed("deliver", self.target, "UNAVAILABLE", False)
        response = await handle(data, self.source)
        await self._network.transfer(self, response)
        return response

    async def close(self) -> None:
        self._network.open.discard(self)


class _SimTransport(Transport):
    def __init__(self, network: Network, address: str) -> None:
        self._network = network
        self._address = address

    def connect(self, address: str) -> Connection:
        return _SimConnection(self._network, self._address, address)

    async def listen(self, address: str, handle: Handler) -> None:
        self._network.handlers[address] = handle

    async def stop(self) -> None:
        self._network.handlers.pop(self._address, None)


class EntryShell(NodeShell):
    """Follow the route document as an entry node does, and note when it came."""

    in_force_at: dict[int, float]

    def on_step(self) -> None:
        routes = self.core.view.routes
        number = routes.number if routes else 0
        self.in_force_at.setdefault(number, self._clock.monotonic())


@dataclass
class Change:
    """Record one change of the route document."""

    number: int
    sent_at: float
    acked_at: float | None = None


@dataclass
class ShellFleet:
    """Simulate control nodes with disks, and entry nodes that follow them."""

    folder: Path
    seed: int = 1
    nodes: int = 5
    control: int = 3
    voters: int = 3
    padding: bytes = b""
    compact_entries: int = 200
    changes: list[Change] = field(default_factory=list)
    duties: DutySettings = DutySettings()
    duty_client: DutyClient | None = None
    codec: RouteCodec = field(default_factory=NumberCodec)

    def __post_init__(self) -> None:
        self.clock = VirtualClock()
        self.rng = random.Random(self.seed)
        self.network = Network(self.clock)
        self.control_names = [f"c{n}" for n in range(self.control)]
        self.seeds = self.control_names[:3]
        self.entry_names = [f"e{n}" for n in range(self.nodes)]
        self.controls: dict[str, ControlNode] = {}
        self.entries: dict[str, EntryShell] = {}
        self.disks: dict[str, SimDisk] = {}
        self.numbers = itertools.count(1)

    def run(self, scenario: Callable[["ShellFleet"], Awaitable[None]]) -> None:
        """Start all nodes, let them meet, put a document into force and play."""

        async def main() -> None:
            for name in self.control_names:
                await self.start_control(name)
            for name in self.entry_names:
                await self.start_entry(name)
            await asyncio.sleep(SETTLE_SECONDS)
            await self.change()
            await scenario(self)

        run_in_virtual_time(self.clock, main())

    async def start_control(self, name: str) -> None:
        if name not in self.disks:
            self.make_disk(name)
        shell = ControlNode(
            self._settings(name, is_entry=False),
            PeerSettings("sim", name, name),
            self.disks[name],
            self.clock,
            random.Random(f"{self.seed}/{name}"),
            self.codec,
            _SimTransport(self.network, name),
            self.duty_client,
        )
        self.controls[name] = shell
        await shell.start_peers()

    def make_disk(self, name: str) -> SimDisk:
        """Return an empty disk for a control node."""
        self.disks[name] = SimDisk(self.folder / name, f"{name}-replica")
        return self.disks[name]

    async def stop_control(self, name: str) -> None:
        """Lose a control node with its disk."""
        self.control_names.remove(name)
        del self.disks[name]
        await self.controls.pop(name).stop_peers()

    def leader(self) -> str:
        """Return a control node that leads, or an empty string."""
        for name, shell in self.controls.items():
            control = shell.core.control
            if control and not control.stopped and control.raft.is_ready:
                return name
        return ""

    async def start_entry(self, name: str) -> None:
        shell = EntryShell(
            self._settings(name, is_entry=True),
            PeerSettings("sim", name, name),
            None,
            self.clock,
            random.Random(f"{self.seed}/{name}"),
            transport=_SimTransport(self.network, name),
        )
        shell.in_force_at = {}
        self.entries[name] = shell
        await shell.start_peers()

    def _settings(self, name: str, is_entry: bool) -> NodeSettings:
        return NodeSettings(
            node=name,
            incarnation=f"{name}-{self.clock.monotonic()}",
            data_centre="dc",
            peer_address=name,
            caller_address=name,
            entry=False,
            control={seed: seed for seed in self.seeds},
            timing=TIMING,
            started_ms=1 + int(self.clock.monotonic() * 1000),
            compact_entries=self.compact_entries,
            bootstrap=name in self.seeds,
            voters=self.voters,
            gateway=is_entry,
            named_by_address=True,
            duties=self.duties._replace(holder=f"name of {name}"),
        )

    async def change(self) -> Change:
        """Send the next document to control nodes in turn until it is acknowledged."""
        change = Change(next(self.numbers), self.clock.monotonic())
        self.changes.append(change)
        body = b"%d %s" % (change.number, self.padding)
        while change.acked_at is None:
            control = self.controls[self.rng.choice(self.control_names)]
            try:
                async with asyncio.timeout(OPERATOR_WAIT_SECONDS):
                    result = await control.replace_routes(body)
            except TimeoutError:
                continue
            if result is not None:
                change.acked_at = self.clock.monotonic()
            else:
                await asyncio.sleep(OPERATOR_PAUSE_SECONDS)
        return change

    def in_force_at(self, name: str, number: int) -> float:
        """Return when a node had a document or a newer one, inf if it has not."""
        seen = self.entries[name].in_force_at
        return min((at for n, at in seen.items() if n >= number), default=float("inf"))
