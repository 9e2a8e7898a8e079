"""Provide the operators' commands as plain functions."""

import asyncio
import fileinput
import secrets
from collections.abc import Sequence
from datetime import UTC, datetime
from typing import TypeVar

import aiohttp
import msgspec

from hawthornshelf.burn import BurnReport, compute_burn
from hawthornshelf.commands import ProposeConfiguration, Result
from hawthornshelf.configuration import Configuration
from hawthornshelf.declarations import diff_configurations, find_errors
from hawthornshelf.errors import ControlUnavailable, RequestRefused
from hawthornshelf.explain import RequestTrace, explain_request
from hawthornshelf.httplimits import limit_connections, read_body
from hawthornshelf.messages import CODEC
from hawthornshelf.metrics import OutcomeBucket
from hawthornshelf.operatorapi import TOKEN_HEADER, AddressAnswer, ReplicaAnswer
from hawthornshelf.reviews import DeclarationReview, review_configuration
from hawthornshelf.status import ConfigurationReport, ControlReport, NodeReport
from hawthornshelf.texttable import format_table

__all__ = [
    "call_any",
    "change_replica",
    "compare_declaration",
    "describe_review",
    "describe_status",
    "explain",
    "drain_upstream",
    "fetch_addresses",
    "fetch_configuration",
    "fetch_status",
    "format_stamp",
    "make_change_id",
    "propose_configuration",
    "release_upstream",
    "remove_node",
    "report_burn",
    "review_declaration",
]

CALL_SECONDS = 15.0
MAX_ANSWER_BYTES = 32 * 1024 * 1024
"""The largest answer of a node that a command reads."""

Answer = TypeVar("Answer")


def explain(request: str, files: Sequence[str]) -> RequestTrace:
    """Return a request's trace from log files, or standard input; raise OSError."""
    return explain_request(request, fileinput.input(files or ("-",)))


def make_change_id() -> str:
    """Return a random change id."""
    return secrets.token_hex(8)


def fetch_addresses(at: Sequence[str], data_centre: str = "") -> AddressAnswer:
    """Return the addresses for callers; raise ControlUnavailable."""
    path = f"/v1/addresses?data_centre={data_centre}"
    return _get(at, path, AddressAnswer)


def fetch_status(at: Sequence[str], token: str = "") -> NodeReport:
    """Return the status of the first node that responds; raise ControlUnavailable."""
    return _get(at, "/v1/operator/status", NodeReport, token)


def fetch_configuration(at: Sequence[str], token: str = "") -> ConfigurationReport:
    """Return the configuration in force; raise ControlUnavailable."""
    path = "/v1/operator/configuration"
    return _get(at, path, ConfigurationReport, token)


def review_declaration(configuration: Configuration) -> DeclarationReview:
    """Return what a check of a configuration finds, without asking a node."""
    errors = tuple(str(error) for error in find_errors(configuration))
    return DeclarationReview(errors, review_configuration(configuration))


def compare_declaration(
    review: DeclarationReview,
    configuration: Configuration,
    at: Sequence[str],
    token: str = "",
) -> DeclarationReview:
    """Add what differs from the configuration in force; raise ControlUnavailable."""
    report = fetch_configuration(at, token)
    diff = diff_configurations(report.configuration, configuration)
    return review._replace(version=report.version, diff=diff)


def describe_review(review: DeclarationReview) -> str:
    """Return findings and differences as text; errors are printed as such."""
    findings = review.findings
    lines = [f"{f.path}: {f.kind.value}: {f.reason}" for f in findings]
    if not review.errors and not findings:
        lines.append("no errors, nothing without effect, no contradictions")
    if review.version is not None:
        same = f"no difference from version {review.version}"
        changes = f"differs from version {review.version}:\n{review.diff}"
        lines.append(changes if review.diff else same)
    return "\n".join(lines)


def propose_configuration(
    at: Sequence[str],
    configuration: Configuration,
    base_version: int,
    change_id: str,
    operator: str,
    token: str = "",
) -> Result:
    """Propose a configuration; idempotent for the same change id.

    Raise RequestRefused or ControlUnavailable.
    """
    command = ProposeConfiguration(change_id, base_version, operator, configuration)
    return _run(at, "/v1/operator/propose", command, token)


def drain_upstream(at: Sequence[str], upstream: str, token: str = "") -> Result:
    """Stop new requests to an upstream; idempotent."""
    return _run(at, "/v1/operator/drain", {"upstream": upstream}, token)


def release_upstream(at: Sequence[str], upstream: str, token: str = "") -> Result:
    """End the drain of an upstream; idempotent."""
    return _run(at, "/v1/operator/release", {"upstream": upstream}, token)


def change_replica(
    at: Sequence[str], node: str, admit: bool, token: str = ""
) -> ReplicaAnswer:
    """Admit or remove the control replica of a node; idempotent."""
    body = msgspec.json.encode({"node": node, "admit": admit})
    data = _call(at, "POST", "/v1/operator/replicas", body, token)
    return msgspec.json.decode(data, type=ReplicaAnswer)


def remove_node(at: Sequence[str], node: str, token: str = "") -> Result:
    """Remove a dead entry node, so that no drain waits for it."""
    return _run(at, "/v1/operator/remove-node", {"node": node}, token)


def report_burn(at: Sequence[str], token: str = "") -> BurnReport:
    """Return the burn rates of all objectives, over every node that responds."""
    configuration = fetch_configuration(at, token).configuration
    members = fetch_status(at, token).members
    entries = [m.caller_address for m in members if m.entry and m.caller_address]
    addresses = list(dict.fromkeys(entries or at))
    path = "/v1/operator/windows"
    responses = asyncio.run(_call_each(addresses, path, token))
    bodies = {a: data for a, data in responses.items() if data is not None}
    rows = [
        row
        for data in bodies.values()
        for row in msgspec.json.decode(data, type=list[OutcomeBucket])
    ]
    unreached = [address for address in addresses if address not in bodies]
    wall_time = datetime.now(UTC).timestamp()
    return compute_burn(configuration, rows, wall_time, list(bodies), unreached)


def format_stamp(seconds: float) -> str:
    """Return seconds since the epoch as an ISO 8601 time in UTC."""
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="seconds")


def describe_status(report: NodeReport) -> str:
    """Return a status as text tables."""
    parts = [
        f"node {report.node}: version {report.version}, "
        f"state from control {report.age:.1f} s stale, "
        f"{report.refusal or 'serving'}, {report.open_requests} open requests"
    ]
    members = [
        (m.node, m.status, m.caller_address, m.data_centre, m.serving, m.version)
        for m in report.members
    ]
    headers = ("node", "status", "address", "data centre", "serving", "version")
    parts.append(format_table(headers, members))
    if report.control:
        parts.extend(_describe_control(report.control))
    return "\n\n".join(parts)


def _describe_control(control: ControlReport) -> list[str]:
    parts = [
        f"control: {control.role} in term {control.term}, leader "
        f"{control.leader or 'unknown'}, commit {control.commit}, "
        f"{control.claims} claims"
    ]
    if control.stopped:
        parts.append(f"this replica has stopped: {control.stopped}")
    drains = [
        (d.upstream, d.reason, ",".join(d.awaited) or "nobody") for d in control.drains
    ]
    if drains:
        parts.append(format_table(("drained", "reason", "waits for"), drains))
    orders = [(o.upstream, o.order, o.fence, o.finished) for o in control.orders]
    if orders:
        parts.append(format_table(("engine", "order", "fence", "done"), orders))
    return parts


def _get(at: Sequence[str], path: str, kind: type[Answer], token: str = "") -> Answer:
    return msgspec.json.decode(_call(at, "GET", path, b"", token), type=kind)


def _run(at: Sequence[str], path: str, body: object, token: str) -> Result:
    data = _call(at, "POST", path, msgspec.json.encode(body), token)
    return CODEC.decode(data, "operator interface")


def _call(at: Sequence[str], method: str, path: str, body: bytes, token: str) -> bytes:
    return asyncio.run(call_any(at, method, path, body, token))


async def _call_each(
    addresses: Sequence[str], path: str, token: str
) -> dict[str, bytes | None]:
    """Call all nodes concurrently; None stands for a node that failed to respond."""
    calls = (call_any([address], "GET", path, b"", token) for address in addresses)
    responses = await asyncio.gather(*calls, return_exceptions=True)
    return {
        address: response if isinstance(response, bytes) else None
        for address, response in zip(addresses, responses, strict=True)
    }


async def call_any(
    at: Sequence[str], method: str, path: str, body: bytes, token: str
) -> bytes:
    """Call the nodes in turn until one responds; return the body.

    A status of 503 or a failed connection moves on to the next node. Raise
    RequestRefused for any other status, ControlUnavailable if no node responds.
    """
    errors: list[Exception] = []
    timeout = aiohttp.ClientTimeout(total=CALL_SECONDS, sock_connect=2.0)
    connector = limit_connections(aiohttp.TCPConnector())
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout, trust_env=False, auto_decompress=False
    ) as session:
        for address in at:
            try:
                return await _call_one(session, address, method, path, body, token)
            except RequestRefused as error:
                if error.status != 503:
                    raise
                errors.append(error)
            except (aiohttp.ClientError, TimeoutError) as error:
                errors.append(error)
    reasons = "; ".join(f"{type(e).__name__}: {e}" for e in errors)
    step = f"{method} {path}"
    raise ControlUnavailable(step, ",".join(at), reasons or "no address given")


async def _call_one(
    session: aiohttp.ClientSession,
    address: str,
    method: str,
    path: str,
    body: bytes,
    token: str,
) -> bytes:
    headers = {TOKEN_HEADER: token}
    url = f"http://{address}{path}"
    async with session.request(method, url, data=body, headers=headers) as response:
        data = await read_body(response, MAX_ANSWER_BYTES)
        if response.status != 200:
            reason = data.decode(errors="replace")
            step = f"{method} {path}"
            raise RequestRefused(step, address, reason, response.status)
        return data
