#!/usr/bin/env bash
# Checks that the help page of a program names the options of its --help.
# Usage: check-help.sh BIN_DIR HELP_DIR PROGRAM...
set -euo pipefail
bin=$1
pages=$2
shift 2
options() { grep -oE '(^|[^a-z-])--[a-z][a-z-]*' | grep -oE -- '--[a-z-]+' | sort -u; }
status=0
for program in "$@"; do
  page=$pages/$program.md
  if [ ! -e "$page" ]; then
    echo "$page is missing" >&2
    status=1
    continue
  fi
  if ! diff <("$bin/$program" --help | options) <(options < "$page"); then
    echo "$page (>) and $program --help (<) differ" >&2
    status=1
  fi
done
exit $status
