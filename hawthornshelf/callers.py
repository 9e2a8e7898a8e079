"""Serve callers over HTTP."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from sanic import Sanic
from sanic.request import Request
from sanic.response import HTTPResponse, raw

from hawthornshelf.callerapi import (
    CallerRequest,
    build_completion,
    build_frame,
    build_problem,
    parse_completion,
    parse_service_call,
)
from hawthornshelf.effects import Finish, Outcome, Refuse, SendChunk
from hawthornshelf.errors import RequestRefused

__all__ = ["CallerServer", "Reply", "make_app"]

MAX_BODY_BYTES = 8 * 1024 * 1024
BODY_SECONDS = 15
ANSWER_SECONDS = 960
OUTCOME_HEADER = "x-outcome"
METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")

Reply = SendChunk | Finish | Refuse


class CallerBackend(Protocol):
    """Take requests in and give replies out; the shell provides it."""

    def new_request_id(self) -> str:
        """Return a request id that no other request has."""

    def open(self, request: CallerRequest) -> "asyncio.Queue[Reply]":
        """Hand a request to the core and return where its replies arrive."""

    def close(self, request: str, finished: bool) -> None:
        """Forget a request; one that is not finished has lost its caller."""

    def addresses(self) -> list[str]:
        """Return the addresses that callers may use."""


def make_app(node: str) -> Sanic:
    """Return a web application with our limits set."""
    Sanic.START_METHOD_SET = True
    app = Sanic(f"hawthornshelf-{node}", configure_logging=False)
    app.config.REQUEST_MAX_SIZE = MAX_BODY_BYTES
    app.config.REQUEST_TIMEOUT = BODY_SECONDS
    app.config.RESPONSE_TIMEOUT = ANSWER_SECONDS
    app.config.KEEP_ALIVE_TIMEOUT = 60
    app.config.GRACEFUL_SHUTDOWN_TIMEOUT = 2
    app.config.ACCESS_LOG = False
    app.config.FALLBACK_ERROR_FORMAT = "json"
    return app


class CallerServer:
    """Answer the callers' calls through an exchange with the core."""

    def __init__(self, app: Sanic, exchange: CallerBackend) -> None:
        self._exchange = exchange
        app.add_route(self._complete, "/v1/completions", methods=["POST"])
        app.add_route(
            self._call_service,
            "/v1/services/<service:str>/<path:path>",
            methods=METHODS,
        )

    async def _complete(self, http: Request) -> HTTPResponse | None:
        request = self._exchange.new_request_id()
        return await self._serve(
            http, lambda: parse_completion(request, http.headers, http.body)
        )

    async def _call_service(
        self, http: Request, service: str, path: str
    ) -> HTTPResponse | None:
        request = self._exchange.new_request_id()
        return await self._serve(
            http,
            lambda: parse_service_call(
                request,
                service,
                http.method,
                f"/{path}",
                http.query_string,
                http.headers,
                http.body,
            ),
        )

    async def _serve(
        self, http: Request, parse: Callable[[], CallerRequest]
    ) -> HTTPResponse | None:
        try:
            request = parse()
        except RequestRefused as error:
            refusal = Refuse("", error.status, Outcome.NOT_RUN, error.reason)
            return self._refuse(refusal)
        replies = self._exchange.open(request)
        finished = False
        try:
            if request.stream:
                response = await self._stream(http, request, replies)
            else:
                response = await self._collect(request, replies)
            finished = True
            return response
        finally:
            self._exchange.close(request.event.request, finished)

    async def _collect(
        self, request: CallerRequest, replies: "asyncio.Queue[Reply]"
    ) -> HTTPResponse:
        pieces: list[str] = []
        while True:
            match await replies.get():
                case SendChunk(text=text):
                    pieces.append(text)
                case Finish() as finish:
                    return self._finish(request, finish, pieces)
                case Refuse() as refusal:
                    return self._refuse(refusal)

    async def _stream(
        self,
        http: Request,
        request: CallerRequest,
        replies: "asyncio.Queue[Reply]",
    ) -> HTTPResponse | None:
        first = await replies.get()
        match first:
            case Refuse():
                return self._refuse(first)
            case Finish(answer=answer) if answer is not None:
                return self._finish(request, first, [])
        headers = {"x-request-id": request.event.request, "cache-control": "no-store"}
        response = await http.respond(
            status=200, headers=headers, content_type="text/event-stream"
        )
        reply: Reply = first
        while isinstance(reply, SendChunk):
            frame = build_frame(request.event.request, request.model, reply.text)
            await response.send(frame)
            reply = await replies.get()
        await response.send(self._last_frame(reply))
        await response.eof()
        return None

    def _last_frame(self, reply: Finish | Refuse) -> bytes:
        if isinstance(reply, Finish):
            return b"data: [DONE]\n\n"
        problem = build_problem(reply, self._exchange.addresses())
        return b"event: error\ndata: " + problem + b"\n\n"

    def _finish(
        self, request: CallerRequest, finish: Finish, pieces: list[str]
    ) -> HTTPResponse:
        headers = {
            OUTCOME_HEADER: Outcome.COMPLETE.value,
            "x-request-id": request.event.request,
        }
        if finish.replayed:
            headers["idempotency-replayed"] = "true"
        answer = finish.answer
        if answer is None:
            body = build_completion(request.event.request, request.model, pieces)
            return raw(body, headers=headers, content_type="application/json")
        return raw(
            answer.body,
            status=answer.status,
            headers=headers,
            content_type=answer.content_type,
        )

    def _refuse(self, refusal: Refuse) -> HTTPResponse:
        headers = {OUTCOME_HEADER: refusal.outcome.value}
        if refusal.retry_after > 0:
            headers["retry-after"] = str(max(1, round(refusal.retry_after)))
        return raw(
            build_problem(refusal, self._exchange.addresses()),
            status=refusal.status,
            headers=headers,
            content_type="application/problem+json",
        )
