#!/usr/bin/env bash
# The stand-ins of the cases are plain modules without dependencies: nothing to compile. Checks that
# they can be read, and that the build of the deploy file has made the program.
set -euo pipefail
cd "$(dirname "$0")"
for file in *.mjs */case.mjs; do node --check "$file"; done
test -f ../target/celerybarrow.cjs
