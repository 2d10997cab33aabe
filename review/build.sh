#!/bin/sh
# The stand-ins are plain Python without dependencies: compiling them is all.
# Expects that the build line of deploy/system.toml has run.
cd "$(dirname "$0")/.." || exit 2
test -d target/deps || { echo 'run the build of deploy/system.toml first'; exit 2; }
for file in review/lib/*.py review/[0-9]/*.py; do
    [ -e "$file" ] || continue
    python3 - "$file" <<'PY' || exit 2
import sys
path = sys.argv[1]
compile(open(path, encoding='utf-8').read(), path, 'exec')
PY
done
