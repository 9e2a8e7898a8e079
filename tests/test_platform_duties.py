"""Play the duties towards the platform while nodes, links and the platform fail."""

import random
from collections import Counter

import pytest

from hawthornshelf.commands import DecideUsageReport, UsageReportDecided
from hawthornshelf.duties import Duty, DutySettings
from hawthornshelf.usagerecords import WorkspaceCount
from tests.dutyplatform import PLATFORM, Mood
from tests.simulation import Simulation

WINDOW_SECONDS = 5.0
LATE_SECONDS = 10.0
LEASE_SECONDS = 3.0
TOLERANCE = 0.05
REQUEST_INTERVAL_SECONDS = 0.02
SETTINGS = DutySettings(
    frozenset({Duty.USAGE}),
    lease=LEASE_SECONDS,
    report_window=WINDOW_SECONDS,
    usage_late=LATE_SECONDS,
)


class Play:
    """Let entry nodes count requests, and compare the reports with the truth."""

    def __init__(
        self,
        seed: int,
        entries: int = 6,
        is_idle: bool = False,
        compact_entries: int = 1000,
    ) -> None:
        self.simulation = simulation = Simulation(
            seed, control=3, entries=entries, compact_entries=compact_entries
        )
        simulation.duties = SETTINGS
        simulation.has_workspaces = True
        self.platform = simulation.platform
        self.entries = [name for name in simulation.nodes if name.startswith("e")]
        self.truth: dict[int, Counter[str]] = {}
        self._rng = random.Random(seed)
        simulation.start_all()
        if not is_idle:
            self._count()

    def _count(self) -> None:
        """Count one request at each entry node that runs."""
        simulation = self.simulation
        simulation.schedule(REQUEST_INTERVAL_SECONDS, self._count)
        window = int(simulation.now // WINDOW_SECONDS)
        for name in self.entries:
            node = simulation.nodes[name]
            if node.core is None or node.frozen or node.core.usage is None:
                continue
            workspace = self._rng.choice(("acme", "birch"))
            usage = node.core.usage
            usage.counter.record(usage.time.at(simulation.now), workspace)
            self.truth.setdefault(window, Counter())[workspace] += 1

    def run(self, seconds: float) -> None:
        self.simulation.run(seconds)

    @property
    def current(self) -> int:
        return int(self.simulation.now // WINDOW_SECONDS)

    def find_off(self) -> list[int]:
        """Return the windows with a report that is off by more than is allowed."""
        off = []
        for window, reports in self.platform.reports().items():
            truth = self.truth.get(window, Counter())
            for name in {*truth, *reports[0]}:
                error = abs(reports[0].get(name, 0) - truth[name])
                if error > TOLERANCE * truth[name]:
                    off.append(window)
                    break
        return off

    def find_late(self, first: int, last: int) -> list[int]:
        """Return the windows of a range that were not reported in time."""
        reported = self.platform.reports()
        return [
            window
            for window in range(first, last + 1)
            if window not in reported
            or self.platform.first_report_at(window)
            > (window + 1) * WINDOW_SECONDS + LATE_SECONDS
        ]

    def find_gaps(self) -> list[int]:
        """Return the windows without a report before the last one reported."""
        reported = self.platform.reports()
        return [w for w in range(min(reported), max(reported)) if w not in reported]

    def check_holders(self) -> None:
        assert self.platform.find_swings(LEASE_SECONDS) == []
        assert self.platform.find_falling_numbers() == []
        assert self.platform.find_conflicts() == []


@pytest.mark.parametrize("seed", range(3))
def test_all_windows_are_reported_exactly_and_in_time_without_a_fault(
    seed: int,
) -> None:
    play = Play(seed)
    play.run(60)
    play.check_holders()
    reports = play.platform.reports()
    first = min(reports)
    assert first <= 201
    assert play.find_late(first, play.current - 3) == []
    # In the first window the nodes are still starting.
    complete = {w: r for w, r in reports.items() if w > first}
    assert all(r == [play.truth[w]] for w, r in complete.items())


@pytest.mark.parametrize("seed", range(4))
def test_a_killed_leader_loses_no_counts_and_no_window_is_late(seed: int) -> None:
    play = Play(seed)
    play.run(22 + seed)
    play.simulation.kill(play.simulation.leader())
    play.run(40)
    play.check_holders()
    assert play.find_off() == []
    assert play.find_gaps() == []
    assert play.find_late(202, play.current - 3) == []


@pytest.mark.parametrize("seed", range(4))
def test_a_frozen_leader_calls_no_more_once_it_wakes(seed: int) -> None:
    """What it decided before may go out only if it leads again."""
    play = Play(seed)
    play.run(22 + seed)
    leader = play.simulation.leader()
    play.simulation.freeze(leader)
    play.run(9)
    play.simulation.resume(leader)
    play.run(40)
    play.check_holders()
    assert play.find_off() == []
    assert play.find_gaps() == []


@pytest.mark.parametrize("reaches", ["platform", "group"])
@pytest.mark.parametrize("seed", range(3))
def test_a_holder_that_reaches_only_one_of_platform_and_group(
    seed: int, reaches: str
) -> None:
    play = Play(seed)
    play.run(22 + seed)
    leader = play.simulation.leader()
    if reaches == "platform":
        play.simulation.isolate(leader)
    else:
        play.simulation.cut(leader, PLATFORM)
    play.run(15)
    play.simulation.heal()
    play.run(40)
    play.check_holders()
    assert play.find_off() == []
    assert play.find_gaps() == []
    late = play.find_late(202, play.current - 3)
    assert late == []


@pytest.mark.parametrize("step", [-3600.0, -3.0, 3.0, 3600.0])
@pytest.mark.parametrize("who", ["leader", "e0"])
def test_a_clock_step_moves_no_counts_to_another_window(step: float, who: str) -> None:
    play = Play(1)
    play.run(23)
    name = play.simulation.leader() if who == "leader" else who
    play.simulation.nodes[name].wall_offset = step
    play.run(60)
    play.check_holders()
    assert play.find_off() == []
    assert play.find_late(202, play.current - 3) == []


@pytest.mark.parametrize("step", [-30.0, 30.0])
def test_a_leader_that_starts_with_a_wrong_clock_reports_the_same(step: float) -> None:
    """It would close windows before they end, or too late."""
    play = Play(2)
    play.run(23)
    for name in play.simulation.control:
        play.simulation.kill(name)
        play.simulation.nodes[name].wall_offset = step
        play.simulation.start(name)
    play.run(60)
    play.check_holders()
    assert play.find_off() == []
    assert play.find_gaps() == []
    assert play.find_late(206, play.current - 3) == []


@pytest.mark.parametrize("seed", range(3))
def test_a_killed_entry_node_loses_only_its_last_second(seed: int) -> None:
    play = Play(seed, entries=12)
    play.run(22.3 + seed)
    play.simulation.kill("e0")
    play.run(5)
    play.simulation.start("e0")
    play.run(30)
    play.check_holders()
    assert play.find_off() == []
    assert play.find_late(202, play.current - 3) == []


def test_a_frozen_entry_node_does_not_hold_up_the_reports() -> None:
    play = Play(1)
    play.run(23)
    play.simulation.freeze("e1")
    play.run(20)
    play.simulation.resume("e1")
    play.run(30)
    play.check_holders()
    assert play.find_off() == []
    assert play.find_late(202, play.current - 3) == []


@pytest.mark.parametrize("seed", range(3))
def test_a_node_that_is_cut_off_from_the_leader_only_is_counted(seed: int) -> None:
    """Its totals reach the leader through another replica."""
    play = Play(seed)
    play.run(21)
    play.simulation.cut("e2", play.simulation.leader())
    play.run(40)
    play.check_holders()
    assert play.find_off() == []
    assert play.find_late(202, play.current - 3) == []


def test_nodes_keep_what_they_counted_while_control_is_out_of_reach() -> None:
    play = Play(1)
    play.run(23)
    for name in play.entries:
        for control in play.simulation.control:
            play.simulation.cut(name, control)
    play.run(4)
    play.simulation.heal()
    play.run(30)
    assert play.find_off() == []


@pytest.mark.parametrize(
    "mood", [Mood.SLOW, Mood.SILENT, Mood.LATE, Mood.DOWN, Mood.LIMITED, Mood.BROKEN]
)
def test_a_faulty_platform_gets_each_report_in_order_once_it_is_back(
    mood: Mood,
) -> None:
    play = Play(3)
    play.run(22)
    play.platform.mood = mood
    seen = len(play.platform.arrivals)
    play.run(60)
    calls = len(play.platform.arrivals) - seen
    assert calls <= 60 / 0.5
    play.platform.mood = Mood.SOUND
    play.run(30)
    play.check_holders()
    assert play.find_off() == []
    assert play.find_gaps() == []
    reported = list(play.platform.reports())
    if mood is not Mood.LATE:
        assert reported == sorted(reported)


def test_a_conflict_is_not_repeated_within_the_lease() -> None:
    play = Play(3)
    play.run(22)
    play.platform.mood = Mood.CONFLICT
    refused_from = play.simulation.now
    play.run(30)
    refused = [a.at for a in play.platform.arrivals if a.at > refused_from]
    pauses = [b - a for a, b in zip(refused, refused[1:], strict=False)]
    assert len(refused) >= 5
    assert min(pauses) >= LEASE_SECONDS
    play.platform.mood = Mood.SOUND
    play.run(15)
    assert play.find_gaps() == []


@pytest.mark.parametrize("is_fencing", [False, True])
@pytest.mark.parametrize("seed", range(6))
def test_leaders_that_change_quickly_never_call_in_turns(
    seed: int, is_fencing: bool
) -> None:
    """Of leaders A, B, A only the last may call, and only after the lease."""
    play = Play(seed)
    play.platform.is_fencing = is_fencing
    play.run(20)
    simulation = play.simulation
    for _ in range(12):
        leader = simulation.leader()
        if leader:
            core = simulation.nodes[leader].core
            assert core is not None and core.control is not None
            core.control.transfer_leadership(simulation.now)
        play.run(play._rng.choice((0.3, 0.9, 2.0, 3.4, 5.0)))
    play.run(30)
    play.check_holders()
    assert play.find_off() == []
    assert play.find_gaps() == []


@pytest.mark.parametrize("seed", range(6))
def test_no_holder_reports_other_counts_whatever_fails(seed: int) -> None:
    play = Play(seed)
    rng = play._rng
    play.run(15)
    moods = [Mood.SOUND, Mood.SLOW, Mood.SILENT, Mood.LATE, Mood.DOWN, Mood.LIMITED]
    for _ in range(10):
        simulation = play.simulation
        play.platform.mood = rng.choice(moods)
        name = rng.choice(sorted(simulation.control))
        match rng.choice(("kill", "freeze", "isolate", "cut")):
            case "kill":
                simulation.kill(name)
            case "freeze":
                simulation.freeze(name)
            case "isolate":
                simulation.isolate(name)
            case "cut":
                simulation.cut(name, PLATFORM)
        play.run(rng.uniform(1, 8))
        simulation.heal()
        if simulation.nodes[name].frozen:
            simulation.resume(name)
        if simulation.nodes[name].core is None:
            simulation.start(name)
        play.run(rng.uniform(1, 6))
    play.platform.mood = Mood.SOUND
    play.run(60)
    play.check_holders()
    assert play.find_gaps() == []


@pytest.mark.parametrize("mood", [Mood.SILENT, Mood.DOWN])
def test_a_group_that_lost_power_reports_what_it_had_decided(mood: Mood) -> None:
    """Also from snapshots, and though the nodes' counts would give other sums."""
    play = Play(4, compact_entries=4)
    play.run(22)
    play.platform.mood = mood
    play.run(21)
    simulation = play.simulation
    for name in simulation.nodes:
        simulation.kill(name)
    for name in simulation.nodes:
        simulation.start(name)
    play.run(5)
    play.platform.mood = Mood.SOUND
    play.run(40)
    play.check_holders()
    assert play.find_gaps() == []
    restarted_in = 208
    assert set(play.find_off()) <= {restarted_in, restarted_in + 1}


def test_a_second_decision_for_a_window_returns_the_first() -> None:
    play = Play(1)
    play.platform.mood = Mood.DOWN
    play.run(30)
    simulation = play.simulation
    core = simulation.nodes[simulation.leader()].core
    assert core is not None and core.control is not None
    decided = core.control.state.usage.oldest()
    assert decided is not None
    other = DecideUsageReport(decided.window, (WorkspaceCount("acme", 999_999),))
    result = simulation.run_command(simulation.leader(), other)
    assert result == UsageReportDecided(*decided)


def test_windows_without_requests_are_reported_empty() -> None:
    play = Play(1, is_idle=True)
    play.run(40)
    reports = play.platform.reports()
    assert len(reports) >= 5
    assert all(counts == [{}] for counts in reports.values())


def test_nothing_is_reported_before_a_document_names_workspaces() -> None:
    play = Play(1)
    for node in play.simulation.nodes.values():
        assert node.core is not None
        node.core.has_workspaces = False
    play.run(22)
    assert play.platform.arrivals == []
    declared = play.current
    for node in play.simulation.nodes.values():
        assert node.core is not None
        node.core.has_workspaces = True
    play.run(30)
    assert min(play.platform.reports()) == declared


def test_windows_from_a_time_without_a_leader_are_reported_late() -> None:
    play = Play(1)
    play.run(22)
    for name in ("c0", "c1"):
        play.simulation.kill(name)
    play.run(60)
    for name in ("c0", "c1"):
        play.simulation.start(name)
    play.run(40)
    play.check_holders()
    assert play.find_gaps() == []
    assert play.find_off() == []
    assert max(play.platform.reports()) >= play.current - 3


def test_without_the_duty_nothing_is_sent_or_stored() -> None:
    simulation = Simulation(1)
    simulation.has_workspaces = True
    simulation.start_all()
    simulation.run(20)
    assert simulation.platform.arrivals == []
    for node in simulation.nodes.values():
        assert node.core is not None
        assert node.core.usage is None
        if node.core.control is not None:
            assert node.core.control.state.usage.next_window == 0
