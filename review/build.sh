#!/bin/sh
# The stand-ins are Python programs of the standard library: there is nothing to
# compile. Checks that they can run.
cd "$(dirname "$0")" || exit 1
exec python3 -c 'import ast, glob
for name in glob.glob("*.py") + glob.glob("[1-5]/*.py"):
    ast.parse(open(name).read(), name)'
