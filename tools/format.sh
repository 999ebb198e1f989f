#!/usr/bin/env bash
# Usage: format.sh check|fix. Checks or fixes the format of all sources except generated ones with clang-format.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v gen-cpp)
if [ "${1:-check}" = fix ]; then
    clang-format -i "${files[@]}"
else
    clang-format --dry-run -Werror "${files[@]}"
fi
