"""Break streams off whose engines go on with the run; see what goes on beside it."""

import eliot

from tests.southernveil.test_framing import ONCE_ROUTE, resume, run, start_forwarder
from tests.southernveil.test_not_run import PROMPT, make_pair, make_request


def test_a_resend_names_the_engine_before_and_how_long_its_caller_got_nothing() -> None:
    async def check() -> None:
        caller, runners = make_pair(resume(b"\n"))
        lines: list[dict[str, object]] = []
        async with start_forwarder(ONCE_ROUTE, *runners) as forwarder:
            eliot.add_destinations(lines.append)
            try:
                await forwarder.serve(make_request(prompt=PROMPT), caller)
            finally:
                eliot.remove_destination(lines.append)
        (line,) = [x for x in lines if x.get("message_type") == "request-resent"]
        assert (line["previous"], line["runner"], line["after"]) == ("a", "b", "2")
        assert 0.0 < line["silent"] < 5.0

    run(check())
