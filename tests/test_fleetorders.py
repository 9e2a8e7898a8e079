"""Play orders of engines while nodes, links and the platform fail."""

from collections import Counter

import pytest

from hawthornshelf.commands import Command, FinishFleetOrder, OrderFleet
from hawthornshelf.duties import CallOutcome, Duty, DutySettings, OrderEngines
from hawthornshelf.effects import CallPlatform
from hawthornshelf.enginegroups import (
    DataCentrePrice,
    EngineCount,
    EngineKey,
    EngineLimits,
)
from hawthornshelf.events import (
    EnginesListed,
    PlatformCallEnded,
    ScalingLoaded,
    ServiceEngines,
    ServiceScaling,
)
from hawthornshelf.fleetorders import FleetReconciler
from hawthornshelf.fleetrecords import MAX_ROWS, FleetOrderRow, FleetTable
from hawthornshelf.messages import UsageCounts
from hawthornshelf.serviceloads import ServiceLoad
from hawthornshelf.state import SharedState
from tests.dutyplatform import PLATFORM, Arrival, Mood
from tests.simulation import Simulation

SERVICE = "chat"
BOOT_SECONDS = 4.0
LIST_SECONDS = 2.0
DRAIN_SECONDS = 1.0
LEASE_SECONDS = 3.0
STEP_SECONDS = 0.25
TOKENS = 2900
PREFILL_SECONDS = 0.3
ON_DEMAND = EngineKey("a", False)
LIMITS = EngineLimits(
    0, 12, BOOT_SECONDS, 0.15, (DataCentrePrice("a", 1.0), DataCentrePrice("b", 9.0))
)
SETTINGS = DutySettings(frozenset({Duty.ENGINES}), lease=LEASE_SECONDS)
QUIET_RATE, BUSY_RATE = 2.0, 8.0
"""Prompts per second of all nodes; they need one engine, or some four."""


class FleetPlay:
    """Let entry nodes report load, and a platform start and list engines."""

    def __init__(
        self, seed: int = 1, settings: DutySettings = SETTINGS, engines: int = 2
    ) -> None:
        self.simulation = Simulation(seed, control=3, entries=4)
        self.simulation.duties = settings
        self.platform = self.simulation.platform
        self.entries = ["e0", "e1", "e2", "e3"]
        self.rate = QUIET_RATE
        self.has_limits = True
        self.is_reporting = True
        self.present = Counter({ON_DEMAND: engines})
        self._offered = 0.0
        self._carried_out = 0
        self._list_due = 0.0
        self.simulation.start_all()

    def run(self, seconds: float) -> "FleetPlay":
        until = self.simulation.now + seconds
        while self.simulation.now < until:
            self._prepare()
            self.simulation.run(STEP_SECONDS)
            self._offered += self.rate * STEP_SECONDS
            self._carry_out()
        return self

    def orders(self) -> list[Arrival]:
        """Return the orders of engines that arrived at the platform."""
        arrivals = self.platform.arrivals
        return [a for a in arrivals if isinstance(a.call, OrderEngines)]

    def executed(self) -> list[OrderEngines]:
        """Return the orders of engines that were carried out."""
        calls = [execution.call for execution in self.platform.executions]
        return [call for call in calls if isinstance(call, OrderEngines)]

    def state(self) -> SharedState:
        return self.control(self.simulation.leader()).state

    def control(self, name: str):
        return self.simulation.nodes[name].core.control

    def lines(self, event: str) -> list[dict[str, object]]:
        """Return the log lines of an event at all nodes."""
        return [
            {field.key: field.value for field in line.fields}
            for node in self.simulation.nodes.values()
            for line in node.log_lines
            if line.event == event
        ]

    def _prepare(self) -> None:
        """Give each node what its shell would."""
        now = self.simulation.now
        is_due = now >= self._list_due
        if is_due:
            self._list_due = now + LIST_SECONDS
        for name, node in self.simulation.nodes.items():
            if node.core is None or node.frozen:
                continue
            if node.core.usage is not None and name in self.entries:
                measure = self._measure if self.is_reporting else None
                node.core.usage.measure_loads = measure
            control = node.core.control
            if control is None:
                continue
            if self.has_limits and control.fleet.scaling_number is None:
                scaling = ScalingLoaded(1, (ServiceScaling(SERVICE, LIMITS),))
                self.simulation.post_later(name, node.epoch, scaling, 0.001)
            if is_due and control.orders_engines(now):
                listed = EnginesListed(self._list(), now)
                self.simulation.post_later(name, node.epoch, listed, 0.005)

    def _list(self) -> tuple[ServiceEngines, ...]:
        return tuple(
            ServiceEngines(SERVICE, EngineCount(*key, count, 0, 8 * count))
            for key, count in sorted(self.present.items())
        )

    def _measure(self) -> tuple[ServiceLoad, ...]:
        share = int(self._offered / len(self.entries))
        return (
            ServiceLoad(
                SERVICE,
                "a",
                offered=share,
                on_time=share,
                prompt_tokens=share * TOKENS,
                prefill_tokens=share * TOKENS,
                prefill_seconds=share * PREFILL_SECONDS,
            ),
        )

    def _carry_out(self) -> None:
        for call in self.executed()[self._carried_out :]:
            self._carried_out += 1
            key = EngineKey(call.data_centre, call.is_spot)
            is_up = call.desired > self.present[key]
            delay = BOOT_SECONDS if is_up else DRAIN_SECONDS
            set_count = lambda k=key, n=call.desired: self.present.update(  # noqa: E731
                {k: n - self.present[k]}
            )
            self.simulation.schedule(delay, set_count)

    def check_holders(self) -> None:
        assert self.platform.find_swings(LEASE_SECONDS) == []
        assert self.platform.find_falling_numbers() == []


def desired_at_platform(play: FleetPlay) -> Counter[EngineKey]:
    """Return the newest order that was carried out for each place and kind."""
    desired: Counter[EngineKey] = Counter()
    for call in play.executed():
        desired[EngineKey(call.data_centre, call.is_spot)] = call.desired
    return desired


@pytest.mark.parametrize("seed", range(3))
def test_more_load_orders_engines_once_each_decision_and_less_gives_them_up(
    seed: int,
) -> None:
    play = FleetPlay(seed).run(20)
    before = play.present.total()
    play.rate = BUSY_RATE
    play.run(12)
    assert play.present.total() >= 4 > before
    calls = [arrival.call for arrival in play.orders()]
    assert all(one != other for one, other in zip(calls, calls[1:], strict=False))
    play.rate = QUIET_RATE
    play.run(60)
    assert play.present.total() <= 2
    play.check_holders()


def test_each_order_is_committed_before_it_is_sent_and_finished_after() -> None:
    play = FleetPlay().run(20)
    play.rate = BUSY_RATE
    play.run(15)
    rows = play.state().fleet.of_service(SERVICE)
    assert rows and all(row.is_finished and not row.is_refused for row in rows)
    assert {row.key: row.desired for row in rows if row.desired} == dict(
        +desired_at_platform(play)
    )
    (last, *_) = reversed(play.lines("fleet-decided"))
    assert {"needed", "desired", "ordered", "present", "reason"} <= last.keys()


@pytest.mark.parametrize("seed", range(4))
def test_a_new_holder_repeats_only_orders_without_a_known_outcome(seed: int) -> None:
    """Guards against orders that are lost with a leader, or given twice."""
    play = FleetPlay(seed).run(20)
    done = {row.number for row in play.state().fleet.rows() if row.is_finished}
    play.rate = BUSY_RATE
    play.platform.mood = Mood.SILENT
    play.run(3)
    open_rows = [r for r in play.state().fleet.rows() if not r.is_finished]
    assert open_rows and not done & {row.number for row in open_rows}
    play.simulation.kill(play.simulation.leader())
    count = len(play.orders())
    play.platform.mood = Mood.SOUND
    play.run(12)
    repeated = [arrival.call for arrival in play.orders()[count:]]
    finished = {row.key for row in play.state().fleet.rows() if row.number in done}
    for call in repeated:
        assert EngineKey(call.data_centre, call.is_spot) not in finished
    rows = play.state().fleet.of_service(SERVICE)
    assert all(row.is_finished for row in rows)
    assert play.present.total() >= 4
    play.check_holders()


@pytest.mark.parametrize("seed", range(3))
def test_a_new_holder_repeats_nothing_if_all_outcomes_are_known(seed: int) -> None:
    play = FleetPlay(seed).run(20)
    play.rate = BUSY_RATE
    play.run(20)
    count = len(play.orders())
    play.simulation.kill(play.simulation.leader())
    play.run(11)
    assert len(play.orders()) == count
    play.run(20)
    assert len(play.orders()) <= count + 2
    play.check_holders()


def test_nothing_is_ordered_without_the_duty() -> None:
    for duties in (frozenset(), frozenset({Duty.USAGE})):
        play = FleetPlay(settings=SETTINGS._replace(duties=duties))
        play.rate = BUSY_RATE
        play.run(20)
        assert play.orders() == [] and play.state().fleet.rows() == ()
        assert play.lines("fleet-decided") == []


def test_nothing_is_ordered_without_limits_of_the_service() -> None:
    play = FleetPlay()
    play.has_limits, play.rate = False, BUSY_RATE
    play.run(20)
    assert play.orders() == [] and play.state().fleet.rows() == ()


def test_nothing_is_ordered_on_stale_counts() -> None:
    play = FleetPlay().run(20)
    play.rate = BUSY_RATE
    play.is_reporting = False
    play.run(3.5)
    count = len(play.orders())
    play.run(15)
    assert len(play.orders()) == count
    held = [line["held"] for line in play.lines("fleet-decided") if line["held"]]
    assert held
    play.is_reporting = True
    play.run(12)
    assert len(play.orders()) > count


def test_a_committed_order_waits_for_fresh_counts_after_a_long_outage() -> None:
    """Guards against an order by the load of minutes ago."""
    play = FleetPlay().run(20)
    play.rate = BUSY_RATE
    play.platform.mood = Mood.DOWN
    play.run(4)
    play.is_reporting = False
    play.run(10)
    play.platform.mood = Mood.SOUND
    count = len(play.orders())
    play.run(10)
    assert len(play.orders()) == count
    play.rate, play.is_reporting = QUIET_RATE, True
    play.run(25)
    assert play.present.total() <= 2


@pytest.mark.parametrize("seed", range(3))
def test_calls_that_are_carried_out_late_do_not_stay_in_force(seed: int) -> None:
    """Guards against an older order that arrives after a newer one."""
    play = FleetPlay(seed).run(20)
    play.rate = BUSY_RATE
    play.platform.mood = Mood.LATE
    play.run(6)
    play.platform.mood = Mood.SOUND
    play.run(40)
    rows = {row.key: row.desired for row in play.state().fleet.rows()}
    present = {key: play.present[key] for key in rows}
    assert present == rows
    play.check_holders()


def test_an_order_that_the_platform_refuses_goes_elsewhere_and_is_asked_again() -> None:
    play = FleetPlay().run(20)
    play.rate = BUSY_RATE
    play.platform.mood = Mood.CONFLICT
    play.run(4)
    assert play.orders() and play.executed() == []
    play.platform.mood = Mood.SOUND
    play.run(40)
    assert play.present.total() >= 4
    assert play.executed()[-1] == play.orders()[-1].call


@pytest.mark.parametrize("cut", ["platform", "group"])
def test_a_holder_cut_off_hands_the_orders_to_another(cut: str) -> None:
    play = FleetPlay(2).run(25)
    leader = play.simulation.leader()
    others = [PLATFORM] if cut == "platform" else ["c0", "c1", "c2"]
    for other in others:
        if other != leader:
            play.simulation.cut_links.add(frozenset((leader, other)))
    play.rate = BUSY_RATE
    play.run(30)
    assert play.simulation.leader() != leader
    assert play.present.total() >= 4
    play.check_holders()


def test_the_table_of_orders_is_bounded_and_survives_a_snapshot() -> None:
    state = SharedState()
    empty = state.dump()
    for number in range(MAX_ROWS + 10):
        state.apply(1, number + 1, 0.0, OrderFleet(f"s{number}", "a", True, 3, "load"))
    state.apply(1, 9000, 0.0, FinishFleetOrder("s50", "a", True, 51, True))
    assert len(state.fleet.rows()) == MAX_ROWS
    row = state.fleet.find("s50", EngineKey("a", True))
    assert row is not None and row.is_finished and row.is_refused
    again = SharedState.load(state.dump())
    assert again.fleet.rows() == state.fleet.rows()
    assert SharedState.load(empty).dump() == empty


def test_an_outcome_of_an_order_that_was_replaced_is_not_recorded() -> None:
    """Guards against an order that counts as done though a newer one replaced it."""
    table = FleetTable()
    table.record(5, OrderFleet("s", "a", False, 3, "load"))
    table.record(9, OrderFleet("s", "a", False, 4, "load"))
    assert not table.finish(FinishFleetOrder("s", "a", False, 5))
    row = table.find("s", EngineKey("a", False))
    assert row is not None and not row.is_finished
    assert table.finish(FinishFleetOrder("s", "a", False, 9))


@pytest.mark.parametrize("seed", range(3))
def test_a_new_holder_settles_an_order_that_is_no_longer_needed(seed: int) -> None:
    """Guards against engines that an unanswered order starts and nobody stops."""
    play = FleetPlay(seed).run(20)
    play.rate = BUSY_RATE
    play.platform.mood = Mood.SILENT
    play.run(3)
    assert not all(row.is_finished for row in play.state().fleet.rows())
    play.simulation.kill(play.simulation.leader())
    play.platform.mood, play.rate = Mood.SOUND, QUIET_RATE
    play.run(12)
    assert all(row.is_finished for row in play.state().fleet.rows())
    play.run(60)
    rows = {row.key: row.desired for row in play.state().fleet.rows()}
    assert {key: play.present[key] for key in rows} == rows
    assert play.present.total() <= 2


class Holder:
    """Run the orders of one holder by hand, on a state that commits at once."""

    def __init__(self, engines: int = 3, limits: EngineLimits = LIMITS) -> None:
        self.state = SharedState()
        self.calls: list[OrderEngines] = []
        self.now = 0.0
        self.engines = engines
        self._index = 0
        self.fleet = FleetReconciler(SETTINGS, self._propose)
        self.fleet.load(ScalingLoaded(1, (ServiceScaling(SERVICE, limits),)))

    def _propose(self, command: Command) -> None:
        self._index += 1
        self.state.apply(1, self._index, 0.0, command)

    def _call(self, call: OrderEngines) -> list[CallPlatform]:
        self.calls.append(call)
        return [CallPlatform(call, "c0", 1, self.now + 1)]

    def step(self, seconds: float = 0.0) -> None:
        for _ in range(int(seconds) + 1):
            count = EngineCount(*ON_DEMAND, self.engines, 0, 8 * self.engines)
            listed = (ServiceEngines(SERVICE, count),)
            self.fleet.load(EnginesListed(listed, self.now))
            message = UsageCounts("e0", "i", self.now, (), loads_at=self.now + 1)
            self.fleet.receive(self.now, message)
            self.fleet.tick(self.now, self.state, self._call)
            self.now += 1.0

    def end(self, call: OrderEngines, outcome: CallOutcome) -> None:
        event = PlatformCallEnded(call, outcome)
        self.fleet.on_call_ended(self.now, self.state, event)

    def row(self) -> FleetOrderRow:
        row = self.state.fleet.find(SERVICE, ON_DEMAND)
        assert row is not None
        return row


FIXED = EngineLimits(6, 6, BOOT_SECONDS, 0.15, (DataCentrePrice("a", 1.0),))


def scale_to(holder: Holder, count: int) -> None:
    limits = FIXED._replace(min_engines=count, max_engines=count, spot_price=9.0)
    holder.fleet.load(ScalingLoaded(2, (ServiceScaling(SERVICE, limits),)))


def test_the_end_of_an_older_call_does_not_settle_a_newer_decision() -> None:
    """Guards against a newest decision that is never sent."""
    holder = Holder()
    scale_to(holder, 6)
    holder.step()
    (first,) = holder.calls
    scale_to(holder, 8)
    holder.state.fleet.record(900, OrderFleet(SERVICE, *ON_DEMAND, 8, "newer"))
    holder.end(first, CallOutcome.DONE)
    holder.step()
    assert not holder.row().is_finished
    assert holder.calls[-1].desired == 8


def test_an_order_that_the_list_contradicts_is_given_again() -> None:
    """Guards against an older call that the platform carries out after a newer one."""
    holder = Holder(engines=5)
    scale_to(holder, 6)
    holder.step()
    holder.end(holder.calls[-1], CallOutcome.DONE)
    holder.engines = 6
    holder.step(3)
    assert len(holder.calls) == 1 and holder.row().is_finished
    holder.engines = 9
    holder.step(6)
    assert len(holder.calls) == 1
    holder.step(3)
    assert [call.desired for call in holder.calls[:2]] == [6, 6]


def test_an_order_without_an_answer_is_given_again_and_one_done_is_not() -> None:
    holder = Holder(engines=5)
    scale_to(holder, 6)
    holder.step()
    holder.end(holder.calls[-1], CallOutcome.FAILED)
    holder.step()
    assert [call.desired for call in holder.calls] == [6, 6]
    holder.end(holder.calls[-1], CallOutcome.DONE)
    holder.engines = 6
    holder.step(30)
    assert len(holder.calls) == 2
