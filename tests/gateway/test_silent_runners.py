import pytest

from tests.gateway.runsoak import run_soak


@pytest.mark.parametrize("seed", [9, 13, 33, 39, 42, 51])
def test_silent_engines_and_cut_nodes_let_nothing_run_twice_or_out_of_order(
    seed: int,
) -> None:
    """Each breaks a rule if copies outlive attempts, or if no engine stops a run."""
    faults, counts = run_soak(seed)
    assert faults == []
    assert min(counts[what] for what in ("relayed", "broken", "continued")) > 0
