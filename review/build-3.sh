#!/bin/sh
# Builds what the scripts of the third review start besides the programs of the deploy file: the
# stand-ins are Python files of this folder that use the standard library only.
set -e
cd "$(dirname "$0")"
python3 -m py_compile common-3/fleet.py
for case in 9 10 11 12 13; do
    if [ -f "$case/case.py" ]; then
        python3 -m py_compile "$case/case.py"
    fi
done
rm -rf common-3/__pycache__ */__pycache__
