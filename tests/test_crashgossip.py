from hawthornshelf.crashgossip import (
    NEWS_INTERVAL_SECONDS,
    PULL_INTERVAL_SECONDS,
    CrashGossip,
)
from hawthornshelf.crashrecords import Evidence
from hawthornshelf.messages import CrashNews

POISON = b"poison"


def make_gossip(*crashes: str) -> CrashGossip:
    gossip = CrashGossip(lambda digest: 0)
    for crash in crashes:
        gossip.table.report(0.0, crash, 0.0, Evidence.REFUSED, (POISON,))
    return gossip


def test_a_table_that_differs_is_asked_for_once_in_an_interval() -> None:
    one, other = make_gossip("r/1"), make_gossip()
    checksum = one.table.checksum
    assert other.request_missing(0.0, 0) is None
    request = other.request_missing(0.0, checksum)
    assert request is not None
    assert other.request_missing(0.0, checksum) is None
    news = one.answer(0.0, request)
    assert isinstance(news, CrashNews)
    other.receive(0.0, "n1", news.rows)
    assert other.request_missing(PULL_INTERVAL_SECONDS, checksum) is None
    again = other.request_missing(PULL_INTERVAL_SECONDS, 7)
    assert again is not None and one.answer(0.0, again) is None


def test_news_are_collected_for_an_interval() -> None:
    gossip = make_gossip("r/1")
    first = gossip.take_news(0.0)
    assert first is not None and len(first.rows) == 1
    gossip.table.report(0.0, "r/2", 0.0, Evidence.GONE, (POISON,))
    assert gossip.take_news(NEWS_INTERVAL_SECONDS / 2) is None
    assert gossip.take_news(NEWS_INTERVAL_SECONDS) is not None


def test_a_line_is_logged_for_a_new_crash_and_for_new_evidence_only() -> None:
    gossip, other = make_gossip(), make_gossip("r/1")
    news = other.take_news(0.0)
    assert news is not None
    assert [line.event for line in gossip.receive(0.0, "n1", news.rows)] == [
        "crash-learnt"
    ]
    assert gossip.receive(0.0, "n1", news.rows) == []
    stronger = [row._replace(evidence=Evidence.GONE) for row in news.rows]
    assert len(gossip.receive(0.0, "n1", stronger)) == 1


def test_the_begin_of_a_quarantine_is_logged_with_its_crashes() -> None:
    gossip = CrashGossip(lambda digest: 0)
    for crash in ("a/1", "b/1", "c/1"):
        gossip.table.report(0.0, crash, 0.0, Evidence.GONE, (POISON,))
    lines = gossip.expire(1.0)
    assert [line.event for line in lines] == ["quarantine-begins"]
    fields = {field.key: field.value for field in lines[0].fields}
    assert fields["crashes"] == "a/1,b/1,c/1" and fields["age"] == 1.0
