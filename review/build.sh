#!/bin/sh
# The stand-ins are Python 3.11 with its standard library alone: nothing has to be compiled, they are only checked here.
set -e
cd "$(dirname "$0")"
for file in lib/*.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
python3 -c 'import asyncio, tomllib'
