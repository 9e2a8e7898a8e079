"""Test which entry holds of those that a list has for one runner."""

import asyncio
import itertools
import random

import pytest

from hawthornshelf.gateway import listreader
from hawthornshelf.gateway.contract import RunnerSource
from hawthornshelf.gateway.enginelister import count_engines
from hawthornshelf.gateway.listreader import ListReader
from hawthornshelf.gateway.runnerids import choose_entries
from hawthornshelf.gateway.runners import Runner, RunnerList, RunnerTable, Stage

ENGINE = Runner("i-1", "llm", "10.0.0.1:80", "dc", 8, stage=Stage.DECODE, boot=60)
OTHER = ENGINE._replace(name="i-2", address="10.0.0.2:80")
EARLIER = ENGINE._replace(address="10.0.0.9:80", boot=1)
LEAVING = ENGINE._replace(is_leaving=True)
MOVED = ENGINE._replace(address="10.0.0.7:80")
ELSEWHERE = EARLIER._replace(service="app", stage=Stage.MIXED)


class Source(RunnerSource):
    def __init__(self, *lists: tuple[Runner, ...]) -> None:
        self._lists = list(lists)

    async def read(self) -> RunnerList:
        return RunnerList(self._lists.pop(0), 0.0)


@pytest.mark.parametrize(
    ("entries", "kept"),
    [
        ((ENGINE, EARLIER), ENGINE),
        ((ENGINE, ELSEWHERE), ENGINE),
        ((ENGINE, LEAVING), LEAVING),
        ((ENGINE, EARLIER._replace(is_leaving=True)), ENGINE),
        ((ENGINE, ENGINE), ENGINE),
        ((ENGINE, ENGINE._replace(boot=0)), ENGINE),
        ((ENGINE, EARLIER, LEAVING, ELSEWHERE), LEAVING),
        ((MOVED, ENGINE), MOVED),
        ((ENGINE, ENGINE._replace(build="v2")), ENGINE._replace(build="v2")),
    ],
)
def test_one_entry_of_a_runner_holds_in_any_order(
    entries: tuple[Runner, ...], kept: Runner
) -> None:
    for order in itertools.permutations((*entries, OTHER)):
        runners, choices = choose_entries(order)
        assert set(runners) == {kept, OTHER} and len(runners) == 2
        assert [choice.kept for choice in choices] == [kept]
        assert len(choices[0].dropped) == len(entries) - 1


@pytest.mark.parametrize("order", [(0, 1, 2), (1, 0, 2), (2, 1, 0), (0, 2, 1)])
@pytest.mark.parametrize("extra", [EARLIER, ELSEWHERE, ENGINE], ids=["b", "s", "same"])
def test_no_runner_that_is_listed_twice_is_offered_and_then_refused(
    extra: Runner, order: tuple[int, ...]
) -> None:
    """One of two states of a name was offered for placement and refused for ever."""
    entries = (ENGINE, extra, OTHER)
    table = RunnerTable("dc", random.Random(1))
    table.load(RunnerList(tuple(entries[place] for place in order), 0.0))
    offered = [s for name in ("llm", "app") for s in table.in_service(name)]
    assert len(offered) == len({state.runner.name for state in offered}) == 2
    assert all(table.accepts_work(0.0, state) for state in offered)
    assert table.keys() == {state.runner.key for state in offered}


def test_readers_of_the_list_get_one_entry_of_a_runner_and_count_it_once() -> None:
    reader = ListReader(Source((EARLIER, ENGINE, OTHER, ENGINE)))
    runner_list = asyncio.run(reader.read())
    assert runner_list is not None and set(runner_list.runners) == {ENGINE, OTHER}
    ((_, count),) = count_engines(runner_list.runners)
    assert count.present == 2


def test_a_choice_between_entries_is_logged_once_until_it_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[tuple[str, object]] = []

    def write(event: str, **fields: object) -> None:
        lines.append((event, fields.get("other_boot")))

    monkeypatch.setattr(listreader, "write_log", write)
    twice, again = (ENGINE, EARLIER), (ENGINE, EARLIER._replace(boot=2))
    later = (ENGINE._replace(leaves_in=2.5), EARLIER)
    reader = ListReader(Source(twice, twice, later, again, (ENGINE,), twice))

    async def read_all() -> None:
        for _ in range(6):
            await reader.read()

    asyncio.run(read_all())
    name = "runner-listed-twice"
    assert lines == [(name, 1), (name, 2), (name, 1)]


def test_thousands_of_runners_listed_twice_are_logged_a_few_at_a_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    events: list[str] = []
    monkeypatch.setattr(
        listreader, "write_log", lambda event, **_: events.append(event)
    )
    runners = tuple(ENGINE._replace(name=f"i-{n}") for n in range(3_000))
    reader = ListReader(Source(runners * 2))
    runner_list = asyncio.run(reader.read())
    assert runner_list is not None and len(runner_list.runners) == 3_000
    assert len(events) == listreader.MAX_LOGGED_CHOICES
