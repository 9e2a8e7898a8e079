"""Simulate placement policies: entry cores and engine models on a virtual clock."""

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
DELAYED_EVENTS = 100
"""How many of the newest cache events of an engine are not readable yet."""

MAX_RETRIES = 2
COMPLETION_SECONDS = 90.0
"""Time after the last arrival in which open requests may complete."""


class Run(NamedTuple):
    """Identify one run: the policy, the workload mix, the seed and the sizes."""

    policy: str
    mix: str
    seed: int
    seconds: float = 180.0
    nodes: int = 10
    engines: int = 6


class Outcomes(NamedTuple):
    """Store the results of a run; times are in seconds.

    A response is useful if it met the latency limits of its job. The percentiles are
    of the time to first token. `attempts` is the mean number per job; `lost_seconds`
    are engine seconds in which role changes kept engines from serving.
    """

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


class _OpenRequest(NamedTuple):
    job: Job
    node: int
    first_arrival: float
    retries: int


class PolicySimulation:
    """Simulate entry cores and engines with a single event queue."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.now = 0.0
        self.rng = random.Random(run.seed)
        self.counter = itertools.count()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.engines = {
            f"llm-{n}": EngineModel(EngineRates()) for n in range(run.engines)
        }
        self.boots = dict.fromkeys(self.engines, 1)  # negative while down
        self.reports: dict[str, LoadReport] = {}
        # The blocks that each engine cached or used again, in order.
        self.events: dict[str, list[str]] = {name: [] for name in self.engines}
        self.placements: dict[str, tuple[int, str]] = {}  # node and engine by attempt
        self.open: dict[str, _OpenRequest] = {}
        self.first_tokens: dict[str, float] = {}
        self.done: list[tuple[Job, float, float]] = []  # job, TTFT and total seconds
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

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in seconds."""
        entry = (self.now + seconds, next(self.counter), action)
        heapq.heappush(self.queue, entry)

    def simulate(self) -> Outcomes:
        """Run the simulation and return its results."""
        jobs = make_jobs(self.run.mix, self.run.seed, self.run.seconds)
        for job in jobs:
            self.schedule(job.at, lambda j=job: self._arrive(j, j.at, 0))  # type: ignore[misc]
        for number in range(self.run.nodes):
            self.schedule(
                self.rng.random() * TICK_SECONDS,
                lambda n=number: self._tick(n),  # type: ignore[misc]
            )
        for name in self.engines:
            self.schedule(
                self.rng.random() * STEP_SECONDS,
                lambda e=name: self._step(e),  # type: ignore[misc]
            )
            self._report(name)
        if self.plan:
            self._tick_plan(self.plan)
        if self.run.mix == "failures":
            self._schedule_failures()
        until = self.run.seconds + COMPLETION_SECONDS
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        return self._summarize(jobs)

    def is_idle(self, name: str) -> bool:
        """Return whether an engine has no running or waiting requests."""
        model = self.engines[name]
        return not model.running and not model.waiting

    def _tick_plan(self, plan: RolePlan) -> None:
        plan.tick(self.now)
        self.schedule(1.0, lambda: self._tick_plan(plan))

    def _schedule_failures(self) -> None:
        """Schedule half of the engines to be down for the middle third of the run."""
        third = self.run.seconds / 3
        for name in list(self.engines)[: self.run.engines // 2]:
            self.schedule(third, lambda e=name: self._fail(e))  # type: ignore[misc]
            self.schedule(2 * third, lambda e=name: self._recover(e))  # type: ignore[misc]

    def _fail(self, name: str) -> None:
        interrupted = [
            a for a, (_, engine) in self.placements.items() if engine == name
        ]
        self.boots[name] = -abs(self.boots[name])
        self.engines[name] = EngineModel(EngineRates())
        for attempt in interrupted:
            node, _ = self.placements.pop(attempt)
            self._handle(node, AttemptBroken(attempt, True, "connection reset"))

    def _recover(self, name: str) -> None:
        self.boots[name] = abs(self.boots[name]) + 1

    def _arrive(self, job: Job, first_arrival: float, retries: int) -> None:
        if self.plan and not retries:
            self.plan.record_arrival(self.now, len(job.prompt) // 4, job.output)
        node = self.rng.randrange(self.run.nodes)
        request = f"q{next(self.counter)}"
        self.open[request] = _OpenRequest(job, node, first_arrival, retries)
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
        self._handle(node, event)

    def _tick(self, node: int) -> None:
        self._apply_effects(node, self.cores[node].tick(self.now))
        self._run_commands(node)
        self.schedule(TICK_SECONDS, lambda: self._tick(node))

    def _handle(self, node: int, event: object) -> None:
        self.cores[node].handle(self.now, event)  # type: ignore[arg-type]
        self._apply_effects(node, self.cores[node].take_effects())
        self._run_commands(node)

    def _run_commands(self, node: int) -> None:
        """Apply commands about suspects in place of the control group."""
        for _, submit in self.submitters[node].take_unsent(self.now):
            command = CODEC.decode(submit.command)
            result = self._apply(command)
            self.submitters[node].abandon(submit.request)
            self.schedule(
                COMMIT_SECONDS,
                lambda r=submit.request, v=result: self._deliver_result(node, r, v),
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

    def _deliver_result(self, node: int, request: str, result: Result) -> None:
        self.cores[node].on_result(self.now, request, result)
        self._apply_effects(node, self.cores[node].take_effects())
        self._run_commands(node)

    def _apply_effects(self, node: int, effects: list) -> None:
        for effect in effects:
            match effect:
                case Dispatch():
                    self.schedule(HOP_SECONDS, lambda e=effect: self._submit(node, e))  # type: ignore[misc]
                case CancelAttempt(attempt):
                    placement = self.placements.pop(attempt, None)
                    if placement:
                        self.engines[placement[1]].cancel(attempt)
                case ReadLoad(upstream, _, after):
                    self._read_load(node, upstream, after)
                case Finish(request=request):
                    self._finish(request)
                case Refuse():
                    self._refuse(effect)

    def _submit(self, node: int, effect: Dispatch) -> None:
        self.dispatches += 1
        attempt = effect.attempt
        open_request = self.open.get(effect.request)
        if self.boots[effect.upstream] < 0:
            self._handle(node, AttemptBroken(attempt, False, "connection refused"))
            return
        if open_request is None:
            self._handle(node, AttemptRefused(attempt, "the caller disconnected"))
            return
        job = open_request.job
        priority = 0 if effect.urgent else 1
        sequence = Sequence(attempt, job.prompt, job.output, effect.offset, priority)
        self.placements[attempt] = (node, effect.upstream)
        self.engines[effect.upstream].submit(sequence)
        self._handle(node, AttemptStarted(attempt, str(self.boots[effect.upstream])))

    def _step(self, name: str) -> None:
        model = self.engines[name]
        cached_count = len(model.cache)
        newest = next(reversed(model.cache), "")
        tokens = model.step(STEP_SECONDS)
        if (
            len(model.cache) != cached_count
            or next(reversed(model.cache), "") != newest
        ):
            self._publish_cached(name, model, newest)
        for token in tokens:
            placement = self.placements.get(token.request)
            if placement is None:
                continue
            chunk = ChunkReceived(token.request, token.offset, token.text)
            self._record_first_token(token.request)
            self._handle(placement[0], chunk)
            if token.last:
                self.placements.pop(token.request, None)
                done = AttemptCompleted(token.request, None, token.offset + 1)
                self._handle(placement[0], done)
        self.schedule(STEP_SECONDS, lambda: self._step(name))

    def _publish_cached(self, name: str, model: EngineModel, newest: str) -> None:
        """Publish the blocks that were cached or used after the previous newest one."""
        used = []
        for block in reversed(model.cache):
            if block == newest:
                break
            used.append(block)
        self.events[name].extend(reversed(used))

    def _record_first_token(self, attempt: str) -> None:
        request = attempt.rpartition(".")[0]
        self.first_tokens.setdefault(request, self.now)

    def _report(self, name: str) -> None:
        """Publish a load report; entry nodes read it with a delay."""
        model = self.engines[name]
        self.reports[name] = LoadReport(
            str(self.boots[name]),
            len(model.running),
            len(model.waiting),
            model.waiting_tokens(),
            "mixed",
            0.0,
        )
        self.schedule(REPORT_SECONDS, lambda: self._report(name))

    def _read_load(self, node: int, name: str, after: int) -> None:
        """Deliver a load report, or that the connection was refused, to a node.

        The newest cache events are withheld and every tenth one is lost, as nodes
        must tolerate late and missing events.
        """
        report = self.reports.get(name)
        if self.boots[name] < 0:
            event = LoadReported(name, None, refused=True)
        else:
            boot = str(self.boots[name])
            published = self.events[name][after:-DELAYED_EVENTS]
            received = tuple(b for n, b in enumerate(published) if (n + after) % 10)
            event = LoadReported(
                name,
                report._replace(
                    boot=boot,
                    age=0.5,
                    cached=received,
                    last_event=after + len(published),
                ),
            )
        self.schedule(2 * HOP_SECONDS, lambda: self._handle(node, event))

    def _finish(self, request: str) -> None:
        open_request = self.open.pop(request, None)
        if open_request is not None:
            ttft = self.first_tokens.get(request, self.now) - open_request.first_arrival
            self.done.append(
                (open_request.job, ttft, self.now - open_request.first_arrival)
            )

    def _refuse(self, effect: Refuse) -> None:
        open_request = self.open.pop(effect.request, None)
        if open_request is None:
            return
        self.refusals += 1
        if open_request.retries < MAX_RETRIES and effect.retry_after > 0:
            retries = open_request.retries + 1
            self.schedule(
                effect.retry_after,
                lambda: self._arrive(
                    open_request.job, open_request.first_arrival, retries
                ),
            )

    def _summarize(self, jobs: list[Job]) -> Outcomes:
        useful = [
            d for d in self.done if d[1] <= d[0].max_ttft and d[2] <= d[0].max_total
        ]
        urgent = [ttft for job, ttft, _ in self.done if job.work == "urgent"]
        offered_urgent = sum(job.work == "urgent" for job in jobs)
        # An urgent request without a response counts as a TTFT of 60 s.
        urgent += [60.0] * (offered_urgent - len(urgent))
        percentiles = (
            statistics.quantiles(urgent, n=100) if len(urgent) > 1 else [0.0] * 99
        )
        return Outcomes(
            self.run,
            len(jobs),
            len(useful),
            sum(len(job.prompt) // 4 + job.output for job, _, _ in useful),
            offered_urgent,
            sum(job.work == "urgent" for job, _, _ in useful),
            percentiles[49],
            percentiles[94],
            percentiles[98],
            self.refusals,
            self.dispatches / max(1, len(jobs)),
            self.plan.changes if self.plan else 0,
            self.plan.lost_seconds if self.plan else 0.0,
        )


def run_policy(run: Run) -> Outcomes:
    """Simulate one run and return its results."""
    return PolicySimulation(run).simulate()
