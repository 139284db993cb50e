#!/bin/sh
# Builds the stand-ins that the scripts start: Python modules of this folder alone.
# They need no package beside Python's own library.
set -eu
cd "$(dirname "$0")"
for file in common/*.py [1-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
