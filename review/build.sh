#!/usr/bin/env bash
# The stand-ins are Python of the standard library: nothing is compiled. Check that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
import sys

sys.path.insert(0, "review")
import fleetkit

assert fleetkit.ROOT.joinpath("platform/serve.py").is_file()
CHECK
echo "the stand-ins are ready"
