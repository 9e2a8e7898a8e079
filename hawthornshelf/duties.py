"""Decide which node may call the platform, with which number, and how often.

Calls to the platform are the duty of the leader of the control group, which changes
while VMs, links and processes fail. The platform refuses calls beyond a rate, and may
carry one out late.
"""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from hawthornshelf.usagerecords import WorkspaceCount

__all__ = [
    "CallOutcome",
    "Duty",
    "DutyCall",
    "DutyHolder",
    "DutySettings",
    "HandoverWait",
    "OrderEngines",
    "ReportUsage",
]

CALL_SHARE = 0.25
"""Share of the platform's rate of duty calls that the holder uses at most.

Calls that were sent by the holder before, and carried out late, count as well.
"""

FIRST_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 2.0
"""Longest wait after a failed call.

A report is due a few seconds after its decision, so a platform that is back must be
noticed within that time.
"""

LOST_CALL_SECONDS = 5.0
"""Time after which a call counts as failed though its end was never reported.

A call ends after a second at most; without this limit a lost event would block
further calls with the same key until the next change of the holder.
"""

UNREACHED_SECONDS = 2.5
"""Time of calls without an answer after which another node should hold the duties.

It leaves time for the next holder's wait and call before a report is due.
"""

MIN_TENURE_SECONDS = 20.0
"""Shortest time that a node leads before it hands the duties over.

While the platform is down for all nodes, the leader changes this often at most.
"""

NEVER = float("inf")
LONG_AGO = float("-inf")


class Duty(Enum):
    """Enumerate the duties that one node performs for all."""

    USAGE = "usage"
    ENGINES = "engines"


class DutySettings(NamedTuple):
    """Store which duties are performed and their limits; times are in seconds.

    `holder` names this node to the platform. `lease` is the time within which the
    holder must not change back and forth, `thaw` the time that a process which was
    suspended takes to learn what it has missed. A report for a window of
    `report_window` is due `usage_late` after the end of the window.
    """

    duties: frozenset[Duty] = frozenset()
    holder: str = ""
    calls_per_second: float = 50.0
    is_fencing: bool = False
    lease: float = 3.0
    thaw: float = 0.3
    report_window: float = 5.0
    usage_late: float = 10.0


@dataclass(frozen=True, slots=True)
class ReportUsage:
    """Report the requests of each workspace that began to run in a window."""

    window: int
    counts: tuple[WorkspaceCount, ...]


@dataclass(frozen=True, slots=True)
class OrderEngines:
    """Order how many engines of a service a data centre is to run."""

    service: str
    data_centre: str
    desired: int
    is_spot: bool = False


DutyCall = ReportUsage | OrderEngines


class CallOutcome(Enum):
    """Enumerate the ends of a call.

    OUTDATED means that the platform has seen a higher number, UNAVAILABLE that it has
    no engine to give (or has seen a higher number), LIMITED that it got too many calls.
    A FAILED call got another status. One that is UNREACHED got no answer, and may still
    be carried out.
    """

    DONE = "done"
    OUTDATED = "outdated"
    UNAVAILABLE = "unavailable"
    LIMITED = "limited"
    FAILED = "failed"
    UNREACHED = "unreached"


class HandoverWait(NamedTuple):
    """Compute when a new leader may act where fencing numbers may not be checked.

    By then the lease of the previous leader has expired, with an allowance for clock
    drift, and its last call has arrived or timed out. Times are in seconds.
    """

    election: float
    clock_drift: float
    call_timeout: float

    def ends_at(self, leader_since: float) -> float:
        """Return when the wait of a leader ends, in monotonic seconds."""
        return leader_since + self.election + self.clock_drift + self.call_timeout


class _CallKey(NamedTuple):
    """Identify calls of which only one may be open at a time."""

    kind: str
    service: str = ""
    data_centre: str = ""
    is_spot: bool = False


class _CallState(NamedTuple):
    """Store when the next call with a key may be made, in monotonic seconds."""

    open_until: float = LONG_AGO
    not_before: float = LONG_AGO
    failures: int = 0


class DutyHolder:
    """Track whether this node holds the duties, and pace its calls.

    The holder is the leader of the control group and its number is the Raft term. It
    begins to call after the handover wait, and no sooner than `lease` after it became
    leader, so that calls of another holder never lie between two of its own within
    that time.
    """

    def __init__(self, settings: DutySettings, wait: HandoverWait) -> None:
        self._settings = settings
        self._wait = wait
        self._interval = 1 / max(CALL_SHARE * settings.calls_per_second, 0.001)
        self._states: dict[_CallKey, _CallState] = {}
        self._next_call_at = LONG_AGO
        self._observed_at = NEVER
        self._began_at = NEVER
        self._unreached_since = NEVER
        self.fence = 0
        self.starts_at = NEVER

    def begin(self, now: float, term: int) -> None:
        """Take the duties over as the leader of a term."""
        wait_ends_at = self._wait.ends_at(now)
        self.starts_at = max(wait_ends_at, now + self._settings.lease)
        self.fence = term
        self._began_at, self._unreached_since = now, NEVER
        self._states.clear()

    def end(self) -> None:
        """Give the duties up."""
        self.starts_at = self._unreached_since = NEVER
        self._states.clear()

    def observe(self, now: float) -> None:
        """Note that the process runs; call it at each step.

        After a suspension messages of a newer leader may be waiting, so no call starts
        before they have been read.
        """
        if now - self._observed_at > self._settings.thaw:
            resumes_at = now + self._settings.thaw
            self._next_call_at = max(self._next_call_at, resumes_at)
        self._observed_at = now

    def start(self, now: float, lease_until: float, call: DutyCall) -> bool:
        """Return whether a call may be made now, and count it if so."""
        if now < max(self.starts_at, self._next_call_at) or now >= lease_until:
            return False
        key = _make_key(call)
        state = self._states.get(key, _CallState())
        if now < max(state.open_until, state.not_before):
            return False
        self._next_call_at = now + self._interval
        self._states[key] = state._replace(open_until=now + LOST_CALL_SECONDS)
        return True

    def record_end(self, now: float, call: DutyCall, outcome: CallOutcome) -> None:
        """Record the end of a call and when the next with its key may be made."""
        key = _make_key(call)
        state = self._states.get(key)
        if state is None:
            return
        if outcome is not CallOutcome.UNREACHED:
            self._unreached_since = NEVER
        elif self._unreached_since == NEVER:
            self._unreached_since = now
        match outcome:
            case CallOutcome.DONE:
                state = _CallState()
            case CallOutcome.OUTDATED | CallOutcome.UNAVAILABLE:
                state = _CallState(not_before=now + self._settings.lease)
            case _:
                seconds = FIRST_BACKOFF_SECONDS * 2.0 ** min(state.failures, 10)
                resumes_at = now + min(MAX_BACKOFF_SECONDS, seconds)
                state = _CallState(not_before=resumes_at, failures=state.failures + 1)
                if outcome is CallOutcome.LIMITED:
                    self._next_call_at = max(self._next_call_at, resumes_at)
        self._states[key] = state

    def wants_handover(self, now: float) -> bool:
        """Return whether another node should lead, as this one gets no answers."""
        has_led = now >= self._began_at + MIN_TENURE_SECONDS
        return has_led and now >= self._unreached_since + UNREACHED_SECONDS


def _make_key(call: DutyCall) -> _CallKey:
    match call:
        case ReportUsage():
            return _CallKey("usage")
        case OrderEngines(service, data_centre, _, is_spot):
            return _CallKey("engines", service, data_centre, is_spot)
