#!/usr/bin/env bash
# Prepares the stand-ins of review/11 to review/15. They are Python programs, which need no build, so this only checks
# that the interpreter has what they use and that they can be parsed. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

python3 - review/stand_ins_3/*.py review/trials-3/*.py review/1[1-5]/*.py <<'PYTHON'
import ast
import asyncio
import sys

if not hasattr(asyncio, "timeout"):
    sys.exit("The stand-ins need Python 3.11 or newer.")
for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
PYTHON
