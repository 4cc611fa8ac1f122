#!/usr/bin/env bash
# Starts the program of the deploy file, target/dragonflylever.mjs, in its roles beside stand-ins, and writes what was sent, answered and run to record.txt.
# TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}" RECORD="$PWD/record.txt" PROGRAM="$PWD/../../target/dragonflylever.mjs"
if [ ! -f "$PROGRAM" ]; then
  echo "could not run: target/dragonflylever.mjs is not built" | tee "$RECORD"
  exit 2
fi
exec node case.js
