#!/bin/sh
# Runs the case; see claim.txt. Exit code: 1 the rule is broken, 0 it holds, 2 it could not run. TROUBLE=0 leaves
# the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
PYTHONPATH="$here/.." exec python3 "$here/case.py"
