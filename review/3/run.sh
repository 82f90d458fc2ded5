#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no client leaves.
export PYTHONDONTWRITEBYTECODE=1
exec timeout --preserve-status -k 4 114 python3 "$(dirname "$0")/case.py"
