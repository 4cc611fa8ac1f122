#!/usr/bin/env bash
# The stand-ins are plain modules that run as they are: checks that each of them, and each case, can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.js [1-5]/case.js; do node --check "$file"; done
