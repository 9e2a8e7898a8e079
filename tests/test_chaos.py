"""Test the simulated fleet under generated schedules of faults."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.chaos import FAULTS, Fault, run_chaos

faults = st.builds(
    Fault,
    at=st.floats(0, 35),
    kind=st.sampled_from(FAULTS),
    target=st.integers(0, 4),
    seconds=st.floats(0.2, 12),
)


@settings(max_examples=25, derandomize=True, deadline=None, database=None)
@given(seed=st.integers(0, 10_000), schedule=st.lists(faults, max_size=6))
def test_invariants_hold_under_faults(seed: int, schedule: list[Fault]) -> None:
    run_chaos(seed, schedule)


def test_an_operator_release_does_not_end_the_drain_for_an_order() -> None:
    run_chaos(7, [Fault(25.94, "freeze", 2, 5.55)])


def test_a_proposal_whose_node_died_may_have_been_accepted() -> None:
    schedule = [
        Fault(0.04, "isolate", 2, 4.49),
        Fault(3.22, "wipe", 1, 11.82),
        Fault(5.71, "wipe", 4, 0.67),
        Fault(10.13, "isolate", 0, 6.38),
        Fault(12.25, "wipe", 0, 6.28),
        Fault(17.1, "wipe", 4, 10.12),
        Fault(22.55, "isolate", 1, 4.24),
        Fault(29.47, "stop", 0, 11.57),
    ]
    run_chaos(5191, schedule)


def test_an_order_to_an_engine_waits_for_the_end_of_the_previous_one() -> None:
    schedule = [
        Fault(6.22, "crash-engine", 3, 5.29),
        Fault(10.5, "stop", 4, 7.0),
        Fault(12.85, "stop", 3, 7.4),
        Fault(12.86, "isolate", 3, 6.04),
        Fault(20.67, "isolate", 0, 6.75),
    ]
    run_chaos(18, schedule)
