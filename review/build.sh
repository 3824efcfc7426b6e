#!/bin/sh
# Builds what the scripts of the review start. The stand-ins are plain Python
# without dependencies, so they are only compiled, which finds broken files.
set -eu
cd "$(dirname "$0")"
for file in common/*.py */*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
