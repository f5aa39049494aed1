#!/bin/sh
# Checks the stand-ins of cases 6 to 10. They are Python scripts that need the standard library only, so there
# is nothing to compile; the daemon comes from the build of the deploy file.
cd "$(dirname "$0")" || exit 1
python3 - kit-2/small_site.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'PY'
import sys

for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, "exec")
PY
