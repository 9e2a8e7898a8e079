import random
from collections import Counter

from hawthornshelf.gateway.exchange import Prompt, PromptPart
from hawthornshelf.gateway.placement import LONG_PER_NODE, Placement, Placer
from hawthornshelf.gateway.runners import Listing, Runner, RunnerTable, Stage

DECODERS, READERS = 4, 2


def listing(leaving: str = "") -> Listing:
    runners = [
        Runner(
            f"d{n}", "s", f"10.0.0.{n}:1", "dc", 48, f"d{n}" == leaving, Stage.DECODE
        )
        for n in range(DECODERS)
    ]
    runners += [
        Runner(f"p{n}", "s", f"10.0.1.{n}:1", "dc", 48, False, Stage.PREFILL)
        for n in range(READERS)
    ]
    return Listing(tuple(runners), 0.0)


def make(nodes: int = 10, leaving: str = "") -> tuple[Placer, RunnerTable]:
    table = RunnerTable("dc", random.Random(1))
    table.load(listing(leaving))
    return Placer(table, random.Random(1), lambda: nodes * table.streams()), table


def prompt(tokens: int, part: str = "x") -> Prompt:
    parts = (PromptPart("all", 100), PromptPart(part, 100), PromptPart("own", 100))
    return Prompt(tokens, 10, parts)


def place(placer: Placer, tokens: int, part: str = "x", **options: bool) -> Placement:
    placement = placer.place(0.0, "s", prompt(tokens, part), set(), **options)
    assert placement is not None
    return placement


def test_all_nodes_read_a_shared_part_at_the_same_engine() -> None:
    for number in range(50):
        part = f"part{number}"
        readers = {place(make()[0], 9000, part).reader.runner.name for _ in range(5)}
        assert len(readers) == 1


def test_engines_that_only_read_get_twice_the_parts() -> None:
    placer, _ = make()
    homes = Counter(
        place(placer, 9000, f"part{n}").reader.runner.name for n in range(2000)
    )
    mixed = [homes[name] for name in homes if name.startswith("d")]
    readers = [homes[name] for name in homes if name.startswith("p")]
    assert min(readers) > 1.5 * max(mixed)


def test_conversations_keep_engines_that_read_no_long_prompts() -> None:
    placer, _ = make()
    talks = {place(placer, 200).run.runner.name for _ in range(50)}
    read = {place(placer, 9000, f"p{n}").reader.runner.name for n in range(500)}
    assert len(talks) == 1
    assert not talks & read


def test_many_conversations_take_more_engines_and_long_prompts_give_way() -> None:
    """Answer the phase of the day in which conversations swell fivefold."""
    placer, table = make(nodes=10)
    for _ in range(8):
        place(placer, 200).run.in_flight += 1
    talks = [s for s in table.in_service("s") if s.streams]
    read = {place(placer, 9000, f"p{n}").reader.runner.name for n in range(500)}
    assert len(talks) > 1
    assert not {s.runner.name for s in talks} & read


def test_a_busy_home_passes_a_part_to_its_second_home_and_then_to_nobody() -> None:
    placer, _ = make()
    first = place(placer, 9000)
    first.reader.long_prompts = LONG_PER_NODE
    second = place(placer, 9000)
    assert second.reader is not first.reader
    second.reader.long_prompts = LONG_PER_NODE
    assert placer.place(0.0, "s", prompt(9000), set()) is None


def test_late_requests_go_to_their_first_home_even_if_it_is_busy() -> None:
    placer, _ = make()
    first = place(placer, 9000)
    first.reader.long_prompts = LONG_PER_NODE
    assert place(placer, 9000, is_late=True).reader is first.reader


def test_an_engine_that_leaves_gets_nothing() -> None:
    for leaving in ("d0", "d1", "d2", "d3"):
        placer, _ = make(leaving=leaving)
        names = {place(placer, 200).run.runner.name for _ in range(20)}
        names |= {place(placer, 9000, f"p{n}").run.runner.name for n in range(200)}
        assert leaving not in names


def test_without_a_decoding_engine_nothing_is_placed() -> None:
    placer, table = make()
    readers = [r for r in listing().runners if r.stage is Stage.PREFILL]
    table.load(Listing(tuple(readers), 1.0))
    assert placer.place(0.0, "s", prompt(200), set()) is None
    assert not placer.has_runner(0.0, "s", set())
