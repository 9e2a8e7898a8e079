"""Run whole control and entry nodes with duties, on the virtual clock."""

import asyncio
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import msgspec

from hawthornshelf.duties import (
    CallOutcome,
    Duty,
    DutyCall,
    DutySettings,
    ReportUsage,
)
from hawthornshelf.gateway.contract import DutyClient
from hawthornshelf.gateway.routes import RouteTable
from tests.shellfleet import NumberCodec, ShellFleet

SETTINGS = DutySettings(frozenset({Duty.USAGE}))
WINDOW_SECONDS = SETTINGS.report_window


class _TableWithWorkspaces(RouteTable):
    workspaces = ()


class WorkspaceCodec(NumberCodec):
    """Read documents that name workspaces."""

    def decode(self, body: bytes) -> RouteTable:
        return _TableWithWorkspaces(*super().decode(body))


class Call(NamedTuple):
    call: DutyCall
    holder: str
    fence: int


class ScriptedClient(DutyClient):
    """Record the calls; the first ones raise the given errors."""

    def __init__(self, *errors: Exception) -> None:
        self.errors = list(errors)
        self.calls: list[Call] = []

    async def call(
        self, call: DutyCall, holder: str, fence: int, valid_until: float
    ) -> CallOutcome:
        await asyncio.sleep(0.01)
        if self.errors:
            raise self.errors.pop(0)
        self.calls.append(Call(call, holder, fence))
        return CallOutcome.DONE


def make_fleet(
    folder: Path, client: DutyClient | None, **options: object
) -> ShellFleet:
    return ShellFleet(
        folder,
        duties=SETTINGS,
        duty_client=client,
        codec=WorkspaceCodec(),
        **options,  # type: ignore[arg-type]
    )


def count(fleet: ShellFleet, name: str, workspace: str) -> None:
    usage = fleet.entries[name].core.usage
    assert usage is not None
    usage.counter.record(usage.time.at(fleet.clock.monotonic()), workspace)


async def count_for(fleet: ShellFleet, seconds: float, truth: Counter[str]) -> None:
    """Count two requests a second at each node."""
    until = fleet.clock.monotonic() + seconds
    while fleet.clock.monotonic() < until:
        for name in fleet.entry_names:
            count(fleet, name, "acme")
            truth["acme"] += 1
        await asyncio.sleep(0.5)


def test_the_leaders_shell_reports_what_all_nodes_counted(tmp_path: Path) -> None:
    client, truth = ScriptedClient(), Counter[str]()
    fleet = make_fleet(tmp_path, client)

    async def scenario(fleet: ShellFleet) -> None:
        await count_for(fleet, 20.0, truth)
        await asyncio.sleep(15.0)

    fleet.run(scenario)
    reported: Counter[str] = Counter()
    windows = []
    for call, holder, fence in client.calls:
        assert isinstance(call, ReportUsage)
        windows.append(call.window)
        reported.update(dict(call.counts))
        assert holder == f"name of {fleet.leader()}"
        assert fence > 0
    assert reported == truth
    assert windows == list(range(windows[0], windows[0] + len(windows)))


def test_an_error_of_the_client_does_not_end_the_reports(tmp_path: Path) -> None:
    client, truth = ScriptedClient(RuntimeError("bug"), ValueError("bug")), Counter()
    fleet = make_fleet(tmp_path, client)

    async def scenario(fleet: ShellFleet) -> None:
        await count_for(fleet, 10.0, truth)
        await asyncio.sleep(15.0)

    fleet.run(scenario)
    reported: Counter[str] = Counter()
    for call in client.calls:
        assert isinstance(call.call, ReportUsage)
        reported.update(dict(call.call.counts))
    assert reported == truth


def test_a_lost_disk_of_the_leader_loses_no_report(tmp_path: Path) -> None:
    client, truth = ScriptedClient(), Counter[str]()
    fleet = make_fleet(tmp_path, client, control=4)

    async def scenario(fleet: ShellFleet) -> None:
        await count_for(fleet, 7.0, truth)
        await fleet.stop_control(fleet.leader())
        await count_for(fleet, 7.0, truth)
        await asyncio.sleep(25.0)

    fleet.run(scenario)
    by_window = {call.call.window: dict(call.call.counts) for call in client.calls}
    reported: Counter[str] = Counter()
    for counts in by_window.values():
        reported.update(counts)
    assert reported == truth
    assert sorted(by_window) == list(range(min(by_window), max(by_window) + 1))


def read_kinds(data: bytes) -> set[str]:
    """Return the names of the messages in an envelope."""
    return {kind for kind, _ in msgspec.msgpack.decode(data)[3]}


def play_kinds(folder: Path, duties: DutySettings) -> set[str]:
    fleet = ShellFleet(folder, duties=duties, codec=WorkspaceCodec())
    kinds: set[str] = set()

    def note(source: str, target: str, data: bytes) -> None:
        if data:
            kinds.update(read_kinds(data))

    fleet.network.on_data = note

    async def scenario(fleet: ShellFleet) -> None:
        await asyncio.sleep(10.0)

    fleet.run(scenario)
    return kinds


def test_without_duties_no_new_message_crosses_any_link(tmp_path: Path) -> None:
    new = {"UsageCounts", "UsageProgress"}
    assert play_kinds(tmp_path / "on", SETTINGS) >= new
    assert play_kinds(tmp_path / "off", DutySettings()) & new == set()
