#!/bin/bash
# Builds the stand-ins of the cases 11 to 15. They are plain Python and use the libraries that the
# build of the deploy file places under target/deps; compiling them shows that they can be read.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH="$PWD/target/deps" PYTHONPYCACHEPREFIX="$PWD/target/review-3"
python3 -c "import aiohttp" || exit 1
exec python3 -m compileall -q review/common-3 review/1[1-5]
