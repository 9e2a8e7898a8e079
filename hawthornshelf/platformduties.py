"""Perform the duties of the control group's leader towards the platform."""

from hawthornshelf.duties import DutyCall, DutyHolder, DutySettings, HandoverWait
from hawthornshelf.effects import CallPlatform, Effect, log
from hawthornshelf.events import PlatformCallEnded

__all__ = ["PlatformDuties"]


class PlatformDuties:
    """Call the platform while this replica leads; the shell makes the calls."""

    def __init__(self, settings: DutySettings, wait: HandoverWait) -> None:
        self._settings = settings
        self.holder = DutyHolder(settings, wait)

    @property
    def is_on(self) -> bool:
        """Return whether there are duties."""
        return bool(self._settings.duties)

    def begin(self, now: float, term: int) -> list[Effect]:
        """Take the duties over as the leader of a term."""
        if not self.is_on:
            return []
        self.holder.begin(now, term)
        wait = round(self.holder.starts_at - now, 2)
        return [
            log("duties-taken", fence=term, holder=self._settings.holder, in_s=wait)
        ]

    def end(self) -> list[Effect]:
        """Give the duties up."""
        if not self.is_on:
            return []
        self.holder.end()
        return [log("duties-ended", fence=self.holder.fence)]

    def call(self, now: float, lease_until: float, call: DutyCall) -> list[Effect]:
        """Return the effect of a call if it may be made now.

        It must be written before the lease ends.
        """
        if not self.holder.start(now, lease_until, call):
            return []
        name, fence = self._settings.holder, self.holder.fence
        return [CallPlatform(call, name, fence, lease_until)]

    def on_call_ended(self, now: float, event: PlatformCallEnded) -> list[Effect]:
        """Record the end of a call."""
        self.holder.record_end(now, event.call, event.outcome)
        return [
            log(
                "platform-call-ended",
                call=type(event.call).__name__,
                fence=self.holder.fence,
                outcome=event.outcome.value,
            )
        ]
