#!/usr/bin/env bash
# The stand-ins of the cases are Python programs without dependencies; this
# compiles them, so that an error shows here and not in a case.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'EOF'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for source in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(source.read_text(encoding="utf-8"), str(source), "exec")
EOF
