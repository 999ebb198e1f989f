#!/usr/bin/env bash
# Usage: bench.sh BUILD_DIR. Runs all benchmarks and prints their tables. docs/measurements.md has earlier results.
set -uo pipefail
cd "$(dirname "$0")/.."
for name in policy decision owner control; do
    echo "== $name"
    "$1/agatedrum-bench" "$name"
done
echo "== latency added to a job"
tools/measure-latency.sh "$1"
echo "== idle cluster"
tools/measure-idle.sh "$1"
