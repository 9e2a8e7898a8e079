"""Test which workspace a request is given, and how that changes its context."""

import asyncio
from dataclasses import replace

import pytest

from hawthornshelf.gateway.exchange import Attempt, Header, InboundRequest, Prompt
from hawthornshelf.gateway.identification import (
    CallerKnown,
    CallerUnknown,
    identify_caller,
)
from hawthornshelf.gateway.identity import digest_request
from hawthornshelf.workspaces import Workspace, WorkspaceIndex, digest_key
from tests.gateway.fakes import CLOCK, TABLE, Caller, Fleet, make_inbound, ok

SECRET = "secret-1"
ROUTE = TABLE.routes[0]
ANONYMOUS_ROUTE = ROUTE._replace(allows_anonymous=True)
INDEX = WorkspaceIndex(
    [
        Workspace("acme", frozenset({digest_key(SECRET), digest_key("other")}), 0),
        Workspace("beta", frozenset({digest_key("secret-2")})),
    ]
)


def make(key: str, credential: str | None = None) -> InboundRequest:
    inbound = make_inbound("/safe/x")
    credential = f"Bearer {key}" if credential is None else credential
    headers = (Header("Authorization", credential),)
    return replace(inbound, caller=credential, key=key, headers=headers)


def test_a_request_is_unchanged_where_no_workspaces_are_in_force() -> None:
    inbound = make(SECRET)
    assert identify_caller(None, ROUTE, inbound) == CallerKnown(inbound, ROUTE, None)


@pytest.mark.parametrize(
    ("key", "credential", "reason"),
    [
        ("", "", "the API key is missing"),
        ("", "Basic YTpi", "the credential is no API key"),
        ("wrong", None, "the API key is unknown"),
    ],
)
def test_a_request_without_a_known_key_is_refused_unless_its_route_is_anonymous(
    key: str, credential: str | None, reason: str
) -> None:
    inbound = make(key, credential)
    assert identify_caller(INDEX, ROUTE, inbound) == CallerUnknown(reason)
    assert identify_caller(WorkspaceIndex([]), ROUTE, inbound) == CallerUnknown(reason)
    caller = identify_caller(INDEX, ANONYMOUS_ROUTE, inbound)
    assert isinstance(caller, CallerKnown)
    assert (caller.workspace, caller.inbound.caller) == ("", "")
    assert caller.route == ANONYMOUS_ROUTE


@pytest.mark.parametrize("route", [ROUTE, ANONYMOUS_ROUTE])
def test_a_known_key_gives_its_workspace_and_the_priority_that_it_has(
    route: object,
) -> None:
    assert ROUTE.priority == 1
    for key, name, priority in ((SECRET, "acme", 0), ("secret-2", "beta", 1)):
        caller = identify_caller(INDEX, ROUTE, make(key))
        assert isinstance(caller, CallerKnown)
        assert (caller.workspace, caller.route.priority) == (name, priority)
        assert caller.route._replace(priority=1) == ROUTE


def test_the_digests_of_a_request_do_not_depend_on_its_key() -> None:
    """A digest is logged; with a key in it, guesses of the key could be checked."""
    callers = [identify_caller(INDEX, ROUTE, make(key)) for key in (SECRET, "other")]
    digests = [
        digest_request(caller.inbound)
        for caller in callers
        if isinstance(caller, CallerKnown)
    ]
    assert len(digests) == 2 and digests[0] == digests[1]


def test_neither_a_request_nor_an_attempt_shows_its_key_as_text() -> None:
    inbound = make(SECRET)
    caller = identify_caller(INDEX, ROUTE, inbound)
    assert isinstance(caller, CallerKnown)
    runner = Fleet([ok]).listed[0]
    attempt = Attempt(caller.inbound, runner, 1.0, 0, workspace="acme")
    assert SECRET not in repr((inbound, caller, attempt))
    assert attempt.inbound.key == "" and attempt.inbound.headers == inbound.headers


def serve(fleet: Fleet, inbound: InboundRequest) -> Caller:
    caller = Caller()
    asyncio.run(fleet.forwarder.serve(inbound, caller))
    return caller


def make_fleet(*replies: object) -> Fleet:
    fleet = Fleet(list(replies) or [ok])  # type: ignore[arg-type]
    workspaces = tuple(INDEX._by_digest.values())
    fleet.forwarder.load(TABLE._replace(workspaces=tuple(dict.fromkeys(workspaces))))
    return fleet


def test_an_attempt_names_the_workspace_and_has_its_priority() -> None:
    prompt = Prompt(100, 10)
    for key, name, priority in ((SECRET, "acme", 0), ("secret-2", "beta", 1)):
        fleet = make_fleet()
        inbound = replace(make(key), target="/talk/x", prompt=prompt)
        assert serve(fleet, inbound).status == 200
        assert [(a.workspace, a.priority) for a in fleet.sent] == [(name, priority)]


def test_an_attempt_names_no_workspace_where_none_are_in_force() -> None:
    fleet = Fleet([ok])
    assert serve(fleet, make(SECRET)).status == 200
    assert fleet.sent[0].workspace is None
    assert fleet.sent[0].inbound.caller == f"Bearer {SECRET}"


def test_a_refused_caller_gets_401_without_a_time_to_retry() -> None:
    fleet = make_fleet()
    caller = serve(fleet, make("wrong"))
    assert (caller.status, caller.retry_after) == (401, 0.0)
    assert "wrong" not in caller.reason
    assert fleet.sent == [] and fleet.forwarder.unknown_callers == 1


def test_a_route_that_does_not_exist_is_404_with_and_without_a_key() -> None:
    for key in (SECRET, "wrong", ""):
        caller = serve(make_fleet(), replace(make(key), target="/none/x"))
        assert caller.status == 404


def test_a_node_without_a_route_document_answers_503_and_never_401() -> None:
    fleet = make_fleet()
    fleet.forwarder.load(TABLE._replace(number=None))
    assert serve(fleet, make("wrong")).status == 503


def test_a_node_that_knows_of_a_newer_document_never_answers_401_by_its_own() -> None:
    fleet = make_fleet()
    fleet.forwarder._routes.learn(TABLE.number + 1, "peer")
    deadline = CLOCK.monotonic() + 0.1
    caller = serve(fleet, replace(make("added"), deadline=deadline))
    assert caller.status == 503
