#!/bin/sh
# Runs the bench for about two seconds and checks that its report can be read.
# Usage: smoke-test.sh AUBURNHUB_BENCH BIN_DIR
set -eu
csv=$(mktemp)
trap 'rm -f "$csv"' EXIT
"$1" steady --binaries "$2" --csv "$csv" --vms 1 --endpoints 2 --slots 4 \
  --loads 0.3 --seconds 2 --threads 40 --variants policy
awk -F, 'NR == 1 { columns = NF; if ($1 != "variant") exit 1 }
         NR > 1 && (NF != columns || $1 != "policy" || $4 == 0) { exit 1 }
         END { if (NR != 2) exit 1 }' "$csv"
