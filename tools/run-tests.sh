#!/usr/bin/env bash
# Usage: run-tests.sh BUILD_DIR. Runs all tests except the known failing cases in KNOWN-RED.txt, which it lists.
# The first line of an entry in KNOWN-RED.txt is "test: PROGRAM :: NAME OF THE CASE".
set -uo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "$1")
red=()
if [ -f KNOWN-RED.txt ]; then
    mapfile -t red < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi
exit_status=0
# A test program with known failing cases runs directly, with all its other cases.
programs=$(printf '%s\n' "${red[@]+"${red[@]}"}" | sed -n 's/ :: .*//p' | sort -u)
for program in $programs; do
    excluded=('~[.]') # Catch2 would run hidden cases, which are started by hand only, if cases are only excluded
    for entry in "${red[@]}"; do
        if [ "${entry%% :: *}" = "$program" ]; then excluded+=("~\"${entry#* :: }\""); fi
    done
    echo "$program without its known failing cases:"
    AGATEDRUM_BIN="$build" "$build/$program" "${excluded[@]}" || exit_status=1
done
pattern=$(printf '%s\n' "$programs" | paste -sd '|')
ctest --test-dir "$build" --output-on-failure -j "${TEST_JOBS:-4}" ${pattern:+-E "^($pattern)\$"} || exit_status=1
for entry in "${red[@]+"${red[@]}"}"; do
    echo "known failing case, not run: $entry (see KNOWN-RED.txt)"
done
exit $exit_status
