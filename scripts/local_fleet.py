"""Run a small fleet on fixed loopback ports until interrupted, to try commands on."""

import signal
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.fleet import Fleet, NodeSpec

NODES = (
    NodeSpec("tt-a1", "entry,control", "tt-north-a"),
    NodeSpec("tt-b1", "entry,control", "tt-north-b"),
    NodeSpec("tt-c1", "entry,control", "tt-north-c"),
    NodeSpec("tt-a2", "entry", "tt-north-a"),
)
FIRST_LISTEN_PORT = 8001
FIRST_PEER_PORT = 9001
ENGINES = 5
SERVICES = 3
STOP_SIGNALS = {signal.SIGINT, signal.SIGTERM}


def start(fleet: Fleet) -> None:
    """Start stand-ins for the Bamboo Lantern example, then the nodes."""
    for number, name in enumerate(fleet.nodes):
        fleet.listen[name] = f"127.0.0.1:{FIRST_LISTEN_PORT + number}"
        fleet.peer_listen[name] = f"127.0.0.1:{FIRST_PEER_PORT + number}"
    for number in range(ENGINES):
        name = f"lantern-llm-{number}"
        fleet.addresses[name] = f"127.0.0.1:{9200 + number}"
        fleet.start_engine(name)
    for number in range(SERVICES):
        name = f"lantern-app-{number}"
        fleet.addresses[name] = f"127.0.0.1:{9300 + number}"
        fleet.start_service(name)
    fleet.start_nodes()


def main() -> None:
    """Start everything and wait for an interrupt."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), NODES, extra=("--linger=2",))
        try:
            start(fleet)
            addresses = ",".join(fleet.listen.values())
            print(
                f"nodes at {addresses}; logs in {folder}; stop with Ctrl-C", flush=True
            )
            signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
            signal.sigwait(STOP_SIGNALS)
        finally:
            fleet.stop()


if __name__ == "__main__":
    main()
