#!/usr/bin/env bash
# Installs the build tree into a temporary directory and runs each program.
# Usage: check-install.sh CMAKE BUILD_DIR PROGRAM...
set -euo pipefail
cmake=$1
build=$2
shift 2
prefix=$(mktemp -d)
trap 'rm -r "$prefix"' EXIT
"$cmake" --install "$build" --prefix "$prefix" > "$prefix/install.log"

fail() { echo "$1" >&2; exit 1; }

[ $# -gt 0 ] || fail "no program is built"
for program in "$@"; do
  path=$prefix/bin/$program
  "$path" --version | grep -q "^$program [0-9]" ||
    fail "$program --version does not name itself"
  "$path" --help > "$prefix/help.txt" || fail "$program --help failed"
  process=${program#auburnhub-}
  if [ "$process" = ctl ]; then
    "$path" config check "$prefix/share/auburnhub/configuration.yaml"
    "$path" charts | grep -q '^digraph "process-life"' ||
      fail "the installed charts were not found"
    continue
  fi
  "$path" --check --settings "$prefix/share/auburnhub/settings/$process.yaml" ||
    fail "$program refuses its sample settings"
  [ -s "$prefix/lib/systemd/system/$program.service" ] ||
    fail "$program has no systemd unit"
done
echo "installed and ran: $*"
