#!/usr/bin/env bash
# Builds the stand-ins of review/kit2: plain Python without dependencies, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")/kit2"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
from pathlib import Path

for source in sorted(Path(".").glob("*.py")):
    compile(source.read_text(), str(source), "exec")
CHECK
