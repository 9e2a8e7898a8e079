"""Define the status reports that nodes send to operators."""

from typing import NamedTuple

from hawthornshelf.configuration import Configuration
from hawthornshelf.node import NodeCore
from hawthornshelf.state import ChangeRow

__all__ = [
    "ConfigurationReport",
    "ControlReport",
    "DrainReport",
    "MemberReport",
    "NodeReport",
    "OrderReport",
    "ReplicaReport",
    "UpstreamReport",
    "report_configuration",
    "report_node",
]


class MemberReport(NamedTuple):
    """Report a node as another node sees it."""

    node: str
    status: str
    caller_address: str
    data_centre: str
    entry: bool
    control: bool
    serving: bool
    version: int


class ReplicaReport(NamedTuple):
    """Report one replica of the control group."""

    replica: str
    node: str
    voter: bool


class DrainReport(NamedTuple):
    """Report a drain and the nodes it waits for, as this replica sees them."""

    upstream: str
    reason: str
    awaited: tuple[str, ...]


class OrderReport(NamedTuple):
    """Report the last order placed for an engine."""

    upstream: str
    order: int
    fence: int
    finished: bool


class ControlReport(NamedTuple):
    """Report the state of a control replica."""

    replica: str
    role: str
    term: int
    leader: str
    commit: int
    applied: int
    snapshot: int
    claims: int
    replicas: tuple[ReplicaReport, ...]
    drains: tuple[DrainReport, ...]
    orders: tuple[OrderReport, ...]
    stopped: str


class UpstreamReport(NamedTuple):
    """Report an upstream as an entry node sees it."""

    upstream: str
    service: str
    in_flight: int
    blocked: bool


class NodeReport(NamedTuple):
    """Report the state of a node.

    `age` is the staleness of its knowledge of shared state, in seconds.
    """

    node: str
    version: int
    revision: int
    age: float
    refusal: str
    open_requests: int
    members: tuple[MemberReport, ...]
    upstreams: tuple[UpstreamReport, ...]
    control: ControlReport | None


class ConfigurationReport(NamedTuple):
    """Report a configuration, its version and, on control nodes, its history."""

    version: int
    configuration: Configuration
    history: tuple[ChangeRow, ...]


def report_node(core: NodeCore, now: float) -> NodeReport:
    """Return the report of a node at the monotonic time `now`."""
    entry = core.entry
    return NodeReport(
        core.settings.node,
        core.view.version,
        core.view.revision,
        min(core.staleness(now), 1e9),
        core.refusal(now) if entry else "",
        len(entry.requests) if entry else 0,
        _report_members(core),
        _report_upstreams(core),
        _report_control(core),
    )


def report_configuration(core: NodeCore) -> ConfigurationReport:
    """Return the configuration in force on a node."""
    history = tuple(core.control.state.history) if core.control else ()
    return ConfigurationReport(core.view.version, core.view.configuration, history)


def _report_members(core: NodeCore) -> tuple[MemberReport, ...]:
    return tuple(
        MemberReport(
            row.node,
            row.status.value,
            row.caller_address,
            row.data_centre,
            row.entry,
            row.control,
            row.serving,
            row.version,
        )
        for row in sorted(core.members.rows())
    )


def _report_upstreams(core: NodeCore) -> tuple[UpstreamReport, ...]:
    if core.entry is None:
        return ()
    table = core.entry.upstreams
    return tuple(
        UpstreamReport(
            row.runner.name,
            row.service,
            row.in_flight,
            row.runner.name in table.blocked,
        )
        for row in table.rows()
    )


def _report_control(core: NodeCore) -> ControlReport | None:
    control = core.control
    if control is None:
        return None
    raft, state = control.raft, control.state
    return ControlReport(
        raft.replica,
        raft.role.value,
        raft.term,
        control.leader_node(),
        raft.commit_index,
        control.applied_index,
        raft.snapshot.index,
        len(state.claims),
        tuple(
            ReplicaReport(m.replica, m.node, m.voter)
            for m in control.membership().members
        ),
        tuple(
            DrainReport(d.upstream, d.reason.value, state.missing_acks(d))
            for d in state.drains.values()
        ),
        tuple(
            OrderReport(o.upstream, o.order, o.fence, o.finished)
            for o in state.orders.values()
        ),
        control.stopped,
    )
