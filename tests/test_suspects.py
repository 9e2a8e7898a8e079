from hawthornshelf.commands import EndTrial, OpenTrial, ReportCrash
from hawthornshelf.crashes import CONFIRM_SECONDS, CrashDetector
from hawthornshelf.events import LoadReport, LoadReported
from hawthornshelf.suspects import SuspectTable


def trial(digest: str, upstream: str = "g0") -> OpenTrial:
    return OpenTrial(digest, upstream, "n", "1")


def test_one_crash_makes_a_suspect_and_two_a_quarantine() -> None:
    table = SuspectTable()
    table.report(ReportCrash("g0", "g0:1", ("p", "q")), 1)
    assert not any(row.quarantined for row in table.rows())
    table.report(ReportCrash("g1", "g1:1", ("p",)), 2)
    assert [row.digest for row in table.rows() if row.quarantined] == ["p"]


def test_one_crash_reported_by_many_nodes_counts_once() -> None:
    table = SuspectTable()
    for _ in range(5):
        table.report(ReportCrash("g0", "g0:1", ("p",)), 1)
    assert not table.rows()[0].quarantined


def test_what_completes_is_cleared() -> None:
    table = SuspectTable()
    table.report(ReportCrash("g0", "g0:1", ("p",)), 1)
    table.clear(("p",), 2)
    assert table.rows() == ()


def test_suspects_run_one_at_a_time_on_an_upstream() -> None:
    table = SuspectTable()
    table.open_trial(trial("p"), 0.0)
    assert not hasattr(table.open_trial(trial("q"), 1.0), "upstream")
    table.end_trial(EndTrial("p", "g0"), 2)
    assert table.open_trial(trial("q"), 2.0).upstream == "g0"


def report(boot: str) -> LoadReported:
    return LoadReported("g0", LoadReport(boot, 0, 0, 0, "mixed", 0.0))


def test_a_broken_connection_to_a_living_engine_makes_no_suspect() -> None:
    detector = CrashDetector()
    detector.record_broken_connection(0.0, "g0", "one", ["p"])
    assert detector.is_held("p")
    assert detector.on_load(0.1, report("one")) is None
    assert not detector.is_held("p")
    assert not detector.is_suspect(0.1, "p")


def test_a_new_boot_or_a_refused_connection_is_a_crash() -> None:
    for event in (report("two"), LoadReported("g0", None, refused=True)):
        detector = CrashDetector()
        detector.record_broken_connection(0.0, "g0", "one", ["p"])
        assert detector.on_load(0.1, event) == ReportCrash("g0", "g0:one", ("p",))
        assert detector.is_suspect(0.2, "p")


def test_what_can_not_be_settled_is_treated_as_a_suspect_here_only() -> None:
    detector = CrashDetector()
    detector.record_broken_connection(0.0, "g0", "one", ["p"])
    assert detector.on_load(0.1, LoadReported("g0", None)) is None
    detector.tick(CONFIRM_SECONDS)
    assert detector.is_suspect(CONFIRM_SECONDS, "p")
