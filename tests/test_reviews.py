"""Check declarations before they are sent, by the function and by the command."""

import contextlib
import json
import subprocess
import threading
from collections.abc import Iterator
from datetime import timedelta
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import msgspec
import pytest

from hawthornshelf.configuration import (
    CallRule,
    Configuration,
    Deployment,
    EngineService,
    Model,
    Objective,
    PlainService,
    Runner,
    WorkClass,
)
from hawthornshelf.declarations import load_declaration
from hawthornshelf.reviews import Finding, FindingKind, review_configuration
from hawthornshelf.status import ConfigurationReport
from tests.fleet import ROOT
from tests.test_cli import run_command

EXAMPLE = ROOT / "examples" / "bamboo_lantern.py"
SOUND = load_declaration(EXAMPLE).deployments[0]
UNREACHABLE = "127.0.0.1:1"


def review(**changes: object) -> tuple[Finding, ...]:
    """Review the example with some of its deployment's fields replaced."""
    deployment = SOUND._replace(**changes)  # type: ignore[arg-type]
    return review_configuration(Configuration((deployment,)))


def make_rules(*rules: tuple[str, str, bool]) -> tuple[PlainService, ...]:
    calls = tuple(CallRule(*rule) for rule in rules)
    return (SOUND.services[0]._replace(calls=calls),)


@pytest.mark.parametrize("name", ["bamboo_lantern", "southern_veil"])
def test_a_sound_declaration_is_doubted(name: str) -> None:
    path = ROOT / "examples" / f"{name}.py"
    assert review_configuration(load_declaration(path)) == ()


def test_a_call_rule_that_an_earlier_one_covers_is_passed_over() -> None:
    (covered,) = review(
        services=make_rules(("GET", "/", True), ("GET", "/schedule", True))
    )
    assert covered.kind is FindingKind.UNMATCHED
    assert covered.path == "deployment lantern-calls.lantern-app.call GET /schedule"
    assert "call GET / comes first" in covered.reason
    (opposed,) = review(
        services=make_rules(("POST", "/book", False), ("POST", "/bookings", True))
    )
    assert opposed.kind is FindingKind.CONTRADICTION
    assert "at most once" in opposed.reason


def test_a_call_rule_that_still_matches_is_doubted() -> None:
    assert not review(
        services=make_rules(
            ("GET", "/schedule", True), ("GET", "/", True), ("POST", "/", False)
        )
    )


def test_a_name_that_goes_to_another_services_engines_is_passed_over() -> None:
    (first,) = SOUND.engines
    runner = Runner("other", "127.0.0.1:9999", "dc")
    second = EngineService(
        "second", Model("lantern-chat", "1", ("new", "care-history")), (runner,)
    )
    findings = review(engines=(first, second))
    assert [finding.kind for finding in findings] == [FindingKind.UNMATCHED] * 2
    assert "requests for lantern-chat go to lantern-llm" in findings[0].reason
    assert "care-history" in findings[1].reason


def test_a_service_without_runners_or_with_those_of_others_is_passed_over() -> None:
    (app,) = SOUND.services
    (empty,) = review(services=(app, PlainService("nobody", ())))
    assert empty.kind is FindingKind.UNMATCHED and "nobody" in empty.path
    twin = app.runners[0]._replace(name="twin")
    (shared,) = review(services=(app, PlainService("shared", (twin,))))
    assert shared.kind is FindingKind.CONTRADICTION
    assert "lantern-app-0" in shared.reason and "twin" in shared.path


def seconds(count: float) -> timedelta:
    return timedelta(seconds=count)


def test_an_objective_beyond_the_deadline_of_its_work_is_passed_over() -> None:
    objectives = (Objective("visit", 0.99, seconds(11)),)
    (late,) = review(objectives=objectives)
    assert late.kind is FindingKind.CONTRADICTION
    assert "11 s is over the deadline of 10 s" in late.reason
    assert not review(objectives=(Objective("visit", 0.99, seconds(10)),))


@pytest.mark.parametrize("is_reversed", [False, True])
def test_an_objective_that_another_implies_is_passed_over(is_reversed: bool) -> None:
    strict = Objective("visit", 0.99, seconds(2))
    lax = Objective("visit", 0.95, seconds(5))
    objectives = (lax, strict) if is_reversed else (strict, lax)
    (implied,) = review(objectives=objectives)
    assert implied.kind is FindingKind.CONTRADICTION
    assert implied.reason.startswith("95.0000% within 5 s")
    assert len(review(objectives=(strict, strict))) == 1


def test_objectives_that_limit_different_things_are_doubted() -> None:
    other_work = Objective("next-line", 0.9, seconds(2))
    slowest = Objective("visit", 0.999, seconds(5))
    most = Objective("visit", 0.95, seconds(1))
    assert not review(objectives=(other_work, slowest, most))


def test_a_declaration_with_errors_is_not_reviewed() -> None:
    work = WorkClass("visit", urgent=True, deadline=seconds(0))
    objective = Objective("unknown", 2.0, seconds(2))
    deployment = Deployment("d", "r", (), work=(work,), objectives=(objective,))
    assert review_configuration(Configuration((deployment,))) == ()
    empty = deployment._replace(services=(PlainService("app", ()),))
    assert len(review_configuration(Configuration((empty,)))) == 1


# The command


def write_declaration(folder: Path, *changes: tuple[str, str]) -> Path:
    """Write the example with some of its text replaced."""
    text = EXAMPLE.read_text()
    for old, new in changes:
        assert old in text
        text = text.replace(old, new)
    path = folder / "mine.py"
    path.write_text(text)
    return path


def check(path: Path, *options: str) -> subprocess.CompletedProcess[str]:
    return run_command("config", "check", str(path), *options)


@contextlib.contextmanager
def serve_configuration(version: int) -> Iterator[str]:
    """Answer as a node that has the example in force; return its address."""
    report = ConfigurationReport(version, load_declaration(EXAMPLE), ())
    body = msgspec.json.encode(report)

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *arguments: object) -> None:
            """Print nothing."""

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    try:
        yield f"127.0.0.1:{server.server_port}"
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def test_a_sound_file_exits_with_another_code_than_0(tmp_path: Path) -> None:
    process = check(write_declaration(tmp_path))
    assert (process.returncode, process.stderr) == (0, "")
    assert process.stdout.startswith("no errors")


def test_findings_exit_with_0(tmp_path: Path) -> None:
    path = write_declaration(
        tmp_path, ("timedelta(seconds=5)", "timedelta(seconds=50)")
    )
    process = check(path)
    assert (process.returncode, process.stderr) == (1, "")
    assert "objective visit: contradicts: latency 50 s" in process.stdout
    (finding,) = json.loads(check(path, "--json").stdout)["findings"]
    assert finding["kind"] == "contradicts"
    assert finding["path"] == "deployment lantern-calls.objective visit"


def test_errors_hide_findings_or_each_other(tmp_path: Path) -> None:
    path = write_declaration(
        tmp_path,
        ("timedelta(seconds=5)", "timedelta(seconds=50)"),
        ("0.999", "1.5"),
        ("slots=32", "slots=0"),
    )
    process = check(path, "--at", UNREACHABLE)
    assert process.returncode == 2
    assert process.stderr.count("error: ") == 4
    assert "contradicts: latency 50 s" in process.stdout
    assert "no errors" not in process.stdout


def test_a_file_that_defines_nothing_is_checked(tmp_path: Path) -> None:
    path = tmp_path / "none.py"
    path.write_text("x = 1")
    process = check(path)
    assert process.returncode == 2 and "none.py" in process.stderr


def test_an_unreachable_node_hides_the_findings(tmp_path: Path) -> None:
    path = write_declaration(
        tmp_path, ("timedelta(seconds=5)", "timedelta(seconds=50)")
    )
    process = check(path, "--at", UNREACHABLE)
    assert process.returncode == 3
    assert UNREACHABLE in process.stderr
    assert "contradicts" in process.stdout


def test_a_check_with_nodes_leaves_out_what_differs(tmp_path: Path) -> None:
    path = write_declaration(tmp_path, ("2026.11", "2026.12"))
    with serve_configuration(7) as address:
        same = check(EXAMPLE, "--at", address)
        changed = check(path, "--at", address)
        data = json.loads(check(path, "--at", address, "--json").stdout)
    assert same.returncode == 0
    assert "no difference from version 7" in same.stdout
    assert changed.returncode == 0
    assert "differs from version 7" in changed.stdout
    assert "+    model lantern-chat version 2026.12" in changed.stdout
    assert data["version"] == 7 and "2026.12" in data["diff"]
    assert data["errors"] == data["findings"] == []
