"""Let one entry of the list of runners be unreadable after the final fault."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit2 import (  # noqa: E402
    TROUBLE,
    Answer,
    Record,
    deploy,
    make_manifest,
    run_case,
)

BEFORE_SECONDS = 12.0
DOWN_SECONDS = 1.0
RECOVERY_SECONDS = 12.0
JUDGED_SECONDS = 10.0
PER_SECOND = 10.0
ODD_ENTRY = '{"Service":"tako33c","Address":"127.0.0.1:9","Zone":"z-a","State":"ready}'
"""Entry of another writer: the quote after its state is missing."""


async def case(record: Record) -> bool:
    """Return whether a quarter or more is served after the recovery."""
    async with deploy(record) as (deployment, _):
        await deployment.start_all()
        await deployment.replace_until_acknowledged(make_manifest(7))
        await deployment.wait_ready()
        answers: list[Answer] = []
        end = asyncio.Event()
        load = asyncio.create_task(
            deployment.send_steadily(end.is_set, PER_SECOND, answers)
        )
        began = record.now()
        await asyncio.sleep(BEFORE_SECONDS)
        fault_at = await deployment.replace_until_acknowledged(make_manifest(8))
        record.say("final fault: SIGKILL of all processes")
        await deployment.kill_all()
        if TROUBLE:
            deployment.runner_list.texts.insert(0, ODD_ENTRY)
            record.say(f"the list has an entry of another writer: {ODD_ENTRY}")
        await asyncio.sleep(DOWN_SECONDS)
        await deployment.start_all(first=False)
        back_at = record.now()
        record.say("all processes are started again")
        await asyncio.sleep(RECOVERY_SECONDS + JUDGED_SECONDS)
        end.set()
        await load
        before = [a for a in answers if began <= a.sent_at < fault_at - 1.0]
        after = [a for a in answers if a.sent_at > back_at + RECOVERY_SECONDS]
        served_before, served_after = share(before), share(after)
        record.say(
            f"served before the final fault: {served_before:.3f} of {len(before)}"
        )
        record.say(f"served after the recovery: {served_after:.3f} of {len(after)}")
        return served_before < 0.25 or served_after >= 0.25


def share(answers: list[Answer]) -> float:
    """Return the share of attempts that were served."""
    return sum(a.is_served for a in answers) / max(1, len(answers))


run_case(str(HERE), case)
