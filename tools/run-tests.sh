#!/usr/bin/env bash
# Usage: run-tests.sh BUILD_DIR. Runs all tests but the cases in KNOWN-RED.txt, which are printed.
# An entry's first line in KNOWN-RED.txt is "test: PROGRAM :: NAME OF THE CASE".
set -uo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "$1")
red=()
if [ -f KNOWN-RED.txt ]; then
    mapfile -t red < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi
verdict=0
# A program with a red case runs by itself, with all its other cases.
programs=$(printf '%s\n' "${red[@]+"${red[@]}"}" | sed -n 's/ :: .*//p' | sort -u)
for program in $programs; do
    excluded=()
    for entry in "${red[@]}"; do
        if [ "${entry%% :: *}" = "$program" ]; then excluded+=("~\"${entry#* :: }\""); fi
    done
    echo "$program without its red cases:"
    AGATEDRUM_BIN="$build" "$build/$program" "${excluded[@]}" || verdict=1
done
pattern=$(printf '%s\n' "$programs" | paste -sd '|')
ctest --test-dir "$build" --output-on-failure -j "${TEST_JOBS:-4}" ${pattern:+-E "^($pattern)\$"} || verdict=1
for entry in "${red[@]+"${red[@]}"}"; do
    echo "known red, not run: $entry (see KNOWN-RED.txt)"
done
exit $verdict
