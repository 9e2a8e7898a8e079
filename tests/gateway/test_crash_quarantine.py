import asyncio

import pytest

from hawthornshelf.gateway.exchange import Prompt
from tests.gateway.crashfleet import LONG, POISON, SHORT, CrashFleet

ROUTES: dict[str, tuple[str, Prompt | None]] = {
    "safe": ("/safe/x", None),
    "unsafe": ("/once/x", None),
    "resumable": ("/talk/x", SHORT),
    "prefilled": ("/read/x", LONG),
}
MAX_LATE_SENDS = 3
"""Sends that the platform allows later than its contact time after the third crash."""

PAUSE_SECONDS = 1.0


@pytest.mark.parametrize("name", ROUTES)
def test_a_request_that_crashed_three_runners_is_not_sent_on(name: str) -> None:
    fleet = CrashFleet(prefillers=2)
    path, prompt = ROUTES[name]

    async def play(fleet: CrashFleet) -> None:
        for _ in range(24):
            await fleet.draw_entry().ask(path, POISON, prompt)
            await asyncio.sleep(PAUSE_SECONDS)

    fleet.run(play)
    assert len(fleet.crash_times()) >= 3
    assert fleet.sends_after_third_crash() <= MAX_LATE_SENDS
