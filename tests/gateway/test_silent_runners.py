import pytest

from tests.gateway.runsoak import run_soak


@pytest.mark.parametrize("seed", [9, 33, 39, 42])
def test_silent_engines_and_cut_nodes_let_nothing_run_twice_or_out_of_order(
    seed: int,
) -> None:
    """Each seed breaks a rule if a copy's place outlives the attempt that chose it."""
    faults, counts = run_soak(seed)
    assert faults == []
    assert min(counts[what] for what in ("relayed", "broken", "continued")) > 0
