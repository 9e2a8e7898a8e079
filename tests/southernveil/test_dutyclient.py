import asyncio
import json
import socket
from collections.abc import Callable
from typing import Any

import pytest
import uvloop
from aiohttp import web
from southernveil.dutyclient import HttpDutyClient

from hawthornshelf.clock import SystemClock
from hawthornshelf.duties import CallOutcome, DutyCall, OrderEngines, ReportUsage
from hawthornshelf.usagerecords import WorkspaceCount

REPORT = ReportUsage(7, (WorkspaceCount("acme", 3), WorkspaceCount("b", 1)))
ORDER = OrderEngines("chat", "z-a", 4)
Calls = list[tuple[str, dict[str, str], Any]]


def run(main: Callable[[], Any]) -> Any:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main())


def call_server(
    call: DutyCall, status: int = 200, seconds_left: float = 5.0, pause: float = 0.0
) -> tuple[CallOutcome, Calls, int]:
    """Make a call to a server; return its outcome and what the server received."""
    calls: Calls = []
    connections = 0

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        await asyncio.sleep(pause)
        body = json.loads(await request.read())
        calls.append((f"{request.method} {request.path}", dict(request.headers), body))
        return web.Response(status=status)

    async def main() -> CallOutcome:
        nonlocal connections
        server = web.Server(handle)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, "127.0.0.1", 0)
        clock = SystemClock()
        port = listener.sockets[0].getsockname()[1]
        client = HttpDutyClient(f"127.0.0.1:{port}", clock)
        valid_until = clock.monotonic() + seconds_left
        outcome = await client.call(call, "control-1", 12, valid_until)
        await asyncio.sleep(0.05)
        connections = len(server.connections)
        listener.close()
        return outcome

    return run(main), calls, connections


def test_a_report_carries_the_holder_its_number_and_the_counts() -> None:
    outcome, calls, connections = call_server(REPORT)
    assert outcome is CallOutcome.DONE
    assert connections == 0
    ((target, headers, body),) = calls
    assert target == "POST /usage"
    assert body == {"Window": 7, "Counts": {"acme": 3, "b": 1}}
    assert headers["X-Duty-Holder"] == "control-1"
    assert headers["X-Fence-Token"] == "12"
    assert "Transfer-Encoding" not in headers


def test_a_report_without_requests_has_empty_counts() -> None:
    _, calls, _ = call_server(ReportUsage(8, ()))
    assert calls[0][2] == {"Window": 8, "Counts": {}}


def test_an_order_names_spot_engines_only() -> None:
    _, calls, _ = call_server(ORDER)
    assert calls[0][0] == "POST /scale"
    assert calls[0][2] == {"Service": "chat", "Zone": "z-a", "Desired": 4}
    _, calls, _ = call_server(OrderEngines("chat", "z-a", 0, is_spot=True))
    assert calls[0][2]["Spot"] is True


@pytest.mark.parametrize(
    ("call", "status", "outcome"),
    [
        (REPORT, 409, CallOutcome.OUTDATED),
        (ORDER, 409, CallOutcome.UNAVAILABLE),
        (REPORT, 429, CallOutcome.LIMITED),
        (REPORT, 503, CallOutcome.FAILED),
        (REPORT, 400, CallOutcome.FAILED),
        (REPORT, 302, CallOutcome.FAILED),
    ],
)
def test_each_status_has_its_outcome(
    call: DutyCall, status: int, outcome: CallOutcome
) -> None:
    assert call_server(call, status)[0] is outcome


def test_nothing_is_written_once_the_lease_has_ended() -> None:
    """A process that was suspended while it connected must not call any more."""
    outcome, calls, _ = call_server(REPORT, seconds_left=0.0)
    assert outcome is CallOutcome.UNREACHED
    assert calls == []


def test_a_call_without_an_answer_ends_after_a_second() -> None:
    loop_time: list[float] = []

    async def main() -> CallOutcome:
        clock = SystemClock()
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            client = HttpDutyClient(address, clock)
            started_at = clock.monotonic()
            outcome = await client.call(REPORT, "control-1", 1, started_at + 5)
            loop_time.append(clock.monotonic() - started_at)
            return outcome

    assert run(main) is CallOutcome.UNREACHED
    assert 0.9 < loop_time[0] < 2.0


def test_a_platform_that_is_down_is_a_failed_call() -> None:
    async def main() -> CallOutcome:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{listener.getsockname()[1]}"
        clock = SystemClock()
        client = HttpDutyClient(address, clock)
        return await client.call(REPORT, "control-1", 1, clock.monotonic() + 5)

    assert run(main) is CallOutcome.UNREACHED
