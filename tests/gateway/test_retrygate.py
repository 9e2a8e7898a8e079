"""Test that a retry is reserved before a run is given up for it."""

import random

from hawthornshelf.gateway.budget import RetryBudget, RetryLimits
from hawthornshelf.gateway.context import RequestContext
from hawthornshelf.gateway.recorder import Recorder
from hawthornshelf.gateway.retrygate import RetryGate
from hawthornshelf.gateway.runners import RunnerTable
from hawthornshelf.metrics import Metrics
from tests.gateway.fakes import TABLE, Caller, make_inbound
from tests.gateway.load import VirtualClock

SLACK = 5.0
ALLOWED = 3
"""Sends that a node alone has of the slack."""


def make_gate() -> tuple[RetryGate, RetryBudget, VirtualClock]:
    clock = VirtualClock()
    runners = RunnerTable("dc", random.Random(1))
    budget = RetryBudget(RetryLimits(0.0, SLACK, 10.0))
    recorder = Recorder(runners, Metrics(), clock)
    return RetryGate(budget, lambda: 1, runners, recorder, clock), budget, clock


def make_context(service: str = "app") -> RequestContext:
    route = TABLE.routes[0]
    return RequestContext(make_inbound("/safe/x"), route, 1, service, Caller(), 5, 1)


def test_a_reserved_send_is_counted_twice() -> None:
    gate, _, _ = make_gate()
    contexts = [make_context() for _ in range(ALLOWED)]
    assert all(gate.reserve(context) for context in contexts)
    assert not gate.reserve(make_context())
    assert all(gate.reserve(context) for context in contexts)
    for context in contexts:
        assert gate.may_spend(context)
        gate.spend(context)
    assert not gate.may_spend(contexts[0])


def test_a_reserved_send_that_does_not_take_place_is_lost() -> None:
    gate, _, clock = make_gate()
    contexts = [make_context() for _ in range(ALLOWED)]
    for context in contexts:
        gate.reserve(context)
        clock.seconds += 1.0
    gate.release(contexts[0])
    gate.release(contexts[0])
    assert gate.reserve(make_context())
    assert not gate.reserve(make_context())


def test_a_send_reserved_for_one_service_is_taken_for_another() -> None:
    gate, budget, clock = make_gate()
    context = make_context()
    gate.reserve(context)
    context.service = "other"
    gate.spend(context)
    gate.release(context)
    assert budget.may_spend(clock.monotonic(), "app", 2)
