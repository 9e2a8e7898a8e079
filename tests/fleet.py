"""Start and stop a fleet of real processes on loopback addresses."""

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

import aiohttp

from hawthornshelf.configuration import (
    CallRule,
    Configuration,
    Deployment,
    EngineService,
    Model,
    PlainService,
    Runner,
)
from hawthornshelf.errors import HawthornshelfError
from tests.ports import free_port

__all__ = ["Fleet", "NodeSpec", "wait_until"]

ROOT = Path(__file__).resolve().parent.parent
PROGRAM = (sys.executable, "-m", "hawthornshelf")


class NodeSpec(NamedTuple):
    """Describe one node of a fleet."""

    name: str
    roles: str
    data_centre: str


async def wait_until(
    condition: Callable[[], object],
    seconds: float,
    description: str,
    interval: float = 0.05,
) -> None:
    """Wait until a condition, which may be a coroutine function, is true.

    Connection errors count as false. Raises TimeoutError after the given seconds.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        with contextlib.suppress(
            aiohttp.ClientError, OSError, TimeoutError, HawthornshelfError
        ):
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
        await asyncio.sleep(interval)
    raise TimeoutError(f"{description}: timed out after {seconds} s")


class Fleet:
    """Manage the processes of a fleet, their addresses and their records."""

    def __init__(
        self,
        folder: Path,
        nodes: Sequence[NodeSpec],
        program: Sequence[str] = PROGRAM,
        extra_arguments: Sequence[str] = (),
    ) -> None:
        self.folder = folder
        self.nodes = {node.name: node for node in nodes}
        self.program = tuple(program)
        self.extra_arguments = tuple(extra_arguments)
        self.listen = {n: f"127.0.0.1:{free_port()}" for n in self.nodes}
        self.peer_listen = {n: f"127.0.0.1:{free_port()}" for n in self.nodes}
        self.peer_proxies: dict[str, str] = {}
        self.platform = ""
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.addresses: dict[str, str] = {}
        self.record_path = folder / "record.jsonl"
        folder.mkdir(parents=True, exist_ok=True)

    def start_node(self, name: str) -> None:
        """Start one node."""
        node = self.nodes[name]
        control = [n for n, spec in self.nodes.items() if "control" in spec.roles]
        arguments = [
            *self.program,
            "serve",
            f"--node={name}",
            f"--roles={node.roles}",
            f"--data-centre={node.data_centre}",
            f"--listen={self.listen[name]}",
            f"--peer-listen={self.peer_listen[name]}",
            f"--control={','.join(f'{n}={self._peer_address(n)}' for n in control)}",
            f"--data={self.folder / name}",
            f"--platform={self.platform}",
            *self.extra_arguments,
        ]
        if name in self.peer_proxies:
            arguments.append(f"--peer-advertise={self.peer_proxies[name]}")
        self._spawn(name, arguments)

    def start_nodes(self) -> None:
        """Start all nodes."""
        for name in self.nodes:
            self.start_node(name)

    def start_engine(self, name: str, *options: str) -> str:
        """Start a fake engine and return its address; a restart keeps the address."""
        return self._start_fake("engine", name, ("--name", name, *options))

    def start_service(self, name: str, *options: str) -> str:
        """Start a fake service and return its address."""
        return self._start_fake("service", name, ("--name", name, *options))

    def start_platform(self, lag: float = 0.5) -> str:
        """Start the fake platform and return its address.

        Its list of VMs lags by the given seconds.
        """
        address = self._start_fake("platform", "platform", ("--lag", str(lag)))
        self.platform = f"http://{address}"
        return address

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.processes[name].kill()
        self.processes[name].wait()

    def freeze(self, name: str) -> None:
        """Suspend a process."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a frozen process."""
        self.processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Ask a process to stop gracefully."""
        self.processes[name].terminate()

    def stop(self) -> None:
        """Kill all running processes."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()

    def child_pids(self, name: str) -> list[int]:
        """Return the process ids of a process's children."""
        pid = self.processes[name].pid
        pids = []
        for task in Path(f"/proc/{pid}/task").iterdir():
            pids.extend(int(c) for c in (task / "children").read_text().split())
        return pids

    def read_records(self) -> list[dict[str, object]]:
        """Return the records that the fakes wrote."""
        if not self.record_path.exists():
            return []
        return [json.loads(line) for line in self.record_path.read_text().splitlines()]

    def read_log(self, name: str) -> str:
        """Return the log output of a process."""
        return (self.folder / f"{name}.log").read_text()

    def _peer_address(self, name: str) -> str:
        return self.peer_proxies.get(name, self.peer_listen[name])

    def _start_fake(self, kind: str, name: str, options: Sequence[str]) -> str:
        if name not in self.addresses:
            self.addresses[name] = f"127.0.0.1:{free_port()}"
        arguments = [
            sys.executable,
            "-m",
            f"tests.fakes.{kind}",
            f"--listen={self.addresses[name]}",
            *options,
        ]
        if kind != "platform":
            arguments.append(f"--record={self.record_path}")
        self._spawn(name, arguments)
        return self.addresses[name]

    def _spawn(self, name: str, arguments: Sequence[str]) -> None:
        # Settings of the calling shell must not reach the processes.
        environment = {
            k: v for k, v in os.environ.items() if not k.startswith("HAWTHORNSHELF_")
        }
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                arguments, cwd=ROOT, stdout=log, stderr=log, env=environment
            )


def make_configuration(
    engines: dict[str, str],
    services: dict[str, str],
    version: str = "1",
    checks: Callable[[str], bool] = lambda name: True,
    slots: int = 8,
) -> Configuration:
    """Return a configuration of fakes, given as addresses by name.

    `checks` returns whether an engine checks fencing numbers.
    """
    from datetime import timedelta

    from hawthornshelf.configuration import Objective, WorkClass

    engine_runners = tuple(
        Runner(n, a, f"dc-{i % 3}", slots=slots, checks_fencing=checks(n))
        for i, (n, a) in enumerate(engines.items())
    )
    service_runners = tuple(
        Runner(n, a, f"dc-{i % 3}", slots=32)
        for i, (n, a) in enumerate(services.items())
    )
    calls = (
        CallRule("GET", "/schedule", idempotent=True),
        CallRule("POST", "/bookings", idempotent=False),
    )
    work = (
        WorkClass("urgent", urgent=True, deadline=timedelta(seconds=5)),
        WorkClass("bulk", urgent=False, deadline=timedelta(seconds=60)),
    )
    deployment = Deployment(
        "trial",
        "region",
        engines=(EngineService("llm", Model("chat", version), engine_runners),),
        services=(PlainService("app", service_runners, calls),),
        work=work,
        objectives=(Objective("urgent", 0.99, timedelta(seconds=2)),),
    )
    return Configuration((deployment,))
