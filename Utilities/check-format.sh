#!/usr/bin/env bash
# Checks the format of every C++ file; with --fix, formats them.
set -euo pipefail
cd "$(dirname "$0")/.."
mode="--dry-run --Werror"
[ "${1:-}" = --fix ] && mode="-i"
# shellcheck disable=SC2086 # two words in one case
git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs clang-format $mode
