#!/bin/sh
# Builds the stand-ins: compiles them, and checks that they can be imported.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review"
python3 -m compileall -q standins review || exit 1
exec python3 -c 'import harness'
