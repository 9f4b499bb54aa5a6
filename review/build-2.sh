#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. They are plain Python, without dependencies: compile them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q lab [4-8]
