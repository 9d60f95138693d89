#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library: there is nothing to compile. Checks that
# they can be read, and that the deploy file's program is there.
set -eu
cd "$(dirname "$0")/.."
python3 -B - review/lib/*.py review/[1-5]/*.py <<'P'
import ast, sys
assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for name in sys.argv[1:]:
    ast.parse(open(name).read(), name)
P
test -x target/release/oriolehoist
