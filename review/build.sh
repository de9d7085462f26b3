#!/bin/sh
# The stand-ins need Python 3.11 and its standard library only; this checks that
# they compile.
cd "$(dirname "$0")" || exit 1
for file in common/world.py [1-5]/case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
