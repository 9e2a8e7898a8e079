"""Send requests that stay within the limits of the manifest in force."""

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit2 import (  # noqa: E402
    TROUBLE,
    ZONES,
    Answer,
    Record,
    deploy,
    make_manifest,
    run_case,
)

REQUESTS = 40
SETTLED_SECONDS = 5.0
"""Time after the acknowledgement, more than ConfigMs."""

HEADER_LIMIT, BODY_LIMIT = 65_536, 16_777_216
USUAL_HEADER_LIMIT = 16_384
SHORT_BODY_BYTES = 102_400
"""A body that is within the usual limit by far."""

DENIALS = {400, 401, 403, 404, 413, 431}


async def case(record: Record) -> bool:
    """Return whether no more than 5 and one in 500 requests were denied."""
    usual = make_manifest(7)
    wide = make_manifest(8, MaxHeaderBytes=HEADER_LIMIT, MaxBodyBytes=BODY_LIMIT)
    header_bytes = HEADER_LIMIT // 2 if TROUBLE else USUAL_HEADER_LIMIT // 2
    body_bytes = BODY_LIMIT // 4 * 3 if TROUBLE else SHORT_BODY_BYTES
    async with deploy(record) as (deployment, _):
        await deployment.start_all()
        await deployment.replace_until_acknowledged(usual)
        await deployment.wait_ready()
        await asyncio.sleep(1.0)
        if TROUBLE:
            await deployment.replace_until_acknowledged(wide)
        await asyncio.sleep(SETTLED_SECONDS)
        answers: list[Answer] = []
        for number in range(REQUESTS):
            zone = random.choice(ZONES)
            if number % 2:
                parts = header_bytes // 16
                prefix = ",".join(f"{part:08x}:{part:06d}" for part in range(parts))
                headers = {"X-Prompt-Prefix": prefix}
                answers.append(await deployment.ask("/lohu930/2f", zone, **headers))
            else:
                body = b"x" * body_bytes
                answers.append(await deployment.ask("/pufi791/2f", zone, body))
        served = sum(answer.is_served for answer in answers)
        statuses = sorted({answer.status for answer in answers})
        denied = sum(answer.status in DENIALS for answer in answers)
        record.say(f"served {served} of {len(answers)}, statuses {statuses}")
        record.say(f"denied by a 4xx of the system: {denied}")
        return denied <= 5 + len(answers) / 500


run_case(str(HERE), case)
