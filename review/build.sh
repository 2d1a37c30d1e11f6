#!/bin/bash
# Checks what the scripts need besides the build of the deploy file. The stand-ins are Python programs
# that use its standard library alone, so nothing is compiled; the byte code isn't kept.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))' || { echo "Python 3.8 or later is needed" >&2; exit 1; }
for file in lib/standins.py [1-5]/case.py; do
    [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
echo "the stand-ins are ready"
