#!/bin/sh
# Builds the clients and the stand-ins of the cases 6 to 10 into target/review-2, without a network, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
for program in review/[0-9]*/case.ts; do
	number=$(basename "$(dirname "$program")")
	node_modules/.bin/esbuild "$program" --bundle --platform=node --target=node20 --format=esm --log-level=warning \
		--banner:js="import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);" \
		--outfile="target/review-2/case-$number.mjs"
done
