#!/bin/sh
# The stand-ins are Python, the project's own and those in review/common: nothing has to be compiled.
# This only checks that they load with what the build of the deploy file has made.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1 python3 -c "import review.common.kit"
