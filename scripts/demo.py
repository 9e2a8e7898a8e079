"""Demonstrate a small fleet that keeps serving while processes are killed."""

import argparse
import asyncio
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
import msgspec

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from hawthornshelf.declarations import load_declaration, print_configuration
from hawthornshelf.operatorapi import AddressAnswer
from hawthornshelf.porcelain import call_any
from tests.client import complete
from tests.fleet import PROGRAM, ROOT, Fleet, NodeSpec, wait_until

NODES = (
    NodeSpec("tt-a1", "entry,control", "tt-north-a"),
    NodeSpec("tt-b1", "entry,control", "tt-north-b"),
    NodeSpec("tt-c1", "entry,control", "tt-north-c"),
    NodeSpec("tt-a2", "entry", "tt-north-a"),
    NodeSpec("tt-b2", "entry", "tt-north-b"),
)
MODEL = "lantern-chat"
STARTED = time.monotonic()


def print_step(text: str) -> None:
    """Print a step with the seconds since the start."""
    print(f"[{time.monotonic() - STARTED:5.1f} s] {text}", flush=True)


async def run_program(fleet: Fleet, *arguments: str) -> str:
    """Run a command of the program and return its output."""
    process = await asyncio.create_subprocess_exec(
        *fleet.program,
        *arguments,
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    if process.returncode:
        raise RuntimeError(f"{arguments} ended with {process.returncode}")
    return output.decode()


async def find_addresses(fleet: Fleet, skip: str = "") -> list[str]:
    """Return the addresses for callers near tt-north-a, from any node."""
    at = [a for n, a in fleet.listen.items() if n != skip]
    data = await call_any(at, "GET", "/v1/addresses?data_centre=tt-north-a", b"", "")
    return msgspec.json.decode(data, type=AddressAnswer).addresses


async def run_demo(fleet: Fleet) -> None:
    """Run the demo on a fleet."""
    declaration = ROOT / "examples" / "bamboo_lantern.py"
    print(print_configuration(load_declaration(declaration)))
    for number in range(2):
        name = f"lantern-llm-{number}"
        fleet.addresses[name] = f"127.0.0.1:{9200 + number}"
        fleet.start_engine(name, "--change=1.5")
    fleet.addresses["lantern-app-0"] = "127.0.0.1:9300"
    fleet.start_service("lantern-app-0")
    fleet.start_nodes()
    print_step("started 3 control+entry, 2 entry, 2 engines and 1 service")
    at = ",".join(fleet.listen.values())
    await wait_until(lambda: find_addresses(fleet), 20, "address")
    accepted = await run_program(
        fleet, "config", "propose", str(declaration), "--base=0", f"--at={at}"
    )
    print_step(f"configuration {accepted.strip()}")
    async with aiohttp.ClientSession() as session:
        await serve_through_failures(fleet, session)


async def serve_through_failures(fleet: Fleet, session: aiohttp.ClientSession) -> None:
    """Stream a completion, book a visit, kill two nodes and use the remaining ones."""

    async def is_serving() -> bool:
        address = (await find_addresses(fleet))[0]
        reply = await complete(session, address, "Call Mrs Joseph today?", 8, MODEL)
        return reply.outcome == "complete"

    await wait_until(is_serving, 20, "first response")
    print_step("both engines loaded the model and serve completions")
    addresses = await find_addresses(fleet)
    print_step(f"addresses for callers near tt-north-a: {', '.join(addresses)}")
    reply = await complete(
        session, addresses[0], "Suggest a gentle next line", 24, MODEL, "next-line"
    )
    print_step(
        f"streamed {reply.chunks} tokens, the first after {reply.ttft * 1000:.0f} ms"
    )
    booked = await book_visit(session, addresses[0])
    print_step(f"booked a visit: {booked}")
    resent = await book_visit(session, addresses[-1])
    print_step(f"resent through another node, same response: {resent == booked}")
    children = [pid for name in fleet.nodes for pid in fleet.child_pids(name)]
    print_step(f"child processes of all nodes: {len(children)}")
    fleet.kill("tt-a2")
    fleet.kill("tt-a1")
    print_step("killed entry node tt-a2 and control node tt-a1")
    survivors = ("tt-b1", "tt-c1", "tt-b2")
    for name in survivors:
        reply = await complete(session, fleet.listen[name], f"via {name}", 12, MODEL)
        print_step(f"{name} responded: {reply.outcome}, {reply.chunks} tokens")

    async def keeps_response() -> bool:
        return await book_visit(session, fleet.listen["tt-b2"]) == booked

    await wait_until(keeps_response, 20, "response to the first booking")
    print_step("the booking resent once more still gets its first response")
    runs = [r for r in fleet.read_records() if r["kind"] == "booked"]
    print_step(f"the service recorded {len(runs)} booking")
    for name in survivors:
        fleet.terminate(name)
    codes = {n: await asyncio.to_thread(fleet.processes[n].wait, 30) for n in survivors}
    print_step(f"stopped gracefully with exit codes {codes}")
    if len(runs) != 1 or any(codes.values()) or children:
        raise RuntimeError("unexpected bookings, exit codes or child processes")


async def book_visit(session: aiohttp.ClientSession, address: str) -> str:
    """Book a visit, always under the same key, and return the response."""
    async with session.post(
        f"http://{address}/v1/services/lantern-app/bookings",
        data="Mrs Joseph, Thursday 10:00",
        headers={"idempotency-key": "visit-4711", "x-work": "visit"},
    ) as response:
        return await response.text()


def main() -> None:
    """Run the demo, and print the logs if it fails."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary", action="store_true", help="run the one-file build")
    binary = (str(ROOT / "dist" / "hawthornshelf"),)
    program = binary if parser.parse_args().binary else PROGRAM
    with tempfile.TemporaryDirectory() as folder:
        extra_arguments = ("--linger=2",)
        fleet = Fleet(Path(folder), NODES, program, extra_arguments)
        try:
            asyncio.run(run_demo(fleet))
        except Exception:
            for name in fleet.processes:
                print(f"--- {name}\n{fleet.read_log(name)[-3000:]}", file=sys.stderr)
            raise
        finally:
            fleet.stop()
    print_step("done")


if __name__ == "__main__":
    main()
