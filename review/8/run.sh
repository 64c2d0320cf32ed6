#!/bin/sh
# Exits with 1 if a job is refused with 404 though its route is there, 0 if none is, 2 if the case can't run.
export PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 115 python3 "$(dirname "$0")/case.py"
