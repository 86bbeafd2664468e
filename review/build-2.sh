#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python scripts that use its standard library alone, so that
# this only compiles them; the program itself is built by the deploy file.
set -e
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in lib-2/*.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    [ ! -f "$file" ] || python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
