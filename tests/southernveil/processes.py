"""Start the platform's programs as processes of their own."""

import asyncio
import os
import sys
from pathlib import Path

__all__ = ["start_process"]

SERVE = Path(__file__).resolve().parents[2] / "platform" / "serve.py"


async def start_process(
    role: str, settings: Path, log: Path, serve: Path = SERVE
) -> asyncio.subprocess.Process:
    """Start a process of one role as the platform starts it."""
    environment = {**os.environ, "HAWTHORNSHELF_BOOT": str(settings)}
    with log.open("ab") as output:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            str(serve),
            role,
            env=environment,
            stdout=output,
            stderr=output,
        )
