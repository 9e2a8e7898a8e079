import json
import subprocess
import sys
from pathlib import Path

from hawthornshelf.explain import describe_trace, explain_request, parse_line

HEAD = "time=2026-05-15T04:15:54.873+00:00 level=info"
REFUSED = [
    f"  2.7 a-1 {HEAD} event=routes-in-force number=9 routes=16 node=a-1",
    f"  2.8 a-2 {HEAD} event=routes-in-force number=9 routes=16 node=a-2",
    f"  3.1 a-1 {HEAD} event=request-ended request=other outcome=complete node=a-1",
    f"  5.2 a-1 {HEAD} event=request-ended request=7fc6 route=r-8ydv outcome=refused "
    'status=503 runner="" reader=i-998a late=True sends=0 waited=0.0 seconds=1.9098 '
    'first=0.0 budget=1.91 routes=9 reason="deadline passed" node=a-1',
]
CUT = [
    f"{HEAD} event=attempt-failed request=d85e runner=i-998a step=connect "
    "reason=\"ConnectionTimeoutError('no answer')\" sent=False attempt=0 node=b-1",
    f'{HEAD} event=attempt-failed request=d85e runner=i-d201 step="read answer" '
    'reason="ClientPayloadError(\\"broke off\\")" sent=True attempt=1 node=b-1',
    f"{HEAD} event=request-ended request=d85e outcome=cut status=0 runner=i-d201 "
    'seconds=0.8319 reason="read answer: broke off" node=b-1',
]
SLOW = [
    f"{HEAD} event=attempt-failed request=630b runner=i-998a step=connect "
    'reason="no answer" sent=False attempt=0 node=b-2',
    f"{HEAD} event=request-ended request=630b outcome=complete status=200 "
    "runner=i-bf28 seconds=1.4095 first=1.4094 pause=0.0 node=b-2",
]


def test_a_request_of_an_unknown_caller_is_shown_with_the_reason() -> None:
    line = (
        f"{HEAD} event=request-refused request=5b1d status=401 "
        'reason="the API key is unknown" routes=9 routes_age=41.2 node=a-1'
    )
    trace = explain_request("5b1d", [line])
    assert trace.conclusion == "refused at a-1 with 401: the API key is unknown"


def test_a_refused_request_is_shown_with_the_events_of_its_node() -> None:
    trace = explain_request("7fc6", REFUSED)
    assert trace.conclusion == (
        "refused at a-1 after 1.9098 s, not run: it could not meet its target, "
        "and i-998a did not start it (deadline passed)"
    )
    assert [row.node for row in trace.node_events] == ["a-1"]
    assert len(trace.steps) == 1


def test_a_cut_request_names_the_runner_and_each_step_before() -> None:
    trace = explain_request("d85e", CUT)
    assert trace.conclusion == (
        "cut at b-1 at i-d201 after 0.8319 s: read answer: broke off"
    )
    assert [row.fields["runner"] for row in trace.steps][:2] == ["i-998a", "i-d201"]


def test_a_slow_request_shows_its_failed_attempt_and_time_to_first_chunk() -> None:
    trace = explain_request("630b", SLOW)
    assert "first chunk after 1.4094 s" in trace.conclusion
    assert trace.steps[0].fields["step"] == "connect"


def test_requests_that_differ_in_their_query_are_found_by_their_resource() -> None:
    failed = "event=attempt-failed step=send reason=reset sent=True resource=5eed"
    lines = [
        f"{HEAD} {failed} content=c1 request=r1 runner=i-1 boot=17 node=a-1",
        f"{HEAD} {failed} content=c2 request=r2 runner=i-2 boot=4 node=a-2",
        f"{HEAD} event=request-ended request=r3 outcome=complete node=a-2",
    ]
    trace = explain_request("5eed", lines)
    assert trace.conclusion.startswith("2 requests with this content, resource or part")
    assert [row.fields["content"] for row in trace.steps] == ["c1", "c2"]


def test_the_attempts_of_one_content_are_found_under_all_request_ids() -> None:
    failed = "event=attempt-failed step=send reason=reset sent=True content=c0ffee"
    lines = [
        f"{HEAD} {failed} request=r1 runner=i-1 boot=17 node=a-1",
        f"{HEAD} {failed} request=r2 runner=i-2 boot=18 node=b-1",
        f"{HEAD} {failed} request=r2 runner=i-3 boot=19 node=b-1",
    ]
    trace = explain_request("c0ffee", lines)
    assert trace.conclusion == (
        "2 requests with this content, resource or part at 2 nodes: "
        "3 attempts broke after they were sent, "
        "at i-1 (boot 17), i-2 (boot 18), i-3 (boot 19)"
    )


def test_the_attempts_with_one_part_are_found_under_all_contents() -> None:
    failed = "event=attempt-failed step=send reason=reset sent=True"
    lines = [
        f"{HEAD} {failed} request=r1 content=c1 parts=5c1e,dead runner=i-1 boot=17",
        f"{HEAD} {failed} request=r2 content=c2 parts=dead runner=i-2 boot=18",
        f"{HEAD} {failed} request=r3 content=c3 parts=5c1e,dead1 runner=i-3 boot=19",
        f"{HEAD} event=request-blocked request=r4 content=c4 parts=5c1e,dead",
    ]
    trace = explain_request("dead", lines)
    assert [row.fields["request"] for row in trace.steps] == ["r1", "r2", "r4"]
    assert trace.conclusion == (
        "3 requests with this content, resource or part at 1 nodes: "
        "2 attempts broke after they were sent, "
        "at i-1 (boot 17), i-2 (boot 18); 1 were not sent"
    )


def test_a_quarantined_request_is_shown_with_the_crashes_that_count() -> None:
    lines = [
        f"{HEAD} event=request-blocked request=r9 content=c0ffee outcome=quarantined "
        "crashes=i-1/17,i-2/18,i-3/19 confirmed=3 retry_after=588.2 node=a-1",
        f"{HEAD} event=request-ended request=r9 outcome=quarantined status=503 "
        'seconds=0.0004 reason="quarantined: in flight when 3 runners crashed" '
        "node=a-1",
    ]
    assert explain_request("r9", lines).conclusion == (
        "quarantined at a-1 after 0.0004 s: it was in flight when these runners "
        "crashed: i-1/17,i-2/18,i-3/19 (quarantined: in flight when 3 runners crashed)"
    )


def test_an_unknown_request_and_one_without_an_outcome_differ() -> None:
    assert "no log line names this request" in explain_request("none", SLOW).conclusion
    assert "no outcome at b-2" in explain_request("630b", SLOW[:1]).conclusion


def test_lines_of_other_programs_are_ignored() -> None:
    assert parse_line("a line of another program") is None
    assert parse_line('time=1 event="unclosed') is None
    assert parse_line("") is None


def test_steps_keep_the_order_of_the_log_whatever_their_timestamps() -> None:
    swapped = [CUT[0].replace("04:15:54", "09:00:00"), *CUT[1:]]
    trace = explain_request("d85e", swapped)
    assert [row.position for row in trace.steps] == [1, 2, 3]


def test_the_command_reads_files_and_exits_with_1_for_an_unknown_request(
    tmp_path: Path,
) -> None:
    log = tmp_path / "b.log"
    log.write_text("\n".join(CUT))

    def run(request: str, *options: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-m", "hawthornshelf", "explain", request, str(log)]
        return subprocess.run([*command, *options], capture_output=True, text=True)

    assert describe_trace(explain_request("d85e", CUT)) in run("d85e").stdout
    assert json.loads(run("d85e", "--json").stdout)[0] == "d85e"
    assert run("none").returncode == 1
