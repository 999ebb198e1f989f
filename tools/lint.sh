#!/usr/bin/env bash
# Usage: lint.sh BUILD_DIR [FILE ...]. Runs clang-tidy on the given files, by default on all
# sources except generated ones.
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
