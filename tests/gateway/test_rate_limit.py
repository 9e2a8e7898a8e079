"""Send requests to runners that name how many they take of all nodes together."""

import asyncio
from collections import Counter
from collections.abc import Callable

import pytest

from hawthornshelf.gateway.exchange import Prompt, PromptSegment
from hawthornshelf.gateway.runners import Stage
from hawthornshelf.permits import order_issuers
from tests.gateway.crashfleet import HOP_SECONDS, RUN_SECONDS, TABLE, SimRunner
from tests.gateway.limitfleet import LimitFleet, LimitTraffic, allowed_requests

BEFORE_SECONDS = 3.0
SECONDS = 14.0
IDLE_SECONDS = 15.0


def play(
    fleet: LimitFleet,
    choose: Callable[[LimitFleet], list[SimRunner]],
    rate: float,
    traffic: LimitTraffic,
    disturb: Callable[[LimitFleet], object] | None = None,
    idle: float = 0.0,
) -> None:
    """Let some runners name a rate after a while; fail if one gets too much.

    The nodes have met for `idle` seconds before the traffic begins.
    """

    async def scenario(fleet: LimitFleet) -> None:
        await asyncio.sleep(idle)
        async with asyncio.TaskGroup() as group:
            group.create_task(traffic.send())
            await asyncio.sleep(BEFORE_SECONDS)
            for runner in choose(fleet):
                fleet.limit(runner, lambda: rate)
            if disturb is not None:
                group.create_task(disturb(fleet))  # type: ignore[arg-type]

    fleet.run(scenario)  # type: ignore[arg-type]
    check(fleet)


def check(fleet: LimitFleet) -> None:
    for key, rate in fleet.rates.items():
        assert fleet.counted(key), "nothing was sent, so nothing is shown"
        assert fleet.worst_window(key) <= allowed_requests(rate), key


def used_shares(fleet: LimitFleet, idle: float) -> list[float]:
    """Return how much of each limit was used, once it had been known for a while."""
    until = BEFORE_SECONDS + idle + SECONDS
    return [fleet.used_share(key, until) for key in fleet.rates]


def apps(count: int) -> Callable[[LimitFleet], list[SimRunner]]:
    return lambda fleet: [r for r in fleet.runners if r.service == "app"][:count]


@pytest.mark.parametrize("limited", [1, 3])
@pytest.mark.parametrize("nodes", [3, 5, 11, 81])
def test_a_runner_gets_no_more_than_it_takes_of_all_nodes_together(
    nodes: int, limited: int
) -> None:
    fleet = LimitFleet(nodes=nodes, apps=3, engines=1)
    play(fleet, apps(limited), 3.0, LimitTraffic(fleet, seconds=SECONDS))


@pytest.mark.parametrize("rate", [0.0, 0.3, 2.3, 8.0, 25.0])
def test_whatever_rate_a_runner_names_it_gets_no_more(rate: float) -> None:
    fleet = LimitFleet(nodes=11, apps=3, engines=1)
    play(fleet, apps(1), rate, LimitTraffic(fleet, rate=120.0, seconds=SECONDS))


def make_short(number: int) -> Prompt:
    segments = (PromptSegment("x", 100), PromptSegment(f"own{number}", 100))
    return Prompt(200, 50, segments)


def make_long(number: int) -> Prompt:
    shared = PromptSegment(f"s{number % 12}", 6000)
    return Prompt(9000, 5, (shared, PromptSegment(f"own{number}", 3000)))


@pytest.mark.parametrize(
    ("path", "make_prompt", "stage", "count"),
    [
        ("/talk/x", make_short, Stage.DECODE, 1),
        ("/talk/x", make_short, Stage.DECODE, 4),
        ("/read/x", make_long, Stage.DECODE, 1),
        ("/read/x", make_long, Stage.DECODE, 4),
        ("/read/x", make_long, Stage.PREFILL, 1),
        ("/read/x", make_long, Stage.PREFILL, 2),
    ],
)
def test_an_engine_gets_no_more_prefills_runs_and_reads_than_it_takes(
    path: str, make_prompt: Callable[[int], Prompt], stage: Stage, count: int
) -> None:
    fleet = LimitFleet(nodes=11, apps=1, engines=4, prefillers=2)

    def choose(fleet: LimitFleet) -> list[SimRunner]:
        return [r for r in fleet.runners if r.stage is stage][:count]

    play(fleet, choose, 2.3, LimitTraffic(fleet, path, 60.0, SECONDS, make_prompt, 4.0))


@pytest.mark.parametrize("limited", [1, 3])
@pytest.mark.parametrize("nodes", [3, 5, 11, 81])
def test_a_limit_is_used_where_there_is_demand(nodes: int, limited: int) -> None:
    fleet = LimitFleet(nodes=nodes, apps=3, engines=1)
    traffic = LimitTraffic(fleet, seconds=SECONDS)
    play(fleet, apps(limited), 3.0, traffic, idle=IDLE_SECONDS)
    assert all(share >= 0.9 for share in used_shares(fleet, IDLE_SECONDS))


@pytest.mark.parametrize("seed", [1, 2])
def test_a_limit_holds_in_a_fleet_that_has_just_started(seed: int) -> None:
    """Its nodes don't see all others yet, so they may ask different ones."""
    fleet = LimitFleet(nodes=150, apps=3, engines=1, seed=seed)
    traffic = LimitTraffic(fleet, rate=400.0, seconds=SECONDS)
    play(fleet, apps(3), 3.0, traffic)


def test_no_request_waits_for_a_limited_runner_that_another_could_serve() -> None:
    fleet = LimitFleet(nodes=11, apps=3, engines=1)
    traffic = LimitTraffic(fleet, seconds=SECONDS)
    play(fleet, apps(2), 2.3, traffic)
    assert set(traffic.outcomes) == {"200"}
    assert max(traffic.waits) <= RUN_SECONDS + 10 * HOP_SECONDS


def test_requests_beyond_all_limits_are_refused_in_time_and_told_when_to_return() -> (
    None
):
    fleet = LimitFleet(nodes=11, apps=3, engines=1)
    traffic = LimitTraffic(fleet, seconds=SECONDS)
    play(fleet, apps(3), 3.0, traffic)
    assert set(traffic.outcomes) == {"200", "503"}
    assert max(traffic.waits) <= RUN_SECONDS + 0.3 * traffic.budget
    assert min(traffic.retry_afters) >= 1 / (3 * 3.0)
    assert max(traffic.refusal_waits) <= 0.3 * traffic.budget


def test_requests_that_wait_for_a_permit_still_meet_their_target() -> None:
    fleet = LimitFleet(nodes=11, apps=3, engines=1)
    traffic = LimitTraffic(fleet, seconds=SECONDS)
    target = RUN_SECONDS + 0.2

    async def load_routes(fleet: LimitFleet) -> None:
        routes = tuple(route._replace(target=target) for route in TABLE.routes)
        for entry in fleet.entries.values():
            entry.forwarder.load(TABLE._replace(routes=routes))

    play(fleet, apps(3), 3.0, traffic, load_routes)
    assert max(traffic.waits) <= target
    assert all(share >= 0.9 for share in used_shares(fleet, 0.0))


def test_refusals_for_want_of_a_permit_leave_the_retry_budget_alone() -> None:
    fleet = LimitFleet(nodes=3, apps=3, engines=1)
    traffic = LimitTraffic(fleet, rate=120.0, seconds=SECONDS)
    play(fleet, apps(3), 1.0, traffic)
    assert traffic.outcomes["503"] > 1000
    for entry in fleet.entries.values():
        budget = entry.forwarder._budget
        assert not any(window.count(0.0) for window in budget._extra_sends.values())


def test_retries_of_broken_attempts_count_against_a_limit() -> None:
    fleet = LimitFleet(nodes=5, apps=3, engines=1)

    async def reset_answers(fleet: LimitFleet) -> None:
        for entry in fleet.entries.values():
            entry.client.resets = lambda attempt: fleet.rng.random() < 0.5

    traffic = LimitTraffic(fleet, seconds=SECONDS)
    play(fleet, apps(3), 3.0, traffic, reset_answers)


def find_issuer(fleet: LimitFleet) -> str:
    key = next(iter(fleet.rates))
    return order_issuers(key, fleet.entry_names)[0]


async def kill_issuer(fleet: LimitFleet) -> None:
    await asyncio.sleep(4.0)
    name = find_issuer(fleet)
    fleet.entries[name].kill()
    await asyncio.sleep(4.0)
    fleet.start_entry(name)


async def cut_issuer(fleet: LimitFleet) -> None:
    """Cut one node off from all others for a while; it still reaches the runners."""
    await asyncio.sleep(4.0)
    name = find_issuer(fleet)
    fleet.cut = {(name, other) for other in fleet.entry_names if other != name}
    await asyncio.sleep(6.0)
    fleet.cut = set()


async def split_fleet(fleet: LimitFleet) -> None:
    await asyncio.sleep(2.0)
    half = len(fleet.entry_names) // 2
    left, right = fleet.entry_names[:half], fleet.entry_names[half:]
    fleet.cut = {(one, other) for one in left for other in right}
    await asyncio.sleep(8.0)
    fleet.cut = set()


async def restart_all(fleet: LimitFleet) -> None:
    await asyncio.sleep(4.0)
    for entry in fleet.entries.values():
        entry.kill()
    for name in fleet.entry_names:
        fleet.start_entry(name)


async def roll_nodes(fleet: LimitFleet) -> None:
    for name in fleet.entry_names[:6]:
        fleet.entries[name].kill()
        await asyncio.sleep(0.7)
        fleet.start_entry(name)
        await asyncio.sleep(0.7)


FAULTS = (kill_issuer, cut_issuer, split_fleet, restart_all, roll_nodes)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_a_limit_holds_while_nodes_die_start_and_are_cut_off(
    fault: Callable[[LimitFleet], object], seed: int
) -> None:
    fleet = LimitFleet(nodes=6, apps=3, engines=1, seed=seed)
    play(fleet, apps(3), 4.0, LimitTraffic(fleet, seconds=SECONDS), fault)


def test_a_limit_is_used_again_soon_after_its_issuer_has_died() -> None:
    fleet = LimitFleet(nodes=6, apps=3, engines=1)
    traffic = LimitTraffic(fleet, seconds=SECONDS)
    play(fleet, apps(3), 4.0, traffic, kill_issuer)
    died_at = BEFORE_SECONDS + 3.0 + 4.0
    key = next(iter(fleet.rates))
    times = [c.at for c in fleet.contacts if c.runner == key and c.at > died_at]
    assert times[0] <= died_at + 1.0
    assert len([at for at in times if at <= died_at + 4.0]) >= 0.3 * 4.0 * 4.0


def test_each_answer_may_name_another_rate() -> None:
    fleet = LimitFleet(nodes=11, apps=3, engines=1)

    async def change(fleet: LimitFleet) -> None:
        for key, runner in zip(fleet.rates, apps(3)(fleet), strict=True):
            runner.draw_limit = lambda: fleet.rng.uniform(0.5, 4.0)
            fleet.rates[key] = 4.0

    play(fleet, apps(3), 4.0, LimitTraffic(fleet, seconds=SECONDS), change)


def test_a_runner_that_names_no_rate_any_more_is_used_as_before() -> None:
    fleet = LimitFleet(nodes=11, apps=3, engines=1)
    traffic = LimitTraffic(fleet, seconds=SECONDS)

    async def end(fleet: LimitFleet) -> None:
        await asyncio.sleep(5.0)
        for runner in apps(3)(fleet):
            fleet.end_limit(runner)
        await asyncio.sleep(2.0)
        traffic.outcomes.clear()

    play(fleet, apps(3), 2.3, traffic, end)
    assert set(traffic.outcomes) == {"200"}


def make_small_engines() -> LimitFleet:
    """Return a fleet of which each engine is needed for a few requests a second."""
    fleet = LimitFleet(nodes=3, apps=1, engines=5)
    for runner in fleet.runners:
        runner.slots = 2
        runner.listed = [(float("-inf"), runner.describe())]
    return fleet


def engine(fleet: LimitFleet) -> list[SimRunner]:
    return [r for r in fleet.runners if r.stage is Stage.DECODE][:1]


def test_a_limited_engine_is_used_beside_engines_that_report_their_load() -> None:
    fleet = make_small_engines()
    traffic = LimitTraffic(fleet, "/talk/x", 60.0, SECONDS, make_short, 4.0)
    play(fleet, engine, 2.3, traffic, idle=IDLE_SECONDS)
    assert all(share >= 0.9 for share in used_shares(fleet, IDLE_SECONDS))


def test_an_engine_that_names_no_rate_any_more_is_used_beside_idle_ones() -> None:
    fleet = make_small_engines()
    traffic = LimitTraffic(fleet, "/talk/x", 60.0, SECONDS, make_short, 4.0)

    async def end(fleet: LimitFleet) -> None:
        await asyncio.sleep(5.0)
        fleet.end_limit(engine(fleet)[0])

    play(fleet, engine, 0.5, traffic, end)
    ended_at = next(iter(fleet.limited_until.values()))
    later = [c for c in fleet.contacts if c.at > ended_at + 2.0 and c.kind == "run"]
    counts = Counter(contact.runner for contact in later)
    assert counts["d0/1"] >= 0.5 * len(later) / 5


def test_a_new_boot_of_a_limited_runner_is_used_as_before() -> None:
    fleet = LimitFleet(nodes=5, apps=3, engines=1)
    traffic = LimitTraffic(fleet, seconds=SECONDS)

    async def restart(fleet: LimitFleet) -> None:
        await asyncio.sleep(4.0)
        for runner in apps(3)(fleet):
            runner.draw_limit = lambda: None
            runner.crash()
        await asyncio.sleep(6.0)
        traffic.outcomes.clear()

    play(fleet, apps(3), 2.3, traffic, restart)
    assert set(traffic.outcomes) == {"200"}


def test_the_probes_of_a_lost_runner_count_against_its_limit() -> None:
    fleet = LimitFleet(nodes=11, apps=3, engines=1)
    traffic = LimitTraffic(fleet, seconds=SECONDS)

    async def break_often(fleet: LimitFleet) -> None:
        while fleet.clock.monotonic() < BEFORE_SECONDS + SECONDS:
            for runner in apps(3)(fleet):
                fleet.break_connections(runner)
            await asyncio.sleep(1.0)

    play(fleet, apps(3), 2.3, traffic, break_often)
    assert any(contact.kind == "probe" for contact in fleet.contacts)
