#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python modules that need only what the build
# of the deploy file places under target/, so this checks that they compile and can be imported.
set -eu
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="../target/deps:common-2"
python3 -c 'import world'
for file in common-2/world.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    [ -f "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
