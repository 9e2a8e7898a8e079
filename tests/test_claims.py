import pytest

from hawthornshelf import claims
from hawthornshelf.claims import ClaimTable
from hawthornshelf.commands import (
    Answer,
    ClaimAnswered,
    ClaimGranted,
    ClaimInProgress,
    ClaimMismatch,
    ClaimReleased,
    ClaimsFull,
    ClaimUnknown,
    OpenClaim,
    RecordAnswer,
    ReleaseClaim,
)

ANSWER = Answer(201, "text/plain", b"booked")


def claim(attempt: str, key: str = "k", digest: str = "d") -> OpenClaim:
    return OpenClaim("w", key, digest, attempt)


def test_the_first_attempt_gets_the_claim_and_keeps_it() -> None:
    table = ClaimTable()
    assert table.open(claim("a"), 0) == ClaimGranted("a")
    assert table.open(claim("a"), 1) == ClaimGranted("a")
    assert table.open(claim("b"), 1) == ClaimInProgress(1)


def test_an_old_claim_without_an_answer_stays_unknown() -> None:
    table = ClaimTable()
    table.open(claim("a"), 0)
    assert table.open(claim("b"), 1e9) == ClaimUnknown("a")


def test_a_repeated_request_gets_the_recorded_answer() -> None:
    table = ClaimTable()
    table.open(claim("a"), 0)
    table.record(RecordAnswer("w", "k", "a", ANSWER), 1)
    assert table.open(claim("b"), 1e9) == ClaimAnswered(ANSWER)


def test_another_body_under_the_same_key_is_refused() -> None:
    table = ClaimTable()
    table.open(claim("a"), 0)
    assert table.open(claim("b", digest="other"), 1) == ClaimMismatch("k")


def test_a_released_key_is_granted_to_another_attempt() -> None:
    table = ClaimTable()
    table.open(claim("a"), 0)
    table.release(ReleaseClaim("w", "k", "a"), 1)
    assert table.open(claim("b"), 1) == ClaimGranted("b")


def test_a_release_applies_to_a_claim_that_arrives_after_it() -> None:
    table = ClaimTable()
    table.release(ReleaseClaim("w", "k", "a"), 1)
    assert table.open(claim("a"), 2) == ClaimReleased("a")


def test_a_release_by_another_attempt_changes_nothing() -> None:
    table = ClaimTable()
    table.open(claim("a"), 0)
    table.release(ReleaseClaim("w", "k", "b"), 1)
    assert isinstance(table.open(claim("c"), 1), ClaimInProgress)


def test_a_full_table_refuses_claims_and_keeps_unanswered_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(claims, "MAX_CLAIMS", 1)
    table = ClaimTable()
    table.open(claim("a"), 0)
    assert table.open(claim("b", key="k2"), 1) == ClaimsFull(1)
    assert isinstance(table.open(claim("b"), 1), ClaimInProgress)


def test_old_answers_are_dropped_but_their_claims_stay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(claims, "MAX_ANSWER_BYTES", 10)
    table = ClaimTable()
    for key in ("k1", "k2"):
        table.open(claim("a", key), 0)
        table.record(RecordAnswer("w", key, "a", ANSWER), 1)
    assert table.open(claim("b", "k1"), 1) == ClaimAnswered(None)
    assert table.open(claim("b", "k2"), 1) == ClaimAnswered(ANSWER)
    restored = ClaimTable(table.rows(), table.released(), table.kept())
    assert restored.open(claim("b", "k1"), 1) == ClaimAnswered(None)


def test_a_full_table_evicts_answered_claims_past_the_retention_period(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(claims, "MAX_CLAIMS", 2)
    table = ClaimTable()
    table.open(claim("a", "unanswered"), 0)
    table.open(claim("a", "answered"), 0)
    table.record(RecordAnswer("w", "answered", "a", ANSWER), 1)
    late = claims.RETENTION_SECONDS
    assert table.open(claim("b", "new"), late) == ClaimsFull(2)
    assert table.open(claim("b", "new"), late + 1) == ClaimGranted("b")
    assert table.open(claim("b", "unanswered"), late + 1) == ClaimUnknown("a")


def test_a_restored_table_evicts_the_same_claims(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(claims, "MAX_CLAIMS", 3)
    table = ClaimTable()
    for key in ("k1", "k2", "k3"):
        table.open(claim("a", key), 0)
    for key in ("k3", "k1", "k2"):
        table.record(RecordAnswer("w", key, "a", ANSWER), 1)
    restored = ClaimTable(table.rows(), table.released(), table.kept())
    for number in range(3):
        command = claim("b", f"n{number}")
        for one in (table, restored):
            one.open(command, claims.RETENTION_SECONDS + 1)
        assert table.rows() == restored.rows()
        assert table.kept() == restored.kept()
