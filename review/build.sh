#!/bin/sh
# Builds the programs of the cases into review/bin: for each one program, which holds its stand-ins and its check.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/ ./review/1 ./review/2 ./review/3 ./review/more/session ./review/more/slow
