#!/bin/sh
exec "$(dirname "$0")/../../run-case.sh" more/slow
