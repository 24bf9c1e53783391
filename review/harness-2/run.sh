#!/bin/sh
# Runs a case that review/build-2.sh has built. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program="target/review-2/case-$1.mjs"
if [ ! -f "$program" ] || [ ! -f target/launcher.cjs ]; then
	echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2
	exit 2
fi

node "$program" &
pid=$!
trap 'kill "$pid" 2>/dev/null' INT TERM
wait "$pid"
case $? in
	0) exit 0 ;;
	10) exit 1 ;;
	*) exit 2 ;;
esac
