#!/bin/sh
# Build the stand-ins of review/6 to review/10: they are Python programs that use the
# libraries of the deploy file's build, so there is only their syntax to check.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps" exec python3 - <<'PY'
import ast
from pathlib import Path

import aiohttp

CASES = [Path(f"review/{number}/case.py") for number in range(6, 11)]
for path in (Path("review/kit2.py"), *CASES):
    if path.exists():
        ast.parse(path.read_text(), str(path))
print("stand-ins are sound, aiohttp", aiohttp.__version__)
PY
