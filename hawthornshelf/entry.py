"""Run one entry node: admit requests, dispatch them to upstreams, reply to callers."""

import heapq
import random

from hawthornshelf.admission import Admission, Backlog, bulk_limit
from hawthornshelf.catalogue import Catalogue, Route
from hawthornshelf.commands import (
    ClaimAnswered,
    ClaimGranted,
    ClaimInProgress,
    ClaimMismatch,
    ClaimUnknown,
    ClearSuspects,
    EndTrial,
    OpenClaim,
    OpenTrial,
    RecordAnswer,
    ReleaseClaim,
    Result,
    TrialGranted,
    TrialRefused,
)
from hawthornshelf.configuration import Configuration
from hawthornshelf.crashes import CrashDetector
from hawthornshelf.drainacks import DrainAcks
from hawthornshelf.effects import (
    CancelAttempt,
    Dispatch,
    Effect,
    Finish,
    Outcome,
    ReadLoad,
    Refuse,
    SendChunk,
    log,
)
from hawthornshelf.events import (
    AttemptBroken,
    AttemptCompleted,
    AttemptRefused,
    AttemptStarted,
    CallerDisconnected,
    ChunkReceived,
    LoadReported,
    RequestArrived,
)
from hawthornshelf.requests import Phase, RequestRow, RequestTable
from hawthornshelf.retries import RetryBudget
from hawthornshelf.state import SharedView
from hawthornshelf.submission import Submitter
from hawthornshelf.upstreams import UpstreamQuery, UpstreamRow, UpstreamTable

__all__ = ["EntryCore", "EntryEvent"]

CLAIM_TIMEOUT_SECONDS = 5.0
CLAIMED_DISPATCH_TIMEOUT_SECONDS = 2.0
RECORD_TIMEOUT_SECONDS = 3.0
RELEASE_TIMEOUT_SECONDS = 60.0
REPORT_TIMEOUT_SECONDS = 30.0
TRIAL_TIMEOUT_SECONDS = 2.0
TRIAL_RETRY_SECONDS = 0.1
DISPATCH_TIMEOUT_SECONDS = 5.0
MAX_ATTEMPTS = 4
MAX_OPEN_REQUESTS = 2000
MAX_OPEN_PER_WORKSPACE = 500
MAX_STREAM_SECONDS = 900.0

EntryEvent = (
    RequestArrived
    | CallerDisconnected
    | AttemptStarted
    | ChunkReceived
    | AttemptCompleted
    | AttemptRefused
    | AttemptBroken
    | LoadReported
)


class EntryCore:
    """Decide what one entry node does with each event; the shell performs all I/O.

    A row of the request table moves through the phases queued, claiming or trying,
    running and recording. Only non-idempotent requests need a claim, and only
    suspects (requests in flight when an upstream crashed) need a trial.
    """

    def __init__(
        self,
        node: str,
        incarnation: str,
        data_centre: str,
        submitter: Submitter,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._submitter = submitter
        self._rng = rng
        self.requests = RequestTable()
        self.upstreams = UpstreamTable(data_centre, rng)
        self.admission = Admission()
        self._catalogue = Catalogue(Configuration())
        self._budget = RetryBudget()
        self._crashes = CrashDetector()
        self._view = SharedView()
        self._suspects: dict[str, bool] = {}
        self._leaving: frozenset[str] = frozenset()
        self._drain_acks = DrainAcks(node, incarnation, submitter)
        self._deadlines: list[tuple[float, str]] = []
        self._trials: dict[str, str] = {}
        self._effects: list[Effect] = []
        self.node_count = 1

    # Events of the whole node

    def load_view(self, view: SharedView) -> None:
        """Apply the shared view: configuration, drains and suspects."""
        if view.version != self._view.version:
            self._catalogue = Catalogue(view.configuration)
            self.upstreams.load(view.configuration)
        self._view = view
        self._suspects = {row.digest: row.quarantined for row in view.suspects}
        self._update_blocked()
        self._refuse_quarantined()

    def record_leaving(self, names: frozenset[str]) -> None:
        """Record the upstreams that the platform lists as leaving."""
        self._leaving = names
        self._update_blocked()

    def handle(self, now: float, event: EntryEvent) -> None:
        """Process one event."""
        match event:
            case RequestArrived():
                self._on_request(now, event)
            case ChunkReceived():
                self._on_chunk(now, event)
            case AttemptCompleted():
                self._on_completed(now, event)
            case AttemptBroken():
                self._on_broken(now, event)
            case AttemptRefused():
                self._on_refused(now, event)
            case AttemptStarted():
                self._on_started(event)
            case CallerDisconnected():
                self._on_caller_disconnected(now, event)
            case LoadReported():
                self._on_load(now, event)

    def refuse(self, request: str, reason: str, retry_after: float) -> None:
        """Refuse a request that was not admitted, with status 503."""
        self._effects.append(Refuse(request, 503, Outcome.NOT_RUN, reason, retry_after))

    def on_result(self, now: float, submission: str, result: Result | None) -> None:
        """Process the result of a command, or None if it timed out."""
        self._drain_acks.on_result(submission, result)
        row = self.requests.find_by_submission(submission)
        if row is None:
            return
        row = row._replace(submission="")
        match row.phase:
            case Phase.CLAIMING:
                self._on_claim(now, row, result)
            case Phase.TRYING:
                self._on_trial(now, row, result)
            case Phase.RECORDING:
                self._finish(now, row)
            case _:
                self.requests.put(row)

    def tick(self, now: float) -> list[Effect]:
        """Run the periodic work and return the effects collected."""
        self._effects.extend(self.upstreams.tick(now))
        self._crashes.tick(now)
        self._expire(now)
        for service in self.requests.services():
            self._dispatch_waiting(now, service)
        self._drain_acks.tick(now, self._view.drains, self._is_idle)
        return self.take_effects()

    def take_effects(self) -> list[Effect]:
        """Return the effects collected since the last call."""
        effects, self._effects = self._effects, []
        return effects

    # Arrival

    def _on_request(self, now: float, event: RequestArrived) -> None:
        route = self._catalogue.find(event)
        if route is None:
            self._reject(event, 404, f"nothing serves {event.target}")
        elif not self._catalogue.has_work_class(event.work):
            self._reject(event, 400, f"no class of work is named {event.work}")
        elif not route.idempotent and not event.key:
            self._reject(event, 400, "this call needs an Idempotency-Key header")
        elif len(self.requests) >= MAX_OPEN_REQUESTS:
            self.refuse(event.request, "too many open requests", 1.0)
        elif self.requests.open_count(event.workspace) >= MAX_OPEN_PER_WORKSPACE:
            reason = "this workspace has too many open requests"
            refusal = Refuse(event.request, 429, Outcome.NOT_RUN, reason, 1.0)
            self._effects.append(refusal)
        else:
            self._admit(now, event, route)

    def _reject(self, event: RequestArrived, status: int, reason: str) -> None:
        self._effects.append(Refuse(event.request, status, Outcome.NOT_RUN, reason))

    def _admit(self, now: float, event: RequestArrived, route: Route) -> None:
        row = RequestRow(
            event,
            route.service,
            route.urgent,
            route.idempotent,
            now,
            now + route.deadline,
        )
        if self._suspects.get(row.digest):
            self._effects.append(_quarantine_refusal(row))
            return
        backlog = self._measure_backlog(now, row)
        rates = self.upstreams.rates.find(row.service)
        decision = self.admission.decide(backlog, rates, route.deadline)
        if decision.refusal:
            wait = self.admission.retry_after(backlog, rates, route.deadline)
            self.refuse(event.request, decision.refusal, wait)
            return
        self._budget.earn()
        self.requests.put(row)
        heapq.heappush(self._deadlines, (row.deadline, row.id))
        self._dispatch_waiting(now, route.service)

    def _measure_backlog(self, now: float, row: RequestRow) -> Backlog:
        """Return the backlog that a request would meet if it were queued now."""
        query = self._build_query(now, row)
        choice = self.upstreams.choose(now, query._replace(urgent=True))
        ttft = 0.0
        if choice is not None and row.urgent:
            ttft = choice.ttft
        slots = bulk_limit(self.upstreams.slots(row.service), self.node_count)
        return Backlog(
            row.urgent,
            self.requests.count_ahead(row),
            self.requests.queued(row.service),
            slots,
            ttft,
        )

    def _build_query(self, now: float, row: RequestRow) -> UpstreamQuery:
        waited = now - row.arrived_at
        return UpstreamQuery(
            row.service,
            self.node_count,
            row.urgent,
            waited / max(row.deadline - row.arrived_at, 1e-3),
            row.tokens,
            row.arrival.prompt_blocks,
            row.excluded,
        )

    def _record_first_token(self, now: float, row: RequestRow) -> None:
        seconds = now - row.started_at
        self.upstreams.rates.record_first_token(row.service, row.tokens, seconds)

    # Dispatch

    def _dispatch_waiting(self, now: float, service: str) -> None:
        """Start queued requests while upstreams have room.

        Requests that wait for a retry time or for a crash to be confirmed are
        skipped, so that they don't block those behind them.
        """
        held: list[RequestRow] = []
        while (row := self.requests.pop(service)) is not None:
            if now < row.ready_at or self._crashes.is_held(row.digest):
                held.append(row)
            elif not self._start_request(now, row):
                held.append(row)
                break
        for row in held:
            self.requests.requeue(row)

    def _start_request(self, now: float, row: RequestRow) -> bool:
        """Dispatch a request, or first open the claim or trial that it needs.

        Return False if no upstream has room. If its attempts have excluded all
        upstreams, they may be tried again.
        """
        choice = self.upstreams.choose(now, self._build_query(now, row))
        if choice is None:
            if row.excluded and not self._has_alternative(row):
                self.requests.put(row._replace(excluded=()))
            return False
        if not row.idempotent:
            self._open_claim(now, row)
        elif self._is_suspect(now, row):
            self._open_trial(now, row, choice.row)
        else:
            self._dispatch(now, row, choice.row)
        return True

    def _has_alternative(self, row: RequestRow) -> bool:
        names = {r.runner.name for r in self.upstreams.in_service(row.service)}
        return bool(names - self.upstreams.blocked - set(row.excluded))

    def _dispatch(
        self, now: float, row: RequestRow, upstream: UpstreamRow, not_after: float = 0.0
    ) -> None:
        number = row.attempts + 1
        attempt = f"{row.id}.{number}"
        name = upstream.runner.name
        row = row._replace(
            phase=Phase.RUNNING,
            attempts=number,
            attempt=attempt,
            upstream=name,
            started_at=now,
        )
        self.requests.put(row)
        self.upstreams.add_request(name, row.tokens, row.urgent)
        self.upstreams.prefixes.add(name, row.arrival.prompt_blocks)
        self._effects.append(
            Dispatch(
                row.id,
                attempt,
                name,
                upstream.runner.address,
                row.offset,
                not_after or now + DISPATCH_TIMEOUT_SECONDS,
                row.urgent,
            )
        )

    # Claims

    def _open_claim(self, now: float, row: RequestRow) -> None:
        event = row.arrival
        command = OpenClaim(event.workspace, event.key, event.digest, row.id)
        deadline = min(now + CLAIM_TIMEOUT_SECONDS, row.deadline)
        submission = self._submitter.submit(now, command, deadline)
        self.requests.put(
            row._replace(phase=Phase.CLAIMING, submission=submission, started_at=now)
        )

    def _on_claim(self, now: float, row: RequestRow, result: Result | None) -> None:
        match result:
            case ClaimGranted():
                self._dispatch_claimed(now, row)
            case ClaimAnswered(answer) if answer is not None:
                self._close(row, Finish(row.id, answer, replayed=True))
            case ClaimAnswered():
                reason = "it completed earlier; its answer is no longer kept"
                self._close(row, Refuse(row.id, 410, Outcome.COMPLETE, reason))
            case ClaimUnknown():
                reason = "an earlier attempt may have run"
                self._close(row, Refuse(row.id, 409, Outcome.UNKNOWN, reason))
            case ClaimInProgress():
                reason = "another attempt with this key is under way"
                refusal = Refuse(row.id, 409, Outcome.UNKNOWN, reason, 2.0)
                self._close(row, refusal)
            case ClaimMismatch():
                reason = "this key was used with another body"
                self._close(row, Refuse(row.id, 422, Outcome.NOT_RUN, reason))
            case _:
                self._release_and_refuse(now, row, "no claim could be had")

    def _dispatch_claimed(self, now: float, row: RequestRow) -> None:
        not_after = min(row.started_at + CLAIM_TIMEOUT_SECONDS, row.deadline)
        query = self._build_query(now, row)._replace(urgent=True)
        choice = self.upstreams.choose(now, query)
        if now >= not_after or choice is None:
            self._release_and_refuse(now, row, "no upstream is free")
            return
        self._dispatch(
            now, row, choice.row, min(not_after, now + CLAIMED_DISPATCH_TIMEOUT_SECONDS)
        )

    def _release_and_refuse(self, now: float, row: RequestRow, reason: str) -> None:
        """Release the claim of a request of which no byte was sent, and refuse it.

        The caller may then retry with the same key.
        """
        event = row.arrival
        command = ReleaseClaim(event.workspace, event.key, row.id)
        self._submitter.submit(now, command, now + RELEASE_TIMEOUT_SECONDS)
        self._close(row, Refuse(row.id, 503, Outcome.NOT_RUN, reason, 1.0))

    def _record_answer(self, now: float, row: RequestRow) -> None:
        event = row.arrival
        assert row.answer is not None
        command = RecordAnswer(event.workspace, event.key, row.id, row.answer)
        deadline = now + RECORD_TIMEOUT_SECONDS
        submission = self._submitter.submit(now, command, deadline)
        self.requests.put(row._replace(phase=Phase.RECORDING, submission=submission))

    # Suspects

    def _is_suspect(self, now: float, row: RequestRow) -> bool:
        return row.digest in self._suspects or self._crashes.is_suspect(now, row.digest)

    def _open_trial(self, now: float, row: RequestRow, upstream: UpstreamRow) -> None:
        name = upstream.runner.name
        command = OpenTrial(row.digest, name, self._node, self._incarnation)
        submission = self._submitter.submit(now, command, now + TRIAL_TIMEOUT_SECONDS)
        self.requests.put(
            row._replace(phase=Phase.TRYING, submission=submission, upstream=name)
        )

    def _on_trial(self, now: float, row: RequestRow, result: Result | None) -> None:
        upstream = self.upstreams.find(row.upstream)
        match result:
            case TrialGranted() if upstream and self._is_available(now, upstream):
                self._trials[row.id] = row.upstream
                self._dispatch(now, row, upstream)
            case TrialRefused(quarantined=True):
                self._close(row, _quarantine_refusal(row))
            case _:
                if result is None or isinstance(result, TrialGranted):
                    self._end_trial(now, row, row.upstream)
                wait = TRIAL_RETRY_SECONDS * self._rng.uniform(0.5, 1.5)
                self.requests.put(
                    row._replace(phase=Phase.QUEUED, upstream="", ready_at=now + wait)
                )

    def _is_available(self, now: float, upstream: UpstreamRow) -> bool:
        blocked = upstream.runner.name in self.upstreams.blocked
        return not blocked and now >= upstream.down_until

    def _end_trial(self, now: float, row: RequestRow, upstream: str) -> None:
        command = EndTrial(row.digest, upstream)
        self._submitter.submit(now, command, now + REPORT_TIMEOUT_SECONDS)

    def _refuse_quarantined(self) -> None:
        """Refuse waiting requests that have been quarantined."""
        if not any(self._suspects.values()):
            return
        for row in self.requests:
            is_waiting = row.phase in (Phase.QUEUED, Phase.TRYING)
            if is_waiting and self._suspects.get(row.digest):
                self._close(row, _quarantine_refusal(row))

    # Attempts

    def _on_started(self, event: AttemptStarted) -> None:
        row = self.requests.find_by_attempt(event.attempt)
        if row is not None:
            self.upstreams.record_boot(row.upstream, event.boot)
            self.requests.put(row._replace(sent=True))

    def _on_chunk(self, now: float, event: ChunkReceived) -> None:
        row = self.requests.find_by_attempt(event.attempt)
        if row is None or event.offset < row.offset:
            return
        if event.offset > row.offset:
            self._effects.append(CancelAttempt(event.attempt))
            self._retry(now, self._end_attempt(row), "gap in the stream")
            return
        if row.offset == 0:
            self._record_first_token(now, row)
        self.requests.put(row._replace(offset=row.offset + 1, sent=True))
        self._effects.append(SendChunk(row.id, event.text))

    def _on_completed(self, now: float, event: AttemptCompleted) -> None:
        row = self.requests.find_by_attempt(event.attempt)
        if row is None:
            return
        row = self._end_attempt(row)._replace(answer=event.answer, sent=True)
        if row.arrival.is_engine and event.chunk_count != row.offset:
            self._retry(now, row, "stream ended early")
            return
        seconds = now - row.started_at
        self.upstreams.rates.record_completion(row.service, row.urgent, seconds)
        self._clear_suspect(now, row)
        if row.idempotent:
            self._finish(now, row)
        else:
            self._record_answer(now, row)

    def _on_refused(self, now: float, event: AttemptRefused) -> None:
        row = self.requests.find_by_attempt(event.attempt)
        if row is not None:
            excluded = (*row.excluded, row.upstream)
            self._retry(
                now, self._end_attempt(row)._replace(excluded=excluded), event.reason
            )

    def _on_broken(self, now: float, event: AttemptBroken) -> None:
        row = self.requests.find_by_attempt(event.attempt)
        if row is None:
            return
        self._log_broken(row, event)
        if event.sent and row.arrival.is_engine:
            self._check_for_crash(now, row.upstream)
        self.upstreams.record_failure(now, row.upstream)
        excluded = (*row.excluded, row.upstream)
        sent = row.sent or event.sent
        row = self._end_attempt(row)._replace(excluded=excluded, sent=sent)
        if event.sent and not row.idempotent:
            reason = f"{event.reason}; it may have run"
            self._close(row, Refuse(row.id, 502, Outcome.UNKNOWN, reason))
        else:
            self._retry(now, row, event.reason)

    def _check_for_crash(self, now: float, name: str) -> None:
        upstream = self.upstreams.find(name)
        if upstream is None:
            return
        digests = [row.digest for row in self.requests if row.upstream == name]
        self._crashes.record_broken_connection(now, name, upstream.boot, digests)
        read = ReadLoad(name, upstream.runner.address, upstream.last_event)
        self._effects.append(read)

    def _retry(self, now: float, row: RequestRow, reason: str) -> None:
        """Queue a request again, or refuse it.

        Retries are limited by number, by the deadline and by the retry budget. A
        stream that has begun may be resumed after its deadline.
        """
        in_time = now < row.deadline or row.offset > 0
        allowed = row.attempts < MAX_ATTEMPTS and in_time
        if allowed and self._budget.spend():
            self.requests.put(row._replace(phase=Phase.QUEUED))
            self._dispatch_waiting(now, row.service)
            return
        if not row.idempotent:
            self._release_and_refuse(now, row, reason)
            return
        outcome = Outcome.UNKNOWN if row.sent else Outcome.NOT_RUN
        self._close(row, Refuse(row.id, 503, outcome, reason, 1.0))

    def _end_attempt(self, row: RequestRow) -> RequestRow:
        """Remove a request's ended attempt from the upstream's load."""
        self.upstreams.remove_request(row.upstream, row.tokens, row.urgent)
        ended = row._replace(attempt="", upstream="", phase=Phase.RUNNING)
        self.requests.put(ended)
        return ended

    def _clear_suspect(self, now: float, row: RequestRow) -> None:
        self._crashes.clear(row.digest)
        if self._suspects.get(row.digest) is False:
            command = ClearSuspects((row.digest,))
            self._submitter.submit(now, command, now + REPORT_TIMEOUT_SECONDS)
        upstream = self._trials.pop(row.id, "")
        if upstream:
            self._end_trial(now, row, upstream)

    def _on_load(self, now: float, event: LoadReported) -> None:
        self.upstreams.on_load(now, event)
        report = self._crashes.on_load(now, event)
        if report is not None:
            self._effects.append(log("upstream-crashed", upstream=event.upstream))
            self._submitter.submit(now, report, now + REPORT_TIMEOUT_SECONDS)

    # Final responses

    def _finish(self, now: float, row: RequestRow) -> None:
        self._close(row, Finish(row.id, row.answer))
        self._dispatch_waiting(now, row.service)

    def _close(self, row: RequestRow, effect: Finish | Refuse) -> None:
        self._trials.pop(row.id, None)
        self.requests.remove(row.id)
        self._effects.append(effect)

    def _on_caller_disconnected(self, now: float, event: CallerDisconnected) -> None:
        row = self.requests.find(event.request)
        if row is None:
            return
        if row.phase is Phase.RUNNING and row.idempotent:
            self._effects.append(CancelAttempt(row.attempt))
            self._discard(now, self._end_attempt(row))
        elif row.phase in (Phase.QUEUED, Phase.TRYING):
            self._discard(now, row)

    def _discard(self, now: float, row: RequestRow) -> None:
        upstream = self._trials.pop(row.id, "")
        if upstream:
            self._end_trial(now, row, upstream)
        self._submitter.abandon(row.submission)
        self.requests.remove(row.id)

    def _expire(self, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            row = self.requests.find(heapq.heappop(self._deadlines)[1])
            if row is not None:
                self._expire_request(now, row)

    def _expire_request(self, now: float, row: RequestRow) -> None:
        """Abandon a request that has no response by its deadline.

        A stream that has begun may run for MAX_STREAM_SECONDS, and a response that
        is being recorded is still delivered. A running non-idempotent request is
        refused as unknown but not cancelled: its response is still recorded.
        """
        stream_deadline = row.arrived_at + MAX_STREAM_SECONDS
        if row.phase is Phase.RECORDING:
            return
        if row.offset > 0 and now < stream_deadline:
            heapq.heappush(self._deadlines, (stream_deadline, row.id))
            return
        rates = self.upstreams.rates.find(row.service)
        retry_after = self.admission.retry_after(
            self._measure_backlog(now, row), rates, 0.0
        )
        if row.phase is Phase.RUNNING:
            reason = "no answer by the deadline"
            refusal = Refuse(row.id, 504, Outcome.UNKNOWN, reason, retry_after)
            self._effects.append(refusal)
            if row.idempotent:
                self._effects.append(CancelAttempt(row.attempt))
                self._discard(now, self._end_attempt(row))
        elif row.phase is Phase.CLAIMING:
            self._submitter.abandon(row.submission)
            self._release_and_refuse(now, row, "no claim by the deadline")
        else:
            self._discard(now, row)
            outcome = Outcome.UNKNOWN if row.sent else Outcome.NOT_RUN
            reason = "no upstream was free by the deadline"
            self._effects.append(Refuse(row.id, 503, outcome, reason, retry_after))

    # Drains

    def _update_blocked(self) -> None:
        drained = {drain.upstream for drain in self._view.drains}
        self.upstreams.blocked = self._leaving.union(drained)

    def _is_idle(self, upstream: str) -> bool:
        row = self.upstreams.find(upstream)
        return row is None or row.in_flight == 0

    def _log_broken(self, row: RequestRow, event: AttemptBroken) -> None:
        self._effects.append(
            log(
                "attempt-broken",
                request=row.id,
                peer=row.upstream,
                step="dispatch",
                sent=event.sent,
                reason=event.reason,
            )
        )


def _quarantine_refusal(row: RequestRow) -> Refuse:
    reason = "this request crashed the upstreams that ran it"
    return Refuse(row.id, 422, Outcome.UNKNOWN, reason)
