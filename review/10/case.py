"""Acknowledge a first manifest, and read it back."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit2 import (  # noqa: E402
    MACHINES,
    TROUBLE,
    Answer,
    Record,
    deploy,
    make_manifest,
    run_case,
)

READ_SECONDS = 20.0
"""Time of reading back, far more than ContactMs."""

PAUSE_SECONDS = 0.5


async def case(record: Record) -> bool:
    """Return whether the acknowledged manifest is read back."""
    number = 0 if TROUBLE else 1
    async with deploy(record) as (deployment, runners):
        await deployment.start_all()
        sent = make_manifest(number)
        acknowledged_at = await deployment.replace_until_acknowledged(sent)
        is_read = False
        statuses: dict[int, int] = {}
        answers: list[Answer] = []
        while record.now() < acknowledged_at + READ_SECONDS:
            for ip in MACHINES:
                status, document = await deployment.read_back(ip)
                statuses[status] = statuses.get(status, 0) + 1
                is_read = is_read or document == sent
            answers.append(await deployment.ask("/lohu930/2f", "z-a"))
            await asyncio.sleep(PAUSE_SECONDS)
        record.say(f"manifest {number} read back as sent: {is_read}, {statuses}")
        served = sum(answer.is_served for answer in answers)
        runs = sum(len(runner.runs) for runner in runners)
        record.say(f"served meanwhile: {served} of {len(answers)}, runs: {runs}")
        return is_read


run_case(str(HERE), case)
