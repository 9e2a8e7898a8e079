"""Test what a node asks and tells the control group about builds and streams."""

import asyncio
import random
from collections.abc import Callable, Coroutine

import pytest

from hawthornshelf.commands import (
    AdmitBuild,
    Command,
    Done,
    FindOrigin,
    OriginFound,
    RecordOrigins,
    Result,
    RetireBuild,
)
from hawthornshelf.gateway.runners import Runner
from hawthornshelf.gateway.streamorigins import (
    ADMIT_PATIENCE_SECONDS,
    BREAK_SECONDS,
    RETIRE_SECONDS,
    OriginUnavailable,
    StreamOrigins,
)
from hawthornshelf.origins import BuildRow, Origin
from tests.gateway.load import VirtualClock, run_in_virtual_time

OLD, NEW = Origin("llm", "v1"), Origin("llm", "v2")


class Control:
    """Record the commands of a node; answer them unless the group is lost.

    The first `unknown` questions for an origin bring none.
    """

    def __init__(self, clock: VirtualClock) -> None:
        self.commands: list[Command] = []
        self.is_lost = False
        self.unknown = 0
        self.origins = StreamOrigins(clock, random.Random(1), self.run, lambda: 1)

    async def run(self, command: Command) -> Result | None:
        self.commands.append(command)
        if self.is_lost:
            await asyncio.sleep(10.0)
            return None
        if not isinstance(command, FindOrigin):
            return Done(1)
        is_known = self.count(FindOrigin) > self.unknown
        return OriginFound(OLD if is_known else None)

    def count(self, kind: type) -> int:
        return sum(isinstance(command, kind) for command in self.commands)

    def recorded(self) -> list[Origin | None]:
        records = [c for c in self.commands if isinstance(c, RecordOrigins)]
        return [row.origin for record in records for row in record.rows]


def list_builds(*origins: Origin) -> list[Runner]:
    return [
        Runner(f"r{number}", origin.service, "h:1", "dc", 1, build=origin.build)
        for number, origin in enumerate(origins)
    ]


def run(scenario: Callable[[Control], Coroutine[object, object, None]]) -> None:
    clock = VirtualClock()

    async def main() -> None:
        control = Control(clock)
        task = asyncio.create_task(control.origins.run())
        await scenario(control)
        task.cancel()
        await control.origins.stop()

    run_in_virtual_time(clock, main())


def test_a_new_build_begins_no_stream_before_it_is_admitted() -> None:
    async def scenario(control: Control) -> None:
        control.origins.observe(list_builds(NEW))
        assert not control.origins.may_begin(*NEW)
        await asyncio.sleep(0.5)
        assert control.count(AdmitBuild) == 1
        control.origins.load_builds([BuildRow(*NEW)])
        assert control.origins.may_begin(*NEW)
        await asyncio.sleep(5.0)
        assert control.count(AdmitBuild) == 1

    run(scenario)


def test_a_new_build_begins_streams_after_a_while_if_the_control_group_is_lost() -> (
    None
):
    async def scenario(control: Control) -> None:
        control.is_lost = True
        control.origins.observe(list_builds(NEW))
        await asyncio.sleep(ADMIT_PATIENCE_SECONDS + 0.1)
        assert control.origins.may_begin(*NEW)
        with pytest.raises(OriginUnavailable):
            await control.origins.find("elsewhere", ("llm",))

    run(scenario)


def test_a_build_that_was_never_admitted_waits_while_an_admitted_one_is_listed() -> (
    None
):
    async def scenario(control: Control) -> None:
        control.is_lost = True
        control.origins.load_builds([BuildRow(*OLD)])
        control.origins.observe(list_builds(OLD, NEW))
        await asyncio.sleep(5 * ADMIT_PATIENCE_SECONDS)
        assert control.origins.may_begin(*OLD)
        assert not control.origins.may_begin(*NEW)
        control.origins.observe(list_builds(NEW))
        assert control.origins.may_begin(*NEW)

    run(scenario)


def test_a_build_that_is_listed_again_is_not_retired() -> None:
    async def scenario(control: Control) -> None:
        control.origins.load_builds([BuildRow(*OLD), BuildRow(*NEW)])
        for _ in range(int(RETIRE_SECONDS) // 10 * 3):
            control.origins.observe(list_builds(OLD, NEW))
            control.origins.observe(list_builds(NEW))
            await asyncio.sleep(10.0)
            control.origins.observe(list_builds(OLD, NEW))
        assert control.count(RetireBuild) == 0

    run(scenario)


def test_a_build_that_is_long_gone_is_retired() -> None:
    async def scenario(control: Control) -> None:
        control.origins.load_builds([BuildRow(*OLD), BuildRow(*NEW)])
        control.origins.observe(list_builds(NEW))
        await asyncio.sleep(RETIRE_SECONDS - 1.0)
        assert control.count(RetireBuild) == 0
        await asyncio.sleep(RETIRE_SECONDS)
        assert RetireBuild(*OLD) in control.commands

    run(scenario)


def test_streams_are_recorded_only_while_several_builds_may_have_begun_them() -> None:
    async def scenario(control: Control) -> None:
        control.origins.load_builds([BuildRow(*OLD)])
        control.origins.observe(list_builds(OLD))
        control.origins.begin("open", OLD, is_split=False)
        control.origins.begin("whole", OLD, is_split=False)
        control.origins.end("whole")
        control.origins.begin("split", OLD, is_split=True)
        await asyncio.sleep(1.0)
        assert control.recorded() == [OLD]
        control.origins.observe(list_builds(OLD, NEW))
        await asyncio.sleep(1.0)
        assert control.recorded() == [OLD, OLD]

    run(scenario)


def test_streams_that_break_off_are_recorded_at_once_and_together() -> None:
    """Else a short one is taken up before a node that serves many records it."""

    async def scenario(control: Control) -> None:
        control.origins.observe(list_builds(OLD, NEW))
        for name in ("first", "second", "whole"):
            control.origins.begin(name, NEW, is_split=False)
        control.origins.end("whole")
        for name in ("whole", "never begun", "first", "second"):
            control.origins.break_off(name)
        await asyncio.sleep(2 * BREAK_SECONDS)
        assert control.recorded() == [NEW, NEW]
        assert control.count(RecordOrigins) == 1

    run(scenario)


def test_streams_that_break_off_need_no_record_while_one_build_serves() -> None:
    async def scenario(control: Control) -> None:
        control.origins.observe(list_builds(OLD))
        control.origins.begin("open", OLD, is_split=False)
        control.origins.break_off("open")
        await asyncio.sleep(1.0)
        assert control.recorded() == []

    run(scenario)


@pytest.mark.parametrize("asked", [1, 2, 3, 4])
def test_an_origin_that_is_recorded_late_is_asked_for_again(asked: int) -> None:
    async def scenario(control: Control) -> None:
        control.unknown = asked - 1
        assert await control.origins.find("elsewhere", ("llm",)) == OLD
        assert control.count(FindOrigin) == asked

    run(scenario)


def test_an_origin_that_nobody_recorded_is_given_up_in_less_than_half_a_second() -> (
    None
):
    async def scenario(control: Control) -> None:
        control.unknown = 100
        async with asyncio.timeout(0.5):
            assert await control.origins.find("elsewhere", ("llm",)) is None

    run(scenario)


def test_a_record_that_was_not_taken_is_sent_again() -> None:
    async def scenario(control: Control) -> None:
        control.origins.observe(list_builds(OLD, NEW))
        control.is_lost = True
        control.origins.begin("open", NEW, is_split=False)
        await asyncio.sleep(11.0)
        control.is_lost = False
        await asyncio.sleep(1.0)
        assert control.recorded() == [NEW, NEW]

    run(scenario)


def test_a_node_knows_its_own_streams_without_the_control_group() -> None:
    async def scenario(control: Control) -> None:
        control.origins.begin("mine", NEW, is_split=False)
        control.origins.begin("twice", OLD, is_split=False)
        control.origins.begin("twice", NEW, is_split=False)
        assert await control.origins.find("mine", ("llm",)) == NEW
        assert await control.origins.find("twice", ("llm",)) is None
        assert control.commands == []
        assert await control.origins.find("elsewhere", ("llm",)) == OLD

    run(scenario)


def test_builds_that_come_and_go_are_not_kept() -> None:
    async def scenario(control: Control) -> None:
        for number in range(100):
            control.origins.observe(list_builds(OLD, Origin("llm", f"?{number}")))
        assert control.origins.build_count == 2

    run(scenario)


def test_a_node_is_not_ready_before_streams_may_begin() -> None:
    async def scenario(control: Control) -> None:
        control.origins.observe(list_builds(OLD, Origin("app", "v1")))
        control.origins.load_builds([BuildRow(*OLD)])
        assert not control.origins.has_settled()
        control.origins.load_builds([BuildRow(*OLD), BuildRow("app", "v1")])
        assert control.origins.has_settled()
        control.origins.observe(list_builds(OLD, NEW, Origin("new", "v1")))
        assert control.origins.has_settled()

    run(scenario)
