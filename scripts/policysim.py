"""Drive entry cores against the engine model on a virtual clock."""

import heapq
import itertools
import random
import statistics
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from hawthornshelf.commands import (
    ClearSuspects,
    Done,
    EndTrial,
    OpenTrial,
    ReportCrash,
    Result,
)
from hawthornshelf.configuration import (
    Configuration,
    Deployment,
    EngineService,
    Model,
    Runner,
    WorkClass,
)
from hawthornshelf.effects import CancelAttempt, Dispatch, Finish, ReadLoad, Refuse
from hawthornshelf.entry import EntryCore
from hawthornshelf.events import (
    AttemptBroken,
    AttemptCompleted,
    AttemptRefused,
    AttemptStarted,
    ChunkReceived,
    LoadReport,
    LoadReported,
    RequestArrived,
)
from hawthornshelf.messages import CODEC
from hawthornshelf.state import SharedView
from hawthornshelf.submission import Submitter
from hawthornshelf.suspects import SuspectTable
from scripts.policies import POLICIES
from scripts.roles import ROLE_POLICIES, RolePlan, RoleTable
from scripts.workload import Job, make_jobs
from tests.fakes.model import EngineModel, EngineRates, Sequence

__all__ = ["Outcomes", "Run", "run_policy"]

STEP_SECONDS = 0.02
TICK_SECONDS = 0.05
REPORT_SECONDS = 1.0
HOP_SECONDS = 0.0015
COMMIT_SECONDS = 0.01
LATE_EVENTS = 100
MAX_RETURNS = 2
DRAIN_SECONDS = 90.0


class Run(NamedTuple):
    """Name one run."""

    policy: str
    mix: str
    seed: int
    seconds: float = 180.0
    nodes: int = 10
    engines: int = 6


class Outcomes(NamedTuple):
    """Hold what came of a run; times are in seconds."""

    run: Run
    offered: int
    useful: int
    useful_tokens: int
    urgent_offered: int
    urgent_useful: int
    urgent_p50: float
    urgent_p95: float
    urgent_p99: float
    refusals: int
    attempts: float
    role_changes: int
    lost_seconds: float


class _Open(NamedTuple):
    job: Job
    node: int
    first_arrival: float
    returns: int


class Simulation:
    """Hold the cores, the engines and the queue of events."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.now = 0.0
        self.rng = random.Random(run.seed)
        self.numbers = itertools.count()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.engines = {
            f"llm-{n}": EngineModel(EngineRates()) for n in range(run.engines)
        }
        self.up = dict.fromkeys(self.engines, 1)
        self.reports: dict[str, LoadReport] = {}
        self.events: dict[str, list[str]] = {name: [] for name in self.engines}
        self.owners: dict[str, tuple[int, str]] = {}
        self.open: dict[str, _Open] = {}
        self.firsts: dict[str, float] = {}
        self.done: list[tuple[Job, float, float]] = []
        self.refusals = 0
        self.dispatches = 0
        self.suspects = SuspectTable()
        self.plan: RolePlan | None = None
        if run.policy in ROLE_POLICIES:
            self.plan = RolePlan(run.policy, list(self.engines), self)
        self.submitters = [Submitter(f"e{n}", ["c"]) for n in range(run.nodes)]
        self.cores = [self._make_core(n) for n in range(run.nodes)]

    def _make_core(self, number: int) -> EntryCore:
        rng = random.Random(self.run.seed * 1000 + number)
        core = EntryCore(f"e{number}", "1", "dc", self.submitters[number], rng)
        POLICIES[self.run.policy](core, rng)
        core.node_count = self.run.nodes
        if isinstance(core.upstreams, RoleTable) and self.plan:
            core.upstreams.plan = self.plan
        runners = tuple(
            Runner(name, "127.0.0.1:1", f"dc-{n % 3}")
            for n, name in enumerate(self.engines)
        )
        work = (
            WorkClass("urgent", urgent=True, deadline=timedelta(seconds=3)),
            WorkClass("bulk", urgent=False, deadline=timedelta(seconds=30)),
        )
        service = EngineService("llm", Model("chat", "1"), runners)
        deployment = Deployment("d", "r", (service,), (), work)
        core.load_view(SharedView(1, 1, Configuration((deployment,))))
        return core

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action later."""
        entry = (self.now + seconds, next(self.numbers), action)
        heapq.heappush(self.queue, entry)

    def play(self) -> Outcomes:
        """Run to the end and sum up."""
        jobs = make_jobs(self.run.mix, self.run.seed, self.run.seconds)
        for job in jobs:
            self.after(job.at, lambda j=job: self._arrive(j, j.at, 0))  # type: ignore[misc]
        for number in range(self.run.nodes):
            self.after(self.rng.random() * TICK_SECONDS, lambda n=number: self._tick(n))  # type: ignore[misc]
        for name in self.engines:
            self.after(self.rng.random() * STEP_SECONDS, lambda e=name: self._step(e))  # type: ignore[misc]
            self._report(name)
        if self.plan:
            self._tick_plan(self.plan)
        if self.run.mix == "failures":
            self._schedule_failures()
        until = self.run.seconds + DRAIN_SECONDS
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        return self._sum_up(jobs)

    def is_idle(self, name: str) -> bool:
        """Return if an engine runs nothing."""
        model = self.engines[name]
        return not model.running and not model.waiting

    def _tick_plan(self, plan: RolePlan) -> None:
        plan.tick(self.now)
        self.after(1.0, lambda: self._tick_plan(plan))

    def _schedule_failures(self) -> None:
        """Lose half of the engines for the middle third of the run."""
        third = self.run.seconds / 3
        for name in list(self.engines)[: self.run.engines // 2]:
            self.after(third, lambda e=name: self._fail(e))  # type: ignore[misc]
            self.after(2 * third, lambda e=name: self._recover(e))  # type: ignore[misc]

    def _fail(self, name: str) -> None:
        lost = [a for a, (_, engine) in self.owners.items() if engine == name]
        self.up[name] = -abs(self.up[name])
        self.engines[name] = EngineModel(EngineRates())
        for attempt in lost:
            node, _ = self.owners.pop(attempt)
            self._give(node, AttemptBroken(attempt, True, "connection reset"))

    def _recover(self, name: str) -> None:
        self.up[name] = abs(self.up[name]) + 1

    def _arrive(self, job: Job, first: float, returns: int) -> None:
        if self.plan and not returns:
            self.plan.note_arrival(self.now, len(job.prompt) // 4, job.output)
        node = self.rng.randrange(self.run.nodes)
        request = f"q{next(self.numbers)}"
        self.open[request] = _Open(job, node, first, returns)
        event = RequestArrived(
            request,
            "workspace",
            "chat",
            is_engine=True,
            method="POST",
            path="/",
            work=job.work,
            key="",
            digest=request,
            deadline=0.0,
            prompt_blocks=job.blocks,
            prompt_tokens=len(job.prompt) // 4,
            max_tokens=job.output,
        )
        self._give(node, event)

    def _tick(self, node: int) -> None:
        self._carry_out(node, self.cores[node].tick(self.now))
        self._run_commands(node)
        self.after(TICK_SECONDS, lambda: self._tick(node))

    def _give(self, node: int, event: object) -> None:
        self.cores[node].handle(self.now, event)  # type: ignore[arg-type]
        self._carry_out(node, self.cores[node].take_effects())
        self._run_commands(node)

    def _run_commands(self, node: int) -> None:
        """Stand in for the control group: apply what concerns suspects."""
        for _, submit in self.submitters[node].take_unsent(self.now):
            command = CODEC.decode(submit.command)
            result = self._apply(command)
            self.submitters[node].abandon(submit.request)
            self.after(
                COMMIT_SECONDS,
                lambda r=submit.request, v=result: self._give_result(node, r, v),
            )

    def _apply(self, command: object) -> Result:
        match command:
            case OpenTrial():
                return self.suspects.open_trial(command, self.now)
            case EndTrial():
                return self.suspects.end_trial(command, 0)
            case ReportCrash():
                return self.suspects.report(command, 0)
            case ClearSuspects(digests):
                return self.suspects.clear(digests, 0)
        return Done(0)

    def _give_result(self, node: int, request: str, result: Result) -> None:
        self.cores[node].on_result(self.now, request, result)
        self._carry_out(node, self.cores[node].take_effects())
        self._run_commands(node)

    def _carry_out(self, node: int, effects: list) -> None:
        for effect in effects:
            match effect:
                case Dispatch():
                    self.after(HOP_SECONDS, lambda e=effect: self._submit(node, e))  # type: ignore[misc]
                case CancelAttempt(attempt):
                    owner = self.owners.pop(attempt, None)
                    if owner:
                        self.engines[owner[1]].cancel(attempt)
                case ReadLoad(upstream, _, after):
                    self._read_load(node, upstream, after)
                case Finish(request=request):
                    self._finish(request)
                case Refuse():
                    self._refuse(effect)

    def _submit(self, node: int, effect: Dispatch) -> None:
        self.dispatches += 1
        attempt = effect.attempt
        found = self.open.get(effect.request)
        if self.up[effect.upstream] < 0:
            self._give(node, AttemptBroken(attempt, False, "connection refused"))
            return
        if found is None:
            self._give(node, AttemptRefused(attempt, "the caller is gone"))
            return
        job = found.job
        priority = 0 if effect.urgent else 1
        sequence = Sequence(attempt, job.prompt, job.output, effect.offset, priority)
        self.owners[attempt] = (node, effect.upstream)
        self.engines[effect.upstream].submit(sequence)
        self._give(node, AttemptStarted(attempt, str(self.up[effect.upstream])))

    def _step(self, name: str) -> None:
        model = self.engines[name]
        known = len(model.cache)
        newest = next(reversed(model.cache), "")
        pieces = model.step(STEP_SECONDS)
        if len(model.cache) != known or next(reversed(model.cache), "") != newest:
            self._note_cached(name, model, newest)
        for piece in pieces:
            owner = self.owners.get(piece.request)
            if owner is None:
                continue
            chunk = ChunkReceived(piece.request, piece.offset, piece.text)
            self._note_first(piece.request)
            self._give(owner[0], chunk)
            if piece.last:
                self.owners.pop(piece.request, None)
                done = AttemptCompleted(piece.request, None, piece.offset + 1)
                self._give(owner[0], done)
        self.after(STEP_SECONDS, lambda: self._step(name))

    def _note_cached(self, name: str, model: EngineModel, newest: str) -> None:
        """Publish the blocks that were used since the newest one before."""
        fresh = []
        for block in reversed(model.cache):
            if block == newest:
                break
            fresh.append(block)
        self.events[name].extend(reversed(fresh))

    def _note_first(self, attempt: str) -> None:
        request = attempt.rpartition(".")[0]
        self.firsts.setdefault(request, self.now)

    def _report(self, name: str) -> None:
        """Publish a load report that the nodes will see late."""
        model = self.engines[name]
        self.reports[name] = LoadReport(
            str(self.up[name]),
            len(model.running),
            len(model.waiting),
            model.waiting_tokens(),
            "mixed",
            0.0,
        )
        self.after(REPORT_SECONDS, lambda: self._report(name))

    def _read_load(self, node: int, name: str, after: int) -> None:
        report = self.reports.get(name)
        if self.up[name] < 0:
            event = LoadReported(name, None, refused=True)
        else:
            boot = str(self.up[name])
            late = self.events[name][after:-LATE_EVENTS]
            told = tuple(b for n, b in enumerate(late) if (n + after) % 10)
            event = LoadReported(
                name,
                report._replace(
                    boot=boot, age=0.5, cached=told, last_event=after + len(late)
                ),
            )
        self.after(2 * HOP_SECONDS, lambda: self._give(node, event))

    def _finish(self, request: str) -> None:
        found = self.open.pop(request, None)
        if found is not None:
            first = self.firsts.get(request, self.now) - found.first_arrival
            self.done.append((found.job, first, self.now - found.first_arrival))

    def _refuse(self, effect: Refuse) -> None:
        found = self.open.pop(effect.request, None)
        if found is None:
            return
        self.refusals += 1
        if found.returns < MAX_RETURNS and effect.retry_after > 0:
            returns = found.returns + 1
            self.after(
                effect.retry_after,
                lambda: self._arrive(found.job, found.first_arrival, returns),
            )

    def _sum_up(self, jobs: list[Job]) -> Outcomes:
        useful = [d for d in self.done if d[1] <= d[0].first and d[2] <= d[0].total]
        urgent = [first for job, first, _ in self.done if job.work == "urgent"]
        offered_urgent = sum(job.work == "urgent" for job in jobs)
        urgent += [60.0] * (offered_urgent - len(urgent))
        cuts = statistics.quantiles(urgent, n=100) if len(urgent) > 1 else [0.0] * 99
        return Outcomes(
            self.run,
            len(jobs),
            len(useful),
            sum(len(job.prompt) // 4 + job.output for job, _, _ in useful),
            offered_urgent,
            sum(job.work == "urgent" for job, _, _ in useful),
            cuts[49],
            cuts[94],
            cuts[98],
            self.refusals,
            self.dispatches / max(1, len(jobs)),
            self.plan.changes if self.plan else 0,
            self.plan.lost_seconds if self.plan else 0.0,
        )


def run_policy(run: Run) -> Outcomes:
    """Play one run."""
    return Simulation(run).play()
