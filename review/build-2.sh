#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are written in Python, so that this only checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in common2/*.py $(ls [6-9]/case.py 10/case.py 2>/dev/null); do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1], encoding='utf-8').read())" "$file"
done
test -x ../target/agatedrumd || { echo "target/agatedrumd is missing; run the build of deploy/system.toml" >&2; exit 1; }
