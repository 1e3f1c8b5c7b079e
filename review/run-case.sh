#!/bin/sh
# Runs the program of a case: run-case.sh FOLDER. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$here")
program="$here/bin/$(basename "$1")"
if [ ! -x "$root/bin/lilaccove" ] || [ ! -x "$program" ]; then
	echo "build first: the command of the deploy file, then review/build.sh" >&2
	exit 2
fi
REVIEW_ROOT="$root" REVIEW_CASE="$here/$1" exec timeout -k 5 118 "$program"
