#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start. The stand-ins are Python
# files that use the standard library alone, so they are only checked here.
set -euo pipefail
cd "$(dirname "$0")"
if [ ! -d ../target/deps ]; then
    echo "target/deps is missing: run the build of deploy/system.toml first" >&2
    exit 1
fi
for file in kit3.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 - "$file" <<'EOF'
import sys
from pathlib import Path

compile(Path(sys.argv[1]).read_text(), sys.argv[1], "exec")
EOF
done
