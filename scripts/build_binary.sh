#!/usr/bin/env bash
# Build a single executable file that runs hawthornshelf in its own process,
# without a child process.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p dist
rm -rf build
.venv/bin/pex . --constraints constraints.txt --console-script hawthornshelf \
  --python .venv/bin/python --output-file dist/hawthornshelf
