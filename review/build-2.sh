#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python programs without
# further dependencies, so they are only compiled.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q lib2 6 7 8 9 10
