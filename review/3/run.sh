#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it was kept, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/3/case.py
