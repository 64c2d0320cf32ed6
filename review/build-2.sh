#!/bin/sh
# Builds the stand-ins of the scripts in review/4 and later: they are Python and need only its standard
# library, so this checks that they compile. Nothing is written beside them.
set -e
cd "$(dirname "$0")"
for file in lab-2/lab.py [4-8]/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
