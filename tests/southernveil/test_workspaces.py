"""Check over real sockets that callers' API keys stay at the nodes."""

import asyncio
import contextlib
import dataclasses
import json
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

import aiohttp
import eliot
import pytest
from multidict import CIMultiDict
from southernveil.headers import RELAY_HEADER, ROUTES_HEADER

from hawthornshelf.gateway.exchange import Header
from hawthornshelf.gateway.forwarder import Forwarder
from hawthornshelf.gateway.routes import RetryPolicy, Route, RouteTable
from hawthornshelf.workspaces import Workspace, digest_key
from tests.gateway.fakes import Caller
from tests.southernveil.fakes import make_manifest
from tests.southernveil.test_framing import (
    STREAM_ROUTE,
    RawRunner,
    Script,
    describe_service,
    make_inbound,
    make_route,
    make_stream,
    run,
    start_forwarder,
)
from tests.southernveil.test_path import (
    HOST,
    LONG,
    POLL_SECONDS,
    SHORT,
    Fleet,
    run_scenario,
)
from tests.southernveil.test_relay import (
    LostRunner,
    RecordingRunner,
    plain,
    serve_callers,
)

SECRETS = ("secret-acme-1", "secret-acme-2", "secret-beta")
ACME = {"Name": "acme", "ApiKeys": [*SECRETS[:2], SECRETS[0]], "Priority": 0}
BETA = {"Name": "beta", "ApiKeys": [SECRETS[2]]}
BEARER = {"Authorization": f"Bearer {SECRETS[0]}"}
SAFE_ROUTE = make_route(RetryPolicy.SAFE)


def make_workspace_manifest(
    version: int = 5, tenants: object = (ACME, BETA), **changes: object
) -> dict[str, object]:
    return make_manifest(version, Tenants=tenants, **changes)


def allow_anonymous(prefix: str) -> list[dict[str, object]]:
    routes = make_manifest()["Routes"]
    assert isinstance(routes, list)
    return [{**r, "AllowAnonymous": r["PathPrefix"] == prefix} for r in routes]


@dataclasses.dataclass
class Answer:
    """Represent an answer as a caller gets it."""

    status: int
    body: bytes
    headers: CIMultiDict[str]


async def ask(fleet: Fleet, path: str, *headers: tuple[str, str]) -> Answer:
    """Send a request with exactly the given headers, which a client would merge."""
    pairs = (
        ("Host", HOST),
        ("X-Request-Id", f"id-{path}"),
        ("X-Deadline-Ms", "3000"),
        *headers,
        ("Content-Length", "2"),
        ("Connection", "close"),
    )
    lines = [f"POST {path} HTTP/1.1", *(": ".join(pair) for pair in pairs), "", "in"]
    host, _, port = fleet.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write("\r\n".join(lines).encode())
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    status, *fields = head.decode().split("\r\n")
    received = CIMultiDict(tuple(field.split(": ", 1)) for field in fields)
    return Answer(int(status.split()[1]), body, received)


async def replace(fleet: Fleet, manifest: dict[str, object]) -> None:
    """Replace the document, and wait until the entry node holds it."""
    assert await fleet.replace(manifest) == 200
    while fleet.entry.node.forwarder.route_number != manifest["Version"]:
        await asyncio.sleep(POLL_SECONDS)


def run_workspaces(
    folder: Path, scenario: Callable[[Fleet], Awaitable[None]], **changes: object
) -> None:
    async def with_workspaces(fleet: Fleet) -> None:
        await replace(fleet, make_workspace_manifest(**changes))  # type: ignore[arg-type]
        await scenario(fleet)

    run_scenario(folder, with_workspaces)


def heads(fleet: Fleet) -> list[tuple[tuple[str, str], ...]]:
    """Return the headers of all calls that runners got, in their order."""
    runners = (fleet.app, fleet.prefiller, *fleet.decoders)
    return [head for runner in runners for head in runner.heads]


def find(head: tuple[tuple[str, str], ...], name: str) -> list[str]:
    return [value for key, value in head if key.lower() == name.lower()]


def requests_for(fleet: Fleet, path: str) -> list[tuple[tuple[str, str], ...]]:
    return [head for head in heads(fleet) if find(head, "X-Request-Id") == [path]]


def assert_no_key(fleet: Fleet) -> None:
    text = repr(heads(fleet))
    assert not [secret for secret in SECRETS if secret in text]
    assert "uthorization" not in text


@contextlib.contextmanager
def capture_log() -> Iterator[list[str]]:
    lines: list[str] = []

    def add(message: object) -> None:
        lines.append(repr(message))

    eliot.add_destinations(add)
    lines.clear()  # the first destination gets what was logged before
    try:
        yield lines
    finally:
        eliot.remove_destination(add)


TWICE = (("X-Tenant", "beta"), ("X-Tenant", "gamma"))
FORGED = (*TWICE, ("x-tenant", "gamma"), ("X-TENANT", "beta"), ("X-Tenant", "acme"))


@pytest.mark.parametrize(
    ("path", "prompt", "sends"),
    [
        ("/safe/x", {}, 1),
        ("/unsafe/x", {}, 1),
        ("/t/x", SHORT, 1),
        ("/read/x", LONG, 2),
        ("/t/breaks", SHORT, 2),
        ("/read/breaks", SHORT, 2),
    ],
    ids=["safe", "unsafe", "stream", "prefill", "resumed", "from-a-copy"],
)
def test_runners_get_the_name_of_the_workspace_and_never_its_key(
    tmp_path: Path, path: str, prompt: dict[str, str], sends: int
) -> None:
    async def scenario(fleet: Fleet) -> None:
        for decoder in fleet.decoders:
            decoder.copies.add(f"{decoder.address}/id-{path}")
        answer = await ask(fleet, path, *prompt.items(), *BEARER.items(), *FORGED)
        assert answer.status == 200
        received = requests_for(fleet, f"id-{path}")
        assert len(received) == sends
        assert [find(head, "X-Tenant") for head in received] == [["acme"]] * sends
        assert_no_key(fleet)
        if prompt:
            stages = [find(head, "X-Stage") for head in received]
            assert (["prefill"] in stages) == (prompt is LONG)

    run_workspaces(tmp_path, scenario)


@pytest.mark.parametrize(
    "credential",
    [
        f"Bearer {SECRETS[0]}",
        f"bearer {SECRETS[1]}",
        f"BEARER   {SECRETS[0]}",
        f"bEaReR {SECRETS[2]}",
    ],
)
def test_a_known_key_is_accepted_in_any_spelling_of_the_scheme(
    tmp_path: Path, credential: str
) -> None:
    async def scenario(fleet: Fleet) -> None:
        answer = await ask(fleet, "/safe/x", ("authorization", credential))
        assert answer.status == 200
        name = "beta" if SECRETS[2] in credential else "acme"
        assert find(requests_for(fleet, "id-/safe/x")[0], "X-Tenant") == [name]

    run_workspaces(tmp_path, scenario)


WRONG_CREDENTIALS = (
    (),
    (("X-Tenant", "acme"),),
    (("Authorization", ""),),
    (("Authorization", "Bearer"),),
    (("Authorization", "Bearer "),),
    (("Authorization", SECRETS[0]),),
    (("Authorization", f"Basic {SECRETS[0]}"),),
    (("Authorization", f"Bearer {SECRETS[0].upper()}"),),
    (("Authorization", f"Bearer {SECRETS[0]}x"),),
    (("Authorization", f"Bearer {SECRETS[0]},{SECRETS[1]}"),),
    (("Authorization", f"Bearer\t{SECRETS[0]}"),),
    (("Authorization", f"Bearer {digest_key(SECRETS[0]).hex()}"),),
    (("Proxy-Authorization", f"Bearer {SECRETS[0]}"),),
)


def test_callers_without_a_known_key_get_401_and_404_for_what_is_no_route(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: Fleet) -> None:
        for headers in WRONG_CREDENTIALS:
            answer = await ask(fleet, "/safe/x", *headers)
            assert answer.status == 401, headers
            assert "Retry-After" not in answer.headers
            assert answer.headers["WWW-Authenticate"] == "Bearer"
            assert answer.headers["X-Request-Id"] == "id-/safe/x"
            assert b"secret" not in answer.body.lower()
            assert (await ask(fleet, "/gone/x", *headers)).status == 404
        assert (await ask(fleet, "/gone/x", *BEARER.items())).status == 404
        assert requests_for(fleet, "id-/safe/x") == []
        metrics = await fleet.get(fleet.ready_address, "/metrics")
        assert b"unknown_callers 13" in metrics[1]

    run_workspaces(tmp_path, scenario)


def test_an_empty_list_of_workspaces_admits_anonymous_routes_only(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: Fleet) -> None:
        for headers in ((), tuple(BEARER.items())):
            assert (await ask(fleet, "/unsafe/x", *headers)).status == 401
            assert (await ask(fleet, "/safe/x", *headers)).status == 200
        assert_no_key(fleet)

    run_workspaces(tmp_path, scenario, tenants=[], Routes=allow_anonymous("/safe/"))


def test_an_anonymous_route_names_the_workspace_of_a_known_key_only(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: Fleet) -> None:
        for headers in WRONG_CREDENTIALS:
            assert (await ask(fleet, "/safe/x", *headers, *FORGED)).status == 200
        received = requests_for(fleet, "id-/safe/x")
        assert len(received) == len(WRONG_CREDENTIALS)
        assert not any(find(head, "X-Tenant") for head in received)
        assert (await ask(fleet, "/safe/x", *BEARER.items(), *FORGED)).status == 200
        assert find(requests_for(fleet, "id-/safe/x")[-1], "X-Tenant") == ["acme"]
        assert (await ask(fleet, "/unsafe/x")).status == 401
        assert_no_key(fleet)

    run_workspaces(tmp_path, scenario, Routes=allow_anonymous("/safe/"))


def test_engines_get_the_priority_of_the_workspace_in_place_of_the_routes(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: Fleet) -> None:
        for secret, priority in ((SECRETS[0], "0"), (SECRETS[2], "1")):
            bearer = ("Authorization", f"Bearer {secret}")
            assert (await ask(fleet, "/t/x", *SHORT.items(), bearer)).status == 200
            last = requests_for(fleet, "id-/t/x")
            assert [find(h, "X-Request-Priority") for h in last] == [[priority]]
            for decoder in fleet.decoders:
                decoder.heads.clear()

    run_workspaces(tmp_path, scenario)


class KeptConnection:
    """Send requests one after the other on one connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def ask(self, secret: str) -> int:
        lines = (
            "POST /safe/x HTTP/1.1",
            f"Host: {HOST}",
            "X-Request-Id: kept",
            f"Authorization: Bearer {secret}",
            "Content-Length: 0",
        )
        self._writer.write("\r\n".join((*lines, "", "")).encode())
        head = await self._reader.readuntil(b"\r\n\r\n")
        length = head.lower().partition(b"content-length: ")[2].split()[0]
        await self._reader.readexactly(int(length))
        return int(head.split()[1])


def test_a_new_document_applies_to_the_next_request_on_an_open_connection(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: Fleet) -> None:
        host, _, port = fleet.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        connection = KeptConnection(reader, writer)
        kept = KeptConnection(*await asyncio.open_connection(host, int(port)))
        is_over = asyncio.Event()
        statuses: set[int] = set()

        async def use_kept_key() -> None:
            while not is_over.is_set():
                statuses.add(await kept.ask(SECRETS[2]))

        use = asyncio.create_task(use_kept_key())
        assert await connection.ask(SECRETS[0]) == 200
        for version, keys in enumerate(
            ([], [SECRETS[0]], [SECRETS[1]], SECRETS[:2]), 6
        ):
            tenants = [BETA, {"Name": "acme", "ApiKeys": list(keys)}]
            await replace(fleet, make_workspace_manifest(version, tenants))
            for secret in SECRETS[:2]:
                status = await connection.ask(secret)
                assert status == (200 if secret in keys else 401)
        await replace(fleet, make_workspace_manifest(20, [BETA]))
        assert await connection.ask(SECRETS[0]) == 401
        await replace(fleet, make_manifest(21))
        assert await connection.ask("anything") == 200
        is_over.set()
        await use
        assert statuses == {200}
        writer.close()
        kept._writer.close()

    run_workspaces(tmp_path, scenario)


def test_no_key_is_logged_or_named_in_an_answer_of_a_node(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        with capture_log() as lines:
            bodies = []
            answer = await ask(fleet, "/t/breaks", *SHORT.items(), *BEARER.items())
            bodies.append(answer.body)
            for secret in (*SECRETS, "secret-unknown"):
                bearer = ("Authorization", f"Bearer {secret}")
                for path, prompt in (
                    ("/safe/x", {}),
                    ("/gone/x", {}),
                    ("/t/x", SHORT),
                    ("/read/x", LONG),
                ):
                    answer = await ask(fleet, path, *prompt.items(), bearer)
                    bodies.append(answer.body)
            fleet.app.stop()
            for connection in list(fleet.app._protocol.connections):
                connection.force_close()
            for path in ("/safe/x", "/unsafe/x"):
                answer = await ask(fleet, path, *BEARER.items())
                assert answer.status in (502, 503)
                bodies.append(answer.body)
            for address in (fleet.ready_address, fleet.caller_address):
                bodies.append((await fleet.get(address, "/metrics"))[1])
        text = "".join(lines) + repr(bodies)
        assert "secret" not in text
        assert "'workspace': 'acme'" in text and "'status': 401" in text

    run_workspaces(tmp_path, scenario)


def test_a_head_that_is_no_http_is_logged_without_its_key(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        host, _, port = fleet.caller_address.rpartition(":")
        with capture_log() as lines:
            for line in (
                b"Authorization: Bearer secret\x01",
                b"Authorization Bearer secret",
                b"Authorization: Bearer " + b"secret" * 4000,
            ):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /safe/x HTTP/1.1\r\nHost: h\r\n%b\r\n\r\n" % line)
                assert b" 400 " in await reader.readuntil(b"\r\n")
                writer.close()
        assert "secret" not in "".join(lines)

    run_workspaces(tmp_path, scenario)


INVALID_TENANTS = (
    [ACME, {"Name": "other", "ApiKeys": [SECRETS[1]]}],
    [ACME, {**BETA, "Name": "acme"}],
    [{**ACME, "Name": ""}],
    [{**ACME, "Name": "a\r\nb"}],
    [{**ACME, "Priority": -1}],
    [{**ACME, "Priority": "high"}],
    [{**ACME, "ApiKeys": SECRETS[0]}],
    [{**ACME, "ApiKeys": [SECRETS[0], 7]}],
    [{"ApiKeys": list(SECRETS)}],
    [{"Name": SECRETS[0][:6]}],
    [SECRETS[0]],
    SECRETS[0],
    None,
)


def test_invalid_workspaces_are_refused_without_naming_a_key(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        url = f"http://{fleet.operator_address}/hawthornshelf/Config.Replace"
        bodies = [
            json.dumps(make_workspace_manifest(9, tenants)).encode()
            for tenants in INVALID_TENANTS
        ]
        whole = json.dumps(make_workspace_manifest(9)).encode()
        bodies += [whole[:-2], whole.replace(b"beta", b"\xff"), whole + b"secret"]
        with capture_log() as lines:
            for body in bodies:
                async with fleet.client.post(url, data=body) as response:
                    text = await response.text()
                    assert response.status == 400, body
                    assert "secret" not in text
        assert "secret" not in "".join(lines)
        assert fleet.entry.node.forwarder.route_number == 5
        both = [ACME, {**BETA, "Name": ""}, ACME]
        text = json.dumps(make_workspace_manifest(9, both))
        async with fleet.client.post(url, data=text) as response:
            faults = (await response.text()).split("; ")
        assert [fault.rpartition(": ")[2] for fault in faults] == [
            "the name is empty",
            "the name is that of workspaces[0]",
            "shares 2 keys with workspaces[0]",
        ]

    run_workspaces(tmp_path, scenario)


def test_a_document_with_keys_is_returned_byte_for_byte(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        body = json.dumps(make_workspace_manifest(6), indent=3).encode()
        url = f"http://{fleet.operator_address}/hawthornshelf/Config.Replace"
        async with fleet.client.post(url, data=body) as response:
            assert response.status == 200
        path = "/hawthornshelf/Config.Get"
        assert await fleet.get(fleet.operator_address, path) == (200, body)

    run_workspaces(tmp_path, scenario)


@pytest.mark.parametrize("path", ["/safe/x", "/t/x"])
def test_headers_pass_unchanged_without_workspaces(tmp_path: Path, path: str) -> None:
    async def scenario(fleet: Fleet) -> None:
        sent = (*BEARER.items(), *TWICE, ("X-Own", "1"))
        prompt = SHORT if path == "/t/x" else {}
        answer = await ask(fleet, path, *prompt.items(), *sent)
        assert answer.status == 200 and "WWW-Authenticate" not in answer.headers
        (head,) = requests_for(fleet, f"id-{path}")
        assert [pair for pair in head if pair in sent] == list(sent)
        assert (await ask(fleet, path, *prompt.items())).status == 200

    run_scenario(tmp_path, scenario)


WORKSPACES = (
    Workspace("acme", frozenset({digest_key(SECRETS[0])}), 0),
    Workspace("beta", frozenset({digest_key(SECRETS[2])})),
)


def load(forwarder: Forwarder, route: Route) -> None:
    spec = describe_service(route)
    forwarder.load(RouteTable(1, (route,), (spec,), workspaces=WORKSPACES))


async def relay(
    route: Route, runner: RawRunner, *headers: Header, key: str = ""
) -> Caller:
    """Ask a node that reaches no runner, beside one that does."""
    lost = [LostRunner(f"lost{number}", []) for number in range(3)]
    async with (
        start_forwarder(route, runner) as other,
        serve_callers(other) as peer,
        start_forwarder(route, *lost, peer=peer) as forwarder,
    ):
        load(other, route)
        load(forwarder, route)
        for listed in forwarder._runners.staying():
            await forwarder._prober.probe_reachability(listed)
        return await serve_relayed(forwarder, key, *headers)


async def serve_relayed(forwarder: Forwarder, key: str, *headers: Header) -> Caller:
    inbound = make_inbound()
    head = (Header("Host", "h"), *inbound.headers, *headers)
    caller = Caller()
    request = dataclasses.replace(inbound, headers=head, key=key)
    await forwarder.serve(request, caller)
    return caller


@pytest.mark.parametrize("route", [SAFE_ROUTE, STREAM_ROUTE])
def test_the_node_of_a_relay_names_the_workspace_and_keeps_the_key(
    route: Route,
) -> None:
    async def check() -> None:
        script = plain(b"whole") if route is SAFE_ROUTE else Script(make_stream(b"\n"))
        runner = RecordingRunner("a", [lambda after: script])
        credential = Header("Authorization", BEARER["Authorization"])
        forged = [Header(*pair) for pair in FORGED]
        caller = await relay(route, runner, credential, *forged, key=SECRETS[0])
        assert caller.status == 200
        (head,) = runner.heads
        assert head.lower().count(b"x-tenant:") == 1 and b"X-Tenant: acme" in head
        assert b"secret" not in head and b"uthorization" not in head

    run(check())


def test_a_node_never_trusts_the_workspace_that_a_relayed_request_names() -> None:
    async def check() -> None:
        runner = RecordingRunner("a", [])
        async with (
            start_forwarder(SAFE_ROUTE, runner) as other,
            serve_callers(other) as peer,
            aiohttp.ClientSession() as session,
        ):
            load(other, SAFE_ROUTE)
            headers = {
                "X-Request-Id": "r",
                "Host": "h",
                "X-Tenant": "acme",
                RELAY_HEADER: "0",
                ROUTES_HEADER: "1",
            }
            url = f"http://{peer.address}{make_inbound().target}"
            async with session.post(url, headers=headers) as response:
                assert response.status == 401
            assert runner.heads == []

    run(check())
