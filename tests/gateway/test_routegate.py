"""Test which route document may be applied to a request."""

import asyncio
from dataclasses import replace

import pytest

from hawthornshelf.gateway.routegate import RouteDecision, RouteGate, decide_routes
from tests.gateway.fakes import CLOCK, make_inbound


@pytest.mark.parametrize(
    ("held", "floor", "relayed", "decision"),
    [
        (4, None, None, RouteDecision.APPLY),
        (4, 4, None, RouteDecision.APPLY),
        (4, 5, None, RouteDecision.WAIT),
        (4, None, 4, RouteDecision.APPLY),
        (4, None, 5, RouteDecision.WAIT),
        (5, None, 4, RouteDecision.REFUSE),
        (0, None, None, RouteDecision.APPLY),
        (1, None, 0, RouteDecision.REFUSE),
        (-1, 0, None, RouteDecision.WAIT),
        (-1, None, 0, RouteDecision.WAIT),
        (None, None, None, RouteDecision.WAIT),
        (5, 6, 4, RouteDecision.REFUSE),
        (4, 5, 4, RouteDecision.WAIT),
    ],
)
def test_no_document_is_applied_that_is_older_than_one_known_to_be_in_force(
    held: int | None, floor: int | None, relayed: int | None, decision: RouteDecision
) -> None:
    assert decide_routes(held, floor, relayed) is decision


def test_a_request_waits_for_the_document_that_another_node_told_of() -> None:
    async def check() -> None:
        asked: list[str] = []
        gate = RouteGate(CLOCK, asked.append)
        gate.load(4)
        gate.learn(5, "peer")
        admission = asyncio.create_task(gate.admit(make_inbound("/safe/x")))
        await asyncio.sleep(0)
        assert asked[0] == "peer" and not admission.done()
        gate.load(5)
        assert await admission

    asyncio.run(check())


def test_a_request_for_a_document_that_never_comes_is_refused_in_time() -> None:
    async def check() -> None:
        gate = RouteGate(CLOCK, lambda node: None)
        gate.load(4)
        inbound = make_inbound("/safe/x", seconds=0.1)
        assert not await gate.admit(replace(inbound, relayed_routes=5))

    asyncio.run(check())


def test_an_older_document_of_another_node_lowers_nothing() -> None:
    asked: list[str] = []
    gate = RouteGate(CLOCK, asked.append)
    gate.load(4)
    gate.learn(3, "peer")
    assert gate.newest == 4 and asked == []
