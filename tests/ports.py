"""Draw free ports; test processes that run side by side never draw the same one."""

import contextlib
import os
import random
import socket
from collections import deque

__all__ = ["free_port", "free_ports"]

FIRST_PORT, END_PORT = 10_000, 32_000
"""Bounds of the ports drawn; Linux takes those of outgoing connections from above."""

MAX_WORKERS = 16
"""Test processes side by side, each with an equal share of the ports."""

REMEMBERED = 256
"""Ports drawn last, which are not drawn again: most are bound only some time later.

It is less than half of a share.
"""

_drawn: deque[int] = deque(maxlen=REMEMBERED)


def free_port() -> int:
    """Return a port that is free at the moment of the call."""
    return free_ports(1)[0]


def free_ports(count: int) -> list[int]:
    """Return even ports that are free at the moment of the call, and were not drawn.

    The odd port after each is left free as well: an entry node listens on the port
    after the first peer port.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.choice(_share_of_worker())
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind(("127.0.0.1", port))
            if port not in _drawn:
                _drawn.append(port)
                ports.append(port)
    return ports


def _share_of_worker() -> range:
    """Return the even ports of this test process, all of them if it runs alone."""
    worker = os.environ.get("PYTEST_XDIST_WORKER")
    if worker is None:
        return range(FIRST_PORT, END_PORT, 2)
    number = int(worker.removeprefix("gw"))
    if number >= MAX_WORKERS:
        raise ValueError(f"{worker} has no ports: {MAX_WORKERS} workers at most")
    size = (END_PORT - FIRST_PORT) // MAX_WORKERS // 2 * 2
    first = FIRST_PORT + number * size
    return range(first, first + size, 2)
