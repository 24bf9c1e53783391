#!/usr/bin/env bash
# The stand-ins of the cases are plain modules of Node.js without dependencies. This checks that they can be read, and that the programs were built.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness/*.mjs [1-5]/case.mjs; do
	node --check "$file"
done
test -f ../target/launcher.cjs
