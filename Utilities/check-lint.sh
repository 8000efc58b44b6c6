#!/usr/bin/env bash
# Runs clang-tidy over every source file of a build tree's compile commands.
# A file is skipped while neither it, nor a header of the project, nor the
# checks have changed since it was last clean.
# Usage: check-lint.sh BUILD_DIR [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp')
fi
cache=$build/lint
mkdir -p "$cache"
headers=$(git ls-files -co --exclude-standard '*.h' .clang-tidy |
  xargs cat | sha256sum | cut -d' ' -f1)
lint_one() {
  key=$(echo "$2 $(sha256sum "$1")" | sha256sum | cut -d' ' -f1)
  [ -e "$3/$key" ] && return 0
  if ! output=$(clang-tidy --quiet -p "$4" "$1" 2>/dev/null); then
    echo "$output"
    echo "lint: $1 is not clean"
    return 1
  fi
  touch "$3/$key"
}
export -f lint_one
printf '%s\n' "${files[@]}" |
  xargs -P "${AUBURNHUB_JOBS:-$(nproc)}" -I{} \
    bash -c 'lint_one "$@"' _ {} "$headers" "$cache" "$build"
echo "lint: ${#files[@]} files clean"
