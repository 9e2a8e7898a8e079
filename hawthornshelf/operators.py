"""Serve the operators' HTTP API, the health check and the metrics."""

import hmac
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec
from sanic import Sanic
from sanic.request import Request
from sanic.response import HTTPResponse, raw

from hawthornshelf.commands import (
    Command,
    DrainReason,
    DrainUpstream,
    ProposeConfiguration,
    ReleaseUpstream,
    RemoveNode,
    Result,
)
from hawthornshelf.declarations import check_configuration
from hawthornshelf.messages import CODEC
from hawthornshelf.metrics import OutcomeBucket
from hawthornshelf.operatorapi import (
    TOKEN_HEADER,
    AddressAnswer,
    NodeName,
    ReplicaAnswer,
    ReplicaNode,
    UpstreamName,
)
from hawthornshelf.state import NodeRow
from hawthornshelf.status import ConfigurationReport, NodeReport

__all__ = ["OperatorBackend", "OperatorServer"]


class OperatorBackend(Protocol):
    """Provide the state and commands of a node; the imperative shell implements it."""

    def addresses_near(self, data_centre: str) -> AddressAnswer:
        """Return the addresses for callers, those in the data centre first."""

    def report(self) -> NodeReport:
        """Return the status of this node and its view of the others."""

    def report_configuration(self) -> ConfigurationReport:
        """Return the configuration in force on this node and its history."""

    def outcome_buckets(self) -> list[OutcomeBucket]:
        """Return the per-minute outcomes that this node keeps."""

    def export_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""

    def find_entry_node(self, node: str) -> NodeRow | None:
        """Return an entry node that drains wait for, or None if it is unknown here."""

    def is_dead(self, node: str) -> bool:
        """Return whether a node is considered dead or is unknown."""

    def refusal(self) -> str:
        """Return why this node accepts no requests, or an empty text."""

    async def run_command(self, command: Command) -> Result | None:
        """Commit a command and return its result, or None if none arrived."""

    async def change_replica(self, node: str, admit: bool) -> ReplicaAnswer:
        """Admit or remove the control replica of a node."""


Handler = Callable[..., Awaitable[HTTPResponse]]


class OperatorServer:
    """Route the operators' requests to the backend; most need the operator token."""

    def __init__(self, app: Sanic, backend: OperatorBackend, token: str) -> None:
        self._backend = backend
        self._token = token
        app.add_route(self._addresses, "/v1/addresses")
        app.add_route(self._health, "/healthz")
        app.add_route(self._metrics, "/metrics")
        routes: tuple[tuple[Handler, str, str], ...] = (
            (self._status, "status", "GET"),
            (self._configuration, "configuration", "GET"),
            (self._windows, "windows", "GET"),
            (self._propose, "propose", "POST"),
            (self._drain, "drain", "POST"),
            (self._release, "release", "POST"),
            (self._change_replica, "replicas", "POST"),
            (self._remove_node, "remove-node", "POST"),
        )
        for handler, name, method in routes:
            authorised_handler = self._require_token(handler, name)
            app.add_route(authorised_handler, f"/v1/operator/{name}", methods=[method])

    def _require_token(self, handler: Handler, name: str) -> Handler:
        async def authorised_handler(http: Request) -> HTTPResponse:
            token = http.headers.get(TOKEN_HEADER, "")
            if not hmac.compare_digest(token.encode(), self._token.encode()):
                return _problem(401, "operator token is missing or wrong")
            return await handler(http)

        authorised_handler.__name__ = f"operator_{name}"
        return authorised_handler

    async def _addresses(self, http: Request) -> HTTPResponse:
        response = self._backend.addresses_near(http.args.get("data_centre", ""))
        headers = {"cache-control": f"max-age={int(response.max_age)}"}
        return _json(response, headers=headers)

    async def _health(self, http: Request) -> HTTPResponse:
        reason = self._backend.refusal()
        return _problem(503, reason) if reason else _json({"status": "ok"})

    async def _metrics(self, http: Request) -> HTTPResponse:
        body = self._backend.export_metrics()
        return raw(body, content_type="text/plain; version=0.0.4; charset=utf-8")

    async def _status(self, http: Request) -> HTTPResponse:
        return _json(self._backend.report())

    async def _configuration(self, http: Request) -> HTTPResponse:
        return _json(self._backend.report_configuration())

    async def _windows(self, http: Request) -> HTTPResponse:
        return _json(self._backend.outcome_buckets())

    async def _propose(self, http: Request) -> HTTPResponse:
        try:
            command = msgspec.json.decode(http.body, type=ProposeConfiguration)
            check_configuration(command.configuration)
        except msgspec.DecodeError as error:
            return _problem(400, str(error))
        except ExceptionGroup as group:
            reasons = "; ".join(str(error) for error in group.exceptions)
            return _problem(422, reasons)
        return await self._run(command)

    async def _drain(self, http: Request) -> HTTPResponse:
        return await self._run_on_upstream(
            http, lambda name: DrainUpstream(name, DrainReason.OPERATOR)
        )

    async def _release(self, http: Request) -> HTTPResponse:
        return await self._run_on_upstream(
            http, lambda name: ReleaseUpstream(name, DrainReason.OPERATOR)
        )

    async def _change_replica(self, http: Request) -> HTTPResponse:
        try:
            change = msgspec.json.decode(http.body, type=ReplicaNode)
        except msgspec.DecodeError as error:
            return _problem(400, str(error))
        return _json(await self._backend.change_replica(change.node, change.admit))

    async def _remove_node(self, http: Request) -> HTTPResponse:
        try:
            name = msgspec.json.decode(http.body, type=NodeName).node
        except msgspec.DecodeError as error:
            return _problem(400, str(error))
        row = self._backend.find_entry_node(name)
        if row is None:
            return _problem(404, f"no entry node {name} is known to this control node")
        if not self._backend.is_dead(name):
            return _problem(409, f"{name} is not dead; stop it instead")
        return await self._run(RemoveNode(row.node, row.incarnation))

    async def _run_on_upstream(
        self, http: Request, make: Callable[[str], Command]
    ) -> HTTPResponse:
        try:
            name = msgspec.json.decode(http.body, type=UpstreamName).upstream
        except msgspec.DecodeError as error:
            return _problem(400, str(error))
        runners = self._backend.report_configuration().configuration.runners()
        if name not in runners:
            return _problem(404, f"no upstream is named {name}")
        return await self._run(make(name))

    async def _run(self, command: Command) -> HTTPResponse:
        result = await self._backend.run_command(command)
        if result is None:
            reason = "no control leader answered; it is safe to send this again"
            return _problem(503, reason)
        return raw(CODEC.encode(result), content_type="application/msgpack")


def _json(body: object, headers: dict[str, str] | None = None) -> HTTPResponse:
    data = msgspec.json.encode(body)
    return raw(data, headers=headers, content_type="application/json")


def _problem(status: int, reason: str) -> HTTPResponse:
    body = {"type": "about:blank", "status": status, "detail": reason}
    data = msgspec.json.encode(body)
    return raw(data, status=status, content_type="application/problem+json")
