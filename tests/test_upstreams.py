import random

from hawthornshelf.events import LoadReport, LoadReported
from hawthornshelf.upstreams import UpstreamQuery, UpstreamTable
from tests.fleet import make_configuration

ENGINES = {f"g{n}": f"127.0.0.1:{n + 1}" for n in range(3)}


def make() -> UpstreamTable:
    table = UpstreamTable("dc-0", random.Random(1))
    table.load(make_configuration(ENGINES, {}))
    return table


def choices(table: UpstreamTable, query: UpstreamQuery, count: int = 50) -> set[str]:
    found = [table.choose(10.0, query) for _ in range(count)]
    return {choice.row.runner.name for choice in found if choice}


def urgent(**fields: object) -> UpstreamQuery:
    return UpstreamQuery("llm", 1, urgent=True, **fields)


def report(boot: str = "b", running: int = 0, cached: tuple = ()) -> LoadReport:
    return LoadReport(boot, running, 0, 0, "mixed", 0.0, cached, 5)


def test_blocked_excluded_and_failed_upstreams_are_left_out() -> None:
    table = make()
    table.blocked = frozenset({"g0"})
    table.record_failure(9.9, "g1")
    assert choices(table, urgent()) == {"g2"}
    assert choices(table, urgent(excluded=("g2",))) == set()


def test_a_busy_upstream_is_avoided() -> None:
    table = make()
    for _ in range(8):
        table.add("g0", 1000, urgent=False)
    assert "g0" not in choices(table, urgent())


def test_bulk_work_keeps_to_its_share_and_gives_way_to_urgent_work() -> None:
    table = make()
    bulk = UpstreamQuery("llm", 3)
    for _ in range(6):
        table.add("g0", 1, urgent=True)
    assert choices(table, bulk) == set()
    assert choices(table, urgent())


def test_a_cached_prefix_draws_a_prompt() -> None:
    table = make()
    blocks = tuple(f"b{n}" for n in range(400))
    table.on_load(10.0, LoadReported("g1", report(cached=blocks)))
    query = urgent(tokens=6400, blocks=blocks)
    row = table.find("g1")
    other = table.find("g2")
    assert table.estimate_ttft(10.0, row, query) < table.estimate_ttft(
        10.0, other, query
    )


def test_a_new_boot_forgets_the_cache() -> None:
    table = make()
    table.on_load(10.0, LoadReported("g1", report("one", cached=("b",))))
    table.on_load(11.0, LoadReported("g1", report("two")))
    assert table.prefixes.match("g1", ("b",)) == 0


def test_a_new_configuration_keeps_what_is_known() -> None:
    table = make()
    table.add("g0", 10, urgent=False)
    table.load(make_configuration(ENGINES, {}, "2"))
    assert table.find("g0").in_flight == 1


def test_one_busy_node_may_use_what_the_others_leave_idle() -> None:
    table = make()
    bulk = UpstreamQuery("llm", 10)
    for name in ENGINES:
        table.on_load(10.0, LoadReported(name, report()))
    for _ in range(5):
        table.add("g0", 1, urgent=False)
    assert choices(table, bulk)
    for name in ENGINES:
        table.on_load(10.0, LoadReported(name, report(running=8)))
    assert choices(table, bulk) == set()


def test_old_reports_lend_no_slots() -> None:
    table = make()
    for name in ENGINES:
        table.on_load(1.0, LoadReported(name, report()))
    for _ in range(5):
        table.add("g0", 1, urgent=False)
    assert choices(table, UpstreamQuery("llm", 10)) == set()
