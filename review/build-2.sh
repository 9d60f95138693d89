#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 to 9. They are Python and need no build.
set -eu
cd "$(dirname "$0")"
python3 -B - lib-2/standins2.py 6/case.py 7/case.py 8/case.py 9/case.py <<'PY'
import ast, sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for name in sys.argv[1:]:
    ast.parse(open(name, encoding="utf-8").read(), name)
print("the stand-ins are ready")
PY
