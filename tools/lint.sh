#!/usr/bin/env bash
# Usage: lint.sh BUILD_DIR [FILE ...]. Runs clang-tidy over the sources that are not generated.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp' | grep -v gen-cpp)
fi
printf '%s\n' "${files[@]}" | xargs -P "${JOBS:-$(nproc)}" -n 1 clang-tidy -p "$build" --quiet 2> >(grep -v 'warnings generated\|^Suppressed\|^Use -' >&2)
