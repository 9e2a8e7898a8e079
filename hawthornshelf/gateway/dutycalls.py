"""Make the calls to the platform that the control core decides on."""

import asyncio
from collections.abc import Callable

from hawthornshelf.duties import CallOutcome
from hawthornshelf.effects import CallPlatform
from hawthornshelf.events import PlatformCallEnded
from hawthornshelf.gateway.contract import DutyClient
from hawthornshelf.logs import write_log

__all__ = ["DutyCaller"]


class DutyCaller:
    """Run each call as a task, and post its end."""

    def __init__(
        self, client: DutyClient | None, post: Callable[[PlatformCallEnded], None]
    ) -> None:
        self._client = client
        self._post = post
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, effect: CallPlatform) -> None:
        """Start a call."""
        if self._client is None:
            write_log("duty-client-missing", level="error")
            self._post(PlatformCallEnded(effect.call, CallOutcome.FAILED))
            return
        task = asyncio.create_task(self._call(self._client, effect))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Cancel all calls."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _call(self, client: DutyClient, effect: CallPlatform) -> None:
        outcome = CallOutcome.FAILED
        try:
            outcome = await client.call(
                effect.call, effect.holder, effect.fence, effect.valid_until
            )
        except Exception as error:
            # Without a reported end the call would hold up the next one for
            # LOST_CALL_SECONDS.
            write_log("duty-call-failed", level="error", reason=repr(error))
        self._post(PlatformCallEnded(effect.call, outcome))
