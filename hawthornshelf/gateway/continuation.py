"""Keep the streams of callers at the build that began them."""

from hawthornshelf.gateway.context import RequestContext
from hawthornshelf.gateway.recorder import Recorder
from hawthornshelf.gateway.routes import RetryPolicy
from hawthornshelf.gateway.runners import Runner, RunnerTable
from hawthornshelf.gateway.streamorigins import OriginUnavailable, StreamOrigins
from hawthornshelf.origins import Continuation, Origin, decide_continuation

__all__ = ["StreamContinuer", "StreamEnded"]

ANEW_RETRY_SECONDS = 0.05
"""Retry-After where a stream can't go on: the caller may begin anew at once."""

UNAVAILABLE_RETRY_SECONDS = 0.3


class StreamEnded(Exception):
    """Signal that a stream can't go on; `retry_after` is in seconds."""

    def __init__(self, reason: str, retry_after: float) -> None:
        super().__init__(reason)
        self.retry_after = retry_after


class StreamContinuer:
    """Find what began a stream, and choose where it may begin and go on.

    Without `origins` nothing is known of streams that other nodes served.
    """

    def __init__(
        self, origins: StreamOrigins | None, runners: RunnerTable, recorder: Recorder
    ) -> None:
        self._origins = origins
        self._runners = runners
        self._recorder = recorder

    async def settle(self, context: RequestContext) -> None:
        """Find the origin of a stream that its caller takes up; raise StreamEnded."""
        inbound = context.inbound
        context.origin = inbound.relayed_origin
        if not inbound.resume_after or not self._applies(context):
            return
        if context.origin is None and self._origins is not None:
            services = _find_services(context)
            try:
                context.origin = await self._origins.find(inbound.resumes, services)
            except OriginUnavailable:
                reason = "the control group does not tell what began the stream"
                raise StreamEnded(reason, UNAVAILABLE_RETRY_SECONDS) from None
            self._decide(context)
            self._recorder.record_continuation(context, Continuation.GO_ON)
        if context.origin is not None:
            context.service = context.origin.service

    def check(self, context: RequestContext) -> None:
        """Raise StreamEnded if no runner is left at which a stream may go on."""
        if context.origin is not None and self._applies(context):
            self._decide(context)

    def excluded(self, context: RequestContext) -> frozenset[str]:
        """Return the runners at which a request may not run."""
        if not self._applies(context):
            return frozenset()
        runners = [s.runner for s in self._runners.in_service(context.service)]
        builds = {runner.build for runner in runners}
        accepted = {b for b in builds if self._accepts_build(context, b)}
        return frozenset(r.name for r in runners if r.build not in accepted)

    def accepts(self, context: RequestContext, runner: Runner) -> bool:
        """Return whether a request may run at a runner."""
        return not self._applies(context) or self._accepts_build(context, runner.build)

    def begin(self, context: RequestContext, origin: Origin) -> None:
        """Remember what began a stream, just before its caller gets the first event."""
        if not self._applies(context):
            return
        context.origin = origin
        if context.inbound.relayed_runs is not None:
            context.writer.origin = origin
        if self._origins is not None:
            is_split = len(_find_services(context)) > 1
            self._origins.begin(context.inbound.request_id, origin, is_split)

    def end(self, context: RequestContext) -> None:
        """Note that a stream has ended as whole."""
        if self._origins is not None and self._applies(context):
            self._origins.end(context.inbound.request_id)

    def close(self, context: RequestContext) -> None:
        """Note that a request has ended; a stream that is not whole has broken off."""
        if self._origins is not None and self._applies(context):
            self._origins.break_off(context.inbound.request_id)

    def _accepts_build(self, context: RequestContext, build: str) -> bool:
        """Return whether a stream may begin or go on at a build of its service."""
        if context.origin is not None:
            return context.origin.build == build
        return self._origins is None or self._origins.may_begin(context.service, build)

    def _applies(self, context: RequestContext) -> bool:
        return context.route.retry_policy is RetryPolicy.STREAM

    def _decide(self, context: RequestContext) -> None:
        staying = {Origin(r.service, r.build) for r in self._runners.staying()}
        services = _find_services(context)
        continuation = decide_continuation(context.origin, services, staying)
        if continuation is not Continuation.GO_ON:
            self._recorder.record_continuation(context, continuation)
            raise StreamEnded(continuation.value, ANEW_RETRY_SECONDS)


def _find_services(context: RequestContext) -> tuple[str, ...]:
    """Return the services to which the route of a request leads."""
    return tuple(split.service for split in context.route.splits if split.weight)
