import pytest

from tests.gateway.crashsoak import run_soak

MAX_LATE_SENDS = 3
"""Sends that the platform allows later than its contact time after the third crash,

or after the fifth one under a part of a prompt.
"""


@pytest.mark.parametrize("seed", range(1, 9))
def test_drawn_faults_neither_let_a_crashing_request_on_nor_block_others(
    seed: int,
) -> None:
    result = run_soak(seed)
    assert result.late_sends <= MAX_LATE_SENDS
    assert result.late_part_sends <= MAX_LATE_SENDS
    assert result.short_streams == 0
    assert result.over_limit == ()
    assert not result.outcomes["quarantined"]
    assert result.outcomes["200"] > 0.5 * result.outcomes.total()
