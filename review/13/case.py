"""Let another writer's entry with bytes that can't be read stand in the list."""

import asyncio
import itertools
import json
import os
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.path.insert(0, str(FOLDER.parent))

from kit3 import (  # noqa: E402
    HOST,
    CaseFailed,
    Fleet,
    Machine,
    PlainRunner,
    Record,
    Request,
    RunnerList,
    call,
    encode_answer,
    make_manifest,
    run_case,
)

ZONES = ("qld-south-a", "qld-south-b", "qld-south-c")
DOWN_SECONDS = 1.0
RECOVERY_SECONDS = 12.0
REQUESTS = 40
PAUSE_SECONDS = 0.2
MIN_SHARE = 0.25

ODD_ENTRY = b'{"Id":"i-\xff\xfe","Service":"other","State":"ready"}'
"""An entry of another writer, whose Id is no UTF-8."""

numbers = itertools.count(1)


class ListWithOther(RunnerList):
    """Serve the list with `Next` first, and another writer's entry once it is there."""

    has_other = False

    async def handle(self, request: Request) -> None:
        """Answer a read of the list."""
        entries = [json.dumps(entry).encode() for entry in self.entries.values()]
        if self.has_other:
            entries.append(ODD_ENTRY)
        body = b'{"Next":null,"Instances":[%s]}' % b",".join(entries)
        headers = {"Content-Type": "application/json"}
        request.writer.write(encode_answer(200, headers, body))


async def measure(
    fleet: Fleet, record: Record, machines: list[Machine], name: str
) -> float:
    """Send requests as consumers do; return the share that is served."""
    served = 0
    for number in range(REQUESTS):
        addresses = await fleet.resolve(machines, ZONES[number % len(ZONES)])
        request = f"q{next(numbers):05d}"
        headers = {"Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": "1000"}
        address = random.choice(addresses or [m.front for m in machines])
        answer = await call(address, "GET", "/s/page", headers)
        record.write(
            "request",
            phase=name,
            request=request,
            resolved=len(addresses),
            status=answer.status or answer.error,
        )
        served += answer.status == 200
        await asyncio.sleep(PAUSE_SECONDS)
    record.write("measured", phase=name, served=served, asked=REQUESTS)
    return served / REQUESTS


async def run(fleet: Fleet, record: Record, has_trouble: bool) -> bool:
    """Return whether requests are served again once the time for that is over."""
    fleet.list.stop()
    runners = ListWithOther(fleet.list.address)
    fleet.list = runners
    await runners.start()
    roles = ("control", "entry")
    core = [fleet.add_machine(f"core-{z[-1]}", z, roles, True) for z in ZONES]
    for zone in ZONES:
        await fleet.add_runner(PlainRunner, zone)

    def write(is_first: bool) -> None:
        for machine in core:
            for role in roles:
                fleet.write_settings(machine, role, core, is_first)

    write(is_first=True)
    await asyncio.gather(*(fleet.start(machine) for machine in core))
    await fleet.apply(make_manifest(3), core)
    await fleet.await_ready(core)
    if await measure(fleet, record, core, "before") < MIN_SHARE:
        raise CaseFailed("too little was served before the disruption")
    runners.has_other = has_trouble
    record.write("other-entry", listed=has_trouble)
    write(is_first=False)
    await fleet.apply(make_manifest(8), core)
    await fleet.kill(*core)
    record.write("all-killed")
    await asyncio.sleep(DOWN_SECONDS)
    await asyncio.gather(*(fleet.start(machine) for machine in core))
    back_at = time.monotonic()
    await asyncio.sleep(back_at + RECOVERY_SECONDS - time.monotonic())
    return await measure(fleet, record, core, "after") >= MIN_SHARE


if __name__ == "__main__":
    sys.exit(run_case(run, FOLDER, has_trouble=HAS_TROUBLE))
