"""Test the reader of the platform's list."""

import asyncio
from typing import Any

import pytest

from hawthornshelf.errors import HawthornshelfError
from hawthornshelf.gateway import listreader
from hawthornshelf.gateway.contract import RunnerSource
from hawthornshelf.gateway.listreader import ListReader
from hawthornshelf.gateway.runners import RunnerList

EMPTY = RunnerList((), 1.0)


class FakeSource(RunnerSource):
    """Return the list, or fail, by turns as given."""

    def __init__(self, answers: list[bool]) -> None:
        self.answers = answers

    async def read(self) -> RunnerList:
        """Return the list if it is available now."""
        if self.answers.pop(0):
            return EMPTY
        raise HawthornshelfError("read list", "cloud", "timeout")


def test_only_changes_of_availability_are_logged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a line for each read while the platform is down for long."""
    events: list[str] = []

    def record(event: str, **fields: Any) -> None:
        events.append(event)

    monkeypatch.setattr(listreader, "write_log", record)

    async def run() -> list[RunnerList | None]:
        reader = ListReader(FakeSource([True, False, False, True, True, False]))
        return [await reader.read() for _ in range(6)]

    results = asyncio.run(run())
    assert results == [EMPTY, None, None, EMPTY, EMPTY, None]
    assert events == ["list-lost", "list-regained", "list-lost"]
