#!/usr/bin/env bash
# The stand-ins need nothing but Python; this checks that they and the project's programs load.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/standins/*.py review/[0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 -S -c 'import cottonlug.daemon'
