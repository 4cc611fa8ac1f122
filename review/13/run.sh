#!/usr/bin/env bash
# Runs the case; what was sent, answered and run is written to record.txt beside this script.
cd "$(dirname "$0")" && exec timeout -k 4 115 node case.js
