#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
case=$(cd "$(dirname "$0")" && pwd)
program="$case/../bin/case-$(basename "$case")"
ROOT=$(cd "$case/../.." && pwd)
if [ ! -x "$program" ] || [ ! -x "$ROOT/bin/lilaccove" ]; then
	echo "build first: the command of the deploy file, then review/build-2.sh" >&2
	exit 2
fi
ROOT=$ROOT CASE=$case exec "$program"
