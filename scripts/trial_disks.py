"""Lose disks and power under a control group of real processes, and read back.

Each seed draws the size, the faults and the moments anew. An operator changes the route
document over any node; what was acknowledged must be read back after the last loss.
"""

import argparse
import asyncio
import contextlib
import os
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

import aiohttp

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

from scripts.forgetfuldisk import lose_power  # noqa: E402
from tests.southernveil import fakes  # noqa: E402

START_SECONDS = 60.0
CATCH_UP_SECONDS = 6.0
RECOVERY_SECONDS = 15.0
CONTACT_SECONDS = 4.0
GRACE_SECONDS = 8.0
CALL_SECONDS = 1.5
KILL_WITHIN_SECONDS = 0.03
FAULTS = ("kill", "kill", "freeze", "stop", "wipe", "power", "power all", "replace")
LAST_DELAYS = (0.0, 0.02, 0.05, 0.1, 0.2)
"""Seconds between the last change of the voters and the loss of disks."""

CHANGE_SECONDS = 3.0
POLL_SECONDS = 0.005


class Trial:
    """Run the processes of one seed, their operator and their faults."""

    def __init__(self, seed: int, tree: Path, folder: Path) -> None:
        self.rng = random.Random(seed)
        self.losses = self.rng.choice([1, 2, 2])
        self.tree, self.folder = tree, folder
        network = f"127.{100 + os.getpid() % 100}.{seed % 250}"
        self._ips = (f"{network}.{number}" for number in range(1, 250))
        self.ports = fakes.free_ports(5)
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.gone: set[str] = set()
        self.lost: dict[str, float] = {}
        self.started: set[str] = set()
        self.version = self.acknowledged = 0
        self.events: list[str] = []
        self._began_at = time.monotonic()

    def note(self, text: str) -> None:
        """Note what happened, with the time."""
        self.events.append(f"{time.monotonic() - self._began_at:7.3f} {text}")

    # Processes

    async def start(self, ip: str) -> None:
        """Start a process; its first start is that of the whole system or of a disk."""
        is_first = ip in self.seeds and ip not in self.started
        self.started.add(ip)
        path = self.folder / f"control-{ip}.toml"
        fakes.make_settings(
            self.folder, ip, "control", self.ports, "127.0.0.1:9", tuple(self.seeds)
        )
        text = path.read_text().replace("Machines = 1", f"Machines = {self.losses}")
        if not is_first:
            text = text.replace("Bootstrap = true", "Bootstrap = false")
        data = self.folder / ip
        data.mkdir(exist_ok=True)
        path.write_text(text)
        launcher = str(Path(__file__).with_name("forgetfuldisk.py"))
        serve = str(self.tree / "platform/serve.py")
        with path.with_suffix(".log").open("ab") as log:
            self.processes[ip] = await asyncio.create_subprocess_exec(
                sys.executable,
                launcher,
                serve,
                str(data),
                "control",
                env={**os.environ, "HAWTHORNSHELF_BOOT": str(path)},
                stdout=log,
                stderr=log,
            )

    async def start_all(self) -> None:
        """Start the group, and wait until it acknowledges and has its voters."""
        count = self.rng.choice([3, 4]) if self.losses == 1 else 8
        self.ips = [next(self._ips) for _ in range(count)]
        self.seeds = self.ips[:3]
        await asyncio.gather(*(self.start(ip) for ip in self.ips))
        async with asyncio.timeout(START_SECONDS):
            while not await self.change():
                await asyncio.sleep(0.2)
        await asyncio.sleep(CATCH_UP_SECONDS)

    async def kill(self, ip: str, power: bool = False, wipe: bool = False) -> None:
        """Kill a process at once; let the disk forget, or be lost."""
        process = self.processes[ip]
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        data = self.folder / ip
        if wipe:
            for path in (*data.glob("control/*"), *data.glob("mirror/*")):
                path.unlink()
            for path in data.glob("*"):
                path.rmdir()
        elif power and (data / "control").exists():
            lose_power(data / "control", data / "mirror", self.rng)

    async def stop(self) -> None:
        """End all processes that this trial started, each by its own id."""
        for ip in self.processes:
            await self.kill(ip)

    # The operator

    async def change(self) -> bool:
        """Send the next document to a node; return whether it was acknowledged."""
        self.version += 1
        version = self.version
        ip = self.rng.choice(self.ips)
        body = fakes.make_manifest(version)
        if await self._call("POST", ip, "Config.Replace", body) is None:
            return False
        self.acknowledged = max(self.acknowledged, version)
        return True

    async def operate(self) -> None:
        """Send changes one after another."""
        while True:
            await self.change()
            await asyncio.sleep(self.rng.choice([0.0, 0.02, 0.2]))

    async def _call(
        self, method: str, ip: str, name: str, body: object = None
    ) -> dict[str, int] | None:
        url = f"http://{ip}:{self.ports[2]}/hawthornshelf/{name}"
        timeout = aiohttp.ClientTimeout(CALL_SECONDS)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with (
                aiohttp.ClientSession(timeout=timeout) as client,
                client.request(method, url, json=body) as response,
            ):
                if response.status == 200:
                    answer: dict[str, int] = await response.json()
                    return answer
        return None

    # Faults

    def count_lost(self) -> int:
        """Return how many disks count as lost now."""
        now = time.monotonic()
        return sum(until > now for until in self.lost.values())

    async def inject(self, seconds: float) -> None:
        """Draw faults, one after another, while an operator changes the document."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await self.do_harm(self.rng.choice(FAULTS))
            await asyncio.sleep(self.rng.choice([0.1, 0.5, 1.5, 2.5]))

    async def do_harm(self, what: str) -> None:
        """Do one kind of harm to a random machine, or to all."""
        ip = self.rng.choice(self.ips)
        if what in ("wipe", "replace") and self.count_lost() >= self.losses:
            return
        self.note(f"{what} {ip}")
        await asyncio.sleep(self.rng.uniform(0.0, KILL_WITHIN_SECONDS))
        match what:
            case "freeze":
                self.processes[ip].send_signal(signal.SIGSTOP)
                await asyncio.sleep(self.rng.uniform(0.5, 2.5))
                self.processes[ip].send_signal(signal.SIGCONT)
            case "stop":
                self.processes[ip].terminate()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(GRACE_SECONDS):
                        await self.processes[ip].wait()
                await self.kill(ip)
                await self.start(ip)
            case "power all":
                await asyncio.gather(
                    *(self.kill(each, power=True) for each in self.ips)
                )
                await asyncio.gather(*(self.start(each) for each in self.ips))
            case "replace":
                await self.kill(ip, wipe=True)
                self.ips.remove(ip)
                self.ips.append(new := next(self._ips))
                await self.start(new)
                self.lost[new] = time.monotonic() + CATCH_UP_SECONDS + 1.0
            case _:
                await self.kill(ip, power=what == "power", wipe=what == "wipe")
                await asyncio.sleep(self.rng.choice([0.0, 0.0, 2.0]))
                await self.start(ip)
                if what == "wipe":
                    self.lost[ip] = time.monotonic() + CATCH_UP_SECONDS + 1.0

    async def end_day(self) -> str:
        """Lose what may be lost, start all, and return what is missing, or ''."""
        how = self.rng.choice(["power", "wipe, kill", "wipe, power", "wipe, power"])
        replaced = self.rng.choice(["", "freeze", "freeze", "stop"])
        ip = self.rng.choice(self.ips)
        if replaced:
            process = self.processes[ip]
            stop = signal.SIGSTOP if replaced == "freeze" else signal.SIGTERM
            process.send_signal(stop)
            await self._await_voters_change()
        await asyncio.sleep(self.rng.choice(LAST_DELAYS))
        others = [each for each in self.ips if each != ip and each not in self.lost]
        left = self.losses - self.count_lost() if "wipe" in how else 0
        wiped = self.rng.sample(others, max(0, left))
        acknowledged = self.acknowledged
        self.note(f"{replaced} {ip}, {how}, lost {wiped}; {acknowledged} acknowledged")
        power = "power" in how
        await asyncio.gather(*(self.kill(e, power, e in wiped) for e in self.ips))
        acknowledged = max(acknowledged, self.acknowledged)
        await asyncio.gather(*(self.start(each) for each in self.ips))
        return await self._read_back(acknowledged)

    async def _await_voters_change(self) -> None:
        """Wait until a node logs that the voters change, for some time."""
        logs = [self.folder / f"control-{ip}.log" for ip in self.ips]
        sizes = [log.stat().st_size for log in logs]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CHANGE_SECONDS):
                while not any(
                    b"voters-changed" in log.read_bytes()[size:]
                    for log, size in zip(logs, sizes, strict=True)
                ):
                    await asyncio.sleep(POLL_SECONDS)

    async def _read_back(self, acknowledged: int) -> str:
        """Read the document at all nodes; it must come, and never be an older one."""
        until = time.monotonic() + RECOVERY_SECONDS
        was_read = False
        while time.monotonic() < until:
            for ip in self.ips:
                answer = await self._call("GET", ip, "Config.Get")
                if answer is None:
                    continue
                if answer["Version"] < acknowledged:
                    return f"{ip} shows {answer['Version']}, not {acknowledged}"
                if not was_read:
                    until = time.monotonic() + CONTACT_SECONDS
                was_read = True
            await asyncio.sleep(0.2)
        return "" if was_read else f"{acknowledged} does not come back"


async def run_trial(seed: int, options: argparse.Namespace) -> bool:
    """Run one seed and print it; return whether all was read back."""
    with tempfile.TemporaryDirectory() as name:
        trial = Trial(seed, options.tree.resolve(), Path(name))
        operator: asyncio.Task[None] | None = None
        missing = ""
        try:
            await trial.start_all()
            operator = asyncio.create_task(trial.operate())
            await trial.inject(options.seconds)
            missing = await trial.end_day()
        finally:
            if operator is not None:
                operator.cancel()
            await trial.stop()
        text = missing or "kept"
        print(f"seed {seed}: f = {trial.losses}, {trial.acknowledged} changes, {text}")
        if missing:
            print(*trial.events, sep="\n")
            if options.keep:
                options.keep.mkdir(parents=True, exist_ok=True)
                for log in Path(name).glob("*.log"):
                    (options.keep / f"{seed}-{log.name}").write_bytes(log.read_bytes())
        sys.stdout.flush()
        return not missing


async def main() -> int:
    """Run the seeds; return 1 if anything acknowledged was missing."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--tree", type=Path, default=ROOT, help="another checkout")
    parser.add_argument("--keep", type=Path, help="a folder for logs of broken seeds")
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.rounds)
    kept = [await run_trial(seed, options) for seed in seeds]
    print(f"{len(kept)} seeds, {kept.count(False)} lost something")
    return int(not all(kept))


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
