#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start, besides the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for case in 6 7 8 9 10; do
	if [ -f "review/$case/main.go" ]; then
		go build -tags review -o "review/bin/case-$case" "./review/$case"
	fi
done
