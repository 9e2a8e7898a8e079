import pytest

from tests import ports


def test_a_port_that_is_not_bound_yet_is_not_drawn_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Two servers of one test would bind it, and the later one would end."""
    monkeypatch.setenv("PYTEST_XDIST_WORKER", "gw15")
    for _ in range(20):
        drawn = [ports.free_port() for _ in range(ports.REMEMBERED // 5)]
        for _ in range(ports.REMEMBERED // 5):
            drawn += ports.free_ports(4)
        recent = drawn[-ports.REMEMBERED :]
        assert len(set(recent)) == len(recent)
