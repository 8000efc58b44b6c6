#!/bin/sh
# The stand-ins of the scripts 6 to 10 are written in Python and need no build;
# this checks that the interpreter can load them and that the build of the
# deploy file has made the node.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'CHECK'
import sys
assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for name in ("lib-2/web.py", "lib-2/store.py", "lib-2/executor.py",
             "lib-2/system.py", "6/case.py", "7/case.py", "8/case.py",
             "9/case.py", "10/case.py"):
    with open(name) as file:
        compile(file.read(), name, "exec")
CHECK
test -x ../target/bin/auburnhub-node
