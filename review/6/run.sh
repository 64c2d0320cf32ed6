#!/bin/sh
# Exits with 1 if two runs of a task go at the same time, 0 if none do, 2 if the case can't run.
export PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 115 python3 "$(dirname "$0")/case.py"
