#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. All of them are Python modules in review/common, so this only checks that
# they compile. The scripts start target/agatedrumd, which the build line of deploy/system.toml makes.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/common/*.py review/*/case.py review/tried/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
