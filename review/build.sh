#!/bin/sh
# The stand-ins are Python programs of the standard library only: nothing has to be built. This checks that they
# can be run.
cd "$(dirname "$0")" || exit 1
PYTHONDONTWRITEBYTECODE=1 python3 -c "import sys; sys.path.insert(0, 'harness'); import harness"
